"""Steps for the time until a preset is in force on every node."""

from __future__ import annotations

import asyncio
import random
from itertools import pairwise
from typing import Any
from unittest.mock import Mock

from behave import given, then
from builders import member, preset_snapshot, ready_preset

from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_testbed.emulator.spread import SpreadScenario, simulate_spread
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.control.generated import control_pb2
from lavendermountd.control.messages import member_message
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.exchange import GossipExchange
from lavendermountd.membership.ring import MemberRing
from lavendermountd.membership.staggered import call_until_answered
from lavendermountd.membership.table import MemberTable
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.parts import PartialPreset, PresetParts
from lavendermountd.presets.relay import PresetRelay, ReceivedPreset

LOSSES = {
    'those lost never answer': {},
    'those lost refuse calls': {'is_refused': True},
    'all readers of the log are among those lost': {'loss': 'readers'},
    'none is lost': {},
    '1 in 10 nodes had its connections fall silent': {
        'has_log': True,
        'silent_ratio': 0.1,
    },
    'all nodes had their connections fall silent': {
        'has_log': True,
        'silent_ratio': 1,
    },
    'all nodes that wait at the log are cut off from it': {
        'has_log': True,
        'cut': 'readers',
    },
    'all nodes but itself are cut off from the log': {
        'has_log': True,
        'cut': 'all-but-one',
    },
    '1 in 10 calls is lost': {'has_log': True, 'lost_calls': 0.1},
}


@given('{dead:d} of 100 nodes are lost just before a preset is read from the log')
def lose_nodes(context: Any, dead: int) -> None:
    """Note the share of the nodes that are lost."""
    context.spread = {'dead_ratio': dead / 100}


@given('{dead:d} of 100 nodes are lost just before a preset is written to the log')
def lose_nodes_beside_log(context: Any, dead: int) -> None:
    """Let the nodes read the log."""
    context.spread = {'dead_ratio': dead / 100, 'has_log': True}


@given('no nodes are lost, and a preset takes {seconds:g} s to prepare')
def slow_to_prepare(context: Any, seconds: float) -> None:
    """Note the time that each node takes."""
    context.spread = {'dead_ratio': 0, 'prepare_s': seconds}


@then(
    'each living node of {nodes:d} has it in force within {limit_s:f} s in {runs:d} of'
    ' {runs:d} runs if {loss}'
)
def in_force_in_time(
    context: Any, nodes: int, limit_s: float, runs: int, loss: str
) -> None:
    """Simulate the runs, each with a seed of its own."""
    scenario = SpreadScenario(nodes, **context.spread, **LOSSES[loss])
    worst = [simulate_spread(scenario, seed).delays[-1] for seed in range(runs)]
    assert max(worst) <= limit_s, worst


@then(
    'a node whose next {dead:d} neighbours have died tells the one behind them within'
    ' {limit_s:g} s'
)
def run_of_dead(context: Any, dead: int, limit_s: float) -> None:
    """Call neighbours of which the first never answer."""
    called: dict[str, float] = {}

    async def call(neighbour: Member) -> bool:
        assert neighbour.node_id not in called
        called[neighbour.node_id] = time.now
        if len(called) > dead:
            return True
        await asyncio.sleep(0.5)
        return False

    with SimulatedTime() as time:
        neighbours = iter([member(f'n-{number}') for number in range(2 * dead)])
        assert time.run(call_until_answered(neighbours, call))
    delay_s = called[f'n-{dead}'] - called['n-0']
    assert delay_s <= limit_s, called


@then('after random changes of its members each node is the next of exactly one other')
def ring_agrees(context: Any) -> None:
    """Let the nodes learn of the members in another order each."""
    rng = random.Random(5)
    members = [
        member(f'n-{number}', zone=f'zone-{number % 3}', region=f'r-{number % 2}')
        for number in range(30)
    ]
    dead = [entry.with_status(MemberStatus.DEAD) for entry in members[20:]]
    context.next_of = {}
    for own in members[:20]:
        table = MemberTable(own)
        ring = MemberRing(table)
        changes = rng.sample(members + dead, len(members) + len(dead))
        for change in changes:
            table.merge(change)
        following, preceding = list(ring.after()), list(ring.before())
        assert following == list(reversed(preceding))
        assert len(following) == 19
        context.next_of[own.node_id] = following[0]
    context.ring_members = members
    assert len({entry.node_id for entry in context.next_of.values()}) == 20


@then('one pair of neighbours links each zone with the next')
def zones_linked_once(context: Any) -> None:
    """Walk around the ring and count the changes of the zone."""
    entry = context.ring_members[0]
    walk = [entry]
    for _ in context.next_of:
        entry = context.next_of[entry.node_id]
        walk.append(entry)
    assert walk[0].node_id == walk[-1].node_id
    changes = [
        (one.region, one.zone) != (other.region, other.zone)
        for one, other in pairwise(walk)
    ]
    assert sum(changes) == 6, changes


@given(
    'a node that has received preset {newer:d} of a peer at position {position:d}, and'
    ' has preset {older:d} in force'
)
def preset_received(context: Any, newer: int, position: int, older: int) -> None:
    """Receive a preset, which is not prepared yet."""
    holder = PresetHolder()
    holder.put_in_force(ready_preset(older))
    context.relay = PresetRelay(holder)
    reply = control_pb2.PresetReply(log_position=position)
    context.received = ReceivedPreset(
        preset_snapshot(newer), reply, b'', member('peer')
    )
    context.relay.receive(context.received)
    context.parts = PresetParts(context.relay, EvacuationTable(), lambda: 30)


@then(
    'it tells preset {newer:d} and position {position:d} to peers, and preset {older:d}'
    ' to operators'
)
def passes_on(context: Any, newer: int, position: int, older: int) -> None:
    """Ask as a peer and as an operator does."""
    reply = context.parts.reply(PartialPreset().next_request())
    assert (reply.revision, reply.log_position) == (newer, position)
    assert context.relay.revision == newer
    assert context.parts.reply(control_pb2.PresetRequest()).revision == older


@then('it tells preset {older:d} to peers after it has refused preset {newer:d}')
def no_longer_passed_on(context: Any, older: int, newer: int) -> None:
    """Drop the preset, as after findings."""
    context.relay.drop(context.received)
    reply = context.parts.reply(PartialPreset().next_request())
    assert (reply.revision, reply.log_position) == (older, 30)
    assert context.relay.revision == older


@given('a node with revision {revision:d} in force, which a member has told it has too')
def member_told(context: Any, revision: int) -> None:
    """Merge the rounds of two members."""
    table = MemberTable(member('own'))
    context.exchange = GossipExchange(table, Mock(), Mock(), Mock(), EvacuationTable())
    context.exchange.revision = lambda: revision
    for name, told in (('same', revision), ('behind', revision - 1)):
        message = control_pb2.GossipRound(
            sender=member_message(member(name)), revision=told
        )
        context.exchange.merge(message)


@then(
    'the member is not told of it, but its next process is, and so is a member with'
    ' revision {older:d}'
)
def told_again(context: Any, older: int) -> None:
    """Ask whether each is known to have the preset."""
    is_informed = context.exchange.is_informed
    assert is_informed(member('same'))
    assert not is_informed(member('same', incarnation=2))
    assert not is_informed(member('behind'))
    assert not is_informed(member('unknown'))
