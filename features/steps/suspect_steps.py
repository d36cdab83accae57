"""Steps for what a gate believes of its target after an answer, or without one."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import given, then, when
from builders import call_request, gate_with_target, suspect_many
from connection_builders import (
    EchoRouter,
    connected_caller,
    echo_service,
    encode_order,
)

from lavendermount_core.models.calls import CallReply, CallRequest
from lavendermount_testbed.emulator.control_network import control_address
from lavendermount_testbed.emulator.spread import SimulatedDeployment, SpreadScenario
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate import gate as gate_module
from lavendermountd.gate.attempts import Attempt
from lavendermountd.gate.suspects import (
    MAX_SUSPECTS,
    SuspectTable,
    Verdict,
    fingerprint_of,
)
from lavendermountd.gate.suspicion_rotation import (
    SUSPICIONS_PER_ROUND,
    SuspicionRotation,
)
from lavendermountd.gate.target_client import TargetAnswer
from lavendermountd.membership.suspicion_sync import SuspicionSync
from lavendermountd.node import Node

POLL_S = 0.01


class AnsweringClient:
    """Client of a target that gives every request the same answer."""

    def __init__(self, status: int, is_not_run: bool) -> None:
        """Store the answer."""
        metadata = ReplyMetadata(is_not_run=is_not_run)
        self.answer = TargetAnswer(CallReply(status, '', [], b''), metadata)

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Answer at once."""
        return self.answer


@then(
    'a request that a target refuses stays suspected, '
    'and one that a target completes does not'
)
def refused_stays_suspected(context: Any) -> None:
    """Answer a suspected request without running it, with a result, and an error."""
    for status, is_not_run, verdict in (
        (503, True, Verdict.EXCLUSIVE),
        (200, False, Verdict.FREE),
        (500, False, Verdict.FREE),
    ):
        assert asyncio.run(_answer_suspect(status, is_not_run)) == verdict, status


async def _answer_suspect(status: int, is_not_run: bool) -> Verdict:
    gate = gate_with_target(1)
    gate.client = AnsweringClient(status, is_not_run)
    gate.suspects.add_victim('f', 'n:1')
    request = call_request()
    request.deadline = time.monotonic() + 5
    await gate.execute(Attempt('a-1', request, 'f'))
    return gate.suspects.verdict('f')


@then(
    'a request of one caller stays suspected though an equal one of another caller '
    'completes'
)
def callers_suspected_apart(context: Any) -> None:
    """Complete the request of one node, and let that of another one crash targets."""
    usual, crashing = (
        fingerprint_of(asyncio.run(_routed_request(origin)))
        for origin in ('dealer-desk', 'field-docs')
    )
    table = SuspectTable()
    table.clear(usual)
    for victim in ('a:1', 'b:1'):
        assert table.add_victim(crashing, victim) is not None
        table.clear(usual)
    assert table.verdict(crashing) == Verdict.REFUSED
    assert table.verdict(usual) == Verdict.FREE


async def _routed_request(origin: str) -> CallRequest:
    """Send a request at a node beside a target; return what its router gets."""
    service = echo_service()
    service.origin = origin
    async with connected_caller(service) as (caller, _):
        await caller.send(encode_order('/stock', b'{}'))
        await caller.read_reply()
    assert isinstance(service.router, EchoRouter)
    return service.router.received[0]


@given(
    '{others:d} requests that ran beside a crash and {refused:d} that are refused since'
    ' then'
)
def many_suspects(context: Any, others: int, refused: int) -> None:
    """Suspect requests that have run at one target or at two."""
    context.suspects = SuspectTable()
    context.others = suspect_many(context.suspects, 'other', others, ['a:1'])
    context.refused = suspect_many(context.suspects, 'refused', refused, ['a:1', 'b:1'])


