"""Order of a gate's queue, its waits and its advice to retry, by the cost of delay.

Lanes are compared by the cost of their first requests, so that each decision looks at
a few lanes, not at all requests. Requests of one lane differ only by deadline and
tenant.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import random
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping

from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.delay_cost import DelayCost, RunTime, RunTimes, delay_cost
from lavendermountd.gate.fair_queue import FairQueue
from lavendermountd.gate.target import Target
from lavendermountd.gate.ticket import LaneKey, Ticket, lane_key

Lanes = Mapping[LaneKey, FairQueue]

# A lane that waits gets at least one of this many starts.
STARTS_PER_TURN = 20
# Share of the estimated wait that must be too long before a request that was already
# accepted is refused: run times vary, and it may still be answered in time.
CERTAIN_WAIT_SHARE = 0.8
MIN_RETRY_AFTER_S = 0.05
# Callers are told to return within this time, so that service is normal again within
# 3 s after a peak.
MAX_RETRY_AFTER_S = 2.0
# Bound on the lanes whose state outlives their requests; the least recently used one
# is dropped.
MAX_LANES = 64


class Booking:
    """Time at which the next refused request of a lane is asked to return."""

    __slots__ = ('return_at', 'rank')

    def __init__(self, return_at: float, rank: float) -> None:
        """Initialize the fields."""
        self.return_at = return_at
        self.rank = rank


class CostOrder:
    """Orders lanes by the cost of delay, and estimates how long requests wait.

    :param priority_of: returns the priority of a lane.
    :param run_times: measured run times.
    :param target: target whose slots the requests wait for.
    """

    __slots__ = ('priority_of', 'run_times', 'target', 'passed_over', 'bookings')

    def __init__(
        self,
        priority_of: Callable[[LaneKey], int],
        run_times: RunTimes,
        target: Target,
    ) -> None:
        """Start without requests that were passed over or refused."""
        self.priority_of = priority_of
        self.run_times = run_times
        self.target = target
        # Starts of other lanes since the last start of each lane.
        self.passed_over: OrderedDict[LaneKey, int] = OrderedDict()
        self.bookings: OrderedDict[LaneKey, Booking] = OrderedDict()

    def run_time(self, call_class: str) -> RunTime:
        """Return the run time of a class; that of the target if it is unknown."""
        return self.run_times.of_class(call_class, self.target.service_ms / MS_PER_S)

    def cost_of(self, ticket: Ticket) -> DelayCost:
        """Compute the cost of delaying a request further."""
        return delay_cost(
            self.priority_of(lane_key(ticket)),
            ticket.times,
            ticket.deadline,
            self.run_time(ticket.call_class),
            time.monotonic(),
        )

    def rank_of(self, ticket: Ticket) -> float:
        """Return the cost that decides who is refused; a higher one is kept."""
        return self.cost_of(ticket).highest_per_slot_s

    def score_of(self, ticket: Ticket) -> float:
        """Return the cost that decides who is served first; the highest one is."""
        return self.cost_of(ticket).per_slot_s

    def sort(self, lanes: Lanes) -> list[LaneKey]:
        """Sort lanes; the first one is served first.

        A lane that was passed over too often comes before all others. It does so
        earlier by the number of lanes, which may all need their turns at once.
        """
        scores = {key: self.score_of(head) for key, head in _heads(lanes).items()}
        ordered = sorted(scores, key=lambda key: (-scores[key], key[0]))
        starved = max(ordered, key=self.passed_over_of, default=None)
        if starved and self.passed_over_of(starved) >= STARTS_PER_TURN - len(ordered):
            ordered.remove(starved)
            ordered.insert(0, starved)
        return ordered

    def passed_over_of(self, key: LaneKey) -> int:
        """Count the starts of other lanes since the last start of a lane."""
        return self.passed_over.get(key, 0)

    def record_arrival(self, ticket: Ticket) -> None:
        """Start counting how often a lane is passed over."""
        self.passed_over.setdefault(lane_key(ticket), 0)
        if len(self.passed_over) > MAX_LANES:
            self.passed_over.popitem(last=False)

    def record_start(self, ticket: Ticket) -> None:
        """Count the start of a request."""
        for key in self.passed_over:
            self.passed_over[key] += 1
        own_key = lane_key(ticket)
        self.passed_over[own_key] = 0
        self.passed_over.move_to_end(own_key)

    def wait_s(self, ticket: Ticket, lanes: Lanes) -> float:
        """Estimate how long a new request waits for a slot."""
        own_key = lane_key(ticket)
        rank = self.rank_of(ticket)
        work_s = sum(
            self.work_s(key, len(lanes[key]))
            for key, head in _heads(lanes).items()
            if key != own_key and self.rank_of(head) >= rank
        )
        lane = lanes.get(own_key)
        ahead = 0 if lane is None else lane.ahead_of_new(ticket.tenant)
        return self.lane_wait_s(own_key, ahead + 1, work_s)

    def work_s(self, key: LaneKey, requests: int) -> float:
        """Return the slot time that a number of requests of a lane needs."""
        return requests * self.run_time(key[0]).mean_s

    def lane_wait_s(self, key: LaneKey, position: int, work_ahead_s: float) -> float:
        """Estimate when a position of a lane gets a slot.

        :param position: 1 for the next request of the lane.
        :param work_ahead_s: slot time that other lanes need before.
        """
        release_s = self.target.service_ms / MS_PER_S
        needed_s = release_s + work_ahead_s + self.work_s(key, position - 1)
        starts = position * STARTS_PER_TURN - self.passed_over_of(key)
        guaranteed_s = max(1, starts) * release_s
        return min(needed_s, guaranteed_s) / max(self.target.slots, 1)

    def is_too_late(self, ticket: Ticket, wait_s: float) -> bool:
        """Whether a request that gets a slot after a wait is not worth the slot."""
        return time.monotonic() + wait_s > self.cost_of(ticket).latest_start

    def late_head(self, lanes: Lanes) -> Ticket | None:
        """Return a request that would be served next, but can't be in time any more.

        The run time of its class may have become longer since it was queued.
        """
        heads = _heads(lanes).values()
        late = (head for head in heads if self.is_too_late(head, wait_s=0))
        return next(late, None)

    def too_late(self, lanes: Lanes, newcomer: Ticket) -> Ticket | None:
        """Return a queued request that a new one has made too late.

        Only the last request of each lane of the same or a lower rank is examined.
        """
        heads = _heads(lanes)
        ranks = {key: self.rank_of(head) for key, head in heads.items()}
        own_rank = ranks[lane_key(newcomer)]
        work_s: float = 0
        for key in sorted(ranks, key=ranks.__getitem__, reverse=True):
            last = lanes[key].last_of_longest()
            wait_s = self.lane_wait_s(key, len(lanes[key]), work_s)
            work_s += self.work_s(key, len(lanes[key]))
            if last is None or last is newcomer or ranks[key] > own_rank:
                continue
            if self.is_too_late(last, wait_s * CERTAIN_WAIT_SHARE):
                return last
        return None

    def retry_after_s(self, ticket: Ticket, lanes: Lanes) -> float:
        """Return when the caller of a refused request should return.

        That is when the queue has room for this kind of work again. Refused requests
        get successive times, each after those of a higher cost, so that they don't
        return together.
        """
        now = time.monotonic()
        rank = self.rank_of(ticket)
        booked = [
            booking.return_at
            for booking in self.bookings.values()
            if booking.rank >= rank
        ]
        return_at = max(now + self.wait_s(ticket, lanes), *booked, now)
        latest = now + MAX_RETRY_AFTER_S
        if return_at > latest:
            return_at = latest - random.random() * MAX_RETRY_AFTER_S / 2
        interval_s = self.run_time(ticket.call_class).mean_s / max(self.target.slots, 1)
        self.book(lane_key(ticket), Booking(return_at + interval_s, rank))
        return max(return_at - now, MIN_RETRY_AFTER_S) + random.random() * interval_s

    def book(self, key: LaneKey, booking: Booking) -> None:
        """Store when the next refused request of a lane is asked to return."""
        self.bookings[key] = booking
        self.bookings.move_to_end(key)
        if len(self.bookings) > MAX_LANES:
            self.bookings.popitem(last=False)


def _heads(lanes: Lanes) -> dict[LaneKey, Ticket]:
    """Return the first request of each lane that has one."""
    heads = {key: lane.first() for key, lane in lanes.items()}
    return {key: head for key, head in heads.items() if head is not None}
