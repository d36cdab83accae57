"""Steps for nodes whose event loop is busy as a time limit passes."""

from __future__ import annotations

import asyncio
import select
import socket
import threading
import time
from typing import Any
from unittest.mock import Mock, patch

from behave import then
from builders import NODE_SETTINGS
from returns.result import Success
from stall_builders import (
    LIMIT_S,
    REPLY_BODY,
    HeldReplies,
    attempt_of,
    block_until,
    connected_sender,
    encode_reply,
    gate_for,
    lookup,
    order,
    read_request,
    state_of,
    threaded_node,
    threaded_target,
)

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.log.transfer import Transfer
from lavendermount_core.models.members import Member
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.target import TargetState
from lavendermountd.http1.client import connect
from lavendermountd.node import Node
from lavendermountd.peer.link import PeerLink
from lavendermountd.routing import router as router_module

LONG_DEADLINE_S = 10.0


def _succeeds(outcome: AttemptResult) -> bool:
    return isinstance(outcome, Success) and outcome.unwrap().body == REPLY_BODY


@then(
    'an order whose target replies in time succeeds '
    'though its gate is busy until the deadline'
)
def reply_before_deadline(context: Any) -> None:
    """Let the target reply during a stall that outlasts the deadline."""
    target = HeldReplies()
    with threaded_target(target.serve) as port:
        outcome = asyncio.run(_execute_while_busy(gate_for(port), target))
    assert _succeeds(outcome), outcome


async def _execute_while_busy(gate: Gate, target: HeldReplies) -> AttemptResult:
    request = order(LIMIT_S)
    task = asyncio.create_task(gate.execute(attempt_of(request)))
    await target.reply_when_received(request.deadline)
    try:
        return await task
    finally:
        gate.client.close_idle()


@then(
    'a request that waits for the slot of one that is answered gets it '
    'though the gate is busy'
)
def slot_before_patience_ends(context: Any) -> None:
    """Let the reply that frees the only slot arrive during a stall."""
    target = HeldReplies()
    with threaded_target(target.serve) as port:
        outcome = asyncio.run(_wait_for_slot(gate_for(port), target))
    assert _succeeds(outcome), outcome


async def _wait_for_slot(gate: Gate, target: HeldReplies) -> AttemptResult:
    gate.queue.set_slots(1)
    first = asyncio.create_task(gate.execute(attempt_of(order(LONG_DEADLINE_S))))
    await target.wait_until_received()
    waiting = attempt_of(order(LONG_DEADLINE_S), 2)
    waiting.patience_s = LIMIT_S
    second = asyncio.create_task(gate.execute(waiting))
    while not gate.admission.queued:
        await asyncio.sleep(0)
    target.reply_while_busy(time.monotonic() + LIMIT_S)
    await first
    try:
        return await second
    finally:
        gate.client.close_idle()


@then(
    'a reused connection that has delivered its reply to a busy node '
    'is not closed as silent'
)
def delivered_is_not_silent(context: Any) -> None:
    """Let the reply on a reused connection arrive during a stall."""
    target = HeldReplies()
    with threaded_target(target.serve) as port:
        outcome = asyncio.run(_reuse_while_busy(gate_for(port), target))
    assert _succeeds(outcome), outcome


async def _reuse_while_busy(gate: Gate, target: HeldReplies) -> AttemptResult:
    target.may_reply.set()
    await gate.execute(attempt_of(lookup(LONG_DEADLINE_S)))
    for event in (target.may_reply, target.received, target.replied):
        event.clear()
    gate.client.silence_timeout_s = LIMIT_S
    gate.target.service_ms = 1
    second = asyncio.create_task(
        gate.execute(attempt_of(lookup(LONG_DEADLINE_S), number=2))
    )
    await target.reply_when_received(time.monotonic() + LIMIT_S)
    try:
        return await second
    finally:
        gate.client.close_idle()


@then('a lookup whose reply has arrived at a busy node gets no second copy')
def arrived_needs_no_hedge(context: Any) -> None:
    """Let the reply to the first copy arrive during a stall that outlasts the delay."""
    target = HeldReplies()
    with threaded_target(target.serve) as port:
        assert asyncio.run(_finishes_before_hedge(gate_for(port), target))


async def _finishes_before_hedge(gate: Gate, target: HeldReplies) -> bool:
    router = Node(load_text(NodeSchema, NODE_SETTINGS, 'test')).router
    request = lookup(LONG_DEADLINE_S)
    attempt = Mock(state=state_of(request), node_id='n')
    first = asyncio.create_task(gate.execute(attempt_of(request)))
    stall = asyncio.create_task(target.reply_when_received(time.monotonic() + LIMIT_S))
    with patch.object(router_module, 'hedge_delay_s', return_value=LIMIT_S):
        is_finished = await router.finishes_before_hedge(first, attempt)
    await asyncio.gather(first, stall)
    gate.client.close_idle()
    return is_finished


