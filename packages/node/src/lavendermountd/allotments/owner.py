"""Grants tokens of the tenants that this node owns in its zone.

:units: tokens are requests; seconds on a clock that counts suspended time.
:errors: none; an owner that may not grant tokens says so in its answer.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.allotments.bucket import Bucket, Demand
from lavendermountd.allotments.limits import ZoneShare
from lavendermountd.allotments.loans import LoanLedger
from lavendermountd.allotments.zone_owners import ZoneOwners

log = logging.getLogger(__name__)

# Answer of a node that does not own the tenant, by its own view.
NOT_OWNER = -1
# Longest wait that is named, so that a caller asks again soon after a change.
MAX_WAIT_S = 10.0
# A tenant whose demand exceeds this part of its rate needs to borrow.
BORROWING_LEVEL = 0.9
# Part of the recent demand that a lender keeps: the demand and a quarter.
KEPT_DEMAND = 1.25
# Smaller loans are not worth a message.
MIN_LOAN_PER_S = 0.05
RATE_STEPS = 100


class TenantState:
    """Bucket and demand of a tenant that this node owns.

    :param bucket: tokens of the zone.
    :param now: current time.
    """

    __slots__ = ('bucket', 'demand')

    def __init__(self, bucket: Bucket, now: float) -> None:
        """Start without demand."""
        self.bucket = bucket
        self.demand = Demand(now)


class AllotmentOwner:
    """Token buckets of the tenants that this node owns.

    :param owners: owners of the tenants of the zone.
    :param clock: returns the current time.
    """

    __slots__ = (
        'owners',
        'clock',
        'shares',
        'states',
        'ledger',
        'granted',
        'is_ready',
        'on_shortage',
    )

    def __init__(self, owners: ZoneOwners, clock: Callable[[], float]) -> None:
        """Start without limited tenants."""
        self.owners = owners
        self.clock = clock
        self.shares: dict[str, ZoneShare] = {}
        self.states: dict[str, TenantState] = {}
        self.ledger = LoanLedger(clock)
        self.granted = 0
        # Returns whether the members are known, so that ownership can be judged.
        self.is_ready: Callable[[], bool] = bool
        # Called with a tenant whose share does not suffice and the missing rate.
        self.on_shortage: Callable[[str, float], None] | None = None
        owners.before_change = self.refill_all

    def configure(self, shares: dict[str, ZoneShare]) -> None:
        """Apply the limits of a preset; a lower limit also reduces the tokens."""
        self.refill_all()
        self.shares = shares
        self.owners.track(shares)
        for tenant in tuple(self.states):
            if tenant not in shares:
                self.states.pop(tenant)
        for name, share in shares.items():
            state = self.state_of(name)
            if state is not None:
                state.bucket.capacity = share.capacity
                state.bucket.tokens = min(state.bucket.tokens, share.capacity)

    def reset(self) -> None:
        """Empty all buckets and drop what was borrowed, after a freeze."""
        self.owners.reset()
        self.states.clear()
        self.ledger.drop_borrowed()
        log.info('allotments-reset', extra={'owned': len(self.owners.gained_at)})

    def state_of(self, tenant: str) -> TenantState | None:
        """Return the state of a tenant; ``None`` unless this node owns it.

        The bucket of a newly owned tenant is empty, and accrues tokens from the end of
        the handover.
        """
        if not self.owners.is_own(tenant) or tenant not in self.shares:
            self.states.pop(tenant, None)
            return None
        state = self.states.get(tenant)
        if state is None:
            now = self.clock()
            starts_at = self.owners.grants_from(tenant)
            bucket = Bucket(now, starts_at)
            # A bucket that was not needed so far has accrued tokens all the time.
            bucket.refilled_at = starts_at
            bucket.capacity = self.shares[tenant].capacity
            bucket.rate_per_s = self.rate_per_s(tenant)
            state = TenantState(bucket, now)
            self.states[tenant] = state
        return state

    def rate_per_s(self, tenant: str) -> float:
        """Return the rate at which tokens of a tenant accrue here."""
        own = self.shares[tenant].rate_per_s * self.owners.coverage()
        return max(0, own - self.ledger.lent_per_s(tenant)) + (
            self.ledger.borrowed_per_s(tenant)
        )

    def refill_all(self) -> None:
        """Add the tokens accrued so far, before a rate changes."""
        for tenant in tuple(self.shares):
            state = self.state_of(tenant)
            if state is not None:
                state.bucket.refill(self.clock(), self.rate_per_s(tenant))

    def refilled(self, tenant: str) -> TenantState | None:
        """Return the state of a tenant with the tokens accrued so far.

        :returns: ``None`` if this node may not grant tokens of the tenant.
        """
        state = self.state_of(tenant)
        if state is None or not self.is_ready():
            return None
        state.bucket.refill(self.clock(), self.rate_per_s(tenant))
        return state

    def grant(self, tenant: str, wanted: int) -> tuple[int, int]:
        """Grant tokens of a tenant.

        :param wanted: number of tokens asked for.
        :returns: number of tokens granted, or ``NOT_OWNER``; and the time in
            milliseconds until the next token if fewer were granted than wanted.
        """
        state = self.refilled(tenant)
        if state is None:
            return NOT_OWNER, 0
        now = self.clock()
        state.demand.add(now, wanted)
        granted = state.bucket.take(wanted)
        self.granted += granted
        self.report_shortage(tenant, state, is_short=granted < wanted)
        if granted == wanted:
            return granted, 0
        wait_s = state.bucket.wait_s(now, self.shares[tenant].rate_per_s)
        return granted, round(min(wait_s, MAX_WAIT_S) * MS_PER_S) + 1

    def grant_all(self, wanted: list[tuple[str, int]]) -> list[tuple[int, int]]:
        """Grant tokens of several tenants, in the order in which they are asked for."""
        return [self.grant(tenant, count) for tenant, count in wanted]

    def report_shortage(
        self, tenant: str, state: TenantState, *, is_short: bool
    ) -> None:
        """Report that the rate does not suffice for the demand, if so."""
        if self.on_shortage is None:
            return
        demand_per_s = state.demand.per_s(self.clock())
        own = state.bucket.rate_per_s - self.ledger.borrowed_per_s(tenant)
        if is_short or demand_per_s > own * BORROWING_LEVEL:
            self.on_shortage(tenant, max(1, demand_per_s) - own)

    def borrow(
        self, tenant: str, rate_per_s: float, zone: str, asked_at: float
    ) -> None:
        """Use rate of another zone from now until the end of its lease."""
        state = self.refilled(tenant)
        if state is None:
            return
        self.ledger.borrow(tenant, rate_per_s, zone, asked_at)
        state.bucket.refill(self.clock(), self.rate_per_s(tenant))

    def lend(self, tenant: str, wanted_per_s: float, borrower: str) -> float:
        """Lend rate that this zone does not use; the own rate is lowered first.

        The recent demand, with a margin, stays with this zone. What is borrowed is not
        lent again.

        :param wanted_per_s: rate that another zone misses.
        :param borrower: node that borrows; its earlier loan is replaced.
        :returns: the rate that is lent; 0 for none.
        """
        state = self.refilled(tenant)
        now = self.clock()
        if state is None or now < self.owners.grants_from(tenant):
            return 0
        own_per_s = self.shares[tenant].rate_per_s * self.owners.coverage()
        lent_per_s = self.ledger.lent_per_s(tenant, except_to=borrower)
        kept_per_s = state.demand.per_s(now) * KEPT_DEMAND
        spare_per_s = own_per_s - lent_per_s - kept_per_s
        rate_per_s = floor_to_step(min(wanted_per_s, spare_per_s))
        if not rate_per_s >= MIN_LOAN_PER_S:
            return 0
        self.ledger.lend(tenant, rate_per_s, borrower)
        state.bucket.refill(now, self.rate_per_s(tenant))
        log.debug('allotment-lent', extra={'tenant': tenant, 'per_s': rate_per_s})
        return rate_per_s


def floor_to_step(rate_per_s: float) -> float:
    """Round a rate down to hundredths, so that no more is lent than is spare."""
    return math.floor(rate_per_s * RATE_STEPS) / RATE_STEPS
