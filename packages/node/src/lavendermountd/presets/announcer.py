"""Tells other nodes at once that another preset is in force.

Each node would learn it from the log, but the read of some may have been lost.

:units: seconds.
:errors: none are raised; regular gossip tells the others later.
"""

from __future__ import annotations

import asyncio
import random

from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.urgent_updates import UrgentUpdates
from lavendermountd.presets.holder import InForcePreset

FANOUT = 3
# The announcements of the nodes of a region are spread over this time.
SPREAD_S = 0.1
# Announcements that may wait for answers at the same time.
MAX_ANNOUNCEMENTS = 4


class PresetAnnouncer:
    """Gossips with some members after each change of the preset in force.

    :param gossip: gossip, whose rounds name the revision in force.
    """

    __slots__ = ('urgent', 'is_due', 'places')

    def __init__(self, gossip: Gossip) -> None:
        """Start with nothing to announce."""
        self.urgent = UrgentUpdates(gossip)
        self.is_due = asyncio.Event()
        self.places = asyncio.Semaphore(MAX_ANNOUNCEMENTS)

    def note_change(self, preset: InForcePreset) -> None:
        """Request an announcement; changes in quick succession share one."""
        self.request()

    def request(self) -> None:
        """Request an announcement of other news, such as an evacuated zone."""
        self.is_due.set()

    async def run(self) -> None:
        """Announce each change until cancelled.

        Members that don't answer do not delay the next announcement.
        """
        async with asyncio.TaskGroup() as announcements:
            while True:
                await self.places.acquire()
                await self.is_due.wait()
                await asyncio.sleep(random.uniform(0, SPREAD_S))
                self.is_due.clear()
                announcement = announcements.create_task(self.announce())
                announcement.add_done_callback(self.free_place)

    def free_place(self, announcement: asyncio.Task[None]) -> None:
        """Let another announcement begin."""
        self.places.release()

    async def announce(self) -> None:
        """Tell members of the own region; some nodes also tell another region."""
        await asyncio.gather(
            self.urgent.tell_region(FANOUT), self.urgent.tell_other_region()
        )
