"""Learned answer times, from which the wait before a hedge is taken.

:units: milliseconds.
"""

from __future__ import annotations

from collections import deque

WINDOW = 200
ENOUGH = 20
RECOMPUTE_EVERY = 20


class LatencyWindow:
    """The most recent answer times of one service and class."""

    __slots__ = ('recent', 'ordered', 'since')

    def __init__(self) -> None:
        """Start with nothing learned."""
        self.recent: deque[float] = deque(maxlen=WINDOW)
        self.ordered: list[float] = []
        self.since = 0

    def add(self, elapsed_ms: float) -> None:
        """Add one answer time."""
        self.recent.append(elapsed_ms)
        self.since += 1
        if self.since >= RECOMPUTE_EVERY:
            self.since = 0
            self.ordered = sorted(self.recent)

    def quantile(self, share: float) -> float | None:
        """Read a quantile.

        :param share: between 0 and 1.
        :returns: milliseconds, or ``None`` while too little is known.
        """
        if len(self.ordered) < ENOUGH:
            return None
        index = min(int(share * len(self.ordered)), len(self.ordered) - 1)
        return self.ordered[index]
