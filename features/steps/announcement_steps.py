"""Steps for urgent updates that nodes tell each other."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

from behave import given, then
from builders import member

from lavendermount_core.models.members import Member
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.table import MemberTable

FANOUT = 3


class PartlyDeadRegion(Gossip):
    """Gossip in a region where some members are dead and count as living."""

    def __init__(self, dead_count: int, living_count: int) -> None:
        """Build the members."""
        table = MemberTable(member('own'))
        super().__init__(Mock(table=table), Mock(), Mock(), 1)
        for number in range(dead_count):
            table.merge(member(f'dead-{number}'))
        for number in range(living_count):
            table.merge(member(f'living-{number}'))
        self.asked: list[str] = []

    async def exchange_with(self, other: Member, timeout_s: float) -> bool:
        """Note whom the node asks; dead members do not answer."""
        self.asked.append(other.node_id)
        await asyncio.sleep(0)
        return other.node_id.startswith('living')

    def told(self) -> set[str]:
        """Return the living members that were told."""
        return {name for name in self.asked if name.startswith('living')}


@given('a region in which {dead:d} of {count:d} other nodes have just died')
def region_with_dead(context: Any, dead: int, count: int) -> None:
    """Build the node that has news."""
    context.region = [dead, count - dead]


@then('a node that announces a preset reaches three that live, in {runs:d} of {runs:d}')
def announcement_reaches(context: Any, runs: int) -> None:
    """Announce often; each time the members are chosen at random."""
    for _ in range(runs):
        gossip = PartlyDeadRegion(*context.region)
        asyncio.run(gossip.exchange_with_some(FANOUT))
        assert len(gossip.told()) == FANOUT, gossip.asked
        assert len(set(gossip.asked)) == len(gossip.asked)


@then('it asks three nodes if all of them live, and twelve at most if none does')
def announcement_is_bounded(context: Any) -> None:
    """Count the members that are asked."""
    for dead, living, expected in ((0, 20, FANOUT), (20, 0, 4 * FANOUT), (0, 2, 2)):
        gossip = PartlyDeadRegion(dead, living)
        asyncio.run(gossip.exchange_with_some(FANOUT))
        assert len(gossip.asked) == expected, gossip.asked
