"""Concurrency slots of the target and the queue in front of them.

:units: seconds on the node's monotonic clock; counts of requests.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import defaultdict
from itertools import count

from lavendermount_core.config.preset import ClassOptions
from lavendermountd.gate.rate_limit import RateLimit


class Ticket:
    """A request that asks for a slot.

    :param call_class: name of the request's class.
    :param deadline: time after which a reply is useless to the caller.
    :param is_exclusive: whether the request must run alone on the target.
    :param patience_s: longest wait for a slot while another target may accept
        the request; 0 to wait until the deadline.
    """

    __slots__ = (
        'call_class',
        'deadline',
        'is_exclusive',
        'patience_s',
        'is_removed',
        'slot_granted',
    )

    def __init__(
        self,
        call_class: str,
        deadline: float,
        is_exclusive: bool = False,
        patience_s: float = 0,
    ) -> None:
        """Create a ticket that is not queued."""
        self.call_class = call_class
        self.deadline = deadline
        self.is_exclusive = is_exclusive
        self.patience_s = patience_s
        self.is_removed = False
        # Set to ``True`` once the queued request holds a slot, or to ``False`` if it
        # is refused.
        self.slot_granted: asyncio.Future[bool] | None = None


HeapEntry = tuple[float, int, Ticket]


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

    Classes are served in order of priority. Within a class, the request with
    the earliest deadline is served first.

    :param slots: requests the target processes concurrently.
    """

    __slots__ = (
        'slots',
        'rate_limit',
        'rules',
        'reserving_rules',
        'priorities',
        'running_by_class',
        'waiting',
        'exclusive',
        'tie_breaker',
    )

    def __init__(self, slots: int) -> None:
        """Start with no classes and no requests."""
        self.slots = slots
        self.rate_limit = RateLimit()
        self.rules: dict[str, ClassRule] = {}
        self.reserving_rules: list[ClassRule] = []
        self.priorities: dict[str, int] = {}
        self.running_by_class: dict[str, int] = defaultdict(int)
        self.waiting: dict[str, list[HeapEntry]] = {}
        self.exclusive: Ticket | None = None
        self.tie_breaker = count()

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return sum(self.running_by_class.values())

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(self.queued_in_class(name) for name in self.waiting)

    def queued_in_class(self, call_class: str) -> int:
        """Count the queued requests of one class."""
        heap = self.waiting.get(call_class, ())
        return sum(1 for entry in heap if not entry[2].is_removed)

    def queued_ahead_of(self, call_class: str) -> int:
        """Count the queued requests that are served before a new one of a class."""
        priority = self.rule_of(call_class).priority
        return sum(
            self.queued_in_class(name)
            for name in self.waiting
            if self.rule_of(name).priority <= priority
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
        """Whether the first queued request of any class is exclusive."""
        heads = (self.first_waiting(name) for name in self.waiting)
        return any(head is not None and head.is_exclusive for head in heads)

    def occupy(self, ticket: Ticket) -> None:
        """Mark a slot as taken by a request."""
        self.rate_limit.take()
        self.running_by_class[ticket.call_class] += 1
        if ticket.is_exclusive:
            self.exclusive = ticket

    def enqueue(self, ticket: Ticket) -> bool:
        """Add a request to the queue of its class unless the queue is full.

        :param ticket: a request that found no free slot.
        :returns: whether the request was queued.
        """
        name = ticket.call_class
        if self.queued_in_class(name) >= self.rule_of(name).queue_limit:
            return False
        heap = self.waiting.setdefault(name, [])
        heapq.heappush(heap, (ticket.deadline, next(self.tie_breaker), ticket))
        return True

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the queue before it got a slot."""
        ticket.is_removed = True

    def remove_waiting(self, is_limited_wait_only: bool = False) -> list[Ticket]:
        """Remove queued requests.

        :param is_limited_wait_only: whether to keep the requests that may wait
            until their deadline.
        :returns: the removed requests.
        """
        entries = [entry for heap in self.waiting.values() for entry in heap]
        removed = [
            ticket
            for _, _, ticket in entries
            if not ticket.is_removed and (ticket.patience_s or not is_limited_wait_only)
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

        An exclusive request that has to wait blocks all classes after its own,
        because it can start only once every slot is free.
        """
        for name in sorted(self.waiting, key=self.sort_key_of):
            head = self.first_waiting(name)
            if head is None:
                continue
            if self.has_room(head):
                heapq.heappop(self.waiting[name])
                return head
            if head.is_exclusive:
                return None
        return None

    def sort_key_of(self, call_class: str) -> tuple[int, str]:
        """Sort key that orders classes by priority, then by name."""
        return self.rule_of(call_class).priority, call_class

    def first_waiting(self, call_class: str) -> Ticket | None:
        """Return the first queued request of a class, dropping removed ones."""
        heap = self.waiting[call_class]
        while heap and heap[0][2].is_removed:
            heapq.heappop(heap)
        return heap[0][2] if heap else None
