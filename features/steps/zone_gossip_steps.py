"""Steps for gossip that stays in the zone."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from behave import given, then, when
from builders import FakeClock, load_report, member

from lavendermount_core.models.members import MemberStatus
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.exchange import DISTANT_LOADS_PER_ROUND, GossipExchange
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.table import MemberTable
from lavendermountd.membership.urgent_updates import UrgentUpdates
from lavendermountd.presets.applier import CLOSED_EXPIRY_S
from lavendermountd.routing.load_view import LoadView

ZONE_SIZE = 20
NEWER_REPORTS = 12
PASSES = 200


@given('a region of 2 zones with 20 nodes each, whose gossip stays in the zone')
def two_zones(context: Any) -> None:
    """Build the gossip of one node of the first zone."""
    members = [
        member(f'{zone}-{number}', zone=zone)
        for zone in ('a', 'b')
        for number in range(ZONE_SIZE)
    ]
    context.member_table = MemberTable(members[0])
    for entry in members:
        context.member_table.merge(entry)
    context.view = LoadView(Mock(member=members[0]))
    exchange = GossipExchange(
        context.member_table, context.view, Mock(), Mock(), EvacuationTable()
    )
    exchange.is_zone_local = True
    context.gossip = Gossip(exchange, Mock(), Mock(), 1.0)
    context.gossip.is_zone_local = True


def probed_in(context: Any, zone: str) -> int:
    """Count the members of a zone that the node probes in one pass."""
    return sum(entry.zone == zone for entry in context.gossip.probed_members())


@then(
    'the nodes of a zone together probe about one member of the other zone in each round'
)
def probe_others(context: Any) -> None:
    """Check one pass, which takes as many rounds as the zone has nodes."""
    assert probed_in(context, 'b') == 1


@then('each of them probes all of its own zone')
def probe_own(context: Any) -> None:
    """Check the members of the own zone."""
    assert probed_in(context, 'a') == ZONE_SIZE - 1


@then(
    'an urgent update goes to {count:d} members of the own zone, and about {others:d} of'
    ' the other zone from all nodes together'
)
def urgent_update(context: Any, count: int, others: int) -> None:
    """Tell members, who all answer, many times, as the nodes of a zone do."""
    asyncio.run(urgent_updates(context, count))
    distant = sum(zone == 'b' for zones in context.told_zones for zone in zones)
    for zones in context.told_zones:
        assert zones.count('a') == count
        assert len(zones) in {count, count + 1}
    assert abs(distant / PASSES - others) < 1, distant / PASSES


async def urgent_updates(context: Any, count: int) -> None:
    """Note the zones of the members that each of many updates goes to."""
    context.told_zones = []
    for _ in range(PASSES * ZONE_SIZE):
        exchange = AsyncMock(return_value=True)
        with patch.object(context.gossip, 'exchange_with', exchange):
            await UrgentUpdates(context.gossip).tell_region(count)
        zones = [call.args[0].zone for call in exchange.await_args_list]
        context.told_zones.append(zones)


@when('a member of the other zone is suspected')
def suspect_one(context: Any) -> None:
    """Mark a member as suspected."""
    suspected = context.member_table.find('b-3').with_status(MemberStatus.SUSPECT)
    context.member_table.merge(suspected)


@then('they probe as many members there as in their own zone')
def probe_alike(context: Any) -> None:
    """Check the members of the other zone."""
    assert probed_in(context, 'b') == ZONE_SIZE - 1


@then(
    'a round carries some reports of the other zone, however many newer ones there are'
)
def carries_distant(context: Any) -> None:
    """Take reports of the other zone first, and many of the own zone after them."""
    for number in range(DISTANT_LOADS_PER_ROUND):
        context.view.take_report(load_report(f'b-{number}'), age_ms=500)
    for number in range(1, NEWER_REPORTS):
        context.view.take_report(load_report(f'a-{number}'))
    loads = context.gossip.exchange.recent_loads()
    names = [aged.report.node_id for aged in loads]
    assert sum(name.startswith('b-') for name in names) == DISTANT_LOADS_PER_ROUND
    assert len(set(names)) == len(names)


@then('a closed target of the other zone is tried again after {seconds:d} s')
def closed_expires(context: Any, seconds: int) -> None:
    """Report a target as closed, and let time pass."""
    clock = FakeClock()
    context.view.closed_expiry_s = CLOSED_EXPIRY_S
    with patch('lavendermountd.routing.load_view.time', clock):
        context.view.take_report(load_report('b-9', is_accepting=False))
        assert not context.view.is_accepting(context.member_table.find('b-9'))
        clock.now += seconds + 0.1
        assert context.view.is_accepting(context.member_table.find('b-9'))