@then(
    'an order succeeds '
    'though its target closed the kept connection while its node was busy'
)
def closed_kept_connection(context: Any) -> None:
    """Let the target close an idle connection right before an order."""
    may_close = threading.Event()
    has_closed = threading.Event()

    def serve(connection: socket.socket) -> None:
        with connection.makefile('rb') as stream:
            read_request(stream)
        connection.sendall(encode_reply(REPLY_BODY))
        may_close.wait()
        connection.shutdown(socket.SHUT_WR)
        has_closed.set()

    async def send_orders(gate: Gate) -> AttemptResult:
        await gate.execute(attempt_of(order(LONG_DEADLINE_S)))
        may_close.set()
        has_closed.wait()
        try:
            return await gate.execute(attempt_of(order(LONG_DEADLINE_S), 2))
        finally:
            gate.client.close_idle()

    with threaded_target(serve) as port:
        outcome = asyncio.run(send_orders(gate_for(port)))
    assert _succeeds(outcome), outcome


@then('a target that accepts a connection while its node is busy is not marked as down')
def accepting_target_stays_up(context: Any) -> None:
    """Keep the event loop busy right after it has started to connect."""
    target = HeldReplies()
    target.may_reply.set()
    with threaded_target(target.serve) as port:
        gate = gate_for(port)
        outcome = asyncio.run(_connect_while_busy(gate))
    assert _succeeds(outcome), outcome
    assert gate.target.state == TargetState.UP


async def _connect_while_busy(gate: Gate) -> AttemptResult:
    task = asyncio.create_task(gate.execute(attempt_of(order(LONG_DEADLINE_S))))
    while not gate.client.open_count:
        await asyncio.sleep(0)
    block_until(time.monotonic() + LIMIT_S)
    try:
        return await task
    finally:
        gate.client.close_idle()


@then(
    'an order over a link succeeds '
    'though its node is busy for longer than the silence timeout'
)
def answered_link_is_not_silent(context: Any) -> None:
    """Let a pong arrive during a stall."""
    target = HeldReplies()
    with threaded_node(target.serve) as (_, peer):
        outcome, is_open = asyncio.run(_receive_pong_while_busy(peer, target))
    assert _succeeds(outcome), outcome
    assert is_open


async def _receive_pong_while_busy(
    peer: Member, target: HeldReplies
) -> tuple[AttemptResult, bool]:
    async with connected_sender() as sender:
        sender.links.silence_timeout_s = LIMIT_S
        link = await sender.links.get(peer)
        state = state_of(order(LONG_DEADLINE_S))
        task = asyncio.create_task(sender.send(state, peer, 'a-1'))
        while not link.last_ping_at:
            await asyncio.sleep(0)
        _block_until_received(link)
        block_until(link.last_ping_at + LIMIT_S)
        await asyncio.sleep(0.1)
        is_open = link.is_open
        target.may_reply.set()
        return await task, is_open


def _block_until_received(link: PeerLink) -> None:
    """Keep the event loop busy until data has arrived on a link."""
    select.select([link.frames.stream.socket], [], [])


@then('a reply over a link that has arrived before the deadline is used')
def linked_reply_before_deadline(context: Any) -> None:
    """Let the reply arrive during a stall that outlasts the deadline."""
    target = HeldReplies()
    with threaded_node(target.serve) as (_, peer):
        outcome = asyncio.run(_receive_reply_while_busy(peer, target))
    assert _succeeds(outcome), outcome


async def _receive_reply_while_busy(peer: Member, target: HeldReplies) -> AttemptResult:
    async with connected_sender() as sender:
        # No ping is sent, so what arrives first is the reply.
        sender.links.silence_timeout_s = LONG_DEADLINE_S
        link = await sender.links.get(peer)
        request = order(LIMIT_S)
        task = asyncio.create_task(sender.send(state_of(request), peer, 'a-1'))
        await target.wait_until_received()
        target.may_reply.set()
        _block_until_received(link)
        block_until(request.deadline)
        return await task


@then('a link whose connection was accepted while the node was busy is open')
def accepted_link_is_open(context: Any) -> None:
    """Keep the event loop busy right after it has started to connect."""
    with threaded_node(HeldReplies().serve) as (_, peer):
        assert asyncio.run(_open_while_busy(peer))


async def _open_while_busy(peer: Member) -> bool:
    async with connected_sender() as sender:
        task = asyncio.create_task(sender.links.get(peer))
        await asyncio.sleep(0)
        block_until(time.monotonic() + LIMIT_S)
        return (await task).is_open


@then('a read of the log whose answer arrives while the node is busy does not fail')
def log_answer_during_stall(context: Any) -> None:
    """Limit the silence of an answer that arrives during a stall."""
    store = HeldReplies()
    with threaded_target(store.serve) as port:
        received = asyncio.run(_read_while_busy(port, store))
    assert received.endswith(REPLY_BODY), received


async def _read_while_busy(port: int, store: HeldReplies) -> bytes:
    stream = await connect('127.0.0.1', port, LONG_DEADLINE_S)
    await stream.write(b'GET / HTTP/1.1\r\n\r\n')
    stall = asyncio.create_task(store.reply_when_received(time.monotonic() + LIMIT_S))
    try:
        async with Transfer().limit(0, LIMIT_S):
            return await stream.read_bytes(1000, partial=True)
    finally:
        await stall
        stream.close()
