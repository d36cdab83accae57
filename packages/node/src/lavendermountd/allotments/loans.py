"""Rate that owners of different zones lend each other.

:units: requests a second; seconds on a clock that counts suspended time.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermountd.allotments.zone_owners import LEASE_S

# A lender keeps its rate lowered for longer than the lease, so that clocks of
# slightly different speed don't make both use the same rate.
LENDER_MARGIN_S = 1.0


class Loan:
    """Rate that is lent until a time.

    :param rate_per_s: the rate.
    :param ends_at: time at which it expires.
    """

    __slots__ = ('rate_per_s', 'ends_at')

    def __init__(self, rate_per_s: float, ends_at: float) -> None:
        """Initialize the fields."""
        self.rate_per_s = rate_per_s
        self.ends_at = ends_at


LoansByNode = dict[str, list[Loan]]


class LoanLedger:
    """Rates that this node has lent and borrowed as owner, by tenant.

    A renewed loan replaces the earlier one of the same borrower. The lender does not
    know which of the two the borrower uses, as its answer may be lost; it counts the
    higher rate until both have expired.

    :param clock: returns the current time.
    """

    __slots__ = ('clock', 'lent', 'borrowed')

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without loans."""
        self.clock = clock
        # By tenant and node that borrows.
        self.lent: dict[str, LoansByNode] = {}
        # By tenant and zone that lends.
        self.borrowed: dict[str, dict[str, Loan]] = {}

    def lent_per_s(self, tenant: str, except_to: str = '') -> float:
        """Return the rate that is lent to other zones.

        :param except_to: node whose loans don't count, as they are being renewed.
        """
        total_per_s: float = 0
        by_borrower = self.lent.get(tenant, {})
        for borrower, loans in tuple(by_borrower.items()):
            active = [loan for loan in loans if loan.ends_at > self.clock()]
            by_borrower[borrower] = active
            if not active:
                by_borrower.pop(borrower)
            elif borrower != except_to:
                total_per_s += max(loan.rate_per_s for loan in active)
        return total_per_s

    def borrowed_per_s(self, tenant: str, margin_s: float = 0) -> float:
        """Return the rate that is borrowed from other zones.

        :param margin_s: time for which the lease must still last.
        """
        earliest = self.clock() + margin_s
        return sum(
            loan.rate_per_s
            for loan in self.borrowed.get(tenant, {}).values()
            if loan.ends_at > earliest
        )

    def is_borrowing_from(self, tenant: str, zone: str, margin_s: float) -> bool:
        """Return whether a zone lends rate for longer than a time."""
        loan = self.borrowed.get(tenant, {}).get(zone)
        return loan is not None and loan.ends_at > self.clock() + margin_s

    def lend(self, tenant: str, rate_per_s: float, borrower: str) -> None:
        """Record a loan to another zone, before it is answered."""
        loan = Loan(rate_per_s, self.clock() + LEASE_S + LENDER_MARGIN_S)
        self.lent.setdefault(tenant, {}).setdefault(borrower, []).append(loan)

    def borrow(
        self, tenant: str, rate_per_s: float, zone: str, asked_at: float
    ) -> None:
        """Record a loan from another zone; it replaces an earlier one of that zone.

        :param asked_at: time at which it was asked for; the lease starts then.
        """
        loans = self.borrowed.setdefault(tenant, {})
        earlier = loans.get(zone)
        ends_at = asked_at + LEASE_S
        if earlier is None or earlier.ends_at < ends_at:
            loans[zone] = Loan(rate_per_s, ends_at)

    def drop_borrowed(self) -> None:
        """Drop all leases: after a freeze, their time may be over."""
        self.borrowed.clear()
