"""Steps for what a gate believes of its target after an answer, or without one."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import then
from builders import call_request, gate_with_target
from connection_builders import (
    EchoRouter,
    connected_caller,
    echo_service,
    encode_order,
)

from lavendermount_core.models.calls import CallReply, CallRequest
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate import gate as gate_module
from lavendermountd.gate.attempts import Attempt
from lavendermountd.gate.suspects import SuspectTable, Verdict, fingerprint_of
from lavendermountd.gate.target_client import TargetAnswer


class AnsweringClient:
    """Client of a target that gives every request the same answer."""

    def __init__(self, status: int, is_not_run: bool) -> None:
        """Store the answer."""
        metadata = ReplyMetadata(is_not_run=is_not_run)
        self.answer = TargetAnswer(CallReply(status, '', [], b''), metadata)

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Answer at once."""
        return self.answer


@then(
    'a request that a target refuses stays suspected, '
    'and one that a target completes does not'
)
def refused_stays_suspected(context: Any) -> None:
    """Answer a suspected request without running it, with a result, and an error."""
    for status, is_not_run, verdict in (
        (503, True, Verdict.EXCLUSIVE),
        (200, False, Verdict.FREE),
        (500, False, Verdict.FREE),
    ):
        assert asyncio.run(_answer_suspect(status, is_not_run)) == verdict, status


async def _answer_suspect(status: int, is_not_run: bool) -> Verdict:
    gate = gate_with_target(1)
    gate.client = AnsweringClient(status, is_not_run)
    gate.suspects.add_victim('f', 'n:1')
    request = call_request()
    request.deadline = time.monotonic() + 5
    await gate.execute(Attempt('a-1', request, 'f'))
    return gate.suspects.verdict('f')


@then(
    'a request of one caller stays suspected though an equal one of another caller '
    'completes'
)
def callers_suspected_apart(context: Any) -> None:
    """Complete the request of one node, and let that of another one crash targets."""
    usual, crashing = (
        fingerprint_of(asyncio.run(_routed_request(origin)))
        for origin in ('dealer-desk', 'field-docs')
    )
    table = SuspectTable()
    table.clear(usual)
    for victim in ('a:1', 'b:1'):
        assert table.add_victim(crashing, victim) is not None
        table.clear(usual)
    assert table.verdict(crashing) == Verdict.REFUSED
    assert table.verdict(usual) == Verdict.FREE


async def _routed_request(origin: str) -> CallRequest:
    """Send a request at a node beside a target; return what its router gets."""
    service = echo_service()
    service.origin = origin
    async with connected_caller(service) as (caller, _):
        await caller.send(encode_order('/stock', b'{}'))
        await caller.read_reply()
    assert isinstance(service.router, EchoRouter)
    return service.router.received[0]


@then('the place of such a connection under the limit is free again')
def place_is_free(context: Any) -> None:
    """Cancel the check whether a target is down while it waits."""
    asyncio.run(_cancel_examination())


async def _cancel_examination() -> None:
    async def ignore(reader: asyncio.StreamReader, writer: object) -> None:
        await reader.read()

    server = await asyncio.start_server(ignore, '127.0.0.1', 0)
    gate = gate_with_target(server.sockets[0].getsockname()[1])
    examining = asyncio.create_task(gate.is_target_down())
    while not gate.client.open_count:
        await asyncio.sleep(0)
    await asyncio.sleep(gate_module.EXIT_GRACE_S / 3)
    examining.cancel()
    await asyncio.gather(examining, return_exceptions=True)
    gate.client.close_idle()
    assert gate.client.open_count == 0
    server.close()
