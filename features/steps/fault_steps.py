"""Steps that break links, gates, keys and targets."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from unittest.mock import Mock
from urllib.request import Request, urlopen

from behave import then, when
from builders import NODE_SETTINGS, call_request, member, open_gate, preset_text
from deployment_steps import instance_of
from hypothesis import given as generated
from hypothesis import strategies as st
from request_steps import Sent, runs_of
from returns.result import Failure, Success

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.presets.records import InForce
from lavendermount_core.structure.calls import CallReply, Reason, not_run, unknown
from lavendermount_core.utils.digests import short_digest
from lavendermount_testbed.processes import wait_until
from lavendermountd.claims.records import Claim, Release, encode_claims
from lavendermountd.claims.stream import ClaimFold
from lavendermountd.gate.attempts import Attempt, Progress
from lavendermountd.gate.suspects import SuspectTable, Verdict
from lavendermountd.gate.target import TargetState
from lavendermountd.node import Node
from lavendermountd.peer.frames import Suspected
from lavendermountd.presets.holder import InForcePreset

RECOVERY_LIMIT_S = 20


@when('the targets take {service_ms:d} ms')
def targets_take(context: Any, service_ms: int) -> None:
    """Set the service time of every target."""
    for entry in context.deployment.instances.values():
        entry.control_target(service_ms=service_ms)


@when('the open connections to the {region} go silent while new ones work')
def go_silent(context: Any, region: str) -> None:
    """Drop all bytes of the connections that are open now."""
    context.deployment.control_link(region, silence_open=True)


@when('the answer has come')
def answer_came(context: Any) -> None:
    """Wait for the answer of the latest request."""
    context.sent.wait()


@then('an answer of "{outcome}" means that it ran {count:d} times')
def outcome_is_true(context: Any, outcome: str, count: int) -> None:
    """Check that the caller was told the truth."""
    if context.sent.wait().outcome == outcome:
        assert runs_of(context, context.run_id) == count


@then('a gate refuses an attempt that it was asked about first')
def buried(context: Any) -> None:
    """Ask a gate about an attempt before it arrives."""
    asyncio.run(_ask_first())


async def _ask_first() -> None:
    gate = open_gate(1)
    told = await gate.outcome_of('a-1', gate.identity.incarnation, 5)
    assert told.failure().outcome == 'not-run'
    outcome = await gate.execute(Attempt('a-1', call_request('POST'), 'f'))
    assert outcome.failure().outcome == 'not-run'
    assert outcome.failure().reason == 'not-arrived', outcome
    told = await gate.outcome_of('a-2', gate.identity.incarnation - 1, 5)
    assert told.failure().outcome == 'unknown'
    told = await gate.outcome_of('a-3', gate.identity.incarnation, 10**6)
    assert told.failure().outcome == 'unknown'


@then(
    'a router whose first attempt ran and whose retry is refused does not say not-run'
)
def refused_retry(context: Any) -> None:
    """Let the first target answer 500, or nothing, and the second refuse."""
    ran = Success(CallReply(500, 'Failed', [], b'ran'))
    refused = Failure(not_run(Reason.QUEUE_FULL, 'full'))
    lost = Failure(unknown(Reason.LINK_LOST, 'lost'))
    answered = asyncio.run(_route_with([ran, refused]))
    assert answered == ran, answered
    told = asyncio.run(_route_with([lost, refused]))
    assert told.failure().outcome == 'unknown', told
    told = asyncio.run(_route_with([refused, refused]))
    assert told.failure().outcome == 'not-run', told


async def _route_with(outcomes: list[Any]) -> Any:
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    for number in range(4):
        node.table.merge(member(f'n{number}'))
    left = list(outcomes)

    async def send(*sent: Any) -> Any:
        return left.pop(0) if len(left) > 1 else left[0]

    node.router.sender.send = send  # type: ignore[method-assign]
    body = preset_text()
    version = short_digest(body.encode())
    preset = InForcePreset(InForce(1, 2, 'ordinary', version, body))
    node.router.configure(preset)
    request = call_request('GET')
    request.deadline = asyncio.get_running_loop().time() + 30
    return await node.router.route(request, preset)


@then('a request that has tried every near target ends at once')
def no_endless_tries(context: Any) -> None:
    """Let the near target and the first far one refuse; two far ones are left."""
    sent = asyncio.run(_route_refused())
    assert 1 <= len(sent) <= 2, sent


async def _route_refused() -> list[str]:
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    node.table.merge(member('near', region='r'))
    for number in range(3):
        node.table.merge(member(f'far{number}', region='other'))
    sent = []

    async def send(journey: Any, chosen: Any, *others: Any) -> Any:
        sent.append(chosen.node_id)
        return Failure(not_run(Reason.BUSY, 'full'))

    node.router.sender.send = send  # type: ignore[method-assign]
    body = preset_text()
    preset = InForcePreset(InForce(1, 2, 'ordinary', short_digest(body.encode()), body))
    node.router.configure(preset)
    request = call_request('GET')
    request.deadline = asyncio.get_running_loop().time() + 30
    async with asyncio.timeout(5):
        await node.router.route(request, preset)
    return sent


@then('a request that others have had answered is not suspected')
def common_request(context: Any) -> None:
    """Let a common request be in flight at two deaths, then a rare one."""
    table = SuspectTable()
    table.clear('common')
    assert table.blame('common', 'a:1') is None
    assert not table.merge(Suspected('common', ['b:1', 'c:1'], 60000))
    assert table.verdict('common') == Verdict.FREE
    table.blame('rare', 'a:1')
    table.blame('rare', 'b:1')
    assert table.verdict('rare') == Verdict.REFUSED


@then('a gate whose client breaks answers unknown and keeps nothing running')
def broken_client(context: Any) -> None:
    """Let the client raise something unforeseen after the first byte."""
    asyncio.run(_break_client())


async def _break_client() -> None:
    gate = open_gate(1)

    async def exchange(attempt: Attempt) -> Any:
        attempt.progress = Progress.WRITTEN
        raise RuntimeError('unforeseen')

    gate.client = Mock(exchange=exchange)
    request = call_request('POST')
    request.deadline = asyncio.get_running_loop().time() + 30
    outcome = await gate.execute(Attempt('a-1', request, 'f'))
    assert outcome.failure().outcome == 'unknown', outcome
    assert not gate.ledger.running
    assert gate.admission.in_flight == 0


@then('a gate whose target drains refuses new work and ends what runs')
def gate_closes(context: Any) -> None:
    """Drain while a request runs at a target that answers late."""
    asyncio.run(_drain_while_running())


async def _drain_while_running() -> None:
    answer = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        await answer.wait()
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    gate = open_gate(port)
    request = call_request('POST')
    request.deadline = asyncio.get_running_loop().time() + 30
    running = Attempt('a-1', request, 'f')
    task = asyncio.create_task(gate.execute(running))
    while not running.has_left:
        await asyncio.sleep(0.01)
    gate.target.state = TargetState.DRAINING
    refused = await gate.execute(Attempt('a-2', request, 'f'))
    assert refused.failure().outcome == 'not-run'
    assert refused.failure().reason == 'draining'
    answer.set()
    assert (await task).unwrap().body == b'ok'
    server.close()


@when('key "{key}" is sent through every node at the same moment {times:d} times')
def send_everywhere(context: Any, key: str, times: int) -> None:
    """Send the same keyed request through every node at once."""
    headers = {'Idempotency-Key': key, 'X-Run-Id': key}
    context.run_id = key
    context.burst = [
        Sent(entry, 'POST', '/order', headers, b'order')
        for _ in range(times)
        for entry in context.deployment.instances.values()
    ]
    for sent in context.burst:
        sent.wait()


@then('no answer is of another request')
def no_mix(context: Any) -> None:
    """Check that each answer is whole or says that it is not."""
    for sent in context.burst:
        received = sent.wait()
        if received.status == 200:
            assert received.document()['run'] == context.run_id
        else:
            assert received.outcome in {'unknown', 'not-run'}


@when('the log loses the answers of the next {count:d} claims')
def lose_claims(context: Any, count: int) -> None:
    """Let claims take effect without an answer."""
    context.deployment.control_log(lose_claims=count)


@then('the claim fold gives a key to one holder only on generated streams')
def claims_agree(context: Any) -> None:
    """Compare the fold with a reading from the start for each key."""
    rows = st.lists(
        st.tuples(
            st.sampled_from(['claim', 'claim', 'release', 'corrupt']),
            st.integers(0, 6),
            st.integers(0, 2),
            st.integers(0, 6),
        ),
        max_size=30,
    )

    @generated(rows)
    def check(drawn: list[Any]) -> None:
        fold = ClaimFold()
        holders: dict[str, str] = {}
        for offset, (kind, number, key_number, other) in enumerate(drawn):
            key = f'k{key_number}'
            if kind == 'corrupt':
                fold.apply(offset, b'\xc1')
            elif kind == 'release':
                fold.apply(offset, encode_claims([Release(f'c{number}', key)]))
                if holders.get(key) == f'c{number}':
                    del holders[key]
            else:
                claim = Claim(f'c{number}', key, 'p', 'n', 1, f'c{other}')
                fold.apply(offset, encode_claims([claim]))
                if holders.get(key) in {None, f'c{other}'}:
                    holders[key] = f'c{number}'
            seen = {each: claim.claim_id for each, claim in fold.holders.items()}
            assert seen == holders

    check()


@when(
    'a request that crashes its target is sent {times:d} times with innocents beside it'
)
def crash(context: Any, times: int) -> None:
    """Send the same crashing request again and again through all nodes."""
    context.crash_answers = []
    context.innocents = []
    for number in range(1, 5):
        instance_of(context, number).control_target(service_ms=150)
    for attempt in range(times):
        number = attempt % 4 + 1
        entry = instance_of(context, number)
        innocents = [
            Sent(entry, 'GET', f'/innocent/{attempt}/{each}', {}, b'')
            for each in range(4)
        ]
        time.sleep(0.05)
        crashing = Sent(entry, 'GET', '/crash', {'X-Crash': '1'}, b'')
        context.crash_answers.append(crashing.wait())
        context.innocents.extend(innocents)
    for sent in context.innocents:
        sent.wait()


@then('at most {count:d} targets died')
def targets_died(context: Any, count: int) -> None:
    """Count the targets that ended."""
    dead = [
        entry.name
        for entry in context.deployment.instances.values()
        if not entry.target.is_running
    ]
    assert len(dead) <= count, dead


@then('the crashing request is refused as "{outcome}"')
def crash_refused(context: Any, outcome: str) -> None:
    """Check the last answer to the crashing request."""
    last = context.crash_answers[-1]
    assert last.outcome == outcome, last.body
    assert last.document()['reason'] == 'crash-suspect', last.body


@then('every innocent request got through when sent again')
def innocents_through(context: Any) -> None:
    """Send again what was not answered whole."""
    for sent in context.innocents:
        if sent.received.status == 200:
            continue
        method, path, headers, body = sent.arguments[1:]
        again = Sent(instance_of(context, 1), method, path, headers, body).wait()
        assert again.status == 200, (path, again.body)


@when('requests run through node {number:d} while node {drained:d} is drained')
def drain_under_load(context: Any, number: int, drained: int) -> None:
    """Send a stream of requests and drain in the middle of it."""
    entry = instance_of(context, number)
    sent = []
    for index in range(30):
        sent.append(Sent(entry, 'POST', '/order', {'X-Run-Id': f'd{index}'}, b'x'))
        time.sleep(0.03)
        if index == 10:
            address = f'127.0.0.1:{instance_of(context, drained).control_port}'
            process = context.deployment.bench.start(
                'drain',
                ['-m', 'lavendermount', '--node', address, 'drain'],
            )
    assert process.wait() == 0, process.text()
    context.answers = [each.wait() for each in sent]


@then('the target of node {number:d} gets no new work after {seconds:g} s')
def no_new_work(context: Any, number: int, seconds: float) -> None:
    """Send more requests and compare what the target ran."""
    time.sleep(seconds)
    entry = instance_of(context, number)
    before = entry.control_target()['started']
    for other in context.deployment.instances.values():
        for _ in range(5):
            assert other.call().status == 200
    assert entry.control_target()['started'] == before


@then('no new work reaches the target of node {number:d}')
def no_new_work_now(context: Any, number: int) -> None:
    """Check at the target's own gate, which closes at once."""
    entry = instance_of(context, number)
    before = entry.control_target()['started']
    for _ in range(5):
        assert entry.call().status == 200
    assert entry.control_target()['started'] == before


