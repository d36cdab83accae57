"""Asks nodes of other regions for a preset that this region has not read yet.

They fetch it compressed from each other. That is a small part of what the record takes
on the link between the region and the log.

:units: seconds.
:errors: none are raised; a node that learns nothing reads the log.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Final

from lavendermountd.membership.table import MemberTable
from lavendermountd.presets.catchup import PresetCatchUp

MAX_ASKS: Final = 3
ASK_TIMEOUT_S: Final = 0.25
# Longest time for the preset to arrive and to be prepared.
ADOPT_TIMEOUT_S: Final = 1.0


class OtherRegions:
    """Fetches a newer preset from another region, if a node there has one.

    :param table: known members.
    :param catch_up: fetches presets from peers.
    """

    __slots__ = ('table', 'catch_up')

    def __init__(self, table: MemberTable, catch_up: PresetCatchUp) -> None:
        """Initialize the fields."""
        self.table = table
        self.catch_up = catch_up

    async def ask(self) -> None:
        """Ask a few nodes until one answers, and fetch what it has."""
        region = self.table.own.region
        members = [peer for peer in self.table.living() if peer.region != region]
        for member in random.sample(members, min(MAX_ASKS, len(members))):
            if await self.catch_up.ask_progress(member, ASK_TIMEOUT_S):
                break
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ADOPT_TIMEOUT_S):
                await self.catch_up.is_up_to_date.wait()
