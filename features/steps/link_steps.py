"""Steps for faults of one request on a link that others share."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from stall_builders import (
    HeldReplies,
    connected_sender,
    order,
    state_of,
    threaded_node,
)

from lavendermount_core.models.members import Member
from lavendermount_core.utils.units import DEFAULT_MAX_BODY_BYTES
from lavendermountd.gate.attempts import AttemptResult

DEADLINE_S = 10.0
LARGE_BODY = bytes(DEFAULT_MAX_BODY_BYTES + 1)


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
