"""Steps for faults of one request on a link that others share."""

from __future__ import annotations

import asyncio
import threading
from typing import Any

from behave import then
from stall_builders import (
    HeldReplies,
    ThreadedNode,
    connected_sender,
    order,
    state_of,
    threaded_node,
)

from lavendermount_core.models.members import Member
from lavendermount_core.utils.units import DEFAULT_MAX_BODY_BYTES
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.peer.frames import BodyPart, Cancel, Dispatch

DEADLINE_S = 10.0
LARGE_BODY = bytes(DEFAULT_MAX_BODY_BYTES + 1)
PART_BYTES = 1000
SILENCE_TIMEOUT_S = 0.1
# Longer than a failed attempt and three failed queries.
BUSY_S = 2.0


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
