"""Learning how far a target can be filled before it becomes slower.

Load this answers: targets that take far longer over each request once nearly
all their slots are busy, so that the last slots bring less work done, not more.

:units: milliseconds; counts of requests; seconds on the node's monotonic clock.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict

NEARLY_FULL_SHARE = 0.8
MIN_LIGHT_SAMPLES = 10
MIN_FULL_SAMPLES = 12
SMOOTHING_FACTOR = 0.1
MAX_TIME_RATIO = 1.25
RETEST_S = 20.0


class FillLimit:
    """Compares requests that began at a nearly full target with the others.

    Filling the last slots pays while the work done a second still grows. When
    it no longer does, they are left empty, and tried again after a while.
    """

    __slots__ = (
        'light_load_ms',
        'light_load_counts',
        'ratio',
        'full_load_count',
        'limited_at',
    )

    def __init__(self) -> None:
        """Start without any sample."""
        self.light_load_ms: dict[str, float] = defaultdict(float)
        self.light_load_counts: dict[str, int] = defaultdict(int)
        self.ratio = 1.0
        self.full_load_count = 0
        self.limited_at: float | None = None

    def reset(self) -> None:
        """Begin anew for another start of the target."""
        self.light_load_ms.clear()
        self.light_load_counts.clear()
        self.ratio = 1.0
        self.full_load_count = 0
        self.limited_at = None

    def observe(self, call_class: str, busy: int, slots: int, ran_ms: float) -> None:
        """Add a request that ran while the target's VM was not slow.

        :param call_class: name of its class.
        :param busy: requests at the target when it began, itself included.
        :param slots: slots of the target.
        :param ran_ms: time it took.
        """
        if busy <= NEARLY_FULL_SHARE * slots:
            self.observe_light_load(call_class, ran_ms)
            return
        light_ms = self.light_load_ms[call_class]
        if self.light_load_counts[call_class] < MIN_LIGHT_SAMPLES or not light_ms:
            return
        self.full_load_count += 1
        self.ratio += SMOOTHING_FACTOR * (ran_ms / light_ms - self.ratio)
        if self.full_load_count >= MIN_FULL_SAMPLES and self.ratio > MAX_TIME_RATIO:
            self.limited_at = time.monotonic()

    def observe_light_load(self, call_class: str, ran_ms: float) -> None:
        """Add a request that found the target with room."""
        self.light_load_counts[call_class] += 1
        average_ms = self.light_load_ms[call_class]
        weight = max(SMOOTHING_FACTOR, 1 / self.light_load_counts[call_class])
        self.light_load_ms[call_class] = average_ms + weight * (ran_ms - average_ms)

    def slots_to_use(self, slots: int) -> int:
        """How many requests the target is given at once.

        :param slots: slots of the target.
        """
        if self.limited_at is None:
            return slots
        if time.monotonic() - self.limited_at > RETEST_S:
            self.limited_at = None
            self.full_load_count = 0
            self.ratio = 1.0
            return slots
        return max(1, math.floor(NEARLY_FULL_SHARE * slots))