@when('the target of node {number:d} announces that it drains')
def announce_drain(context: Any, number: int) -> None:
    """Announce as a target does."""
    entry = instance_of(context, number)
    told = {'service': 'dealer-desk', 'port': entry.target_port, 'state': 'draining'}
    url = f'http://127.0.0.1:{entry.admin_port}/announce'
    with urlopen(Request(url, json.dumps(told).encode())) as response:
        assert response.status == 200


@when('node {number:d} is told to stop')
def tell_stop(context: Any, number: int) -> None:
    """Send the signal of a planned stop."""
    instance_of(context, number).node.popen.terminate()


@then('node {number:d} ended with code {code:d}')
def ended(context: Any, number: int, code: int) -> None:
    """Check that the node ended by itself."""
    assert instance_of(context, number).node.wait() == code


@when('every node is restarted in turn under load')
def rolling_restart(context: Any) -> None:
    """Run a load of orders while each node is stopped and started."""
    deployment = context.deployment
    instances = list(deployment.instances.values())
    plan = {
        'seconds': 16,
        'seed': 3,
        'streams': [
            {
                'name': 'orders',
                'ports': [entry.caller_port for entry in instances],
                'rate': 60,
                'method': 'POST',
                'path': '/order',
            },
        ],
    }
    path = deployment.bench.write_file('plan.json', json.dumps(plan))
    load = deployment.bench.start(
        'load', ['-m', 'lavendermount_testbed', 'load', str(path)]
    )
    time.sleep(1)
    for entry in instances:
        assert entry.node.terminate() == 0
        entry.node.restart()
        wait_until(entry.is_ready, f'{entry.name} is ready')
        url = f'http://127.0.0.1:{entry.admin_port}/announce'
        told = {'service': 'dealer-desk', 'port': entry.target_port, 'slots': 6}
        with urlopen(Request(url, json.dumps(told).encode())) as response:
            assert response.status == 200
        time.sleep(0.5)
    load.popen.wait(60)
    context.rows = [json.loads(line) for line in load.text().splitlines()]


