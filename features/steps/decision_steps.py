"""Steps for routing decisions, admission control and replay."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import Any
from urllib.request import urlopen

from behave import given, then, when
from deployment_steps import instance_of
from hypothesis import given as generated
from hypothesis import strategies as st
from naive import NaiveAdmission, naive_expected_time
from request_steps import SentRequest, attempts_logged, send

from lavendermount_core.log.adapter import open_log
from lavendermount_core.models.records import pack, unpack
from lavendermount_core.replay.chain import ChainCheck
from lavendermount_core.replay.records import (
    DECISION_STREAM,
    DIGEST_LENGTH,
    DecisionBatch,
    DecisionRecord,
    compress_rows,
    decode_batch,
)
from lavendermount_core.replay.replay import Replay
from lavendermount_core.routing.candidates import Candidate, DecisionInputs, Tuning
from lavendermount_core.routing.policies import decide
from lavendermount_testbed.processes import wait_until
from lavendermountd.gate.admission import Admission, ClassRule, Ticket

IMMEDIATE_S = 1.5
TUNING = Tuning(3, 1000, 5000, 1, 20, 1000)
FULL_TUNING = Tuning(7, 1000, 5000, 1, 20, 1000, 400, 3, 12)
ZONE_TUNING = Tuning(4, 1000, 5000, 1, 20, 1000, 400, 3, 12, 50)
COUNTS = st.integers(0, 12)
TIMES = st.floats(0, 500, allow_nan=False).map(lambda number: round(number, 2))


@st.composite
def decision_inputs(draw: Any) -> DecisionInputs:
    """Generate the inputs of a routing decision."""
    candidates = [
        Candidate(
            f'node-{number}',
            draw(st.integers(0, 3)),
            draw(COUNTS),
            draw(COUNTS),
            draw(COUNTS),
            draw(st.integers(0, 9)),
            draw(TIMES),
            draw(st.floats(0, 1).map(lambda share: round(share, 3))),
            draw(st.integers(0, 900)),
            draw(st.integers(0, 9000)),
            draw(st.integers(0, 9000)),
            draw(st.sampled_from((1.0, 1.5, 2.0, 4.0, 7.0))),
            draw(st.sampled_from((0, 0.5, 3.0, 20.0))),
            draw(st.integers(0, 2000)),
        )
        for number in range(draw(st.integers(1, 9)))
    ]
    seed = draw(st.integers(0, 2**48))
    return DecisionInputs(
        'expected-time',
        draw(st.sampled_from((TUNING, FULL_TUNING, ZONE_TUNING))),
        seed,
        1,
        draw(st.booleans()),
        candidates,
        draw(TIMES),
        draw(st.booleans()),
    )


@then('the expected-time policy matches the naive implementation on generated inputs')
def policy_agrees(context: Any) -> None:
    """Compare the targets chosen by both implementations."""

    @generated(decision_inputs())
    def check(inputs: DecisionInputs) -> None:
        assert decide(inputs).chosen == naive_expected_time(inputs)

    check()


def recorded_from(inputs: DecisionInputs, policy: str) -> DecisionRecord:
    """Make a decision and record it as a node does."""
    inputs.policy = policy
    decision = decide(inputs)
    rows = [candidate.to_row() for candidate in inputs.candidates]
    return DecisionRecord(
        'r',
        1,
        'first',
        1,
        5,
        's',
        'c',
        't',
        policy,
        inputs.tuning.to_row(),
        inputs.seed,
        inputs.turn,
        inputs.is_link_allowed,
        rows,
        decision.chosen,
        decision.scores,
        'whole:200',
        1,
        inputs.reply_kb,
        inputs.is_abroad,
    )


@then('a decision whose candidates have no rate limit is replayed without a difference')
def earlier_decisions_replay(context: Any) -> None:
    """Record a decision, and shorten the rows of its candidates to their former length."""

    @generated(decision_inputs())
    def check(inputs: DecisionInputs) -> None:
        for candidate in inputs.candidates:
            candidate.limit_per_s = 0
        inputs.is_abroad = False
        inputs.tuning = FULL_TUNING
        recorded = recorded_from(inputs, 'expected-time')
        recorded.candidates = [row[:-2] for row in recorded.candidates]
        recorded.tuning = recorded.tuning[:-1]
        row = recorded.to_row()[:-2]
        decoded = DecisionRecord.from_row(unpack(pack(row)))
        replay = Replay({})
        replay.check(decoded)
        assert not replay.report.differences, replay.report.differences

    check()


@then('recorded decisions replay without differences on generated inputs')
def decisions_replay(context: Any) -> None:
    """Record, encode, decode and replay a decision, then replay a tampered copy."""

    @generated(
        decision_inputs(), st.sampled_from(['expected-time', 'round-robin', 'random'])
    )
    def check(inputs: DecisionInputs, policy: str) -> None:
        recorded = recorded_from(inputs, policy)
        decoded = DecisionRecord.from_row(unpack(pack(recorded.to_row())))
        replay = Replay({})
        replay.check(decoded)
        assert not replay.report.differences, replay.report.differences
        decoded.chosen = 'node-other'
        replay.check(decoded)
        assert len(replay.report.differences) == 1

    check()


CLASSES = ('a', 'b', 'c')


@st.composite
def class_rules(draw: Any) -> list[ClassRule]:
    """Generate the admission rules of three classes."""
    return [
        ClassRule(
            name,
            draw(st.integers(0, 2)),
            draw(st.integers(0, 3)),
            draw(st.integers(0, 4)),
        )
        for name in CLASSES
    ]


@then('admission control matches the naive implementation on generated sequences')
def admission_agrees(context: Any) -> None:
    """Offer and release tickets in both implementations and compare every result."""
    steps = st.lists(
        st.tuples(
            st.sampled_from(['offer', 'offer', 'release']),
            st.sampled_from(CLASSES),
            st.integers(0, 50),
            st.integers(0, 9).map(lambda number: number == 0),
        ),
        max_size=40,
    )

    @generated(st.integers(1, 6), class_rules(), steps)
    def check(slots: int, rules: list[ClassRule], drawn: list[Any]) -> None:
        real = Admission(slots)
        real.replace_rules(rules)
        naive = NaiveAdmission(slots, rules)
        for number, (action, name, pick, alone) in enumerate(drawn):
            if action == 'release' and naive.running:
                ticket = naive.running[pick % len(naive.running)]
                assert real.release(ticket) == naive.release(ticket)
            elif action == 'offer':
                ticket = Ticket(name, pick + number / 1000, alone)
                assert offer(real, ticket) == naive.offer(ticket)
            assert real.in_flight == len(naive.running)
            assert real.queued == len(naive.waiting)

    check()


def offer(admission: Admission, ticket: Ticket) -> str:
    """Offer a ticket as the gate does."""
    if admission.try_start(ticket):
        return 'run'
    return 'wait' if admission.enqueue(ticket) else 'full'


@when('{count:d} requests are sent to node {number:d}')
def send_many(context: Any, count: int, number: int) -> None:
    """Send requests one after the other and keep the responses."""
    context.responses = []
    for _ in range(count):
        context.responses.append(send(context, number).wait())


@then('every request got a complete response')
def all_answered(context: Any) -> None:
    """Check that all responses that were kept have status 200."""
    bad = [
        (each.status, each.body[:200])
        for each in context.responses
        if each.status != 200
    ]
    entries = context.deployment.instances.values()
    assert not bad, f'{len(bad)}: {bad[:3]}{attempts_logged(entries)}'


@when('the decisions have reached the log')
def decisions_stored(context: Any) -> None:
    """Wait until the log holds the decision of the latest request."""
    request_id = context.sent.wait().headers['X-Request-Id']

    def is_stored() -> bool:
        return context.deployment.run_cli('explain', request_id).popen.returncode == 0

    wait_until(is_stored, 'the decision is on the log')


@then('replay reports no difference')
def replay_clean(context: Any) -> None:
    """Check that the ``replay`` command succeeds without differences."""
    replayed = context.deployment.run_cli('replay')
    assert replayed.popen.returncode == 0, replayed.read_output()
    assert 'differences=0' in replayed.read_output()


@then('explain shows why the latest request was routed to its target')
def explain_latest(context: Any) -> None:
    """Check the text of the ``explain`` command."""
    request_id = context.sent.wait().headers['X-Request-Id']
    text = context.deployment.run_cli('explain', request_id).read_output()
    for part in ('2 targets were seen', 'was chosen', 'expected', 'outcome whole:200'):
        assert part in text, text


@when('a decision on the log is tampered with')
def tamper(context: Any) -> None:
    """Append a copy of the last batch in which a decision names another target."""
    asyncio.run(_append_tampered(context.deployment.log_url))


async def _append_tampered(url: str) -> None:
    log = open_log('http', url, 5)
    batch = await log.read(DECISION_STREAM, 0)
    stored = decode_batch(batch.records[-1].body)
    decisions = stored.decisions()
    decisions[0].chosen = 'north-dealer-desk-9'
    stored.rows = compress_rows(pack(each.to_row()) for each in decisions)
    await log.append(DECISION_STREAM, pack(stored.to_row()))


@then('replay reports differences')
def replay_differs(context: Any) -> None:
    """Check that the ``replay`` command fails and prints the difference."""
    replayed = context.deployment.run_cli('replay')
    assert replayed.popen.returncode == 5, replayed.read_output()
    assert 'replay chose' in replayed.read_output(), replayed.read_output()


@then('replay under a changed policy reports differences')
def replay_changed_policy(context: Any) -> None:
    """Replay a recorded decision against a preset with another policy."""
    from builders import preset_text

    inputs = DecisionInputs('random', TUNING, 1, 1, True, [])
    body = preset_text('x', choosing='policy = "round-robin"')
    replay = Replay({5: body})
    replay.check(recorded_from(inputs, 'random'))
    assert replay.report.differences, (
        'replay reported no difference after the policy changed'
    )


@when(
    '{lookups:d} lookups and then {dealers:d} dealer requests are sent to node {number:d}'
)
def lookups_then_dealers(context: Any, lookups: int, dealers: int, number: int) -> None:
    """Start the lookups, wait until four run, then send the dealer requests."""
    instance = instance_of(context, number)
    context.lookups = [
        SentRequest(instance, 'GET', '/prices', {}, b'') for _ in range(lookups)
    ]
    wait_until(lambda: instance.control_target()['started'] >= 4, 'lookups run')
    context.dealers = [
        SentRequest(instance, 'GET', '/stock', {}, b'') for _ in range(dealers)
    ]


@then('the dealer requests take less than {seconds:g} s')
def dealer_latency(context: Any, seconds: float) -> None:
    """Check that no dealer request waited for a lookup to end."""
    for dealer in context.dealers:
        assert dealer.wait().status == 200
        assert dealer.elapsed_s < seconds, dealer.elapsed_s


@then(
    'lookups beyond the queue limit are refused immediately with a Retry-After header'
)
def lookups_refused(context: Any) -> None:
    """Check that lookups beyond the queue limit got 503 and Retry-After at once."""
    refused = [each for each in context.lookups if each.wait().status == 503]
    assert len(refused) == 4, len(refused)
    for each in refused:
        assert each.received.outcome == 'not-run'
        assert int(each.received.headers['Retry-After']) >= 1
        assert each.elapsed_s < IMMEDIATE_S, each.elapsed_s


@when('the target has a known service time and all its slots are occupied')
def fill_slots(context: Any) -> None:
    """Send a request that the gate learns the service time from, then fill all slots."""
    instance = instance_of(context, 1)
    send(context, 1).wait()
    context.fillers = [
        SentRequest(instance, 'GET', '/stock', {}, b'') for _ in range(6)
    ]
    wait_until(
        lambda: instance.control_target()['started'] >= 7, 'all slots are occupied'
    )


@when('{count:d} more requests wait in the queue')
def fill_queue(context: Any, count: int) -> None:
    """Send requests that find no free slot, with deadlines long enough to wait."""
    instance = instance_of(context, 1)
    headers = {'X-Deadline-Ms': '60000'}
    waiting = [
        SentRequest(instance, 'GET', '/stock', headers, b'') for _ in range(count)
    ]
    context.fillers.extend(waiting)
    wait_until(
        lambda: read_gauge(instance, 'queued') >= count, f'{count} requests wait'
    )


@given('the targets of the other nodes take {service_ms:d} ms')
def slow_others(context: Any, service_ms: int) -> None:
    """Slow down all other targets so that node 1 prefers its own."""
    for number in range(2, len(context.deployment.instances) + 1):
        instance_of(context, number).control_target(service_ms=service_ms)


@when(
    'the target of node {number:d} takes {ms:d} ms and {count:d} requests are sent to node {entry:d}'
)
def slow_target(context: Any, number: int, ms: int, count: int, entry: int) -> None:
    """Slow down a target and send requests, so that nodes measure it."""
    instance_of(context, number).control_target(service_ms=ms)
    send_many(context, count, entry)


@when('one target hangs and {count:d} requests are sent to node {number:d}')
def hang_target(context: Any, count: int, number: int) -> None:
    """Make the node's own target stop replying, and send requests one after the other."""
    instance = instance_of(context, number)
    context.hedges_before = read_gauge(instance, 'hedges')
    instance.control_target(silent=True)
    send_many(context, count, number)


