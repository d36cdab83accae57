"""Queue that serves tenants in turn, weighted by the work of their requests.

Tenants are served by deficit round robin: at its turn a tenant earns the work of one
average request, and is served until its requests have used up what it earned. One
that sends far more than usual thus takes only what others leave. The requests of one
tenant are ordered by deadline.

Only tenants with queued requests have state here, so it is bounded by the limit of
the queue. Each operation takes logarithmic time, apart from moving list entries;
passing over a tenant is paid for by the request that put it into debt.

:units: work relative to that of an average request of the class.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict, defaultdict
from collections.abc import Iterator

from lavendermountd.gate.ticket import Ticket

QUANTUM = 1.0
# Bounds of the work that a request is charged. Their ratio is the largest ratio of
# the rates at which two waiting tenants are served.
MIN_WORK = 0.5
MAX_WORK = 2.0

Entry = tuple[float, int, Ticket]


class TenantQueue:
    """Queued requests of one tenant by deadline, and the work it may still use."""

    __slots__ = ('entries', 'credit')

    def __init__(self) -> None:
        """Start without requests and without credit."""
        self.entries: list[Entry] = []
        self.credit: float = 0


class FairQueue:
    """Queued requests of one class and priority."""

    __slots__ = ('tenants', 'by_length', 'longest', 'size')

    def __init__(self) -> None:
        """Start without requests."""
        # In the order of their turns; the first tenant is served next.
        self.tenants: OrderedDict[str, TenantQueue] = OrderedDict()
        # Tenants by the number of their queued requests.
        self.by_length: dict[int, dict[str, None]] = defaultdict(dict)
        self.longest = 0
        self.size = 0

    def __len__(self) -> int:
        """Count the queued requests."""
        return self.size

    def __iter__(self) -> Iterator[Ticket]:
        """List the queued requests by tenant."""
        for queue in self.tenants.values():
            for _, _, ticket in queue.entries:
                yield ticket

    def length_of(self, tenant: str) -> int:
        """Count the queued requests of one tenant."""
        queue = self.tenants.get(tenant)
        return 0 if queue is None else len(queue.entries)

    def ahead_of_new(self, tenant: str) -> int:
        """Estimate how many queued requests start before a new one of a tenant.

        All of its own do, and as many of each other tenant, but no more than are
        queued.
        """
        own = self.length_of(tenant)
        others = len(self.tenants) - (tenant in self.tenants)
        return min(self.size, own + (own + 1) * others)

    def add(self, ticket: Ticket) -> None:
        """Add a request; a tenant that had none gets the last turn."""
        queue = self.tenants.get(ticket.tenant)
        if queue is None:
            queue = TenantQueue()
            self.tenants[ticket.tenant] = queue
        insort(queue.entries, _entry_of(ticket))
        self.change_length(ticket.tenant, len(queue.entries) - 1, len(queue.entries))

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request.

        :returns: whether it was queued.
        """
        queue = self.tenants.get(ticket.tenant)
        if queue is None:
            return False
        entry = _entry_of(ticket)
        index = bisect_left(queue.entries, entry)
        if queue.entries[index : index + 1] != [entry]:
            return False
        queue.entries.pop(index)
        length = len(queue.entries)
        self.change_length(ticket.tenant, length + 1, length)
        if not length:
            self.tenants.pop(ticket.tenant)
        return True

    def first(self) -> Ticket | None:
        """Return the request that is served next; it stays queued."""
        if not self.tenants:
            return None
        name, queue = next(iter(self.tenants.items()))
        while len(self.tenants) > 1 and queue.credit <= 0:
            queue.credit += QUANTUM
            if queue.credit > 0:
                break
            self.tenants.move_to_end(name)
            name, queue = next(iter(self.tenants.items()))
        return queue.entries[0][2]

    def pop_first(self) -> Ticket | None:
        """Remove and return the request that is served next, and charge its work."""
        ticket = self.first()
        if ticket is None:
            return None
        queue = self.tenants[ticket.tenant]
        self.remove(ticket)
        if queue.entries and len(self.tenants) > 1:
            queue.credit -= min(max(ticket.work, MIN_WORK), MAX_WORK)
            if queue.credit <= 0:
                self.tenants.move_to_end(ticket.tenant)
        return ticket

    def last_of_longest(self) -> Ticket | None:
        """Return the request with the latest deadline of the tenant with the most."""
        if not self.size:
            return None
        name = next(iter(self.by_length[self.longest]))
        queue = self.tenants[name]
        return queue.entries[-1][2]

    def change_length(self, tenant: str, before: int, after: int) -> None:
        """Update the counts after one request was added or removed."""
        self.size += after - before
        tenants = self.by_length[before]
        tenants.pop(tenant, None)
        if not tenants:
            self.by_length.pop(before)
        if after:
            self.by_length[after][tenant] = None
        if after > self.longest or (before == self.longest and not tenants):
            self.longest = after


def _entry_of(ticket: Ticket) -> Entry:
    return ticket.deadline, ticket.number, ticket
