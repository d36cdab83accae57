"""Builders of nodes with little memory for bodies."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from pathlib import Path
from typing import Any
from unittest.mock import Mock

from connection_builders import EchoRouter, echo_service
from returns.result import Success
from tornado.iostream import IOStream

from lavendermount_core.models.calls import CallReply, CallRequest
from lavendermountd.caller.service import CallService
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.http1.client import ExchangeError, HttpConnection
from lavendermountd.memory import MemoryBudget
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.frames import Dispatch
from lavendermountd.peer.server import PeerSession

MB = 1_048_576
MAX_BODY_BYTES = 4_000_000
BUDGET_BYTES = 1_000_000
UPLOAD = b'u' * 700_000


class SizeRouter(EchoRouter):
    """Router whose target answers with the size of the body, which it does not keep."""

    async def route(self, request: CallRequest, preset: object) -> AttemptResult:
        """Answer a request after the time that it takes."""
        await asyncio.sleep(self.work_s(request))
        return Success(CallReply(200, 'OK', [], str(len(request.body)).encode()))


def small_service(work_s: float) -> CallService:
    """Build the service of a node with ``BUDGET_BYTES`` for bodies.

    :param work_s: how long an upload takes; other requests take no time.
    """
    service = echo_service()
    service.router = SizeRouter(lambda request: work_s if request.body else 0)
    # Unlike the mock, this doesn't keep the requests that it is called with.
    service.claims.key_digest = lambda request: None
    service.limits.body_bytes = MAX_BODY_BYTES
    service.limits.memory = MemoryBudget(BUDGET_BYTES)
    return service


async def exchange_with_endless_target(memory: MemoryBudget) -> ExchangeError:
    """Read a reply that never ends; return the error."""
    target_end, node_end = socket.socketpair()
    connection = HttpConnection(IOStream(node_end), 100 * MB, memory)
    _, target = await asyncio.open_connection(sock=target_end)
    target.write(b'HTTP/1.1 200 OK\r\n\r\n')
    sender = asyncio.create_task(_send_endlessly(target))
    try:
        await connection.exchange(b'GET / HTTP/1.1\r\n\r\n')
    except ExchangeError as error:
        return error
    finally:
        sender.cancel()
        connection.close()
    raise AssertionError('the reply has an end')


async def _send_endlessly(target: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while True:
            target.write(b'x' * 65536)
            await target.drain()


def peer_session(memory: MemoryBudget) -> tuple[PeerSession, FrameStream]:
    """Build the session of a peer at a gate that records what it runs."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        peer_end = socket.create_connection(listener.getsockname())
        node_end, _ = listener.accept()
    gate = Mock()
    gate.target.service = 'dealer-desk'
    gate.load.return_value.to_row.return_value = []
    stream = FrameStream(IOStream(node_end))
    return PeerSession(stream, gate, memory), FrameStream(IOStream(peer_end))


def dispatch_frame(attempt_id: str, size: int) -> Dispatch:
    """Build the head frame of an attempt whose body follows."""
    call_class = ['dealer-desk', '', 'order', False]
    return Dispatch(
        attempt_id, 1, 'POST', '/order', [], call_class, 900, 0, 0, '', size, b''
    )


def peak_mb(process: Any) -> float:
    """Return the most memory that a process has ever had resident."""
    status = Path(f'/proc/{process.popen.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / 1024  # type: ignore[index]
