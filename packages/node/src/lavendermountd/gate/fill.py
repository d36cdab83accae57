"""Learning how far a target can be filled before it becomes slower.

Load this answers: targets that take far longer over each request once nearly
all their slots are busy, so that the last slots bring less work done, not more.

:units: milliseconds; counts of requests; seconds on the node's monotonic clock.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict

NEARLY_FULL = 0.8
ENOUGH_LIGHT = 10
ENOUGH_FULL = 12
WEIGHT = 0.1
WORTHWHILE = 1.25
RETEST_S = 20.0


class FillLimit:
    """Compares requests that began at a nearly full target with the others.

    Filling the last slots pays while the work done a second still grows. When
    it no longer does, they are left empty, and tried again after a while.
    """

    __slots__ = ('light', 'light_counts', 'ratio', 'full_count', 'limited_at')

    def __init__(self) -> None:
        """Start without any sample."""
        self.light: dict[str, float] = defaultdict(float)
        self.light_counts: dict[str, int] = defaultdict(int)
        self.ratio = 1.0
        self.full_count = 0
        self.limited_at: float | None = None

    def forget(self) -> None:
        """Begin anew for another start of the target."""
        self.light.clear()
        self.light_counts.clear()
        self.ratio = 1.0
        self.full_count = 0
        self.limited_at = None

    def observe(self, call_class: str, busy: int, slots: int, ran_ms: float) -> None:
        """Add a request that ran while the target's VM was not slow.

        :param call_class: name of its class.
        :param busy: requests at the target when it began, itself included.
        :param slots: slots of the target.
        :param ran_ms: time it took.
        """
        if busy <= NEARLY_FULL * slots:
            self.observe_light(call_class, ran_ms)
            return
        typical = self.light[call_class]
        if self.light_counts[call_class] < ENOUGH_LIGHT or not typical:
            return
        self.full_count += 1
        self.ratio += WEIGHT * (ran_ms / typical - self.ratio)
        if self.full_count >= ENOUGH_FULL and self.ratio > WORTHWHILE:
            self.limited_at = time.monotonic()

    def observe_light(self, call_class: str, ran_ms: float) -> None:
        """Add a request that found the target with room."""
        self.light_counts[call_class] += 1
        known = self.light[call_class]
        weight = max(WEIGHT, 1 / self.light_counts[call_class])
        self.light[call_class] = known + weight * (ran_ms - known)

    def slots_to_use(self, slots: int) -> int:
        """How many requests the target is given at once.

        :param slots: slots of the target.
        """
        if self.limited_at is None:
            return slots
        if time.monotonic() - self.limited_at > RETEST_S:
            self.limited_at = None
            self.full_count = 0
            self.ratio = 1.0
            return slots
        return max(1, math.floor(NEARLY_FULL * slots))
