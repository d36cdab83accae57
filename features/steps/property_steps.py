"""Steps that check properties of single components on generated inputs."""

from __future__ import annotations

import time
from collections import Counter, deque
from itertools import chain, pairwise
from statistics import fmean
from typing import Any
from unittest.mock import patch

from behave import then
from builders import (
    FakeClock,
    gate_without_target,
    load_report,
    member,
    preset_text,
)
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st
from state_machines import (
    AttemptMachine,
    ClaimMachine,
    PresetMachine,
    search_for_violations,
)

from lavendermount_core.config.preset import RetryOptions, parse_preset
from lavendermount_core.utils.steps import run_steps
from lavendermountd.caller.splitting import choose_service
from lavendermountd.gate.concurrency_limit import ConcurrencyLimit
from lavendermountd.gate.reports import ReportedState, StartHistory, TargetReport
from lavendermountd.http1.request_parser import RequestLimits, RequestParser
from lavendermountd.presets.route_index import index_routes
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.retry_budget import RetryBudget
from lavendermountd.supervision.freeze import FreezeGuard

WINDOW_S = 10
RETRY_RATIO = 0.2
# Retries allowed in each window besides the share of the requests.
CONSTANT_BUDGET = 58
LIMITS = RequestLimits(16384, 65536)
# A body may be larger than all heads together may be.
SMALL_HEAD_LIMITS = RequestLimits(60, 65536)


def retry_options() -> RetryOptions:
    """Build a retry budget: a share of the requests and a constant part."""
    options, findings = RetryOptions.load(
        {
            'share': RETRY_RATIO,
            'burst': 0,
            'shared_burst': CONSTANT_BUDGET / 2,
            'shared_per_s': CONSTANT_BUDGET / 2 / WINDOW_S,
        },
        'test',
    )
    assert not findings
    return options


@then(
    '{nodes:d} nodes under skewed load stay within the shared retry budget in every window'
)
def shared_budget(context: Any, nodes: int) -> None:
    """Spend every node's whole budget while one node gets 20 requests per second.

    Each other node gets 20 / ``nodes``, rounded down, and one more in every other
    second.
    """
    clock = FakeClock()
    with patch('lavendermountd.routing.budgets.time', clock):
        budgets = [RetryBudget() for _ in range(nodes)]
        for budget in budgets:
            budget.configure(retry_options())
            budget.update_node_count(nodes)
        sent: deque[int] = deque(maxlen=WINDOW_S)
        spent: deque[int] = deque(maxlen=WINDOW_S)
        used: list[float] = []
        for second in range(60):
            requests = [20] + [20 // nodes + (second + n) % 2 for n in range(1, nodes)]
            sent.append(sum(requests))
            spent.append(sum(map(spend_all, budgets, requests)))
            if len(sent) == WINDOW_S:
                # Each node may have saved one token (``retry_budget.MIN_BURST``).
                allowed = RETRY_RATIO * sum(sent) + CONSTANT_BUDGET + nodes
                assert sum(spent) <= allowed, (second, sum(spent), allowed)
                used.append(sum(spent) / allowed)
            clock.now += 1
    print(f'nodes={nodes} used={fmean(used):.2f}')  # noqa: WPS421


def spend_all(budget: RetryBudget, requests: int) -> int:
    """Count requests, then retry until the budget is spent.

    :returns: number of retries.
    """
    for _ in range(requests):
        budget.earn('s')
    spent = 0
    while budget.try_spend('s'):
        spent += 1
    return spent


@then('{histories:d} generated attempt histories violate no invariant')
def attempt_histories(context: Any, histories: int) -> None:
    """Run the state machine of attempts on the same histories each time."""
    search_for_violations(AttemptMachine, histories, is_derandomized=True)


@then('{histories:d} generated claim histories violate no invariant')
def claim_histories(context: Any, histories: int) -> None:
    """Run the state machine of claims on the same histories each time."""
    search_for_violations(ClaimMachine, histories, is_derandomized=True)


@then('{histories:d} generated preset histories violate no invariant')
def preset_histories(context: Any, histories: int) -> None:
    """Run the state machine of presets on the same histories each time."""
    search_for_violations(PresetMachine, histories, is_derandomized=True)


@then('a node without known peers retries no more than its requests earn')
def lone_node_budget(context: Any) -> None:
    """Spend the whole budget of a node that knows no other node."""
    budget = RetryBudget()
    budget.configure(retry_options())
    assert spend_all(budget, 0) == 0
    spent = sum(spend_all(budget, 10) for _ in range(10))
    assert spent <= RETRY_RATIO * 100, spent


@then('the services of generated splits get their share of requests')
def split_shares(context: Any) -> None:
    """Compare the requests of each service with its weight."""
    weights = st.lists(st.integers(1, 99), min_size=2, max_size=4)

    @generated(weights, st.integers(1, 300))
    def check(drawn: list[int], count: int) -> None:
        parts = ''.join(
            f'[[route.split]]\nservice = "s{number}"\nweight = {weight}\n'
            for number, weight in enumerate(drawn)
        )
        text = preset_text() + f'\n[[route]]\npath = "/x"\nclass = "dealer"\n{parts}'
        route = parse_preset(text, 'test').route[-1]
        weights: dict[int, dict[str, float]] = {}
        chosen = Counter(choose_service(route, weights) for _ in range(count))
        for number, weight in enumerate(drawn):
            share = count * weight / sum(drawn)
            assert abs(chosen[f's{number}'] - share) <= len(drawn), chosen

    check()


REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(('GET', 'POST', 'DELETE', 'PUT')),
        st.text('abc/?=&%', max_size=8),
        st.binary(max_size=40) | st.sampled_from((b'x' * 300,)),
        st.booleans(),
    ),
    min_size=1,
    max_size=4,
)


