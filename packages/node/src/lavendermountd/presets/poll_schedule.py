"""Chooses how long a read of the log waits for news, and when a failed one is retried.

A log that falls silent drops the reads that reach it, and a reader can't tell a
lost read from one that waits for news. The times are therefore drawn at random
from exponential distributions, whose rate all nodes of a region share: however the
reads of the nodes coincide, one of them ends soon after the log answers again,
and its node tells the others.

News and failures make the reads of all nodes coincide. After either, the waits begin
short, and double with each read without news: by then the reads are spread over time,
and a silence takes only a part of them.

:units: seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

# Rates of the first reads after news, and of retries, of all nodes of a region.
REGION_READS_PER_S = 2.5
REGION_RETRIES_PER_S = 4.0
# Rate of the reads of all nodes of a region that do not wait at the log.
REGION_CHECKS_PER_S = 1.0
# Rate of the checks of each standby.
STANDBY_CHECKS_PER_S = 1.0
# Longest time between two checks of the sentinel.
SENTINEL_INTERVAL_S = 1.0
# Pace of the other nodes that do not wait at the log, while they do not hurry.
SENTINEL_FACTOR = 0.1
MAX_DOUBLINGS = 10
MIN_WAIT_S = 0.2
MIN_RETRY_S = 0.1
MAX_RETRY_S = 4.0
# Longest silence of the log after the time that a read may wait.
RESPONSE_TIMEOUT_S = 0.7


class PollSchedule:
    """Draws the times of one reader.

    :param max_wait_s: longest time that a read may wait for news.
    """

    __slots__ = (
        'max_wait_s',
        'region_size',
        'is_reader',
        'is_standby',
        'is_sentinel',
        'has_sentinel',
        'reader_count',
        'reads_without_news',
    )

    def __init__(self, max_wait_s: float) -> None:
        """Assume that the node is alone until its members are known."""
        self.max_wait_s = max_wait_s
        self.region_size: Callable[[], int] = _alone
        # Whether this node waits at the log; the others only check it at times.
        self.is_reader: Callable[[], bool] = _always
        # Whether this node checks the log often.
        self.is_standby: Callable[[], bool] = _never
        # Whether this node checks the log at short, even intervals for its region.
        self.is_sentinel: Callable[[], bool] = _never
        # Whether one node of each region does so.
        self.has_sentinel = False
        # Nodes of the region that wait at the log; ``None`` if all of them do.
        self.reader_count: Callable[[], int] | None = None
        self.reads_without_news = 0

    def restart(self) -> None:
        """Begin with short waits; the reads of all nodes may coincide."""
        self.reads_without_news = 0

    def wait_s(self) -> float:
        """Return how long the next read may wait for news."""
        doublings = min(self.reads_without_news, MAX_DOUBLINGS)
        count = (self.reader_count or self.region_size)()
        mean_s = count / REGION_READS_PER_S * 2**doublings
        drawn_s = random.expovariate(1 / mean_s)
        return min(max(drawn_s, MIN_WAIT_S), self.max_wait_s)

    def check_interval_s(self) -> float:
        """Return how long a node that does not wait at the log lets pass.

        A standby checks at a rate of its own, the others at one that the region shares.
        The others tell it of news meanwhile. The rate does not fall over time, because
        these reads matter when all nodes that wait there are cut off.
        """
        rate_per_s = REGION_CHECKS_PER_S / self.region_size()
        if self.is_standby():
            rate_per_s = STANDBY_CHECKS_PER_S
        drawn_s = random.expovariate(rate_per_s)
        return min(max(drawn_s, MIN_WAIT_S), self.max_wait_s)

    def longest_interval_s(self) -> float:
        """Return the longest time that may pass until the next check in this role."""
        return SENTINEL_INTERVAL_S if self.is_sentinel() else math.inf

    def idle_factor(self) -> float:
        """Return the pace of this node while all members can tell of news."""
        is_relieved = self.has_sentinel and not self.is_standby()
        return SENTINEL_FACTOR if is_relieved else 1

    def retry_s(self) -> float:
        """Return how long to wait after a failed read."""
        drawn_s = random.expovariate(REGION_RETRIES_PER_S / self.region_size())
        return min(max(drawn_s, MIN_RETRY_S), MAX_RETRY_S)


def _always() -> bool:
    """Wait at the log; replaced when the node's components are connected."""
    return True


def _never() -> bool:
    """Do not check often; replaced when the node's components are connected."""
    return False


def _alone() -> int:
    """Count only this node; replaced when the node's components are connected."""
    return 1
