"""Tells other nodes at once that this node has another preset.

Each node would learn it from the log, but the read of some may have been lost.

:units: seconds.
:errors: none are raised; regular gossip tells the others later.
"""

from __future__ import annotations

import asyncio
import random

from lavendermount_core.presets.records import NO_REVISION
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.urgent_updates import (
    MemberTest,
    UrgentUpdates,
    is_never_informed,
)
from lavendermountd.presets.holder import InForcePreset

# Members drawn at random that are told, besides the neighbours on the ring.
FANOUT = 2
# The announcements of the nodes of a region are spread over this time.
SPREAD_S = 0.1
# Announcements that may wait for answers at the same time.
MAX_ANNOUNCEMENTS = 8


class PresetAnnouncer:
    """Gossips with some members after each change of the preset in force.

    :param gossip: gossip, whose rounds name the newest revision.
    """

    __slots__ = (
        'gossip',
        'urgent',
        'announced_revision',
        'is_due',
        'has_other_news',
        'places',
    )

    def __init__(self, gossip: Gossip) -> None:
        """Start with nothing to announce."""
        self.gossip = gossip
        self.urgent = UrgentUpdates(gossip)
        self.announced_revision = NO_REVISION
        self.is_due = asyncio.Event()
        # Members that have the preset may still lack this news.
        self.has_other_news = False
        self.places = asyncio.Semaphore(MAX_ANNOUNCEMENTS)

    def note_change(self, preset: InForcePreset) -> None:
        """Request an announcement, unless the preset was announced as received.

        Changes in quick succession share one.
        """
        if preset.revision != self.announced_revision:
            self.is_due.set()

    def note_receipt(self) -> None:
        """Request an announcement of a preset that is being prepared."""
        self.is_due.set()

    def request(self) -> None:
        """Request an announcement of other news, such as an evacuated zone."""
        self.has_other_news = True
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
                announcement = announcements.create_task(
                    self.announce(self.choose_test())
                )
                announcement.add_done_callback(self.free_place)

    def free_place(self, announcement: asyncio.Task[None]) -> None:
        """Let another announcement begin."""
        self.places.release()

    def choose_test(self) -> MemberTest:
        """Return the test whether a member need not be told what is due now."""
        if not self.has_other_news:
            return self.gossip.exchange.is_informed
        self.has_other_news = False
        return is_never_informed

    async def announce(self, is_informed: MemberTest) -> None:
        """Tell members of the own region; some nodes also tell another region.

        :param is_informed: whether a member need not be told.
        """
        self.announced_revision = self.gossip.exchange.revision()
        await asyncio.gather(
            self.urgent.tell_neighbours(is_informed),
            self.urgent.tell_region(FANOUT, is_informed),
            self.urgent.tell_other_region(),
        )