def read_gauge(instance: Any, name: str) -> float:
    """Read a gauge of a node."""
    with urlopen(f'http://127.0.0.1:{instance.admin_port}/metrics') as response:
        lines = response.read().decode().splitlines()
    prefix = f'lavendermount_node_state{{name="{name}"}} '
    return next(float(line[len(prefix) :]) for line in lines if line.startswith(prefix))


@then('hedged requests were sent within their budget')
def hedges_within_budget(context: Any) -> None:
    """Compare with the budget, a burst of 5 plus 5 % of 120 requests; allow one more."""
    instance = instance_of(context, 1)
    sent = read_gauge(instance, 'hedges')
    assert sent > context.hedges_before, 'no hedge was sent' + attempts_logged(
        [instance]
    )
    assert sent <= 5 + 0.05 * 120 + 1, sent


@when('every target fails and {count:d} requests are sent to node {number:d}')
def fail_all_targets(context: Any, count: int, number: int) -> None:
    """Make all targets reply with status 500 and send requests one after the other."""
    for instance in context.deployment.instances.values():
        instance.control_target(fail_status=500)
    for _ in range(count):
        send(context, number).wait()


@then('the targets received at most {count:d} requests')
def attempts_at_most(context: Any, count: int) -> None:
    """Count the attempts by the recorded decisions."""
    process = context.deployment.run_cli('status', '--json')
    recorded = int(json.loads(process.read_output())['decisions'])
    assert recorded <= count, recorded


