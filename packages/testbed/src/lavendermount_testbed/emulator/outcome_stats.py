"""Statistics of request outcomes, by call type and by second.

:units: milliseconds for times; worth as defined by the scenario.
"""

from __future__ import annotations

from collections import defaultdict

import numpy as np

from lavendermount_testbed.emulator.scenario import CallOptions

WORST_SECONDS_FRACTION = 0.1
MEDIAN_PERCENT = 50
TAIL_PERCENT = 99
IN_TIME = 'in_time'
LATE = 'late'
REFUSED = 'refused'
FAILED = 'failed'
OUTCOMES = (IN_TIME, LATE, REFUSED, FAILED)


class OutcomeStats:
    """Counts outcomes and sums up the worth that callers gained.

    ``sent`` counts every send, retries included; the other figures count a request
    with all its retries once.
    """

    __slots__ = ('counts', 'elapsed_ms', 'gained_worth', 'possible_worth', 'sent')

    def __init__(self) -> None:
        """Start with empty statistics."""
        self.counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        self.elapsed_ms: dict[str, list[float]] = defaultdict(list)
        self.gained_worth: dict[int, float] = defaultdict(float)
        self.possible_worth: dict[int, float] = defaultdict(float)
        self.sent = 0

    def record(
        self, call_type: CallOptions, second: int, outcome: str, elapsed_ms: float
    ) -> None:
        """Record one request of a caller, after its last retry.

        :param second: second of the run in which it was first sent.
        :param outcome: one of ``OUTCOMES``.
        :param elapsed_ms: time from the first send to the final outcome.
        """
        worth = {IN_TIME: call_type.worth, LATE: call_type.late}.get(outcome, 0)
        self.counts[call_type.name][outcome] += 1
        self.gained_worth[second] += worth
        self.possible_worth[second] += call_type.worth
        if outcome in {IN_TIME, LATE}:
            self.elapsed_ms[call_type.name].append(elapsed_ms)

    def worth_share(self) -> float:
        """Return the share of the possible worth that was gained."""
        return sum(self.gained_worth.values()) / max(
            sum(self.possible_worth.values()), 1
        )

    def worth_share_by_second(self) -> list[float]:
        """Return the share of the possible worth gained in each second.

        Seconds without possible worth are left out.
        """
        return [
            self.gained_worth[second] / possible_worth
            for second, possible_worth in sorted(self.possible_worth.items())
            if possible_worth
        ]

    def worst_seconds_share(self) -> float:
        """Return the mean worth share of the worst tenth of the seconds."""
        shares = sorted(self.worth_share_by_second())
        worst_count = max(1, round(len(shares) * WORST_SECONDS_FRACTION))
        return float(np.mean(shares[:worst_count])) if shares else 0

    def outcome_share(self, *outcomes: str) -> float:
        """Return the share of requests with one of the given outcomes."""
        total = sum(sum(counts.values()) for counts in self.counts.values())
        matching = sum(
            counts[name] for counts in self.counts.values() for name in outcomes
        )
        return matching / max(total, 1)

    def results_by_call_type(self) -> dict[str, dict[str, float]]:
        """Return outcome counts and percentiles of the latency for each call type."""
        return {
            name: {
                **{outcome: counts[outcome] for outcome in OUTCOMES},
                'p50_ms': self.percentile_ms(name, MEDIAN_PERCENT),
                'p99_ms': self.percentile_ms(name, TAIL_PERCENT),
            }
            for name, counts in self.counts.items()
        }

    def percentile_ms(self, name: str, percent: float) -> float:
        """Return a percentile of the latency of a call type; 0 without replies."""
        times = self.elapsed_ms[name]
        return round(float(np.percentile(times, percent)), 1) if times else 0
