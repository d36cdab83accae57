"""HTTP to the node's own target over kept-alive connections.

:errors: ``TargetError`` tells whether a first byte may have left.
:source: ``tornado.http1connection`` as a client.
"""

from __future__ import annotations

import asyncio
import socket
import time

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from lavendermount_core.structure.calls import CallReply, CallRequest, Reason
from lavendermount_core.utils.units import DEFAULT_BODY_BYTES, MS_PER_S
from lavendermountd.caller.headers import end_to_end
from lavendermountd.gate.attempts import Attempt, Progress
from lavendermountd.gate.silence import SilenceWatch
from lavendermountd.gate.target import Target

CONNECT_TIMEOUT_S = 1.0
TRUSTED_IDLE_S = 1.0
MAX_HEADER_BYTES = 65536
NO_BODY_STATUS = frozenset((204, 304))


class TargetError(Exception):
    """The target did not answer whole.

    :param reason: why.
    """

    def __init__(self, reason: Reason, detail: str) -> None:
        """Keep the reason beside the text."""
        super().__init__(detail)
        self.reason = reason


class ReplyReader(HTTPMessageDelegate):
    """Collects one reply and checks that it is whole.

    :param method: method of the request.
    """

    __slots__ = ('method', 'start_line', 'headers', 'parts', 'is_whole')

    def __init__(self, method: str) -> None:
        """Start with nothing read."""
        self.method = method
        self.start_line: ResponseStartLine | None = None
        self.headers = HTTPHeaders()
        self.parts: list[bytes] = []
        self.is_whole = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Keep the head; an interim one is replaced by the next."""
        if isinstance(start_line, ResponseStartLine):
            self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.parts.append(chunk)

    def finish(self) -> None:
        """Note that the body came to its stated end."""
        self.is_whole = True

    def on_connection_close(self) -> None:
        """Note that the connection closed before the end."""
        self.is_whole = False

    @property
    def is_delimited(self) -> bool:
        """Whether the end of the body can be told from a cut."""
        if self.start_line is None:
            return False
        if self.method == 'HEAD' or self.start_line.code in NO_BODY_STATUS:
            return True
        has_length = 'Content-Length' in self.headers
        return has_length or 'Transfer-Encoding' in self.headers

    @property
    def may_reuse(self) -> bool:
        """Whether the target keeps the connection open."""
        if self.start_line is None or self.start_line.version != 'HTTP/1.1':
            return False
        return self.headers.get('Connection', '').lower() != 'close'

    def to_reply(self) -> CallReply:
        """Build the reply.

        :raises TargetError: if it is not whole.
        """
        if self.start_line is None:
            raise TargetError(Reason.TARGET_DIED, 'the target closed unanswered')
        if not self.is_whole or not self.is_delimited:
            raise TargetError(Reason.TARGET_REPLY, 'the reply was cut off')
        return CallReply(
            self.start_line.code,
            self.start_line.reason,
            end_to_end(self.headers),
            b''.join(self.parts),
        )


class TargetClient:
    """Connections to one target.

    :param target: where to connect to.
    """

    __slots__ = (
        'target',
        'idle',
        'limit',
        'max_body',
        'open_count',
        'silent_s',
        'begun',
        'in_exchange',
        'last_answered',
    )

    def __init__(self, target: Target) -> None:
        """Open no connection yet."""
        self.target = target
        self.idle: list[tuple[IOStream, float]] = []
        self.limit = 200
        self.max_body = DEFAULT_BODY_BYTES
        self.silent_s = 0.3
        self.open_count = 0
        self.begun = 0
        self.in_exchange = 0
        self.last_answered = 0

    async def exchange(self, attempt: Attempt) -> CallReply:
        """Send a request and wait for the whole reply.

        Repeatable work whose reused connection went silent, or was closed
        as it was reused, is sent once more on a fresh connection.

        :param attempt: marked as written before its first byte leaves.
        :raises TargetError: if no whole reply came.
        :returns: the reply.
        """
        stream = self.take_idle()
        if stream is None:
            return await self.exchange_over(await self.connect(), attempt)
        if not attempt.request.call_class.is_repeatable:
            return await self.exchange_over(stream, attempt)
        watch = SilenceWatch(self, stream)
        try:
            return await self.exchange_over(stream, attempt)
        except TargetError as error:
            if error.reason != Reason.TARGET_DIED:
                raise
        finally:
            watch.stop()
        return await self.exchange_over(await self.connect(), attempt)

    async def exchange_over(
        self,
        stream: IOStream,
        attempt: Attempt,
    ) -> CallReply:
        """Exchange on one connection; it is reused only if all went well."""
        is_clean = False
        self.in_exchange += 1
        try:
            reader = await self.send_and_read(stream, attempt)
            reply = reader.to_reply()
            is_clean = reader.may_reuse
        finally:
            self.in_exchange -= 1
            self.put_back(stream, is_clean)
        return reply

    async def send_and_read(
        self,
        stream: IOStream,
        attempt: Attempt,
    ) -> ReplyReader:
        """Write the request and read one reply."""
        request = attempt.request
        limits = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self.max_body,
        )
        connection = HTTP1Connection(stream, True, limits)
        reader = ReplyReader(request.method)
        self.begun += 1
        number = self.begun
        attempt.progress = Progress.WRITTEN
        attempt.target_start = self.target.start
        try:
            connection.write_headers(
                RequestStartLine(request.method, request.path, 'HTTP/1.1'),
                _request_headers(request),
                request.body or None,
            )
            connection.finish()
            await connection.read_response(reader)
        except (StreamClosedError, OSError):
            reader.is_whole = False
        if reader.is_whole:
            self.last_answered = max(self.last_answered, number)
        return reader

    def take_idle(self) -> IOStream | None:
        """Take the connection used last, if it answered just now.

        One that was idle for longer may have gone silent meanwhile.
        """
        oldest = time.monotonic() - TRUSTED_IDLE_S
        while self.idle:
            stream, since = self.idle.pop()
            if not stream.closed() and since >= oldest:
                return stream
            self.discard(stream)
        return None

    async def connect(self) -> IOStream:
        """Open a connection.

        :raises TargetError: if the target cannot be reached; no byte left.
        """
        if self.open_count >= self.limit:
            raise TargetError(Reason.OVERLOADED, 'all connections are in use')
        stream = IOStream(socket.socket(), max_buffer_size=2 * self.max_body)
        self.open_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect((self.target.host, self.target.port))
        except (StreamClosedError, OSError, TimeoutError) as error:
            self.discard(stream)
            raise TargetError(Reason.TARGET_DOWN, str(error)) from error
        except asyncio.CancelledError:
            self.discard(stream)
            raise
        stream.set_nodelay(True)
        return stream

    def put_back(self, stream: IOStream, is_clean: bool) -> None:
        """Keep a connection for the next request, or close it."""
        if not is_clean or stream.closed():
            self.discard(stream)
            return
        self.idle.append((stream, time.monotonic()))
        self.close_stale()

    def close_stale(self) -> None:
        """Close a connection that was not needed for long."""
        stream, since = self.idle[0]
        if time.monotonic() - since > TRUSTED_IDLE_S:
            self.idle.pop(0)
            self.discard(stream)

    def close_idle(self) -> None:
        """Close all connections that nobody uses."""
        while self.idle:
            self.discard(self.idle.pop()[0])

    def discard(self, stream: IOStream) -> None:
        """Close a connection for good."""
        stream.close()
        self.open_count -= 1


def _request_headers(request: CallRequest) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, text in request.headers:
        headers.add(name, text)
    remaining = request.deadline - time.monotonic()
    headers['X-Deadline-Ms'] = str(max(0, int(remaining * MS_PER_S)))
    if request.body or request.method in {'POST', 'PUT', 'PATCH'}:
        headers['Content-Length'] = str(len(request.body))
    return headers
