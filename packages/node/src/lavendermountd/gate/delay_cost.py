"""Cost of delaying a request, and the run times that it is computed from.

The cost is the value that callers lose if the request waits, for each second of slot
time that it needs. Requests with a low cost wait or are refused first.

:units: seconds; points in time are on the node's monotonic clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TypeVar

Key = TypeVar('Key')

# Factor between the values of answers of adjacent priorities.
PRIORITY_FACTOR = 4.0
# Value of a request that can't be repeated, relative to one that can: its caller has
# no other way to get the answer.
NOT_REPEATABLE_FACTOR = 1.25
# Share of the value that an answer keeps after its due time, until its deadline.
LATE_VALUE_SHARE = 0.25
# Waiting time over which the cost of delay rises by the factor e as the latest start
# of a request approaches. It is about the time that a full target needs to get round
# to a newly arrived request.
URGENCY_S = 0.5
# Standard deviations of the run time that are left between the latest start and the
# due time.
MARGIN_DEVIATIONS = 0.5
MIN_RUN_S = 0.001
SMOOTHING_FACTOR = 0.1
# Bounds on the state; the least recently used entries are dropped.
MAX_CLASSES = 64
MAX_TENANTS = 1024


class RequestTimes:
    """What the cost of delay depends on, apart from priority and run time.

    :param due: time until which the answer has its full value; 0 if there is none.
    :param deadline: time after which the answer is useless.
    :param is_repeatable: whether the request is idempotent.
    """

    __slots__ = ('due', 'deadline', 'is_repeatable')

    def __init__(self, due: float, deadline: float, is_repeatable: bool = True) -> None:
        """Initialize the fields."""
        self.due = due
        self.deadline = deadline
        self.is_repeatable = is_repeatable


class RunTime:
    """Mean and spread of the run times of one kind of request.

    :param mean_s: mean run time.
    :param spread_s: standard deviation.
    """

    __slots__ = ('mean_s', 'spread_s', 'samples')

    def __init__(self, mean_s: float = 0, spread_s: float = 0) -> None:
        """Initialize the fields."""
        self.mean_s = mean_s
        self.spread_s = spread_s
        self.samples = 0

    def add(self, ran_s: float) -> None:
        """Add a sample to the exponentially weighted mean and variance."""
        self.samples += 1
        weight = max(SMOOTHING_FACTOR, 1 / self.samples)
        difference = ran_s - self.mean_s
        self.mean_s += weight * difference
        variance = (1 - weight) * (self.spread_s**2 + weight * difference**2)
        self.spread_s = math.sqrt(variance)


class DelayCost:
    """Cost of delaying one request.

    :param per_slot_s: value lost for each second of slot time, now.
    :param highest_per_slot_s: the same when the latest start has come; it doesn't
        change while the request waits.
    :param latest_start: time after which the request is not worth a slot.
    """

    __slots__ = ('per_slot_s', 'highest_per_slot_s', 'latest_start')

    def __init__(
        self, per_slot_s: float, highest_per_slot_s: float, latest_start: float
    ) -> None:
        """Initialize the fields."""
        self.per_slot_s = per_slot_s
        self.highest_per_slot_s = highest_per_slot_s
        self.latest_start = latest_start


def delay_cost(
    priority: int,
    times: RequestTimes,
    useful_until: float,
    run_time: RunTime,
    now: float,
) -> DelayCost:
    """Compute the cost of delaying a request.

    :param priority: priority of the request; 0 is the highest.
    :param times: due time and deadline, and whether the request is idempotent.
    :param useful_until: time by which it must be answered to be worth a slot.
    :param run_time: measured run time of requests of its class.
    :param now: current time.
    """
    run_s = max(run_time.mean_s, MIN_RUN_S)
    latest_start = useful_until - run_s - MARGIN_DEVIATIONS * run_time.spread_s
    worth = PRIORITY_FACTOR**-priority
    if not times.is_repeatable:
        worth *= NOT_REPEATABLE_FACTOR
    if times.due and times.due < now + run_s:
        worth *= LATE_VALUE_SHARE
    highest = worth / run_s
    urgency = math.exp(-max(0, latest_start - now) / URGENCY_S)
    return DelayCost(highest * urgency, highest, latest_start)


class RunTimes:
    """Measured run times by class, and their means by tenant."""

    __slots__ = ('by_class', 'by_tenant')

    def __init__(self) -> None:
        """Start without samples."""
        self.by_class: OrderedDict[str, RunTime] = OrderedDict()
        self.by_tenant: OrderedDict[tuple[str, str], RunTime] = OrderedDict()

    def add(self, call_class: str, tenant: str, ran_s: float) -> None:
        """Add the run time of a request that the target answered.

        :param tenant: tenant of the request; empty if the preset has no tenants.
        """
        _entry(self.by_class, call_class, MAX_CLASSES).add(ran_s)
        if tenant:
            _entry(self.by_tenant, (call_class, tenant), MAX_TENANTS).add(ran_s)

    def of_class(self, call_class: str, default_s: float) -> RunTime:
        """Return the run time of a class.

        :param default_s: mean run time of a class that has no samples.
        """
        return self.by_class.get(call_class) or RunTime(default_s)

    def relative_work(self, call_class: str, tenant: str) -> float:
        """Return the mean run time of a tenant relative to that of its class."""
        own = self.by_tenant.get((call_class, tenant))
        overall = self.by_class.get(call_class)
        if own is None or overall is None or not overall.mean_s:
            return 1
        return own.mean_s / overall.mean_s


def _entry(table: OrderedDict[Key, RunTime], key: Key, limit: int) -> RunTime:
    """Return the entry of a key, creating it and dropping the oldest if necessary."""
    entry = table.setdefault(key, RunTime())
    table.move_to_end(key)
    if len(table) > limit:
        table.popitem(last=False)
    return entry
