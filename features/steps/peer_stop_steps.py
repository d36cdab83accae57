"""Steps that check what a stopping node sends to other nodes."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from unittest.mock import Mock

from behave import then
from builders import call_request, gate_with_target
from returns.result import Success
from tornado.iostream import IOStream

from lavendermount_core.models.calls import CallReply
from lavendermountd.gate.attempts import Attempt, AttemptResult, Progress
from lavendermountd.gate.gate import Gate
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.server import PeerServer, PeerSession

BUFFER_BYTES = 16384
BODY_BYTES = 60000
OUTCOMES = 40
PAUSE_S = 0.1
TIMEOUT_S = 5.0


@then('an outcome counts as work until the other node has been sent all of it')
def outcomes_written(context: Any) -> None:
    """Send outcomes to a node that reads none of them at first."""
    asyncio.run(_send_to_busy_node())


async def _send_to_busy_node() -> None:
    stream, other = await _connected_pair()
    session = PeerSession(FrameStream(stream), Mock())
    session.gate.load().to_row.return_value = []
    for number in range(OUTCOMES):
        session.send_outcome_when_known(f'a-{number}', _large_outcome())
    await asyncio.sleep(PAUSE_S)
    assert session.tasks
    reading = asyncio.ensure_future(other.read_until_close())
    async with asyncio.timeout(TIMEOUT_S):
        while session.tasks:
            await asyncio.sleep(0)
    session.frames.close_sending()
    received = await reading
    session.frames.close()
    assert len(received) > OUTCOMES * BODY_BYTES


async def _connected_pair() -> tuple[IOStream, IOStream]:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        client.connect(listener.getsockname())
        server_end, _ = listener.accept()
    server_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    return IOStream(server_end), IOStream(client)


async def _large_outcome() -> AttemptResult:
    return Success(CallReply(200, 'OK', [], b'x' * BODY_BYTES))


@then('an attempt that runs at the end of the drain gets the outcome unknown')
def attempt_unknown(context: Any) -> None:
    """Cancel the attempts of other nodes while one runs."""
    outcome = asyncio.run(_cancel_running())
    assert not outcome.failure().is_not_run


async def _cancel_running() -> AttemptResult:
    gate = gate_with_target(1)
    gate.client = HangingClient(gate)
    request = call_request()
    request.deadline = asyncio.get_running_loop().time() + TIMEOUT_S
    attempt = Attempt('a-1', request, 'f', is_remote=True)
    task = asyncio.create_task(gate.execute(attempt))
    await asyncio.sleep(PAUSE_S)
    PeerServer(gate, Mock()).cancel_attempts()
    return await task


class HangingClient:
    """Client of a target that receives a request and never answers."""

    def __init__(self, gate: Gate) -> None:
        """Store the gate."""
        self.gate = gate

    async def exchange(self, attempt: Attempt) -> None:
        """Send the request and wait."""
        attempt.progress = Progress.WRITTEN
        await asyncio.Event().wait()
