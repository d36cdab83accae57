"""Recent response times, to derive hedge delays and limits of queue waits.

:units: milliseconds.
"""

from __future__ import annotations

from collections import deque

WINDOW_SIZE = 200
MIN_SAMPLES = 20
# Number of added samples after which the window is sorted again.
SORT_INTERVAL = 20


class LatencyWindow:
    """A sliding window of the response times of a service and class."""

    __slots__ = ('samples', 'sorted_samples', 'added_since_sort')

    def __init__(self) -> None:
        """Start without samples."""
        self.samples: deque[float] = deque(maxlen=WINDOW_SIZE)
        self.sorted_samples: list[float] = []
        self.added_since_sort = 0

    def add(self, elapsed_ms: float) -> None:
        """Add a response time."""
        self.samples.append(elapsed_ms)
        self.added_since_sort += 1
        if self.added_since_sort >= SORT_INTERVAL:
            self.added_since_sort = 0
            self.sorted_samples = sorted(self.samples)

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile of the window as of its last sort.

        :param fraction: between 0 and 1.
        :returns: milliseconds, or ``None`` while there are too few samples.
        """
        if len(self.sorted_samples) < MIN_SAMPLES:
            return None
        index = min(
            int(fraction * len(self.sorted_samples)), len(self.sorted_samples) - 1
        )
        return self.sorted_samples[index]
