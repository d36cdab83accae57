"""Steps for replies of targets of unusual size or form."""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from builders import load_report, preset_text
from stall_builders import (
    HeldReplies,
    attempt_of,
    encode_reply,
    gate_for,
    lookup,
    order,
    read_request,
    threaded_target,
)

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.preset import PresetSchema
from lavendermount_core.models.calls import CallRequest, Reason
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.gate.gate import Gate
from lavendermountd.peer.frames import Answer
from lavendermountd.peer.link import resolve_answer
from lavendermountd.presets.applier import PresetApplier

DEADLINE_S = 5.0
AT_ONCE_S = 1.0


@given('a preset that limits the bodies of requests to {size:d} bytes')
def small_request_limit(context: Any, size: int) -> None:
    """Prepare the limits to be applied to a gate."""
    text = f'{preset_text()}\n[limits]\nbody_bytes = {size}\n'
    context.limits = load_text(PresetSchema, text, 'test').limits


@when('a target replies with {size:d} bytes')
def reply_of_size(context: Any, size: int) -> None:
    """Send a request to a target that is not limited as callers are."""
    context.reply_body = bytes(size)
    target = HeldReplies(context.reply_body)
    target.may_reply.set()
    with threaded_target(target.serve) as port:
        gate = gate_for(port)
        PresetApplier(Mock(gate=gate)).apply_limits(context.limits)
        context.outcome = asyncio.run(_execute(gate))


async def _execute(gate: Gate) -> AttemptResult:
    try:
        return await gate.execute(attempt_of(lookup(DEADLINE_S)))
    finally:
        gate.client.close_idle()


@then('the caller gets the whole reply')
def whole_reply(context: Any) -> None:
    """Compare the body."""
    assert context.outcome.unwrap().body == context.reply_body


ENDS = {
    'after its length': (b'Content-Length: 4\r\n', b'body'),
    'with the last chunk': (
        b'Transfer-Encoding: chunked\r\n',
        b'4\r\nbody\r\n0\r\n\r\n',
    ),
    'with the connection': (b'', b'body'),
}


class RawReplies:
    """A target that answers each request with the same bytes.

    :param payload: the bytes.
    :param closes: whether it closes the connection after them.
    """

    def __init__(self, payload: bytes, closes: bool = False) -> None:
        """Start without requests."""
        self.payload = payload
        self.closes = closes
        self.runs = 0

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of a connection."""
        with connection.makefile('rb') as stream:
            for _ in iter(partial(read_request, stream), None):
                self.runs += 1
                connection.sendall(self.payload)
                if self.closes:
                    return


async def _execute_in_time(gate: Gate, requests: list[CallRequest]) -> list[Any]:
    """Run requests one after the other, each well before its deadline."""
    outcomes = []
    try:
        for number, request in enumerate(requests):
            async with asyncio.timeout(AT_ONCE_S):
                outcomes.append(await gate.execute(attempt_of(request, number)))
    finally:
        gate.client.close_idle()
    return outcomes


@when('a target replies with status {status} and a body that ends {end}')
def reply_with_status(context: Any, status: str, end: str) -> None:
    """Send an order and a lookup to such a target."""
    header, body = ENDS[end]
    payload = f'HTTP/1.1 {status} Odd\r\n'.encode() + header + b'\r\n' + body
    context.target = RawReplies(payload, closes=not header)
    with threaded_target(context.target.serve) as port:
        context.gate = gate_for(port)
        requests = [order(DEADLINE_S), lookup(DEADLINE_S)]
        context.outcomes = asyncio.run(_execute_in_time(context.gate, requests))


@then('an order and a lookup get an unknown outcome at once')
def unknown_outcomes(context: Any) -> None:
    """Check the refusals; the time was limited."""
    for outcome in context.outcomes:
        refusal = outcome.failure()
        assert not refusal.is_not_run, refusal
        assert refusal.reason == Reason.TARGET_REPLY, refusal.reason


@then('the order has run once, and the place at the target is free')
def ran_once(context: Any) -> None:
    """Count the runs of both requests and what is left in flight."""
    assert context.target.runs == len(context.outcomes)
    assert context.gate.load().in_flight == 0
    assert context.gate.client.open_count == 0


@then('a final reply behind interim ones is delivered')
def interim_skipped(context: Any) -> None:
    """Send 100 and 103 before the final reply."""
    interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n'
    target = RawReplies(interim + encode_reply(b'done'))
    with threaded_target(target.serve) as port:
        (outcome,) = asyncio.run(_execute_in_time(gate_for(port), [order(DEADLINE_S)]))
    assert outcome.unwrap().body == b'done'


@then('an interim reply with a body fails its request at once')
def interim_with_body(context: Any) -> None:
    """Send a body behind an interim reply, framed in one of two ways."""
    for header, body in (ENDS['after its length'], ENDS['with the last chunk']):
        target = RawReplies(b'HTTP/1.1 199 Odd\r\n' + header + b'\r\n' + body)
        with threaded_target(target.serve) as port:
            (outcome,) = asyncio.run(
                _execute_in_time(gate_for(port), [order(DEADLINE_S)])
            )
        assert outcome.failure().reason == Reason.TARGET_REPLY, header


@then('the attempt of such a reply has an unknown outcome')
def odd_status_from_node(context: Any) -> None:
    """Let a node of an earlier version send an answer with status 600."""
    outcomes: list[Any] = []
    link = Mock(resolve=lambda _, outcome: outcomes.append(outcome))
    load = load_report('n').to_row()
    resolve_answer(link, Answer('a-1', 600, 'Odd', [], load, 0, b''))
    (outcome,) = outcomes
    assert not outcome.failure().is_not_run