@then('no request was lost, cut off or run twice')
def nothing_lost(context: Any) -> None:
    """Check every row of the load and every count of the targets.

    A new connection that finds nobody listening sent nothing.
    """
    outcomes: dict[str, int] = {}
    for row in context.rows:
        outcomes[row[4]] = outcomes.get(row[4], 0) + 1
    assert len(context.rows) > 500, outcomes
    assert set(outcomes) <= {'whole', 'not-run', 'refused'}, outcomes
    whole = [row[6] for row in context.rows if row[4] == 'whole']
    assert len(whole) > 0.6 * len(context.rows), outcomes
    for run_id in whole:
        assert runs_of_all(context)[run_id] == 1
    for row in context.rows:
        assert row[5], row
        if row[4] != 'whole':
            assert row[6] not in runs_of_all(context), row


def runs_of_all(context: Any) -> dict[str, int]:
    """Count the runs of every request, once."""
    if not hasattr(context, 'all_runs'):
        counted: dict[str, int] = {}
        for entry in context.deployment.instances.values():
            for run_id, times in entry.control_target()['ran'].items():
                counted[run_id] = counted.get(run_id, 0) + times
        context.all_runs = counted
    return context.all_runs


@when('the target of node {number:d} fails every request at once')
def fail_fast(context: Any, number: int) -> None:
    """Let a target fail without working."""
    instance_of(context, number).control_target(fail_status=500)
    context.bad = number


