"""Pace at which a node that does not wait at the log approaches its next check of it.

The nodes that wait there tell the others of news. When members of the region can't be
reached, or say that the log does not answer them, those nodes may be among them. They
are replaced only once they are known to be lost. The others check the log more often
meanwhile, and at even intervals if only a few are left.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Final

from lavendermount_core.models.members import MemberStatus
from lavendermountd.membership.table import MemberTable

# Longest time without a look at whether this node waits at the log by now.
ROLE_CHECK_INTERVAL_S: Final = 1.0
HURRY_FACTOR: Final = 7
# Nodes of a region that check at once when they begin to hurry, on average; in a small
# region again, and more, for each further member that can't tell of news.
FIRST_CHECKS: Final = 14
# Time for which the checks stay frequent: until dead members are known as dead.
HURRY_S: Final = 5.0
# A node that was told of news within this time can still be told.
TOLD_S: Final = 1.5
# Least time between two checks of a node while it hurries.
HURRY_INTERVAL_S: Final = 0.5
# Nodes that share a check in that time at most.
NODES_PER_INTERVAL: Final = 4
# After an outage of the log itself all nodes of a region hurry, so the interval grows
# with their number, and large regions have no even checks.
REGION_NODES_PER_INTERVAL: Final = 16
MAX_EVEN_NODES: Final = 32


class CheckPace:
    """Shortens the time until the next check while members can't be reached."""

    __slots__ = (
        'hurries_until',
        'told_at',
        'has_begun_to_hurry',
        'is_beginning',
        'lost_until',
    )

    def __init__(self) -> None:
        """Start at the normal pace."""
        self.hurries_until: float = 0
        # When another node told of a version last.
        self.told_at: float = 0
        # Set also for each further member that is lost.
        self.has_begun_to_hurry = asyncio.Event()
        self.is_beginning = False
        # Until when each member counts as one that can't tell of news.
        self.lost_until: dict[str, float] = {}

    @property
    def factor(self) -> int:
        """How much faster than normal the next check approaches."""
        now = time.monotonic()
        is_told = now < self.told_at + TOLD_S
        return 1 if is_told or now >= self.hurries_until else HURRY_FACTOR

    def note_unreachable(self, node_id: str = '') -> None:
        """Check often for some time: a member of the region can't tell of news.

        :param node_id: name of the member; empty if it is not known.
        """
        self.is_beginning = self.is_beginning or self.factor == 1
        if self.is_beginning:
            self.has_begun_to_hurry.set()
        self.hurries_until = time.monotonic() + HURRY_S
        if node_id:
            self.note_lost(node_id)

    def note_lost(self, node_id: str) -> None:
        """Count a member as one that can't tell of news, and look at the own role."""
        if not self.is_lost(node_id):
            self.has_begun_to_hurry.set()
        self.lost_until = {
            known_id: until
            for known_id, until in self.lost_until.items()
            if self.is_lost(known_id)
        }
        self.lost_until[node_id] = time.monotonic() + HURRY_S

    def note_reachable(self, node_id: str) -> None:
        """Count a member as one that can tell of news again."""
        self.lost_until.pop(node_id, None)

    def is_lost(self, node_id: str) -> bool:
        """Return whether a member can't be reached, or does not reach the log."""
        return self.lost_until.get(node_id, 0) > time.monotonic()

    def lost_count(self) -> int:
        """Count the members that can't tell of news."""
        return sum(map(self.is_lost, self.lost_until))

    def longest_interval_s(self, region_size: int) -> float:
        """Return the longest time until the next check, by the nodes that are left.

        :param region_size: number of nodes of the region.
        """
        lost_count = self.lost_count()
        if not lost_count or region_size > MAX_EVEN_NODES:
            return math.inf
        left_count = max(1, region_size - lost_count)
        shared_s = HURRY_INTERVAL_S * math.ceil(left_count / NODES_PER_INTERVAL)
        region_s = HURRY_INTERVAL_S * region_size / REGION_NODES_PER_INTERVAL
        return max(shared_s, region_s, HURRY_INTERVAL_S)

    def first_check_share(self, region_size: int) -> float:
        """Return the share of the nodes that check at once, and begin to hurry.

        In a large region that is once, as each member that is lost later would cost
        many calls; its readers and the sentinel are few among its nodes.

        :param region_size: number of nodes of the region.
        """
        is_beginning = self.is_beginning
        self.is_beginning = False
        if region_size > MAX_EVEN_NODES:
            return FIRST_CHECKS / region_size if is_beginning else 0
        return FIRST_CHECKS * (1 + self.lost_count()) / region_size

    async def advance(
        self,
        left_s: float,
        region_size: int,
        longest_s: float = math.inf,
        idle_factor: float = 1,
    ) -> float:
        """Wait for a part of an interval.

        Some nodes of the region end it as soon as they begin to hurry.

        :param left_s: what is left of the interval at the normal pace.
        :param region_size: number of nodes of the region.
        :param longest_s: longest time until the check, whatever the pace.
        :param idle_factor: pace of a node that does not hurry.
        :returns: what is left of it after that.
        """
        factor = idle_factor if self.factor == 1 else self.factor
        started_at = time.monotonic()
        longest_s = min(longest_s, self.longest_interval_s(region_size))
        wait_s = min(left_s / factor, longest_s, ROLE_CHECK_INTERVAL_S)
        self.has_begun_to_hurry.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self.has_begun_to_hurry.wait()
        except TimeoutError:
            return 0 if wait_s == longest_s else left_s - wait_s * factor
        if random.random() < self.first_check_share(region_size):
            return 0
        return left_s - (time.monotonic() - started_at) * factor


class NearbyMembers:
    """Tells the pace which members of the region may have told this node of news.

    :param pace: pace of this node.
    :param table: known members.
    :param region_size: returns the number of nodes of the region.
    """

    __slots__ = ('pace', 'table', 'region_size')

    def __init__(
        self, pace: CheckPace, table: MemberTable, region_size: Callable[[], int]
    ) -> None:
        """Initialize the fields."""
        self.pace = pace
        self.table = table
        self.region_size = region_size

    def note_unanswered(self, node_id: str) -> None:
        """Check often if a member did not answer that may have told of news."""
        if self.is_nearby(node_id):
            self.pace.note_unreachable(node_id)

    def note_answer(self, node_id: str, is_log_silent: bool) -> None:
        """Check often if a member says that the log does not answer it.

        In a large region only the sentinel is replaced if it is that member: single
        nodes that have lost the log are frequent there, and all others would check.

        :param node_id: name of the member.
        :param is_log_silent: whether the log does not answer the member.
        """
        if is_log_silent and self.region_size() > MAX_EVEN_NODES:
            self.pace.note_lost(node_id)
        elif is_log_silent:
            self.note_unanswered(node_id)
        else:
            self.pace.note_reachable(node_id)

    def is_nearby(self, node_id: str) -> bool:
        """Return whether a member of the own region is not known as dead."""
        member = self.table.find(node_id)
        if member is None or member.status == MemberStatus.DEAD:
            return False
        return member.region == self.table.own.region