def chained_batches(count: int, eras: dict[int, int]) -> list[DecisionBatch]:
    """Build batches of one process, each linked to the one before.

    :param eras: era of each batch that was not appended in era 0.
    """
    batches: list[DecisionBatch] = []
    for sequence in range(count):
        previous = batches[-1].digest() if batches else ''
        rows = compress_rows([pack(sequence)])
        era = eras.get(sequence, 0)
        batches.append(DecisionBatch('n', 1, sequence, previous, 0, rows, era))
    return batches


def check_chain(batches: list[DecisionBatch]) -> tuple[int, int, int]:
    """Check batches as the reader of the stream does.

    :returns: numbers of findings, losses and repeated batches.
    """
    chain = ChainCheck()
    findings = 0
    repeated = 0
    for batch in batches:
        if chain.is_repeated(batch):
            repeated += 1
            continue
        findings += len(chain.check(batch, 'test'))
    return findings, len(chain.losses), repeated


@then(
    'a gap before a batch of a later era is a loss and a gap within an era is a finding'
)
def gaps_and_eras(context: Any) -> None:
    """Leave out two batches before one of the same era or of the next."""
    same_era = chained_batches(6, {})
    later_era = chained_batches(6, {4: 1, 5: 1})
    assert check_chain(same_era[:2] + same_era[4:]) == (1, 0, 0)
    assert check_chain(later_era[:2] + later_era[4:]) == (0, 1, 0)
    assert check_chain(later_era) == (0, 0, 0)


