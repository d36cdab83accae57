"""Until when the target is cold, and so accepts only a few requests a second.

A target is cold after its start, and may become cold again at any moment. It answers
the load that moves to targets which have just come back, such as those of a whole
zone: a cold target that gets more than its rate crashes.

Health answers are current, so they replace what is known. Status reports may arrive
seconds late, so they only extend the phase. Without any evidence, a target that may
have started anew counts as cold.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import time


class ColdPhase:
    """Tracks the cold phase of the target."""

    __slots__ = ('per_s', 'warmup_s', 'until')

    def __init__(self) -> None:
        """Start with a service whose targets are never cold."""
        self.per_s: float = 0
        self.warmup_s: float = 0
        self.until: float = 0

    def configure(self, per_s: float, warmup_s: float) -> None:
        """Set the values of the service.

        :param per_s: requests a second that a cold target may get; 0 for no limit.
        :param warmup_s: time for which a target is cold after its start.
        """
        self.per_s = per_s
        self.warmup_s = warmup_s

    @property
    def remaining_s(self) -> float:
        """Time until the target is warm."""
        return max(0, self.until - time.monotonic())

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that the target may get now; ``None`` if it is warm."""
        return self.per_s if self.per_s and self.remaining_s else None

    def begin(self, remaining_s: float | None = None) -> None:
        """Record that the target may have started anew.

        :param remaining_s: how long it says that it stays cold; ``None`` if unknown.
        """
        duration_s = self.warmup_s if remaining_s is None else remaining_s
        self.until = time.monotonic() + duration_s

    def extend(self, remaining_s: float) -> None:
        """Apply a status report, which may be late.

        :param remaining_s: how long the target stays cold.
        """
        self.until = max(self.until, time.monotonic() + remaining_s)

    def replace(self, remaining_s: float) -> None:
        """Apply a health answer, which is current.

        :param remaining_s: how long the target stays cold.
        """
        self.until = time.monotonic() + remaining_s