@then('generated requests parse the same however their bytes are split')
def requests_in_pieces(context: Any) -> None:
    """Feed the bytes of some requests to a parser, split at generated places."""

    @generated(REQUESTS, st.lists(st.integers(0, 600), max_size=8))
    @settings(max_examples=200)
    def check(drawn: list[tuple[str, str, bytes, bool]], cuts: list[int]) -> None:
        payload = b''.join(map(encode_request, drawn))
        parser = RequestParser(SMALL_HEAD_LIMITS)
        places = sorted({0, len(payload), *(cut % (len(payload) + 1) for cut in cuts)})
        requests = list(
            chain.from_iterable(
                parser.feed(payload[start:end]) for start, end in pairwise(places)
            )
        )
        parsed = [
            (each.method, each.target, each.body, each.error_status)
            for each in requests
        ]
        assert parsed == [
            (method, f'/{path}', body, 0) for method, path, body, _ in drawn
        ], parsed

    check()


def encode_request(drawn: tuple[str, str, bytes, bool]) -> bytes:
    """Encode a request with a content length or in chunks."""
    method, path, body, is_chunked = drawn
    head = f'{method} /{path} HTTP/1.1\r\nHost: h\r\n'
    if not is_chunked:
        return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body
    chunk = f'{len(body):x}\r\n'.encode() + body + b'\r\n' if body else b''
    return f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode() + chunk + b'0\r\n\r\n'


@then('malformed requests are rejected and the bytes after them are dropped')
def malformed_heads(context: Any) -> None:
    """Parse malformed and oversized requests that could smuggle a second one."""
    following = b'GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n'
    conflicting_lengths = (
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    )
    for head, status in (
        (b'POST / HTTP/1.1\r\nHost: h\r\n' + conflicting_lengths, 400),
        (b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx', 400),
        (b'GET / HTTP/1.1\r\nBad Header: x\r\n\r\n', 400),
        (b'\x00\x01\x02\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nX: ' + b'y' * 20000 + b'\r\n\r\n', 431),
        (b'POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n' + b'z' * 70000, 413),
    ):
        parser = RequestParser(LIMITS)
        requests = parser.feed(head + following)
        assert requests[0].error_status == status, (head[:40], requests[0].error_status)
        # The oversized body is read and discarded, so parsing continues after it.
        if status != 413:
            assert len(requests) == 1, head[:40]
            assert not parser.feed(following), head[:40]


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(('i-1', 'i-2')),
        st.integers(1, 3),
        st.integers(1, 5),
        st.sampled_from(tuple(ReportedState)),
    ),
    max_size=12,
)


