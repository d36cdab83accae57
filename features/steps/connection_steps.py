"""Steps that check the answers on one connection of a caller."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then
from connection_builders import (
    connected_caller,
    echo_body,
    echo_service,
    encode_order,
)

LARGE_BODY = b'o' * 40_000
FIRST_PART_BYTES = 30


@then('an order with a large body whose head comes in two parts is answered once')
def head_in_two_parts(context: Any) -> None:
    """Send such an order; keep the reply to the order after it."""
    context.next_reply = asyncio.run(_send_in_two_parts())


async def _send_in_two_parts() -> Any:
    async with connected_caller(echo_service()) as (caller, _):
        payload = encode_order('/large', LARGE_BODY)
        await caller.send(payload[:FIRST_PART_BYTES], payload[FIRST_PART_BYTES:])
        reply = await caller.read_reply()
        assert reply is not None
        assert (reply.status, reply.is_last) == (200, False), reply.status
        assert reply.body == echo_body('/large', LARGE_BODY)
        await caller.send(encode_order('/next', b'small'))
        return await caller.read_reply()


@then('the next order on that connection gets its own answer')
def next_order(context: Any) -> None:
    """Check the reply to the second order."""
    reply = context.next_reply
    assert reply is not None
    assert reply.status == 200, (reply.status, reply.body)
    assert reply.body == echo_body('/next', b'small')


@then('bytes behind a request that closes its connection are not answered')
def bytes_behind_close(context: Any) -> None:
    """Send further bytes behind such a request, in the same segment and later."""
    for pause_s in (0, 0.02):
        replies = asyncio.run(_send_behind_close(pause_s))
        assert [reply.status for reply in replies] == [200], replies
        assert replies[0].is_last


async def _send_behind_close(pause_s: float) -> list[Any]:
    async with connected_caller(echo_service(work_s=0.1)) as (caller, _):
        closing = encode_order('/last', headers='Connection: close\r\n')
        behind = encode_order('/behind')
        parts = (closing, behind) if pause_s else (closing + behind,)
        await caller.send(*parts, pause_s=pause_s)
        return await caller.read_all()