@then(
    'each refused one is in one of {refused_rounds:d} rounds of gossip, and each other'
    ' one in one of {other_rounds:d}'
)
def rounds_carry_all(context: Any, refused_rounds: int, other_rounds: int) -> None:
    """Build rounds, and compare what they carry."""
    rotation = SuspicionRotation(context.suspects)
    carried: set[str] = set()
    for number in range(1, other_rounds + 1):
        chosen = rotation.next_round()
        assert len(chosen) <= SUSPICIONS_PER_ROUND
        carried.update(suspicion.fingerprint for suspicion in chosen)
        if number == refused_rounds:
            assert context.refused <= carried
    assert context.others <= carried


@then('a full table evicts the requests that ran beside a crash first')
def ordinary_evicted_first(context: Any) -> None:
    """Suspect more requests than the table holds."""
    suspect_many(context.suspects, 'late', MAX_SUSPECTS, ['c:1'])
    assert len(context.suspects.suspects) == MAX_SUSPECTS
    assert context.refused <= set(context.suspects.suspects)


@given('{count:d} nodes, and one of them refuses a request')
def one_refuses(context: Any, count: int) -> None:
    """Note the number of nodes."""
    context.node_count = count


@when('all the others start at the same moment')
def start_others(context: Any) -> None:
    """Start nodes on simulated time; note what each thinks of the request when ready."""
    with SimulatedTime() as simulated:
        scenario = SpreadScenario(context.node_count, dead_ratio=0)
        nodes = SimulatedDeployment(scenario, 1).nodes
        running = nodes.pop()
        running.gossip.exchange.has_all_suspicions = True
        suspect_many(running.gate.suspects, 'other', SUSPICIONS_PER_ROUND, ['a:1'])
        suspect_many(running.gate.suspects, 'refused', 1, ['a:1', 'b:1'])
        context.verdicts = simulated.run(_start_together(nodes))


async def _start_together(nodes: list[Node]) -> list[Verdict]:
    """Let nodes learn the suspicions; return their verdicts on the refused request."""
    tasks = []
    for node in nodes:
        assert node.gossip.exchange.wants_suspicions
        node.joiner.has_read_members = True
        sync = SuspicionSync(node.gossip, node.knows_members)
        tasks.append(asyncio.ensure_future(sync.run()))
    while any(node.gossip.exchange.wants_suspicions for node in nodes):
        await asyncio.sleep(POLL_S)
    for task in tasks:
        task.cancel()
    return [node.gate.suspects.verdict('refused-0') for node in nodes]


@then('each of them refuses the request before it is ready')
def all_refuse(context: Any) -> None:
    """Check the verdict of each node that started."""
    assert len(context.verdicts) == context.node_count - 1
    assert set(context.verdicts) == {Verdict.REFUSED}


@then('a node whose questions were not answered tells no other that it knows all')
def unanswered_is_incomplete(context: Any) -> None:
    """Start a node while the others can't be reached; look again later."""
    with SimulatedTime() as simulated:
        scenario = SpreadScenario(context.node_count, dead_ratio=0)
        deployment = SimulatedDeployment(scenario, 1)
        node, *others = deployment.nodes
        deployment.network.lost = set(map(control_address, others))
        simulated.run(_start_together([node]))
        assert not node.gossip.exchange.has_all_suspicions


@then('the place of such a connection under the limit is free again')
def place_is_free(context: Any) -> None:
    """Cancel the check whether a target is down while it waits."""
    asyncio.run(_cancel_examination())


async def _cancel_examination() -> None:
    async def ignore(reader: asyncio.StreamReader, writer: object) -> None:
        await reader.read()

    server = await asyncio.start_server(ignore, '127.0.0.1', 0)
    gate = gate_with_target(server.sockets[0].getsockname()[1])
    examining = asyncio.create_task(gate.is_target_down())
    while not gate.client.open_count:
        await asyncio.sleep(0)
    await asyncio.sleep(gate_module.EXIT_GRACE_S / 3)
    examining.cancel()
    await asyncio.gather(examining, return_exceptions=True)
    gate.client.close_idle()
    assert gate.client.open_count == 0
    server.close()
