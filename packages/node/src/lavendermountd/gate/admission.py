"""Concurrency slots of the target and the queue in front of them.

:units: seconds on the node's monotonic clock; counts of requests.
"""

from __future__ import annotations

from collections import defaultdict

from lavendermount_core.config.preset import ClassOptions
from lavendermountd.gate.cost_order import CostOrder
from lavendermountd.gate.fair_queue import FairQueue
from lavendermountd.gate.rate_limit import RateLimit
from lavendermountd.gate.ticket import LaneKey, Ticket, lane_key


class ClassRule:
    """Admission settings of one request class, from the preset.

    :param name: name of the class.
    :param priority: classes with a lower number are served first.
    :param reserved: slots that other classes must leave free for this class.
    :param queue_limit: maximum number of queued requests of this class.
    """

    __slots__ = ('name', 'priority', 'reserved', 'queue_limit')

    def __init__(
        self,
        name: str,
        priority: int,
        reserved: int,
        queue_limit: int,
    ) -> None:
        """Initialize the fields."""
        self.name = name
        self.priority = priority
        self.reserved = reserved
        self.queue_limit = queue_limit

    @classmethod
    def from_options(cls, options: ClassOptions) -> ClassRule:
        """Create the rule from the class options of a preset."""
        return cls(
            options.name,
            options.priority,
            options.reserved_slots,
            options.queue_limit,
        )


# Largest number that a preset accepts; lower numbers are served first.
LOWEST_PRIORITY = 9
DEFAULT_QUEUE_LIMIT = 12
DEFAULT_RULE = ClassRule('', LOWEST_PRIORITY, 0, DEFAULT_QUEUE_LIMIT)


