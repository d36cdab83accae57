"""Finds the most urgent class among those that use a target.

This matters under overload, when not all requests can be answered by their due
time. A request of the most urgent class is refused only if it would miss its
deadline, not its due time: it is served first anyway, and it is often part of an
outer request that has already caused work on other targets. Requests of other
classes are refused as soon as they can't be answered by their due time, so that
they don't delay others.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict

HALF_LIFE_S = 5.0
MIN_RUN_TIME_SHARE = 0.05


class ClassServiceTime:
    """Recent run time on a target by class, with exponential decay."""

    __slots__ = ('spent_s', 'decayed_at')

    def __init__(self) -> None:
        """Create empty sums."""
        self.spent_s: dict[str, float] = defaultdict(float)
        self.decayed_at = time.monotonic()

    def add(self, call_class: str, ran_s: float, now: float) -> None:
        """Add the run time of a request that ended.

        :param ran_s: run time of the request.
        :param now: current time.
        """
        decay = math.exp2((self.decayed_at - now) / HALF_LIFE_S)
        for name in self.spent_s:
            self.spent_s[name] *= decay
        self.decayed_at = now
        self.spent_s[call_class] += ran_s

    def is_most_urgent(
        self,
        call_class: str,
        priorities: dict[str, int],
        own_priority: int | None = None,
    ) -> bool:
        """Whether no class with a relevant share of the run time has a higher priority.

        A share is relevant from ``MIN_RUN_TIME_SHARE`` on. A class without a rule is
        never the most urgent one.

        :param call_class: name of the class.
        :param priorities: priority by class; a lower number is served first.
        :param own_priority: priority of the request instead of that of its class;
            ``None`` for that of the class.
        """
        min_s = MIN_RUN_TIME_SHARE * sum(self.spent_s.values())
        priority = priorities.get(call_class) if own_priority is None else own_priority
        if priority is None:
            return False
        return all(
            priorities.get(name, priority) >= priority
            for name, spent_s in self.spent_s.items()
            if spent_s >= min_s
        )
