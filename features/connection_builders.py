"""Builders of callers' connections to a node that has no targets."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import AsyncIterator, Callable, Iterator
from unittest.mock import Mock

from builders import preset_snapshot
from returns.result import Success
from tornado.iostream import IOStream

from lavendermount_core.models.calls import CallReply, CallRequest
from lavendermountd.caller.connection import CallerConnection
from lavendermountd.caller.service import CallService
from lavendermountd.dialects.native import NativeDialect
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.presets.holder import PresetHolder, compile_preset

HEADER_BYTES = 1000
BODY_BYTES = 100_000
HEAD_END = b'\r\n\r\n'
READ_TIMEOUT_S = 6.0
# Path of requests that wait at the node.
NOT_PASSED_ON = '/not-passed-on'


class EchoRouter:
    """Router whose only target answers with the path and the body of the request.

    :param work_s: returns how long the target takes for a request.
    """

    def __init__(self, work_s: Callable[[CallRequest], float]) -> None:
        """Start without requests."""
        self.work_s = work_s
        self.received: list[CallRequest] = []
        self.answered: list[CallRequest] = []

    async def route(self, request: CallRequest, preset: object) -> AttemptResult:
        """Answer a request after the time that it takes."""
        self.received.append(request)
        await asyncio.sleep(self.work_s(request))
        self.answered.append(request)
        body = echo_body(request.path, request.body)
        return Success(CallReply(200, 'OK', [], body))

    def abandon(self, request_id: str) -> None:
        """Do nothing; the target continues."""

    def may_have_run(self, request_id: str) -> bool:
        """Return whether the target has got the request, unless its path says not."""
        return self.received[-1].path != NOT_PASSED_ON

    def is_in_progress(self, request_id: str) -> bool:
        """Return whether any request runs; tests have one at a time."""
        return len(self.received) > len(self.answered)


class SocketRouter(EchoRouter):
    """Router whose target answers once a byte arrives from ``target_end``."""

    def __init__(self) -> None:
        """Connect the target."""
        super().__init__(lambda request: 0)
        self.target_end, self.node_end = socket.socketpair()

    async def route(self, request: CallRequest, preset: object) -> AttemptResult:
        """Answer a request when its target does."""
        reader, writer = await asyncio.open_connection(sock=self.node_end)
        await reader.readexactly(1)
        writer.close()
        return await super().route(request, preset)


class Reply:
    """A reply as a caller received it.

    :param status: HTTP status.
    :param body: complete body.
    :param is_last: whether the node closes the connection after it.
    """

    __slots__ = ('status', 'body', 'is_last')

    def __init__(self, status: int, body: bytes, is_last: bool) -> None:
        """Initialize the fields."""
        self.status = status
        self.body = body
        self.is_last = is_last


class Caller:
    """The caller's end of a connection.

    :param stream: reads what the node sends.
    :param writer: sends to the node.
    """

    def __init__(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start before the first request."""
        self.stream = stream
        self.writer = writer

    async def send(self, *parts: bytes, pause_s: float = 0.02) -> None:
        """Send bytes in parts, with a pause after each."""
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()
            await asyncio.sleep(pause_s)

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()
        with contextlib.suppress(ConnectionError):
            await self.writer.wait_closed()

    async def read_reply(self) -> Reply | None:
        """Read the next reply.

        :returns: ``None`` if the connection has ended before its first byte.
        """
        async with asyncio.timeout(READ_TIMEOUT_S):
            try:
                head = await self.stream.readuntil(HEAD_END)
            except asyncio.IncompleteReadError as error:
                assert not error.partial, error.partial
                return None
            lines = head.decode().lower().split('\r\n')
            fields = dict(line.split(': ', 1) for line in lines[1:] if line)
            length = int(fields.get('content-length', '0'))
            body = await self.stream.readexactly(length)
        status = int(lines[0].split(' ')[1])
        return Reply(status, body, fields.get('connection') == 'close')

    async def read_all(self) -> list[Reply]:
        """Read replies until the connection ends."""
        replies = []
        reply = await self.read_reply()
        while reply is not None:
            replies.append(reply)
            reply = await self.read_reply()
        return replies


def echo_body(path: str, body: bytes) -> bytes:
    """Return the body with which the target of ``EchoRouter`` answers."""
    return path.encode() + b' ' + body


def encode_order(
    path: str, body: bytes = b'', headers: str = '', method: str = 'POST'
) -> bytes:
    """Encode a request with a content length.

    :param headers: further lines of the head, each with its line break.
    """
    head = f'{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


def echo_service(
    work_s: float | Callable[[CallRequest], float] = 0,
) -> CallService:
    """Build the service of a node whose requests are answered by ``EchoRouter``.

    :param work_s: how long each request takes, or a function that returns it.
    """
    holder = PresetHolder()
    holder.put_in_force(compile_preset(preset_snapshot(1)))
    claims = Mock()
    claims.key_digest.return_value = None
    router = EchoRouter(work_s if callable(work_s) else lambda request: work_s)
    service = CallService(
        holder, router, claims, Mock(), NativeDialect(), 'dealer-desk', Mock()
    )
    service.limits.header_bytes = HEADER_BYTES
    service.limits.body_bytes = BODY_BYTES
    return service


@contextlib.contextmanager
def captured_records(name: str) -> Iterator[list[logging.LogRecord]]:
    """Capture what a logger and those below it write.

    :param name: name of the logger.
    """
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[method-assign]
    logger = logging.getLogger(name)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield records
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)


async def connect_to_node(port: int) -> Caller:
    """Connect a caller to the caller port of a node in a process of its own."""
    return Caller(*await asyncio.open_connection('127.0.0.1', port))


@contextlib.asynccontextmanager
async def connected_caller(
    service: CallService,
) -> AsyncIterator[tuple[Caller, CallerConnection]]:
    """Connect a caller to a node; close both ends afterwards."""
    caller_end, node_end = socket.socketpair()
    connection = CallerConnection(service, IOStream(node_end))
    task = asyncio.create_task(connection.run())
    caller = Caller(*await asyncio.open_connection(sock=caller_end))
    try:
        yield caller, connection
    finally:
        await caller.close()
        await task