@then('late reports of a target are detected as by a naive implementation')
def target_reports(context: Any) -> None:
    """Compare ``is_late`` with a search through all accepted reports."""

    @generated(REPORTS)
    @settings(max_examples=300)
    def check(drawn: list[tuple[str, int, int, ReportedState]]) -> None:
        history = StartHistory()
        accepted: list[tuple[str, int, int, ReportedState]] = []
        for row in drawn:
            name, started_at_ms, sequence, state = row
            report = TargetReport('s', 'h', 1, 6, name, state, started_at_ms, sequence)
            is_late = history.is_late(report)
            assert is_late == naive_is_late(accepted, row), (accepted, row)
            if is_late:
                continue
            accepted.append(row)
            history.record_report(report)
            if state != ReportedState.READY:
                history.record_departure(report.start)

    check()


def naive_is_late(accepted: list[Any], row: Any) -> bool:
    """Find out from all accepted reports whether another one is late."""
    name, started_at_ms, sequence, state = row
    departed = {entry[:2] for entry in accepted if entry[3] != ReportedState.READY}
    if (name, started_at_ms) in departed:
        return bool(state == ReportedState.READY)
    if not accepted:
        return False
    if accepted[-1][:2] == (name, started_at_ms):
        sequences = []
        for entry in reversed(accepted):
            if entry[:2] != (name, started_at_ms):
                break
            sequences.append(entry[2])
        return sequence <= max(sequences)
    return bool(started_at_ms < accepted[-1][1])


@then('route lookup matches a naive search on generated routes')
def longest_prefix(context: Any) -> None:
    """Compare the index with a linear search through all routes."""
    paths = st.lists(st.sampled_from(('a', 'b', 'c')), max_size=3).map(
        lambda parts: ''.join(f'/{part}' for part in parts) + '/'
    )
    routes = st.lists(st.tuples(st.sampled_from(('h1', 'h2')), paths), min_size=1)

    @generated(routes, st.sampled_from(('h1', 'h2', 'h3')), paths)
    def check(drawn: list[tuple[str, str]], host: str, path: str) -> None:
        text = preset_text() + ''.join(
            f'\n[[route]]\nservice = "s"\nclass = "dealer"\n'
            f'host = "{name}"\npath = "{prefix}"\n'
            for name, prefix in drawn
        )
        schema = parse_preset(text, 'test')
        schema.checked['route'] = schema.route[-len(drawn) :]
        found = run_steps(index_routes(schema)).find(host, 'GET', f'{path}x?q=/a/')
        fitting = [p for name, p in drawn if name == host and path.startswith(p)]
        longest = max(fitting, key=len, default=None)
        assert getattr(found, 'path', None) == longest

    check()


@then('the concurrency limit of a target follows its measured service times')
def concurrency_limit(context: Any) -> None:
    """Observe targets that do and do not become much slower when nearly full."""
    for full_ms, expected in ((100, 9), (110, 9), (170, 7)):
        limit = ConcurrencyLimit()
        for _ in range(30):
            limit.observe('c', 3, 9, 100)
            limit.observe('c', 9, 9, full_ms)
        assert limit.slots_to_use(9) == expected, (full_ms, limit.time_ratio)


@then('the freeze guard reports a VM suspension of {seconds:g} s exactly once')
def suspended_vm(context: Any, seconds: float) -> None:
    """Advance only the boot-time clock, which includes the time of a suspension."""
    guard = FreezeGuard()
    freezes: list[bool] = []
    guard.on_freeze.append(lambda: freezes.append(True))
    assert not guard.check()
    resumed_at = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
    with patch('time.clock_gettime', lambda clock: resumed_at):
        assert guard.check()
        assert not guard.check()
    assert len(freezes) == 1, freezes


@then(
    'the load view excludes a node that reported after its restart that it accepts no work'
)
def report_after_restart(context: Any) -> None:
    """Apply a report of an incarnation newer than that of the known member."""
    gate, _ = gate_without_target(1)
    view = LoadView(gate.identity)
    current = member('other')
    assert view.is_accepting(current)
    view.take_report(load_report('other', incarnation=2, is_accepting=False))
    assert not view.is_accepting(current)
    assert view.is_accepting(member('other', incarnation=3))
