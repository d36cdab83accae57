"""Slots of the target and the short queue in front of them.

:units: seconds on the node's monotonic clock; counts of requests.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import defaultdict
from itertools import count

from lavendermount_core.config.preset import ClassOptions


class Ticket:
    """A request's place in the queue.

    :param call_class: name of its class.
    :param deadline: when its answer is worth nothing.
    :param is_exclusive: whether it must run alone.
    :param patience_s: how long it may wait here while other targets might take
        it; 0 if it waits until its deadline.
    """

    __slots__ = (
        'call_class',
        'deadline',
        'is_exclusive',
        'patience_s',
        'is_removed',
        'started',
    )

    def __init__(
        self,
        call_class: str,
        deadline: float,
        is_exclusive: bool = False,
        patience_s: float = 0,
    ) -> None:
        """Start outside the queue."""
        self.call_class = call_class
        self.deadline = deadline
        self.is_exclusive = is_exclusive
        self.patience_s = patience_s
        self.is_removed = False
        self.started: asyncio.Future[bool] | None = None


HeapEntry = tuple[float, int, Ticket]


class ClassRule:
    """What the preset says of one class.

    :param name: name of the class.
    :param priority: lower goes first.
    :param reserved: slots that other classes leave free for it.
    :param queue_limit: tickets of it that may wait.
    """

    __slots__ = ('name', 'priority', 'reserved', 'queue_limit')

    def __init__(
        self,
        name: str,
        priority: int,
        reserved: int,
        queue_limit: int,
    ) -> None:
        """Keep the fields as given."""
        self.name = name
        self.priority = priority
        self.reserved = reserved
        self.queue_limit = queue_limit

    @classmethod
    def from_options(cls, options: ClassOptions) -> ClassRule:
        """Read the rule from the preset."""
        return cls(
            options.name,
            options.priority,
            options.reserved_slots,
            options.queue_limit,
        )


LAST_PRIORITY = 9
DEFAULT_QUEUE_LIMIT = 12
DEFAULT_RULE = ClassRule('', LAST_PRIORITY, 0, DEFAULT_QUEUE_LIMIT)


class Admission:
    """Decides which request takes a slot, and which one waits.

    Classes are served in order of priority; within a class the earliest
    deadline goes first.

    :param slots: requests the target works on at once.
    """

    __slots__ = (
        'slots',
        'rules',
        'reserving_rules',
        'priorities',
        'running',
        'waiting',
        'exclusive',
        'tie_breaker',
    )

    def __init__(self, slots: int) -> None:
        """Start with no classes and nothing running."""
        self.slots = slots
        self.rules: dict[str, ClassRule] = {}
        self.reserving_rules: list[ClassRule] = []
        self.priorities: dict[str, int] = {}
        self.running: dict[str, int] = defaultdict(int)
        self.waiting: dict[str, list[HeapEntry]] = {}
        self.exclusive: Ticket | None = None
        self.tie_breaker = count()

    @property
    def in_flight(self) -> int:
        """Requests the target works on."""
        return sum(self.running.values())

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return sum(self.queued_in_class(name) for name in self.waiting)

    def queued_in_class(self, call_class: str) -> int:
        """Count the requests of one class that wait for a slot."""
        heap = self.waiting.get(call_class, ())
        return sum(1 for entry in heap if not entry[2].is_removed)

    def queued_ahead_of(self, call_class: str) -> int:
        """Count the waiting requests that go before a new one of a class."""
        priority = self.rule_of(call_class).priority
        return sum(
            self.queued_in_class(name)
            for name in self.waiting
            if self.rule_of(name).priority <= priority
        )

    def take_rules(self, rules: list[ClassRule]) -> None:
        """Take over the classes of a preset; waiting requests stay."""
        self.rules = {rule.name: rule for rule in rules}
        self.reserving_rules = [rule for rule in rules if rule.reserved]
        self.priorities = {rule.name: rule.priority for rule in rules}

    def rule_of(self, call_class: str) -> ClassRule:
        """Find the rule of a class; an unknown class goes last."""
        return self.rules.get(call_class, DEFAULT_RULE)

    def has_room(self, ticket: Ticket) -> bool:
        """Whether a request may take a slot now.

        :param ticket: its place in the queue.
        """
        if self.exclusive is not None:
            return False
        busy = self.in_flight
        if ticket.is_exclusive:
            return busy == 0
        free = self.slots - busy
        if free <= 0:
            return False
        name = ticket.call_class
        if self.running[name] < self.rule_of(name).reserved:
            return True
        return free > min(self.slots_reserved_for_others(name), self.slots - 1)

    def slots_reserved_for_others(self, call_class: str) -> int:
        """Slots that one class must leave free for the others."""
        return sum(
            max(0, rule.reserved - self.running[rule.name])
            for rule in self.reserving_rules
            if rule.name != call_class
        )

    def try_start(self, ticket: Ticket) -> bool:
        """Take a slot at once if there is one that nobody waits for.

        Whoever waits found no room, and whatever gives room starts those who
        wait; so only a request that must run alone can be overtaken here.

        :param ticket: a request that just arrived.
        :returns: whether it may run now.
        """
        if self.is_exclusive_waiting() or not self.has_room(ticket):
            return False
        self.occupy(ticket)
        return True

    def is_exclusive_waiting(self) -> bool:
        """Whether a request that must run alone is first in its class."""
        heads = (self.first_waiting(name) for name in self.waiting)
        return any(head is not None and head.is_exclusive for head in heads)

    def occupy(self, ticket: Ticket) -> None:
        """Occupy a slot."""
        self.running[ticket.call_class] += 1
        if ticket.is_exclusive:
            self.exclusive = ticket

    def wait(self, ticket: Ticket) -> bool:
        """Join the queue unless it is full.

        :param ticket: a request that found no slot.
        :returns: whether it waits now.
        """
        name = ticket.call_class
        if self.queued_in_class(name) >= self.rule_of(name).queue_limit:
            return False
        heap = self.waiting.setdefault(name, [])
        heapq.heappush(heap, (ticket.deadline, next(self.tie_breaker), ticket))
        return True

    def remove(self, ticket: Ticket) -> None:
        """Leave the queue without having run."""
        ticket.is_removed = True

    def remove_waiting(self, is_limited_wait_only: bool = False) -> list[Ticket]:
        """Take requests out of the queue.

        :param is_limited_wait_only: whether those that wait until their deadline
            stay.
        :returns: the requests that wait no longer.
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
        """Give a slot back.

        :param ticket: the request that ended.
        :returns: the waiting requests that run now, in order.
        """
        self.running[ticket.call_class] -= 1
        if self.exclusive is ticket:
            self.exclusive = None
        return self.start_waiting()

    def start_waiting(self) -> list[Ticket]:
        """Start as many waiting requests as there is room for.

        :returns: those that run now, in order.
        """
        started: list[Ticket] = []
        while True:
            ticket = self.pop_next()
            if ticket is None:
                return started
            self.occupy(ticket)
            started.append(ticket)

    def pop_next(self) -> Ticket | None:
        """Remove the next request that may take a slot.

        A request that must run alone holds back those of later classes.
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
        """Order of a class in the queue."""
        return self.rule_of(call_class).priority, call_class

    def first_waiting(self, call_class: str) -> Ticket | None:
        """First waiting request of a class."""
        heap = self.waiting[call_class]
        while heap and heap[0][2].is_removed:
            heapq.heappop(heap)
        return heap[0][2] if heap else None
