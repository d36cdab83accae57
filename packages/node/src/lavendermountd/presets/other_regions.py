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

from lavendermount_core.models.members import Member
from lavendermountd.membership.staggered import call_until_answered
from lavendermountd.membership.table import MemberTable
from lavendermountd.presets.catchup import PresetCatchUp

MAX_ASKS: Final = 3
ASK_TIMEOUT_S: Final = 0.25
ALL_ASKS_TIMEOUT_S: Final = 0.35
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
        """Ask a few nodes until one answers, and fetch what it has.

        Nodes that are cut off cost a short time together, not each.
        """
        region = self.table.own.region
        members = [peer for peer in self.table.living() if peer.region != region]
        chosen = random.sample(members, min(MAX_ASKS, len(members)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ALL_ASKS_TIMEOUT_S):
                await call_until_answered(iter(chosen), self.ask_one)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ADOPT_TIMEOUT_S):
                await self.catch_up.is_up_to_date.wait()

    async def ask_one(self, member: Member) -> bool:
        """Ask a node for its revision; return whether it answered."""
        return await self.catch_up.ask_progress(member, ASK_TIMEOUT_S)