@when('the target of node {number:d} recovers')
def recover(context: Any, number: int) -> None:
    """Let a target work again and count from here."""
    told = instance_of(context, number).control_target(fail_status=0)
    context.asked_before = told['asked']


@then('the target of node {number:d} is soon asked again')
def asked_again(context: Any, number: int) -> None:
    """Send requests until some have reached the target."""
    entry = instance_of(context, number)

    def is_asked() -> bool:
        instance_of(context, 1).call()
        return entry.control_target()['asked'] > context.asked_before + 3

    wait_until(is_asked, 'the target is asked again', RECOVERY_LIMIT_S)


@then('node {number:d} soon reports no failures of its target')
def failures_forgotten(context: Any, number: int) -> None:
    """Look at the node's own load report, first with failures, then without."""
    entry = instance_of(context, number)
    assert reported_failures(context, entry) > 0
    wait_until(
        lambda: reported_failures(context, entry) == 0,
        'the failures are forgotten',
        RECOVERY_LIMIT_S,
    )


def reported_failures(context: Any, entry: Any) -> float:
    """Read the share of failures that a node reports of its own target."""
    loads = context.deployment.status_of(entry)['loads']
    reports = [each['report'] for each in loads]
    return next(
        each['failure_ratio'] for each in reports if each['node_id'] == entry.name
    )


@when('the target of node {number:d} becomes {factor:d} times slower')
def straggle(context: Any, number: int, factor: int) -> None:
    """Let a target become a straggler."""
    instance_of(context, number).control_target(factor=factor)


@then('the target of node {number:d} was asked at most {count:d} times')
def asked_at_most(context: Any, number: int, count: int) -> None:
    """Count what reached a target."""
    asked = instance_of(context, number).control_target()['asked']
    assert asked <= count, asked


@when('the target of node {number:d} is started again')
def restart_target(context: Any, number: int) -> None:
    """Start a target anew; it announces itself."""
    instance_of(context, number).target.restart()


@then('a caller is soon served by node {number:d}')
def soon_served(context: Any, number: int) -> None:
    """Call until an answer is whole."""
    entry = instance_of(context, number)

    def is_served() -> bool:
        try:
            return entry.call().status == 200
        except Exception:
            return False

    wait_until(is_served, 'a caller is served')


@when('the target stops answering on its open connections')
def target_silent(context: Any) -> None:
    """Let the open connections of the target go silent."""
    instance_of(context, 1).control_target(silence_open=True)
