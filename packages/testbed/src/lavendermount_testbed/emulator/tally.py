"""What callers got, by kind of request and by second.

:units: milliseconds for times; worth as the scenario says.
"""

from __future__ import annotations

from collections import defaultdict

import numpy as np

from lavendermount_testbed.emulator.scenario import CallOptions

WORST_SHARE = 0.1
MEDIAN = 50
TAIL = 99
IN_TIME = 'in_time'
LATE = 'late'
REFUSED = 'refused'
FAILED = 'failed'
OUTCOMES = (IN_TIME, LATE, REFUSED, FAILED)


class Tally:
    """Counts outcomes and worth."""

    __slots__ = ('counts', 'elapsed_ms', 'gained', 'offered', 'sent')

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self.elapsed_ms: dict[str, list[float]] = defaultdict(list)
        self.gained: dict[int, float] = defaultdict(float)
        self.offered: dict[int, float] = defaultdict(float)
        self.sent = 0

    def note(
        self, kind: CallOptions, second: int, outcome: str, elapsed_ms: float
    ) -> None:
        """Count one request of a caller.

        :param second: in which it was sent.
        :param outcome: one of ``OUTCOMES``.
        :param elapsed_ms: from its start to its answer.
        """
        worth = {IN_TIME: kind.worth, LATE: kind.late}.get(outcome, 0)
        self.counts[kind.name][outcome] += 1
        self.gained[second] += worth
        self.offered[second] += kind.worth
        if outcome in {IN_TIME, LATE}:
            self.elapsed_ms[kind.name].append(elapsed_ms)

    def worth(self) -> float:
        """Share of all worth that was gained."""
        return sum(self.gained.values()) / max(sum(self.offered.values()), 1)

    def seconds(self) -> list[float]:
        """Share of the worth that was gained, by second."""
        return [
            self.gained[second] / offered
            for second, offered in sorted(self.offered.items())
            if offered
        ]

    def worst(self) -> float:
        """Mean share of the worst tenth of the seconds."""
        shares = sorted(self.seconds())
        few = max(1, round(len(shares) * WORST_SHARE))
        return float(np.mean(shares[:few])) if shares else 0

    def share_of(self, *outcomes: str) -> float:
        """Share of all requests that ended in one of some ways."""
        total = sum(sum(counts.values()) for counts in self.counts.values())
        found = sum(
            counts[name] for counts in self.counts.values() for name in outcomes
        )
        return found / max(total, 1)

    def classes(self) -> dict[str, dict[str, float]]:
        """Figures of each kind of request."""
        return {
            name: {
                **{outcome: counts[outcome] for outcome in OUTCOMES},
                'p50_ms': self.quantile(name, MEDIAN),
                'p99_ms': self.quantile(name, TAIL),
            }
            for name, counts in self.counts.items()
        }

    def quantile(self, name: str, percent: float) -> float:
        """Find a quantile of the answer times of a kind."""
        times = self.elapsed_ms[name]
        return round(float(np.percentile(times, percent)), 1) if times else 0
