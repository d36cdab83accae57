"""Steps for faults of links, gates and targets, keyed requests, drains and restarts."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from unittest.mock import Mock, patch
from urllib.request import Request, urlopen

from behave import then, when
from builders import (
    NODE_SETTINGS,
    FakeClock,
    call_request,
    gate_with_target,
    member,
    preset_text,
)
from deployment_steps import instance_of
from fakes import FakeClaimLog, StoredLog
from hypothesis import given as generated
from hypothesis import strategies as st
from request_steps import SentRequest, runs_of
from returns.result import Failure, Success

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.models.calls import (
    CallReply,
    Reason,
    not_run_refusal,
    unknown_refusal,
)
from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_core.utils.digests import short_digest
from lavendermount_testbed.processes import wait_until
from lavendermountd.claims.records import (
    Claim,
    Release,
    RestoredClaim,
    encode_claims,
)
from lavendermountd.claims.stream import ClaimFold, ClaimStream
from lavendermountd.gate.attempts import Attempt, Progress
from lavendermountd.gate.suspects import SuspectTable, Verdict
from lavendermountd.gate.target import Target, TargetState
from lavendermountd.node import Node
from lavendermountd.peer.frames import CrashSuspicion
from lavendermountd.presets.holder import compile_preset

RECOVERY_LIMIT_S = 20
# Time within which a target that has recovered is used like the others.
TARGET_RECOVERY_S = 15
# A connection may close this long after a request that crosses the close.
LOSS_SLACK_MS = 200
DISCARD_EVENT = 'event=request-discarded'


@when('the targets take {service_ms:d} ms')
def set_service_time(context: Any, service_ms: int) -> None:
    """Set the service time of every target."""
    for instance in context.deployment.instances.values():
        instance.control_target(service_ms=service_ms)


@when('the open connections to the {region} drop all bytes while new ones work')
def silence_open_connections(context: Any, region: str) -> None:
    """Drop all bytes on the connections that are open now."""
    context.deployment.control_link(region, silence_open=True)


@when('the response has arrived')
def response_arrived(context: Any) -> None:
    """Wait for the response to the latest request."""
    context.sent.wait()


@then('a response of "{outcome}" means that the request ran {count:d} times')
def outcome_matches_runs(context: Any, outcome: str, count: int) -> None:
    """Check that the reported outcome agrees with the number of runs."""
    if context.sent.wait().outcome == outcome:
        assert runs_of(context, context.run_id) == count


@then('a gate refuses an attempt whose outcome was queried before it arrived')
def query_before_arrival(context: Any) -> None:
    """Query the outcome of an attempt before it arrives at a gate.

    The outcome is unknown if the attempt is too old or was sent to an earlier
    incarnation.
    """
    asyncio.run(_query_first())


async def _query_first() -> None:
    gate = gate_with_target(1)
    queried = await gate.outcome_of('a-1', gate.identity.incarnation, 5)
    assert queried.failure().outcome == 'not-run'
    outcome = await gate.execute(Attempt('a-1', call_request('POST'), 'f'))
    assert outcome.failure().outcome == 'not-run'
    assert outcome.failure().reason == 'not-arrived', outcome
    queried = await gate.outcome_of('a-2', gate.identity.incarnation - 1, 5)
    assert queried.failure().outcome == 'unknown'
    queried = await gate.outcome_of('a-3', gate.identity.incarnation, 10**6)
    assert queried.failure().outcome == 'unknown'


@then(
    'a gate returns the outcome of an attempt that was sent {age_s:d} s ago once it ends'
)
def query_long_running(context: Any, age_s: int) -> None:
    """Query an attempt while it runs and after its end, and one that never arrived."""
    asyncio.run(_query_long_running(age_s * 1000))


async def _query_long_running(age_ms: int) -> None:
    gate = gate_with_target(1)
    incarnation = gate.identity.incarnation
    attempt = Attempt('a-1', call_request('POST'), 'f', is_remote=True)
    gate.attempt_table.open(attempt)
    query = asyncio.create_task(gate.outcome_of('a-1', incarnation, age_ms))
    await asyncio.sleep(0)
    assert not query.done()
    reply = Success(CallReply(200, 'OK', [], b''))
    gate.attempt_table.close(attempt, reply, time.monotonic())
    assert (await query) is reply
    assert (await gate.outcome_of('a-1', incarnation, age_ms)) is reply
    queried = await gate.outcome_of('a-2', incarnation, age_ms)
    assert queried.failure().outcome == 'unknown'


@then('a router does not report not-run if an attempt ran before a refused retry')
def retry_refused(context: Any) -> None:
    """Let the first attempt return 500 or lose its link, and the retry be refused."""
    ran = Success(CallReply(500, 'Failed', [], b'ran'))
    refused = Failure(not_run_refusal(Reason.QUEUE_FULL, 'full'))
    link_lost = Failure(unknown_refusal(Reason.LINK_LOST, 'lost'))
    result = asyncio.run(_route_with([ran, refused]))
    assert result == ran, result
    result = asyncio.run(_route_with([link_lost, refused]))
    assert result.failure().outcome == 'unknown', result
    result = asyncio.run(_route_with([refused, refused]))
    assert result.failure().outcome == 'not-run', result


async def _route_with(outcomes: list[Any]) -> Any:
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    for number in range(4):
        node.table.merge(member(f'n{number}'))
    remaining = list(outcomes)

    async def send(*arguments: Any) -> Any:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    node.router.sender.send = send  # type: ignore[method-assign]
    body = preset_text()
    version = short_digest(body.encode())
    preset = compile_preset(PresetSnapshot(1, 2, 'ordinary', version, body))
    node.router.configure(preset)
    request = call_request('GET')
    request.deadline = asyncio.get_running_loop().time() + 30
    return await node.router.route(request, preset)


@then('a request fails immediately once no permitted target is left')
def fails_without_permitted_target(context: Any) -> None:
    """Let the near target and the first remote one refuse; two remote ones remain."""
    tried = asyncio.run(_route_refused())
    assert 1 <= len(tried) <= 2, tried


async def _route_refused() -> list[str]:
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    node.table.merge(member('near', region='r'))
    for number in range(3):
        node.table.merge(member(f'far{number}', region='other'))
    tried = []

    async def send(state: Any, chosen: Any, *others: Any) -> Any:
        tried.append(chosen.node_id)
        return Failure(not_run_refusal(Reason.BUSY, 'full'))

    node.router.sender.send = send  # type: ignore[method-assign]
    body = preset_text()
    preset = compile_preset(
        PresetSnapshot(1, 2, 'ordinary', short_digest(body.encode()), body)
    )
    node.router.configure(preset)
    request = call_request('GET')
    request.deadline = asyncio.get_running_loop().time() + 30
    async with asyncio.timeout(5):
        await node.router.route(request, preset)
    return tried


@then('a request that has completed before is not suspected')
def completed_request_not_suspected(context: Any) -> None:
    """Record targets that crash while one of two requests is in flight.

    The first request has completed before and stays free after three crashes. The
    second has never completed and is refused after two.
    """
    table = SuspectTable()
    table.clear('common')
    assert table.add_victim('common', 'a:1') is None
    assert not table.merge(CrashSuspicion('common', ['b:1', 'c:1'], 60000))
    assert table.verdict('common') == Verdict.FREE
    table.add_victim('rare', 'a:1')
    table.add_victim('rare', 'b:1')
    assert table.verdict('rare') == Verdict.REFUSED


@then('a gate returns unknown and ends the attempt if its client raises an error')
def failing_client(context: Any) -> None:
    """Let the client raise an unexpected error after the first byte was written."""
    asyncio.run(_fail_in_client())


async def _fail_in_client() -> None:
    gate = gate_with_target(1)

    async def exchange(attempt: Attempt) -> Any:
        attempt.progress = Progress.WRITTEN
        raise RuntimeError('unexpected')

    gate.client = Mock(exchange=exchange)
    request = call_request('POST')
    request.deadline = asyncio.get_running_loop().time() + 30
    outcome = await gate.execute(Attempt('a-1', request, 'f'))
    assert outcome.failure().outcome == 'unknown', outcome
    assert not gate.attempt_table.running
    assert gate.admission.in_flight == 0


@then('a gate whose target is draining refuses new requests and finishes running ones')
def draining_gate_refuses(context: Any) -> None:
    """Drain while a request runs at a target that responds late."""
    asyncio.run(_drain_while_running())


async def _drain_while_running() -> None:
    may_respond = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        await may_respond.wait()
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    gate = gate_with_target(port)
    request = call_request('POST')
    request.deadline = asyncio.get_running_loop().time() + 30
    running = Attempt('a-1', request, 'f')
    task = asyncio.create_task(gate.execute(running))
    while not running.is_sent:
        await asyncio.sleep(0.01)
    gate.target.state = TargetState.DRAINING
    refused = await gate.execute(Attempt('a-2', request, 'f'))
    assert refused.failure().outcome == 'not-run'
    assert refused.failure().reason == 'draining'
    may_respond.set()
    assert (await task).unwrap().body == b'ok'
    server.close()


@when('key "{key}" is sent to every node {times:d} times at once')
def send_to_all_nodes(context: Any, key: str, times: int) -> None:
    """Send requests with the same idempotency key to every node at once."""
    headers = {'Idempotency-Key': key, 'X-Run-Id': key}
    context.run_id = key
    context.burst = [
        SentRequest(instance, 'POST', '/order', headers, b'order')
        for _ in range(times)
        for instance in context.deployment.instances.values()
    ]
    for sent in context.burst:
        sent.wait()


@then('no response belongs to another request')
def no_foreign_response(context: Any) -> None:
    """Check that each response is the request's own or reports its outcome."""
    for sent in context.burst:
        received = sent.wait()
        if received.status == 200:
            assert received.parse_json()['run'] == context.run_id
        else:
            assert received.outcome in {'unknown', 'not-run'}


