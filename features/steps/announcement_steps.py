"""Steps for urgent updates that nodes tell each other."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

from behave import given, then
from builders import member

from lavendermount_core.models.members import Member
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.relays import relays_of
from lavendermountd.membership.table import MemberTable
from lavendermountd.membership.urgent_updates import UrgentUpdates
from lavendermountd.presets.announcer import SPREAD_S, PresetAnnouncer

FANOUT = 3


class PartlyDeadRegion(Gossip):
    """Gossip in a region where some members are dead and count as living."""

    def __init__(self, dead_count: int, living_count: int, region: str = '') -> None:
        """Build the members, in another region than the own one if it is named."""
        table = MemberTable(member('own'))
        placement = {'region': region} if region else {}
        super().__init__(Mock(table=table), Mock(), Mock(), 1)
        for number in range(dead_count):
            table.merge(member(f'dead-{number}', **placement))
        for number in range(living_count):
            table.merge(member(f'living-{number}', **placement))
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
        asyncio.run(UrgentUpdates(gossip).tell_region(FANOUT))
        assert len(gossip.told()) == FANOUT, gossip.asked
        assert len(set(gossip.asked)) == len(gossip.asked)


@then('it asks three nodes if all of them live, and twelve at most if none does')
def announcement_is_bounded(context: Any) -> None:
    """Count the members that are asked."""
    for dead, living, expected in ((0, 20, FANOUT), (20, 0, 4 * FANOUT), (0, 2, 2)):
        gossip = PartlyDeadRegion(dead, living)
        asyncio.run(UrgentUpdates(gossip).tell_region(FANOUT))
        assert len(gossip.asked) == expected, gossip.asked


@then(
    'a relay reaches a living one of them in another region, in {count:d} of 100 cases'
)
def other_region_reached(context: Any, count: int) -> None:
    """Announce to a region whose relays may be among the dead; this node is a relay."""
    reached = 0
    for _ in range(100):
        gossip = PartlyDeadRegion(*context.region, region='far')
        asyncio.run(UrgentUpdates(gossip).tell_other_region())
        reached += bool(gossip.told())
    assert reached >= count, reached


@then('about two nodes of a region of 40 tell another region, besides its relays')
def others_tell(context: Any) -> None:
    """Count how often a node that is no relay does."""
    told = 0
    for _ in range(400):
        gossip = PartlyDeadRegion(0, 3, region='far')
        for number in range(39):
            gossip.table.merge(member(f'near-{number}'))
        relays = {relay.node_id for relay in relays_of(gossip.table, 'north')}
        assert 'own' not in relays
        asyncio.run(UrgentUpdates(gossip).tell_other_region())
        told += bool(gossip.told())
    assert 8 <= told <= 36, told


class SilentRegion(PartlyDeadRegion):
    """Gossip in a region whose members are slow to answer at first."""

    async def exchange_with(self, other: Member, timeout_s: float) -> bool:
        """Note whom the node asks; the first ones never answer."""
        self.asked.append(other.node_id)
        if len(self.asked) <= FANOUT:
            await asyncio.Event().wait()
        return True


async def announce_twice() -> list[str]:
    """Announce two changes, the first to members that never answer."""
    gossip = SilentRegion(0, 20)
    announcer = PresetAnnouncer(gossip)
    announcing = asyncio.create_task(announcer.run())
    for _ in range(2):
        announcer.request()
        await asyncio.sleep(3 * SPREAD_S)
    announcing.cancel()
    await asyncio.gather(announcing, return_exceptions=True)
    return gossip.asked


@then('members that never answer do not delay the next announcement')
def next_announced(context: Any) -> None:
    """Count the members that were asked for two announcements."""
    asked = asyncio.run(announce_twice())
    assert len(asked) >= 2 * FANOUT, asked