@then('a batch that was sent again in a later era counts once and breaks no chain')
def sent_again_in_later_era(context: Any) -> None:
    """Store a batch in era 0 and again in era 1; the next one refers to the second."""
    first = chained_batches(2, {})
    second = chained_batches(3, {1: 1, 2: 1})
    assert check_chain([*first, *second[1:]]) == (0, 0, 1)


@then('a changed copy of a batch is a finding, whichever era it names')
def changed_copy(context: Any) -> None:
    """Append a copy of the last batch with other rows."""
    batches = chained_batches(2, {})
    for era in (0, 1):
        changed = DecisionBatch.from_row(batches[-1].to_row())
        changed.rows = compress_rows([pack('changed')])
        changed.era = era
        assert check_chain([*batches, changed]) == (1, 0, 0), era


@then('batches that were stored before the log had eras still form a chain')
def batches_without_era(context: Any) -> None:
    """Link rows without an era by their digests, as earlier versions did."""
    previous = ''
    stored = []
    for sequence in range(3):
        body = pack(['n', 1, sequence, previous, 0, compress_rows([pack(sequence)])])
        previous = hashlib.sha256(body).hexdigest()[:DIGEST_LENGTH]
        stored.append(decode_batch(body))
    assert check_chain(stored) == (0, 0, 0)
