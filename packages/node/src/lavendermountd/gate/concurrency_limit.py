"""Limits concurrency on targets that slow down when nearly all slots are busy.

On such a target each request takes so much longer near full load that using the
last slots lowers the throughput instead of raising it.

:units: milliseconds; counts of requests; seconds on the node's monotonic clock.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict

# Share of busy slots up to which the load counts as light, and share of the slots
# that are used while the limit applies.
NEARLY_FULL_SHARE = 0.8
MIN_LIGHT_SAMPLES = 10
MIN_FULL_SAMPLES = 12
SMOOTHING_FACTOR = 0.1
# ``1 / NEARLY_FULL_SHARE``: if run times near full load are longer by more than
# this factor, filling the last slots lowers the throughput.
MAX_TIME_RATIO = 1.25
RETEST_S = 20.0


class ConcurrencyLimit:
    """Compares run times at a nearly full target with those at lighter load.

    The last slots are used as long as they raise the throughput. Once they no
    longer do, they are left empty and tried again after ``RETEST_S``.
    """

    __slots__ = (
        'light_load_ms',
        'light_load_counts',
        'time_ratio',
        'full_load_count',
        'limited_at',
    )

    def __init__(self) -> None:
        """Start without samples and without a limit."""
        self.light_load_ms: dict[str, float] = defaultdict(float)
        self.light_load_counts: dict[str, int] = defaultdict(int)
        self.time_ratio = 1.0
        self.full_load_count = 0
        self.limited_at: float | None = None

    def reset(self) -> None:
        """Discard all samples and the limit, for a new start of the target."""
        self.light_load_ms.clear()
        self.light_load_counts.clear()
        self.time_ratio = 1.0
        self.full_load_count = 0
        self.limited_at = None

    def observe(
        self, call_class: str, in_flight: int, slots: int, ran_ms: float
    ) -> None:
        """Add a sample of a request that ran while the target's VM was not slow.

        :param call_class: name of the request's class.
        :param in_flight: requests at the target when the request started, including
            itself.
        :param slots: slots of the target.
        :param ran_ms: run time of the request.
        """
        if in_flight <= NEARLY_FULL_SHARE * slots:
            self.observe_light_load(call_class, ran_ms)
            return
        light_ms = self.light_load_ms[call_class]
        if self.light_load_counts[call_class] < MIN_LIGHT_SAMPLES or not light_ms:
            return
        self.full_load_count += 1
        self.time_ratio += SMOOTHING_FACTOR * (ran_ms / light_ms - self.time_ratio)
        if (
            self.full_load_count >= MIN_FULL_SAMPLES
            and self.time_ratio > MAX_TIME_RATIO
        ):
            self.limited_at = time.monotonic()

    def observe_light_load(self, call_class: str, ran_ms: float) -> None:
        """Update the average run time of a class at light load."""
        self.light_load_counts[call_class] += 1
        average_ms = self.light_load_ms[call_class]
        weight = max(SMOOTHING_FACTOR, 1 / self.light_load_counts[call_class])
        self.light_load_ms[call_class] = average_ms + weight * (ran_ms - average_ms)

    def slots_to_use(self, slots: int) -> int:
        """Return the number of slots to use now.

        The limit is removed ``RETEST_S`` after it was last set.

        :param slots: slots that the target offers.
        """
        if self.limited_at is None:
            return slots
        if time.monotonic() - self.limited_at > RETEST_S:
            self.limited_at = None
            self.full_load_count = 0
            self.time_ratio = 1.0
            return slots
        return max(1, math.floor(NEARLY_FULL_SHARE * slots))