@when('the log drops the responses to the next {count:d} claims')
def drop_claim_responses(context: Any, count: int) -> None:
    """Let claims take effect, but answer their appends with status 503."""
    context.deployment.control_log(lose_claims=count)


@then('the claim fold agrees with a naive implementation on generated streams')
def claims_agree(context: Any) -> None:
    """Compare the fold with a plain dictionary of holders after each record."""
    rows = st.lists(
        st.tuples(
            st.sampled_from(['claim', 'claim', 'release', 'restored', 'corrupt']),
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
        for offset, (kind, claim_number, key_number, superseded) in enumerate(drawn):
            key = f'k{key_number}'
            if kind == 'corrupt':
                fold.apply(offset, b'\xc1')
            elif kind == 'release':
                fold.apply(offset, encode_claims([Release(f'c{claim_number}', key)]))
                if holders.get(key) == f'c{claim_number}':
                    del holders[key]
            elif kind == 'restored':
                restored = RestoredClaim(f'c{claim_number}', key, 'p', 'n', 1, '')
                fold.apply(offset, encode_claims([restored]))
                holders[key] = f'c{claim_number}'
            else:
                claim = Claim(f'c{claim_number}', key, 'p', 'n', 1, f'c{superseded}')
                fold.apply(offset, encode_claims([claim]))
                if holders.get(key) in {None, f'c{superseded}'}:
                    holders[key] = f'c{claim_number}'
            found = {
                each: claim.claim_id for each, claim in fold.winning_claims.items()
            }
            assert found == holders

    check()


@then('a claim that the log lost is known to a node that had read it')
def lost_claim_is_known(context: Any) -> None:
    """Read a claim, let the log come back without it, and read again."""
    asyncio.run(_lose_claim())


async def _lose_claim() -> None:
    stored = StoredLog()
    stream = ClaimStream(FakeClaimLog(stored), 'claims.s')
    kept = Claim('c0', 'k0', 'p', 'n', 1, '')
    lost = Claim('c1', 'k1', 'p', 'n', 1, '')
    await stream.append(kept)
    assert await stream.winning_claim_at('k1', await stream.append(lost)) == lost
    stored.lose_latest(1)
    other = Claim('c2', 'k1', 'p', 'm', 1, '')
    assert await stream.winning_claim_at('k1', await stream.append(other)) == other
    assert stream.lost_claim('k1') == lost
    assert stream.lost_claim('k0') is None


@when('a crashing request is sent {times:d} times together with unrelated requests')
def send_crashing_request(context: Any, times: int) -> None:
    """Send the same crashing request repeatedly, to each node in turn."""
    context.crash_responses = []
    context.unrelated = []
    for number in range(1, 5):
        instance_of(context, number).control_target(service_ms=150)
    for attempt in range(times):
        number = attempt % 4 + 1
        instance = instance_of(context, number)
        unrelated = [
            SentRequest(instance, 'GET', f'/unrelated/{attempt}/{each}', {}, b'')
            for each in range(4)
        ]
        time.sleep(0.05)
        crashing = SentRequest(instance, 'GET', '/crash', {'X-Crash': '1'}, b'')
        context.crash_responses.append(crashing.wait())
        context.unrelated.extend(unrelated)
    for sent in context.unrelated:
        sent.wait()


@then('at most {count:d} targets crashed')
def targets_crashed(context: Any, count: int) -> None:
    """Count the targets whose process has exited."""
    crashed = [
        instance.name
        for instance in context.deployment.instances.values()
        if not instance.target.is_running
    ]
    assert len(crashed) <= count, crashed


@then('the crashing request is refused as "{outcome}"')
def crash_refused(context: Any, outcome: str) -> None:
    """Check the last response to the crashing request."""
    last = context.crash_responses[-1]
    assert last.outcome == outcome, last.body
    assert last.parse_json()['reason'] == 'crash-suspect', last.body


@then('every unrelated request that failed succeeds when sent again')
def unrelated_succeed(context: Any) -> None:
    """Send the unrelated requests again that failed the first time."""
    for sent in context.unrelated:
        if sent.received.status == 200:
            continue
        method, path, headers, body = sent.arguments[1:]
        retried = SentRequest(
            instance_of(context, 1), method, path, headers, body
        ).wait()
        assert retried.status == 200, (path, retried.body)


@when('requests are sent to node {number:d} while node {drained:d} is drained')
def drain_under_load(context: Any, number: int, drained: int) -> None:
    """Send a series of requests and drain the other node in the middle of it."""
    instance = instance_of(context, number)
    sent = []
    for index in range(30):
        sent.append(
            SentRequest(instance, 'POST', '/order', {'X-Run-Id': f'd{index}'}, b'x')
        )
        time.sleep(0.03)
        if index == 10:
            address = f'127.0.0.1:{instance_of(context, drained).control_port}'
            process = context.deployment.process_manager.start(
                'drain',
                ['-m', 'lavendermount', '--node', address, 'drain'],
            )
    assert process.wait() == 0, process.read_output()
    context.responses = [each.wait() for each in sent]


@then('the target of node {number:d} receives no new requests after {seconds:g} s')
def no_new_requests_after(context: Any, number: int, seconds: float) -> None:
    """Send requests to all nodes; the target must start none of them."""
    time.sleep(seconds)
    instance = instance_of(context, number)
    before = instance.control_target()['started']
    for other in context.deployment.instances.values():
        for _ in range(5):
            assert other.call().status == 200
    assert instance.control_target()['started'] == before


@then('the target of node {number:d} receives no new requests')
def no_new_requests(context: Any, number: int) -> None:
    """Send requests to the target's own node.

    Its gate refuses them immediately, so another target serves them.
    """
    instance = instance_of(context, number)
    before = instance.control_target()['started']
    for _ in range(5):
        assert instance.call().status == 200
    assert instance.control_target()['started'] == before


@when('the target of node {number:d} announces that it is draining')
def announce_draining(context: Any, number: int) -> None:
    """Send the announcement that a draining target sends."""
    instance = instance_of(context, number)
    announcement = {
        'service': 'dealer-desk',
        'port': instance.target_port,
        'state': 'draining',
    }
    url = f'http://127.0.0.1:{instance.admin_port}/announce'
    with urlopen(Request(url, json.dumps(announcement).encode())) as response:
        assert response.status == 200


@when('node {number:d} is sent SIGTERM')
def send_sigterm(context: Any, number: int) -> None:
    """Send the signal that starts a planned shutdown."""
    instance_of(context, number).node.popen.terminate()


@then('node {number:d} exited with code {code:d}')
def node_exited(context: Any, number: int, code: int) -> None:
    """Check that the node exits by itself, with the given exit code."""
    assert instance_of(context, number).node.wait() == code


@when('every node is restarted in turn under load')
def rolling_restart(context: Any) -> None:
    """Send orders at a fixed rate while each node in turn is stopped and started."""
    deployment = context.deployment
    instances = list(deployment.instances.values())
    plan = {
        'seconds': 16,
        'seed': 3,
        'streams': [
            {
                'name': 'orders',
                'ports': [instance.caller_port for instance in instances],
                'rate': 60,
                'method': 'POST',
                'path': '/order',
            },
        ],
    }
    path = deployment.process_manager.write_file('plan.json', json.dumps(plan))
    load = deployment.process_manager.start(
        'load', ['-m', 'lavendermount_testbed', 'load', str(path)]
    )
    time.sleep(1)
    for instance in instances:
        assert instance.node.terminate() == 0
        instance.node.restart()
        wait_until(instance.is_ready, f'{instance.name} is ready')
        url = f'http://127.0.0.1:{instance.admin_port}/announce'
        announcement = {
            'service': 'dealer-desk',
            'port': instance.target_port,
            'slots': 6,
        }
        with urlopen(Request(url, json.dumps(announcement).encode())) as response:
            assert response.status == 200
        time.sleep(0.5)
    load.popen.wait(60)
    context.rows = [json.loads(line) for line in load.read_output().splitlines()]


@then('no request was lost, truncated or run twice')
def no_request_lost(context: Any) -> None:
    """Check each row of the load generator against the run counts of the targets.

    The outcome ``refused`` is allowed: no node accepted the new connection, so
    nothing was sent. So is ``crossed``, if the request was not passed on and crossed
    the close of an idle connection of a stopping node: callers send it again.
    """
    outcomes: dict[str, int] = {}
    for row in context.rows:
        outcomes[row[4]] = outcomes.get(row[4], 0) + 1
    assert len(context.rows) > 500, outcomes
    assert set(outcomes) <= {'whole', 'not-run', 'refused', 'crossed'}, outcomes
    check_crossings(context)
    complete_run_ids = [row[6] for row in context.rows if row[4] == 'whole']
    assert len(complete_run_ids) > 0.6 * len(context.rows), outcomes
    for run_id in complete_run_ids:
        assert runs_of_all(context)[run_id] == 1
    for row in context.rows:
        assert row[5], row
        if row[4] != 'whole':
            assert row[6] not in runs_of_all(context), row


def check_crossings(context: Any) -> None:
    """Check that requests were only cut by crossing the close of a stopping node."""
    crossed = [row for row in context.rows if row[4] == 'crossed']
    assert all(row[2] <= LOSS_SLACK_MS for row in crossed), crossed
    output = ''.join(
        instance.node.read_output()
        for instance in context.deployment.instances.values()
    )
    assert 'event=request-unanswered' not in output
    discards = [line for line in output.splitlines() if DISCARD_EVENT in line]
    assert all('cause=stopping' in line for line in discards), discards
    assert len(crossed) <= len(discards), (crossed, discards)


def runs_of_all(context: Any) -> dict[str, int]:
    """Count the runs of each request on all targets; the counts are cached."""
    if not hasattr(context, 'all_runs'):
        counted: dict[str, int] = {}
        for instance in context.deployment.instances.values():
            for run_id, times in instance.control_target()['ran'].items():
                counted[run_id] = counted.get(run_id, 0) + times
        context.all_runs = counted
    return context.all_runs


@when('the target of node {number:d} fails every request immediately')
def fail_fast(context: Any, number: int) -> None:
    """Let a target return 500 without any service time."""
    instance_of(context, number).control_target(fail_status=500)
    context.failing_node = number


@when('the target of node {number:d} recovers')
def recover(context: Any, number: int) -> None:
    """Let a target succeed again and keep its request count so far."""
    counts = instance_of(context, number).control_target(fail_status=0)
    context.requests_before = counts['asked']


@then('the target of node {number:d} soon receives requests again')
def receives_requests_again(context: Any, number: int) -> None:
    """Send requests until more than three have reached the target."""
    instance = instance_of(context, number)

    def has_received_requests() -> bool:
        instance_of(context, 1).call()
        return instance.control_target()['asked'] > context.requests_before + 3

    wait_until(
        has_received_requests, 'the target receives requests again', RECOVERY_LIMIT_S
    )


@when('a target that failed every request completes one every {seconds:g} s')
def recover_with_few_requests(context: Any, seconds: float) -> None:
    """Let a target fail 60 requests, then complete one at each interval."""
    clock = FakeClock()
    context.target = Target()
    context.clock = clock
    with patch('lavendermountd.gate.target.time', clock):
        for _ in range(60):
            context.target.observe(5, is_failure=True)
        recovered_at = clock.now
        while clock.now + seconds <= recovered_at + TARGET_RECOVERY_S:
            clock.now += seconds
            context.target.observe(5, is_failure=False)
        clock.now = recovered_at + TARGET_RECOVERY_S


@then('its failure ratio is below {percent:g}% after 15 s')
def failure_ratio_is_low(context: Any, percent: float) -> None:
    """Check the ratio that the gate reports now."""
    ratio = context.target.current_failure_ratio(context.clock.now)
    assert ratio < percent / 100, ratio


@then(
    'a target whose requests are cancelled sooner than it usually replies '
    'keeps its averages'
)
def cancelled_early(context: Any) -> None:
    """Cancel ten requests after half of the usual time."""
    context.clock = FakeClock()
    context.target = Target()
    with patch('lavendermountd.gate.target.time', context.clock):
        for _ in range(5):
            context.target.observe(100, is_failure=False)
        for _ in range(10):
            context.target.observe_cancelled(50)
        assert context.target.current_failure_ratio(context.clock.now) == 0
        assert context.target.current_service_ms(context.clock.now) == 100


@then('the averages of such a target expire as if it got no requests')
def cancelled_do_not_refresh(context: Any) -> None:
    """Cancel a request every second; nothing else is sent."""
    with patch('lavendermountd.gate.target.time', context.clock):
        for _ in range(6):
            context.clock.now += 1
            context.target.observe_cancelled(50)
        assert context.target.is_expired(context.clock.now)


@then('node {number:d} soon reports no failures of its target')
def failures_expire(context: Any, number: int) -> None:
    """Check that the node's own load report has failures and later has none."""
    instance = instance_of(context, number)
    assert reported_failures(context, instance) > 0
    wait_until(
        lambda: reported_failures(context, instance) == 0,
        'the failures have expired',
        RECOVERY_LIMIT_S,
    )


def reported_failures(context: Any, instance: Any) -> float:
    """Return the failure ratio that a node reports for its own target."""
    loads = context.deployment.fetch_status(instance)['loads']
    reports = [each['report'] for each in loads]
    return next(
        each['failure_ratio'] for each in reports if each['node_id'] == instance.name
    )


@when('the target of node {number:d} becomes {factor:d} times slower')
def slow_target_down(context: Any, number: int, factor: int) -> None:
    """Multiply the service time of a target."""
    instance_of(context, number).control_target(factor=factor)


@then('the target of node {number:d} received at most {count:d} requests')
def received_at_most(context: Any, number: int, count: int) -> None:
    """Check the number of requests that reached a target."""
    received = instance_of(context, number).control_target()['asked']
    assert received <= count, received


@when('the target of node {number:d} is restarted')
def restart_target(context: Any, number: int) -> None:
    """Restart a target; it announces itself to its node."""
    instance_of(context, number).target.restart()


@then('requests to node {number:d} soon succeed')
def soon_succeeds(context: Any, number: int) -> None:
    """Send requests until one succeeds."""
    instance = instance_of(context, number)

    def has_succeeded() -> bool:
        try:
            return instance.call().status == 200
        except Exception:
            return False

    wait_until(has_succeeded, 'a request has succeeded')


@when('the target stops responding on its open connections')
def target_stops_responding(context: Any) -> None:
    """Let the target ignore requests on the connections that are open now."""
    instance_of(context, 1).control_target(silence_open=True)
