"""Borrows rate from the owners of other zones, on a lease.

:units: requests a second; seconds on a clock that counts suspended time.
:errors: none; a zone that does not answer is tried again later.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable

from lavendermount_core.models.members import Member
from lavendermountd.allotments.owner import MIN_LOAN_PER_S, AllotmentOwner
from lavendermountd.allotments.zone_owners import LEASE_S, choose_owner, is_live
from lavendermountd.peer.frames import LoanAsk, LoanGrant

log = logging.getLogger(__name__)

# A zone that lent nothing, or did not answer, is asked again after this time.
ZONE_PAUSE_S = 2.0
# Time without an answer after which the next zone is asked.
ANSWER_TIMEOUT_S = 0.5
# A loan is renewed when no more than this time of its lease is left.
RENEWAL_S = 1.0
# More is asked for than is missing. The first shortage is seen when the demand just
# exceeds the share, and the same zone is not asked again before its lease ends.
ASK_FACTOR = 2.0
MIN_ASK_PER_S = 1.0


class PendingLoan:
    """A loan that another zone was asked for.

    :param tenant: name of the tenant.
    :param zone: zone that was asked.
    :param rate_per_s: rate that was asked for.
    :param asked_at: time at which it was asked.
    """

    __slots__ = ('tenant', 'zone', 'rate_per_s', 'asked_at')

    def __init__(
        self, tenant: str, zone: str, rate_per_s: float, asked_at: float
    ) -> None:
        """Initialize the fields."""
        self.tenant = tenant
        self.zone = zone
        self.rate_per_s = rate_per_s
        self.asked_at = asked_at


class Borrower:
    """Asks other zones for rate when the own share does not suffice.

    For each tenant, one zone is asked at a time, nearby ones first. Nothing is sent
    unless requests are refused or soon will be.

    :param owner: buckets of the tenants that this node owns.
    :param send: sends a frame to a node.
    """

    __slots__ = ('owner', 'send', 'pending', 'ask_count', 'paused_until')

    def __init__(
        self, owner: AllotmentOwner, send: Callable[[Member, LoanAsk], None]
    ) -> None:
        """Start without loans and listen for shortages."""
        self.owner = owner
        self.send = send
        self.pending: dict[int, PendingLoan] = {}
        self.ask_count = 0
        # Time until which a zone is not asked for rate of a tenant.
        self.paused_until: dict[tuple[str, str], float] = {}
        owner.on_shortage = self.note_shortage

    def note_shortage(self, tenant: str, missing_per_s: float) -> None:
        """Borrow the missing rate, unless it is lent already or being asked for.

        :param missing_per_s: demand that exceeds the zone's own rate.
        """
        now = self.owner.clock()
        lasting_per_s = self.owner.ledger.borrowed_per_s(tenant, RENEWAL_S)
        wanted_per_s = missing_per_s * ASK_FACTOR - lasting_per_s
        if missing_per_s <= lasting_per_s or wanted_per_s < MIN_LOAN_PER_S:
            return
        if self.is_asking(tenant, now):
            return
        lender = self.find_lender(tenant, now)
        if lender is None:
            return
        self.ask_count += 1
        rate_per_s = round(max(wanted_per_s, MIN_ASK_PER_S), 2)
        loan = PendingLoan(tenant, lender.zone, rate_per_s, now)
        self.pending[self.ask_count] = loan
        # The pause ends early if the zone lends some.
        self.paused_until[tenant, lender.zone] = now + ZONE_PAUSE_S
        borrower = self.owner.owners.own_id
        self.send(lender, LoanAsk(self.ask_count, tenant, rate_per_s, borrower))

    def is_asking(self, tenant: str, now: float) -> bool:
        """Return whether an answer for a tenant is due; forget those overdue."""
        oldest = now - LEASE_S
        self.pending = {
            ask_id: loan
            for ask_id, loan in self.pending.items()
            if loan.asked_at > oldest
        }
        return any(
            loan.tenant == tenant and loan.asked_at > now - ANSWER_TIMEOUT_S
            for loan in self.pending.values()
        )

    def find_lender(self, tenant: str, now: float) -> Member | None:
        """Return the owner of the tenant in the nearest zone that is not paused.

        All members are scanned, but only for a shortage, and once in
        ``ANSWER_TIMEOUT_S`` for each tenant at most if no zone answers.
        """
        table = self.owner.owners.table
        own = table.own
        zones: dict[tuple[bool, str], list[Member]] = defaultdict(list)
        for member in table.members.values():
            if member.zone in {'', own.zone} or not is_live(member):
                continue
            if self.may_lend(tenant, member.zone, now):
                zones[member.region != own.region, member.zone].append(member)
        if not zones:
            return None
        return choose_owner(tenant, zones[min(zones)])

    def may_lend(self, tenant: str, zone: str, now: float) -> bool:
        """Return whether to ask a zone: not if it lends already, or refused lately."""
        if self.owner.ledger.is_borrowing_from(tenant, zone, RENEWAL_S):
            return False
        return self.paused_until.get((tenant, zone), 0) <= now

    def on_grant(self, frame: LoanGrant) -> None:
        """Use a loan; its lease started when it was asked for."""
        loan = self.pending.pop(frame.ask_id, None)
        if loan is None or not self.owner.owners.is_own(loan.tenant):
            return
        rate_per_s = min(loan.rate_per_s, frame.rate_per_s)
        if not rate_per_s > 0:
            return
        self.paused_until.pop((loan.tenant, loan.zone), None)
        self.owner.borrow(loan.tenant, rate_per_s, loan.zone, loan.asked_at)
        log.info(
            'allotment-borrowed',
            extra={'tenant': loan.tenant, 'zone': loan.zone, 'per_s': rate_per_s},
        )

    def reset(self) -> None:
        """Ignore the answers that are due, after a freeze."""
        self.pending.clear()
        self.paused_until.clear()
