"""Which classes are the most urgent ones that a target works for.

Load this answers: more work than can be answered by the time that it is due.
Work of the most urgent class is given up only when its caller no longer waits:
it goes first anyway, and what called for it has often been at work elsewhere.
Work of other classes is given up as soon as it can't be answered by the time
that it is due, so that it does not make others late.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict

HALF_LIFE_S = 5.0
LEAST_SHARE = 0.05


class ClassWork:
    """Time that a target spent on each class of late."""

    __slots__ = ('spent_s', 'aged_at')

    def __init__(self) -> None:
        """Start with nothing done."""
        self.spent_s: dict[str, float] = defaultdict(float)
        self.aged_at = time.monotonic()

    def add(self, call_class: str, ran_s: float, now: float) -> None:
        """Add a request that ended.

        :param ran_s: time that it took.
        :param now: the present.
        """
        kept = math.exp2((self.aged_at - now) / HALF_LIFE_S)
        for name in self.spent_s:
            self.spent_s[name] *= kept
        self.aged_at = now
        self.spent_s[call_class] += ran_s

    def is_most_urgent(self, call_class: str, priorities: dict[str, int]) -> bool:
        """Whether no class with a share of the work goes before this one.

        :param call_class: name of the class.
        :param priorities: priority by class; lower goes first.
        """
        least_s = LEAST_SHARE * sum(self.spent_s.values())
        own = priorities.get(call_class)
        if own is None:
            return False
        return all(
            priorities.get(name, own) >= own
            for name, spent_s in self.spent_s.items()
            if spent_s >= least_s
        )
