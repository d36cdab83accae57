"""Keep-alive HTTP connections of a caller, on Tornado's low-level client.

:errors: ``CallerError`` if no complete reply is received.
"""

from __future__ import annotations

import asyncio
import json
import socket

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

MAX_BODY_BYTES = 67108864


class CallerError(Exception):
    """The connection failed before the reply was complete."""


class CrossedError(CallerError):
    """A kept connection closed before the first byte of the reply.

    The close may have crossed the request.
    """


class ReceivedReply(HTTPMessageDelegate):
    """A reply, with the body received so far; ``is_complete`` once all has arrived."""

    def __init__(self) -> None:
        """Start with an empty reply."""
        self.status = 0
        self.headers = HTTPHeaders()
        self.parts: list[bytes] = []
        self.is_complete = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the status and the headers."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self.parts.append(chunk)

    def finish(self) -> None:
        """Mark the reply as complete."""
        self.is_complete = True

    def on_connection_close(self) -> None:
        """Mark the reply as truncated."""
        self.is_complete = False

    @property
    def body(self) -> bytes:
        """The complete body."""
        return b''.join(self.parts)

    @property
    def outcome(self) -> str:
        """Outcome of the request from ``X-Outcome``; ``whole`` without the header."""
        return self.headers.get('X-Outcome', 'whole')

    def parse_json(self) -> dict[str, object]:
        """Parse the body as a JSON object, without its padding of dots."""
        text = self.body.rstrip(b'.')
        parsed: dict[str, object] = json.loads(text)
        return parsed


class CallerConnection:
    """One connection of a caller to a node.

    :param port: caller port of the node.
    :param host: IP address of the node.
    """

    def __init__(self, port: int, host: str = '127.0.0.1') -> None:
        """Prepare; the connection is opened on first use."""
        self.address = (host, port)
        self.stream: IOStream | None = None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> ReceivedReply:
        """Send a request and wait for its complete reply.

        :raises CallerError: if the connection fails first.
        """
        is_kept = self.is_open
        stream = await self.open()
        request_headers = HTTPHeaders({**headers, 'Content-Length': str(len(body))})
        connection_params = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
        connection = HTTP1Connection(stream, True, connection_params)
        received = ReceivedReply()
        try:
            connection.write_headers(
                RequestStartLine(method, path, 'HTTP/1.1'),
                request_headers,
                body or None,
            )
            connection.finish()
            await connection.read_response(received)
        except StreamClosedError as error:
            self.close()
            raise _incomplete(received, is_kept) from error
        except asyncio.CancelledError:
            self.close()
            raise
        if not received.is_complete:
            self.close()
            raise _incomplete(received, is_kept)
        if received.headers.get('Connection', '') == 'close':
            self.close()
        return received

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as is known here."""
        return self.stream is not None and not self.stream.closed()

    async def open(self) -> IOStream:
        """Return the open connection, or open it.

        :raises CallerError: if the connection is refused.
        """
        if self.stream is None or self.stream.closed():
            self.stream = await self.connect()
        return self.stream

    async def connect(self) -> IOStream:
        """Open the connection.

        :raises CallerError: if the connection is refused.
        """
        stream = IOStream(socket.socket(), max_buffer_size=2 * MAX_BODY_BYTES)
        try:
            await stream.connect(self.address)
        except (StreamClosedError, OSError) as error:
            raise CallerError('connection refused') from error
        stream.set_nodelay(True)
        return stream

    def watch_for_close(self) -> None:
        """Notice while the connection is unused that the node closes it.

        Without a callback, tornado notices it only at the next read.
        """
        if self.stream is not None:
            self.stream.set_close_callback(self.close)

    def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None


def _incomplete(received: ReceivedReply, is_kept: bool) -> CallerError:
    if is_kept and not received.status:
        return CrossedError('kept connection closed before the reply began')
    return CallerError('connection closed before the reply was complete')


class CallerPool:
    """Connections to one node; each carries one request at a time.

    :param port: caller port of the node.
    """

    def __init__(self, port: int) -> None:
        """Start without connections."""
        self.port = port
        self.idle: list[CallerConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> ReceivedReply:
        """Send a request on an idle connection or on a new one."""
        connection = self.idle.pop(0) if self.idle else CallerConnection(self.port)
        received = await connection.call(method, path, headers, body)
        connection.watch_for_close()
        self.idle.append(connection)
        return received


def call_once(
    port: int,
    method: str = 'GET',
    path: str = '/',
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> ReceivedReply:
    """Send one request on its own connection, from synchronous code.

    :param port: caller port of a node.
    :raises CallerError: if no complete reply is received.
    """
    return asyncio.run(_call_once(port, method, path, headers or {}, body))


async def _call_once(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> ReceivedReply:
    connection = CallerConnection(port)
    try:
        return await connection.call(method, path, headers, body)
    finally:
        connection.close()
