"""Steps for faults of one request on a link that others share."""

from __future__ import annotations

import asyncio
import threading
import time
from http import HTTPStatus
from typing import Any
from unittest.mock import Mock

from behave import then
from builders import member
from stall_builders import (
    HeldReplies,
    ThreadedNode,
    connected_sender,
    lookup,
    order,
    state_of,
    threaded_node,
    unreachable_node,
)

from lavendermount_core.models.members import Member
from lavendermount_core.utils.units import DEFAULT_MAX_BODY_BYTES
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.peer.backoff import INITIAL_BACKOFF_S
from lavendermountd.peer.frames import BodyPart, Cancel, Dispatch
from lavendermountd.peer.link_pool import LinkPool
from lavendermountd.routing.sender import Sender

DEADLINE_S = 10.0
LARGE_BODY = bytes(DEFAULT_MAX_BODY_BYTES + 1)
PART_BYTES = 1000
SILENCE_TIMEOUT_S = 0.1
# Longer than a failed attempt and three failed queries.
BUSY_S = 2.0
REQUESTS = 40
SHORT_DEADLINE_S = 1.0
# Requests that are refused at once take less.
AT_ONCE_S = 0.1
# Longer than the first attempt to reconnect, with the silence timeout above.
FIRST_ATTEMPT_S = 1.0
POLL_S = 0.01


@then(
    'an order and its reply pass between nodes that have different body limits in force'
)
def bodies_over_limit(context: Any) -> None:
    """Send one order above the limit of the other node beside a small one."""
    target = HeldReplies(LARGE_BODY)
    with threaded_node(target.serve) as (node, peer):
        node.server.gate.client.max_body = 2 * len(LARGE_BODY)
        outcomes = asyncio.run(_send_large_and_small(peer, target))
    bodies = [outcome.unwrap().body for outcome in outcomes]
    assert bodies == [LARGE_BODY, LARGE_BODY]
    assert sorted(target.request_sizes) == [0, len(LARGE_BODY)]


async def _send_large_and_small(
    peer: Member, target: HeldReplies
) -> list[AttemptResult]:
    async with connected_sender() as sender:
        small = asyncio.create_task(
            sender.send(state_of(order(DEADLINE_S)), peer, 'a-1')
        )
        await target.wait_until_received()
        target.may_reply.set()
        large = sender.send(state_of(order(DEADLINE_S, LARGE_BODY)), peer, 'a-2')
        return list(await asyncio.gather(small, large))


@then(
    'an order is answered though its node replies to no ping for many silence timeouts'
)
def long_busy_node(context: Any) -> None:
    """Keep the event loop of the target's node busy while it has an order."""
    target = HeldReplies()
    with threaded_node(target.serve) as (node, peer):
        outcome = asyncio.run(_send_to_busy_node(node, peer, target))
    assert outcome.unwrap().status == 200, outcome
    assert target.request_sizes == [0]


async def _send_to_busy_node(
    node: ThreadedNode, peer: Member, target: HeldReplies
) -> AttemptResult:
    may_continue = threading.Event()
    async with connected_sender() as sender:
        sender.links.silence_timeout_s = SILENCE_TIMEOUT_S
        sending = sender.send(state_of(order(DEADLINE_S)), peer, 'a-1')
        task = asyncio.create_task(sending)
        await target.wait_until_received()
        node.call(may_continue.wait)
        await asyncio.wait({task}, timeout=BUSY_S)
        target.may_reply.set()
        may_continue.set()
        return await task


@then(
    'an order that is cancelled while its body arrives does not run, and its link goes on'
)
def cancelled_body(context: Any) -> None:
    """Cancel an order after the first of its two parts; send the second one late."""
    target = HeldReplies()
    target.may_reply.set()
    with threaded_node(target.serve) as (node, peer):
        outcome, is_open = asyncio.run(_cancel_body(node, peer))
        assert not any(session.bodies.incomplete for session in node.server.sessions)
    assert outcome.unwrap().status == 200
    assert is_open
    assert target.request_sizes == [0]


async def _cancel_body(node: ThreadedNode, peer: Member) -> tuple[AttemptResult, bool]:
    request = order(DEADLINE_S)
    row = request.call_class.to_row()
    part = bytes(PART_BYTES)
    async with connected_sender() as sender:
        link = await sender.links.get(peer)
        link.frames.send(
            Dispatch(
                'a-1', 1, 'POST', '/', [], row, 9000, 0, 0, 'f', 2 * PART_BYTES, part
            )
        )
        link.frames.send(Cancel('a-1', is_waiting_only=True))
        link.frames.send(BodyPart('a-1', part))
        outcome = await sender.send(state_of(request), peer, 'a-2')
        return outcome, link.is_open


