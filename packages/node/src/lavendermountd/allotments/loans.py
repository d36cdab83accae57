"""Rate that owners of different zones lend each other.

:units: requests a second; seconds on a clock that counts suspended time.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermountd.allotments.zone_owners import LEASE_S

# A lender keeps its rate lowered for longer than the lease, so that clocks of
# slightly different speed don't make both use the same rate.
LENDER_MARGIN_S = 1.0


class Loans:
    """Rates of one tenant, each until it expires."""

    __slots__ = ('entries',)

    def __init__(self) -> None:
        """Start without loans."""
        self.entries: list[tuple[float, float]] = []

    def add(self, ends_at: float, rate_per_s: float) -> None:
        """Add a loan."""
        self.entries.append((ends_at, rate_per_s))

    def total_per_s(self, now: float) -> float:
        """Return the sum of the rates that have not expired."""
        self.entries = [entry for entry in self.entries if entry[0] > now]
        return sum(rate_per_s for _, rate_per_s in self.entries)


class LoanLedger:
    """Rates that this node has lent and borrowed as owner, by tenant.

    :param clock: returns the current time.
    """

    __slots__ = ('clock', 'lent', 'borrowed')

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without loans."""
        self.clock = clock
        self.lent: dict[str, Loans] = {}
        self.borrowed: dict[str, Loans] = {}

    def lent_per_s(self, tenant: str) -> float:
        """Return the rate that is lent to other zones."""
        return self.total_per_s(self.lent, tenant)

    def borrowed_per_s(self, tenant: str) -> float:
        """Return the rate that is borrowed from other zones."""
        return self.total_per_s(self.borrowed, tenant)

    def total_per_s(self, loans: dict[str, Loans], tenant: str) -> float:
        """Return the sum of the loans of a tenant; forget those that have expired."""
        found = loans.get(tenant)
        if found is None:
            return 0
        total_per_s = found.total_per_s(self.clock())
        if not found.entries:
            loans.pop(tenant)
        return total_per_s

    def lend(self, tenant: str, rate_per_s: float) -> None:
        """Record a loan to another zone, before it is answered."""
        ends_at = self.clock() + LEASE_S + LENDER_MARGIN_S
        self.lent.setdefault(tenant, Loans()).add(ends_at, rate_per_s)

    def borrow(self, tenant: str, rate_per_s: float, asked_at: float) -> None:
        """Record a loan from another zone.

        :param asked_at: time at which it was asked for; the lease starts then.
        """
        self.borrowed.setdefault(tenant, Loans()).add(asked_at + LEASE_S, rate_per_s)

    def drop_borrowed(self) -> None:
        """Drop all leases: after a freeze, their time may be over."""
        self.borrowed.clear()
