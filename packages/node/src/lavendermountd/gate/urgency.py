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
MIN_SHARE = 0.05


class ClassServiceTime:
    """Time that a target spent on each class of late."""

    __slots__ = ('spent_s', 'decayed_at')

    def __init__(self) -> None:
        """Start with nothing done."""
        self.spent_s: dict[str, float] = defaultdict(float)
        self.decayed_at = time.monotonic()

    def add(self, call_class: str, ran_s: float, now: float) -> None:
        """Add a request that ended.

        :param ran_s: time that it took.
        :param now: the present.
        """
        decay = math.exp2((self.decayed_at - now) / HALF_LIFE_S)
        for name in self.spent_s:
            self.spent_s[name] *= decay
        self.decayed_at = now
        self.spent_s[call_class] += ran_s

    def is_most_urgent(self, call_class: str, priorities: dict[str, int]) -> bool:
        """Whether no class with a share of the work goes before this one.

        :param call_class: name of the class.
        :param priorities: priority by class; lower goes first.
        """
        min_s = MIN_SHARE * sum(self.spent_s.values())
        priority = priorities.get(call_class)
        if priority is None:
            return False
        return all(
            priorities.get(name, priority) >= priority
            for name, spent_s in self.spent_s.items()
            if spent_s >= min_s
        )