class Admission:
    """Assigns the target's slots and queues requests that find none free.

    Requests are queued in lanes, one for each class and priority. Lanes are served in
    order of priority, or of the cost of delay. Within a lane, tenants are served in
    turn, and of one tenant the request with the earliest deadline is served first.

    :param slots: requests the target processes concurrently.
    """

    __slots__ = (
        'slots',
        'rate_limit',
        'rules',
        'reserving_rules',
        'priorities',
        'running_by_class',
        'lanes',
        'queued_by_class',
        'exclusive',
        'cost_order',
    )

    def __init__(self, slots: int) -> None:
        """Start with no classes and no requests."""
        self.slots = slots
        self.rate_limit = RateLimit()
        self.rules: dict[str, ClassRule] = {}
        self.reserving_rules: list[ClassRule] = []
        self.priorities: dict[str, int] = {}
        self.running_by_class: dict[str, int] = defaultdict(int)
        self.lanes: dict[LaneKey, FairQueue] = {}
        self.queued_by_class: dict[str, int] = defaultdict(int)
        self.exclusive: Ticket | None = None
        # ``None`` if lanes are served by priority.
        self.cost_order: CostOrder | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return sum(self.running_by_class.values())

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(self.queued_by_class.values())

    def queued_ahead_of(self, ticket: Ticket) -> int:
        """Count the queued requests that are served before a new one.

        :param ticket: a request that is not queued.
        """
        own_key = lane_key(ticket)
        own_priority = self.priority_of(own_key)
        ahead = sum(
            len(lane)
            for key, lane in self.lanes.items()
            if key != own_key and self.priority_of(key) <= own_priority
        )
        own_lane = self.lanes.get(own_key)
        return (
            ahead if own_lane is None else ahead + own_lane.ahead_of_new(ticket.tenant)
        )

    def replace_rules(self, rules: list[ClassRule]) -> None:
        """Replace the class rules; queued requests stay queued."""
        self.rules = {rule.name: rule for rule in rules}
        self.reserving_rules = [rule for rule in rules if rule.reserved]
        self.priorities = {rule.name: rule.priority for rule in rules}

    def rule_of(self, call_class: str) -> ClassRule:
        """Return the rule of a class; unknown classes get the lowest priority."""
        return self.rules.get(call_class, DEFAULT_RULE)

    def has_room(self, ticket: Ticket) -> bool:
        """Whether a request may take a slot now.

        :param ticket: the request.
        """
        if self.exclusive is not None or not self.rate_limit.has_token():
            return False
        busy = self.in_flight
        if ticket.is_exclusive:
            return busy == 0
        free = self.slots - busy
        if free <= 0:
            return False
        name = ticket.call_class
        if self.running_by_class[name] < self.rule_of(name).reserved:
            return True
        # Even if every slot is reserved, any class may use a slot of an idle target.
        return free > min(self.slots_reserved_for_others(name), self.slots - 1)

    def slots_reserved_for_others(self, call_class: str) -> int:
        """Count the unused reserved slots that a class must leave to other classes."""
        return sum(
            max(0, rule.reserved - self.running_by_class[rule.name])
            for rule in self.reserving_rules
            if rule.name != call_class
        )

    def try_start(self, ticket: Ticket) -> bool:
        """Take a slot immediately unless that would bypass a queued request.

        A released slot is given to queued requests first, so an arriving request
        gets it only if no queued request may take it. The exception is a queued
        exclusive request, which needs all slots free; it is checked for here. A
        change of ``slots`` or of the rules starts no queued requests until the
        next release.

        :param ticket: a request that just arrived.
        :returns: whether the request now holds a slot.
        """
        if self.is_exclusive_waiting() or not self.has_room(ticket):
            return False
        self.occupy(ticket)
        return True

    def is_exclusive_waiting(self) -> bool:
        """Whether the first queued request of any lane is exclusive."""
        heads = (lane.first() for lane in self.lanes.values())
        return any(head is not None and head.is_exclusive for head in heads)

    def occupy(self, ticket: Ticket) -> None:
        """Mark a slot as taken by a request."""
        self.rate_limit.take()
        if self.cost_order is not None:
            self.cost_order.record_start(ticket)
        self.running_by_class[ticket.call_class] += 1
        if ticket.is_exclusive:
            self.exclusive = ticket

    def is_full_for(self, ticket: Ticket) -> bool:
        """Whether the queue of the class has no place for another request."""
        name = ticket.call_class
        return self.queued_by_class.get(name, 0) >= self.rule_of(name).queue_limit

    def enqueue(self, ticket: Ticket) -> bool:
        """Add a request to the queue unless that of its class is full.

        :param ticket: a request that found no free slot.
        :returns: whether the request was queued.
        """
        if self.is_full_for(ticket):
            return False
        self.lanes.setdefault(lane_key(ticket), FairQueue()).add(ticket)
        self.queued_by_class[ticket.call_class] += 1
        return True

    def displace_for(self, ticket: Ticket) -> Ticket | None:
        """Remove a queued request that must give its place to a new one.

        It belongs to the same class and ranks lower, or to a tenant that has at least
        two more queued requests: that tenant would otherwise keep the others out of
        a full queue.

        :param ticket: a request for whose class the queue is full.
        :returns: the removed request; ``None`` if there is none.
        """
        lasts = [
            lane.last_of_longest()
            for key, lane in self.lanes.items()
            if key[0] == ticket.call_class
        ]
        victim = min(filter(None, lasts), key=self.rank_of, default=None)
        if victim is None or self.rank_of(victim) > self.rank_of(ticket):
            return None
        if self.rank_of(victim) == self.rank_of(ticket):
            lane = self.lanes[lane_key(victim)]
            if lane.longest < lane.length_of(ticket.tenant) + 2:
                return None
        self.remove(victim)
        return victim

    def rank_of(self, ticket: Ticket) -> float:
        """Return the rank that decides who is refused; a higher one is kept."""
        if self.cost_order is not None:
            return self.cost_order.rank_of(ticket)
        return -self.priority_of(lane_key(ticket))

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the queue before it got a slot."""
        ticket.is_removed = True
        key = lane_key(ticket)
        lane = self.lanes.get(key)
        if lane is not None and lane.remove(ticket):
            self.record_dequeued(key, lane)

    def record_dequeued(self, key: LaneKey, lane: FairQueue) -> None:
        """Count a request that has left a lane, and drop an empty lane."""
        self.queued_by_class[key[0]] -= 1
        if not self.queued_by_class[key[0]]:
            self.queued_by_class.pop(key[0])
        if not lane:
            self.lanes.pop(key)

    def remove_waiting(self, is_limited_wait_only: bool = False) -> list[Ticket]:
        """Remove queued requests.

        :param is_limited_wait_only: whether to keep the requests that may wait
            until their deadline.
        :returns: the removed requests.
        """
        removed = [
            ticket
            for lane in self.lanes.values()
            for ticket in lane
            if ticket.patience_s or not is_limited_wait_only
        ]
        for ticket in removed:
            self.remove(ticket)
        return removed

    def release(self, ticket: Ticket) -> list[Ticket]:
        """Free the slot of a request and start queued requests.

        :param ticket: the request that ended.
        :returns: the requests that were given a slot, in order.
        """
        self.running_by_class[ticket.call_class] -= 1
        if self.exclusive is ticket:
            self.exclusive = None
        return self.start_waiting()

    def start_waiting(self) -> list[Ticket]:
        """Give free slots to as many queued requests as possible.

        :returns: the requests that were given a slot, in order.
        """
        started: list[Ticket] = []
        while True:
            ticket = self.pop_next()
            if ticket is None:
                return started
            self.occupy(ticket)
            started.append(ticket)

    def pop_next(self) -> Ticket | None:
        """Remove and return the next queued request that may take a slot.

        An exclusive request that has to wait blocks all lanes after its own,
        because it can start only once every slot is free.
        """
        for key in self.lanes_in_order():
            lane = self.lanes[key]
            head = lane.first()
            if head is None:
                continue
            if self.has_room(head):
                lane.pop_first()
                self.record_dequeued(key, lane)
                return head
            if head.is_exclusive:
                return None
        return None

    def lanes_in_order(self) -> list[LaneKey]:
        """List the lanes that have queued requests; the first is served first."""
        if self.cost_order is not None:
            return self.cost_order.sort(self.lanes)
        return sorted(self.lanes, key=self.sort_key_of)

    def sort_key_of(self, key: LaneKey) -> tuple[int, int, str]:
        """Sort key that orders lanes by priority, then by that of the class."""
        return self.priority_of(key), self.rule_of(key[0]).priority, key[0]

    def priority_of(self, key: LaneKey) -> int:
        """Return the priority of a lane."""
        name, priority = key
        return self.rule_of(name).priority if priority is None else priority


def wait_cause(admission: Admission, ticket: Ticket) -> str:
    """Name for the log what a request that finds no slot has to wait for."""
    if ticket.is_exclusive or admission.exclusive is not None:
        return 'exclusive-run'
    if not admission.rate_limit.has_token():
        return 'rate-limit'
    if admission.in_flight >= admission.slots:
        return 'busy-slots'
    return 'earlier-request' if admission.has_room(ticket) else 'reserved-slots'