@then(
    'many requests to a node that accepts no connection are refused as not run '
    'before their deadline'
)
def refused_before_deadline(context: Any) -> None:
    """Send many orders to it at the same moment; they share one connection attempt."""
    with unreachable_node() as peer:
        started_at = time.monotonic()
        outcomes = asyncio.run(_send_orders(peer))
        elapsed_s = time.monotonic() - started_at
    assert all(outcome.failure().is_not_run for outcome in outcomes), outcomes
    assert elapsed_s < SHORT_DEADLINE_S, elapsed_s


async def _send_orders(peer: Member) -> list[AttemptResult]:
    async with connected_sender() as sender:
        orders = [state_of(order(SHORT_DEADLINE_S)) for _ in range(REQUESTS)]
        sending = [
            sender.send(state, peer, f'a-{number}')
            for number, state in enumerate(orders)
        ]
        outcomes = await asyncio.gather(*sending)
        backoff_s = sender.links.backoff.backoff_s[peer.node_id]
        assert backoff_s == INITIAL_BACKOFF_S, backoff_s
        return outcomes


@then(
    'requests to a node that accepts connections but stays silent are refused '
    'at once until it responds'
)
def silent_node_refused(context: Any) -> None:
    """Keep the event loop of a node busy, and send requests to it meanwhile."""
    target = HeldReplies()
    target.may_reply.set()
    may_continue = threading.Event()
    with threaded_node(target.serve) as (node, peer):
        node.call(may_continue.wait)
        try:
            asyncio.run(_send_to_silent_node(peer, may_continue))
        finally:
            may_continue.set()
    assert target.request_sizes == [0]


async def _send_to_silent_node(peer: Member, may_continue: threading.Event) -> None:
    async with connected_sender() as sender:
        sender.links.silence_timeout_s = SILENCE_TIMEOUT_S
        first = await sender.send(state_of(lookup(DEADLINE_S)), peer, 'a-1')
        assert not first.failure().is_not_run, first
        async with asyncio.timeout(FIRST_ATTEMPT_S):
            refused = await sender.send(state_of(order(DEADLINE_S)), peer, 'a-2')
        assert refused.failure().is_not_run, refused
        # Longer than the first backoff.
        await asyncio.sleep(BUSY_S)
        refused = await _send_order(sender, peer, 3)
        assert refused.failure().is_not_run, refused
        may_continue.set()
        while sender.links.backoff.is_avoided(peer.node_id):
            await asyncio.sleep(POLL_S)
        answered = await sender.send(state_of(order(DEADLINE_S)), peer, 'a-4')
        assert answered.unwrap().status == HTTPStatus.OK, answered


async def _send_order(sender: Sender, peer: Member, number: int) -> AttemptResult:
    """Send an order that must not wait."""
    sending = sender.send(state_of(order(DEADLINE_S)), peer, f'a-{number}')
    async with asyncio.timeout(AT_ONCE_S):
        return await sending


@then(
    'requests after a single failed connection wait for the next one and are answered'
)
def single_failure_survived(context: Any, is_cancelled: bool = False) -> None:
    """Let a node accept connections again right after one has failed."""
    target = HeldReplies()
    target.may_reply.set()
    with threaded_node(target.serve) as (_, peer):
        outcomes = asyncio.run(_send_after_failure(peer, is_cancelled))
    assert {outcome.unwrap().status for outcome in outcomes} == {HTTPStatus.OK}


@then('they are answered too if an attempt to reconnect was cancelled before it began')
def cancelled_attempt_survived(context: Any) -> None:
    """Cancel the attempt in the pass of the event loop that starts it."""
    single_failure_survived(context, is_cancelled=True)


async def _send_after_failure(peer: Member, is_cancelled: bool) -> list[AttemptResult]:
    async with connected_sender() as sender:
        sender.links.note_failure(peer)
        if is_cancelled:
            sender.links.reconnector.need(peer)
            sender.links.reconnector.stop()
            await asyncio.sleep(0)
        orders = [state_of(order(DEADLINE_S)) for _ in range(2)]
        sending = [
            sender.send(state, peer, f'a-{number}')
            for number, state in enumerate(orders)
        ]
        return await asyncio.gather(*sending)


@then('a node that failed is avoided until its next incarnation is known')
def backoff_ends_at_restart(context: Any) -> None:
    """Let a node fail, and report its next incarnation."""
    pool = LinkPool(Mock(), Mock(), Mock())
    failed = member('n1')
    pool.note_failure(failed)
    pool.end_backoff_if_restarted(failed)
    assert pool.backoff.is_avoided('n1')
    pool.end_backoff_if_restarted(member('n1', incarnation=failed.incarnation + 1))
    assert not pool.backoff.is_avoided('n1')
