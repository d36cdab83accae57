"""Which node of this zone owns the allotment of each tenant.

:shapes: the owner is the live member with the highest hash of tenant and node id.
:units: seconds on a clock that counts suspended time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

from lavendermount_core.models.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable

HASH_BYTES = 8
# Lease of borrowed rate.
LEASE_S = 4.0
# A new owner grants nothing for the time of a lease: its predecessor may be alive
# and not know yet that others count it as dead, or may have lent out the share.
HANDOVER_S = LEASE_S

LIVE_STATUSES = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


def rendezvous_weight(tenant: str, node_id: str) -> bytes:
    """Return the weight of a node as owner of a tenant."""
    key = f'{tenant}\n{node_id}'.encode()
    return blake2b(key, digest_size=HASH_BYTES).digest()


def choose_owner(tenant: str, members: Iterable[Member]) -> Member | None:
    """Return the live member that owns a tenant; ``None`` without live members."""
    live = [member for member in members if is_live(member)]
    return max(
        live,
        key=lambda member: rendezvous_weight(tenant, member.node_id),
        default=None,
    )


def is_live(member: Member) -> bool:
    """Return whether a member may own tenants."""
    return member.status in LIVE_STATUSES


class ZoneOwners:
    """Owners of the tenants in this node's zone, and how much of the zone is in sight.

    :param table: known members.
    :param clock: returns the current time.
    """

    __slots__ = (
        'table',
        'clock',
        'live',
        'missing',
        'winners',
        'gained_at',
        'started_at',
        'low_coverage',
        'coverage_rises_at',
        'before_change',
    )

    def __init__(self, table: MemberTable, clock: Callable[[], float]) -> None:
        """Observe the members of the zone."""
        self.table = table
        self.clock = clock
        self.live: dict[str, Member] = {}
        # Members that died without leaving, until the table forgets them.
        self.missing: set[str] = set()
        # Owner of each tenant, with its weight.
        self.winners: dict[str, tuple[bytes, str]] = {}
        # Time since which this node has owned a tenant.
        self.gained_at: dict[str, float] = {}
        self.started_at = clock()
        self.low_coverage: float = 1
        self.coverage_rises_at: float = 0
        self.before_change: Callable[[], None] | None = None
        for member in table.members.values():
            self.note_member(member)
        table.listeners.append(self.note_member)
        table.forget_listeners.append(self.note_forgotten)

    @property
    def own_id(self) -> str:
        """Name of this node."""
        return self.table.own.node_id

    def is_own(self, tenant: str) -> bool:
        """Return whether this node owns a tenant."""
        return tenant in self.gained_at

    def owner_of(self, tenant: str) -> Member | None:
        """Return the owner of a tenant; ``None`` if there is none."""
        winner = self.winners.get(tenant)
        return None if winner is None else self.live.get(winner[1])

    def grants_from(self, tenant: str) -> float:
        """Return the time from which this node grants tokens of a tenant it owns."""
        return self.gained_at[tenant]

    def track(self, tenants: Iterable[str]) -> None:
        """Determine the owners of these tenants, and forget all others."""
        tracked = set(tenants)
        for tenant in set(self.winners) - tracked:
            self.winners.pop(tenant)
            self.gained_at.pop(tenant, None)
        for tenant in tracked - set(self.winners):
            # The tenant is new to all nodes, so there is no predecessor to wait for.
            self.elect(tenant, self.started_at + HANDOVER_S)

    def reset(self) -> None:
        """Start anew after a freeze: other nodes may own the tenants by now."""
        self.started_at = self.clock()
        for tenant in self.gained_at:
            self.gained_at[tenant] = self.started_at + HANDOVER_S

    def coverage(self) -> float:
        """Return the part of the zone's members that are live, as this node sees it.

        An owner grants only this part of the zone's share. If the zone is split, each
        side may have an owner, and the shares of all sides together are at most the
        share of the zone. A rise counts after the time of a handover, as the other side
        may not know of it yet.
        """
        current = self.current_coverage()
        if current > self.low_coverage and self.clock() >= self.coverage_rises_at:
            self.low_coverage = current
        return min(current, self.low_coverage)

    def current_coverage(self) -> float:
        """Return the part of the zone's members that are live now."""
        known = self.known_count()
        return len(self.live) / known if known else 1

    def known_count(self) -> int:
        """Count the members of the zone, with those that died lately."""
        return len(self.live) + len(self.missing)

    def note_member(self, member: Member) -> None:
        """Update the owners if a member of the zone appeared or disappeared."""
        if member.zone != self.table.own.zone:
            return
        was_live = member.node_id in self.live
        if is_live(member) and was_live:
            self.live[member.node_id] = member
        elif is_live(member):
            self.add_live(member)
        elif was_live:
            self.remove_live(member)

    def add_live(self, member: Member) -> None:
        """Count a member as live."""
        before = self.coverage_before_change()
        self.live[member.node_id] = member
        self.missing.discard(member.node_id)
        self.limit_coverage(before)
        self.let_compete(member)

    def remove_live(self, member: Member) -> None:
        """Count a member as missing, unless it announced that it leaves."""
        before = self.coverage_before_change()
        self.live.pop(member.node_id)
        if member.status == MemberStatus.DEAD:
            self.missing.add(member.node_id)
        self.limit_coverage(before)
        self.replace(member.node_id)

    def note_forgotten(self, node_id: str) -> None:
        """Stop counting a member that has been dead for long."""
        if node_id in self.missing:
            before = self.coverage_before_change()
            self.missing.discard(node_id)
            self.limit_coverage(before)

    def coverage_before_change(self) -> float:
        """Return the coverage, after tokens have accrued by it."""
        if self.before_change is not None:
            self.before_change()
        return self.coverage()

    def limit_coverage(self, before: float) -> None:
        """Lower the coverage at once if it fell, and delay a rise."""
        self.low_coverage = min(before, self.current_coverage())
        self.coverage_rises_at = self.clock() + HANDOVER_S

    def let_compete(self, member: Member) -> None:
        """Make a new live member the owner of the tenants that it wins."""
        for tenant, winner in tuple(self.winners.items()):
            weight = rendezvous_weight(tenant, member.node_id)
            if weight > winner[0]:
                self.set_owner(tenant, weight, member.node_id)

    def replace(self, node_id: str) -> None:
        """Choose other owners for the tenants of a member that is no longer live."""
        for tenant, winner in tuple(self.winners.items()):
            if winner[1] == node_id:
                self.elect(tenant, self.clock() + HANDOVER_S)

    def elect(self, tenant: str, grants_from: float) -> None:
        """Choose the owner of a tenant among all live members."""
        winner = choose_owner(tenant, self.live.values())
        if winner is None:
            self.winners[tenant] = (b'', '')
            self.gained_at.pop(tenant, None)
            return
        weight = rendezvous_weight(tenant, winner.node_id)
        self.set_owner(tenant, weight, winner.node_id, grants_from)

    def set_owner(
        self, tenant: str, weight: bytes, node_id: str, grants_from: float | None = None
    ) -> None:
        """Record the owner of a tenant, and since when if it is this node."""
        self.winners[tenant] = (weight, node_id)
        if node_id != self.own_id:
            self.gained_at.pop(tenant, None)
        elif tenant not in self.gained_at:
            now = self.clock()
            earliest = now + HANDOVER_S if grants_from is None else grants_from
            self.gained_at[tenant] = max(now, earliest)
