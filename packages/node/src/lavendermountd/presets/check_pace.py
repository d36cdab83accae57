"""Pace at which a node that does not wait at the log approaches its next check of it.

The nodes that wait there tell the others of news. When members of the region can't be
reached, those nodes may be among them, and they are replaced only once they are known
to be lost. The others check the log more often meanwhile.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Final

from lavendermount_core.models.members import MemberStatus
from lavendermountd.membership.table import MemberTable

# Longest time without a look at whether this node waits at the log by now.
ROLE_CHECK_INTERVAL_S: Final = 1.0
HURRY_FACTOR: Final = 7
# Nodes of a region that check at once when they begin to hurry, on average.
FIRST_CHECKS: Final = 14
# Time for which the checks stay frequent: until dead members are known as dead.
HURRY_S: Final = 5.0
# A node that was told of news within this time can still be told.
TOLD_S: Final = 1.5


class CheckPace:
    """Shortens the time until the next check while members can't be reached."""

    __slots__ = ('hurries_until', 'told_at', 'has_begun_to_hurry')

    def __init__(self) -> None:
        """Start at the normal pace."""
        self.hurries_until: float = 0
        # When another node told of a version last.
        self.told_at: float = 0
        self.has_begun_to_hurry = asyncio.Event()

    @property
    def factor(self) -> int:
        """How much faster than normal the next check approaches."""
        now = time.monotonic()
        is_told = now < self.told_at + TOLD_S
        return 1 if is_told or now >= self.hurries_until else HURRY_FACTOR

    def note_unreachable(self) -> None:
        """Check often for some time: a member of the region can't be reached."""
        if self.factor == 1:
            self.has_begun_to_hurry.set()
        self.hurries_until = time.monotonic() + HURRY_S

    async def advance(self, left_s: float, region_size: int) -> float:
        """Wait for a part of an interval.

        Some nodes of the region end it as soon as they begin to hurry.

        :param left_s: what is left of the interval at the normal pace.
        :param region_size: number of nodes of the region.
        :returns: what is left of it after that.
        """
        factor = self.factor
        started_at = time.monotonic()
        wait_s = min(left_s / factor, ROLE_CHECK_INTERVAL_S)
        self.has_begun_to_hurry.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self.has_begun_to_hurry.wait()
        except TimeoutError:
            return left_s - wait_s * factor
        if random.random() < FIRST_CHECKS / region_size:
            return 0
        return left_s - (time.monotonic() - started_at) * factor


def hurry_if_nearby(pace: CheckPace, table: MemberTable, node_id: str) -> None:
    """Check often if a member that can't be reached may have told this node of news.

    :param pace: pace of this node.
    :param table: known members.
    :param node_id: name of the member.
    """
    member = table.find(node_id)
    if member is None or member.status == MemberStatus.DEAD:
        return
    if member.region == table.own.region:
        pace.note_unreachable()
