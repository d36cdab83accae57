"""Learned answer times, from which the wait before a hedge is taken.

:units: milliseconds.
"""

from __future__ import annotations

from collections import deque

WINDOW_SIZE = 200
MIN_SAMPLES = 20
SORT_INTERVAL = 20


class LatencyWindow:
    """The most recent answer times of one service and class."""

    __slots__ = ('samples', 'sorted_samples', 'added_since_sort')

    def __init__(self) -> None:
        """Start with nothing learned."""
        self.samples: deque[float] = deque(maxlen=WINDOW_SIZE)
        self.sorted_samples: list[float] = []
        self.added_since_sort = 0

    def add(self, elapsed_ms: float) -> None:
        """Add one answer time."""
        self.samples.append(elapsed_ms)
        self.added_since_sort += 1
        if self.added_since_sort >= SORT_INTERVAL:
            self.added_since_sort = 0
            self.sorted_samples = sorted(self.samples)

    def quantile(self, fraction: float) -> float | None:
        """Read a quantile.

        :param fraction: between 0 and 1.
        :returns: milliseconds, or ``None`` while too little is known.
        """
        if len(self.sorted_samples) < MIN_SAMPLES:
            return None
        index = min(
            int(fraction * len(self.sorted_samples)), len(self.sorted_samples) - 1
        )
        return self.sorted_samples[index]
