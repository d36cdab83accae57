"""The components that limit the requests of tenants over all nodes.

:units: seconds on the boot-time clock, which counts suspended time: tokens and
    leases expire while the VM is suspended.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermount_core.config.preset import PresetSchema
from lavendermountd.allotments.borrowing import Borrower
from lavendermountd.allotments.client import AllotmentClient
from lavendermountd.allotments.limits import zone_shares
from lavendermountd.allotments.owner import AllotmentOwner
from lavendermountd.allotments.zone_owners import ZoneOwners
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.link_pool import LinkPool
from lavendermountd.supervision.freeze import boot_clock_s


class Allotments:
    """Allotments of this node, as owner and as entry node.

    :param table: known members.
    :param links: connections to the other nodes.
    :param zones: all zones of the deployment; empty if the settings name none.
    :param is_ready: returns whether the members are known.
    """

    __slots__ = ('table', 'zones', 'owner', 'client', 'borrower')

    def __init__(
        self,
        table: MemberTable,
        links: LinkPool,
        zones: list[str],
        is_ready: Callable[[], bool],
    ) -> None:
        """Build and connect the components."""
        self.table = table
        self.zones = frozenset(zones)
        owners = ZoneOwners(table, boot_clock_s)
        self.owner = AllotmentOwner(owners, boot_clock_s)
        self.owner.is_ready = is_ready
        self.client = AllotmentClient(self.owner, links, boot_clock_s)
        self.borrower = Borrower(self.owner, self.client.send_frame)
        self.client.on_loan_grant = self.borrower.on_grant
        links.on_grant = self.client.on_grant

    def configure(self, schema: PresetSchema) -> None:
        """Apply the limits of a preset.

        If the settings name no zones, those of the members seen so far count.
        """
        zones = self.zones or {member.zone for member in self.table.members.values()}
        named = {*zones, self.table.own.zone} - {''}
        self.owner.configure(zone_shares(schema, max(1, len(named))))

    def reset(self) -> None:
        """Drop all tokens and leases after a freeze."""
        self.owner.reset()
        self.client.reset()
        self.borrower.reset()

    def state(self) -> dict[str, float]:
        """Return the values of the node state gauge, by name."""
        ledger = self.owner.ledger
        return {
            'allotment_tokens_granted': self.owner.granted,
            'allotment_requests_refused': self.client.refused,
            'allotment_requests_by_reserve': self.client.from_reserve,
            'allotment_asks': self.client.asks_sent,
            'allotment_lent_per_s': sum(map(ledger.lent_per_s, tuple(ledger.lent))),
            'allotment_borrowed_per_s': sum(
                map(ledger.borrowed_per_s, tuple(ledger.borrowed))
            ),
        }
