"""HTTP/1.1 client connection that carries one exchange at a time.

:errors: ``ExchangeError`` when no complete reply was received.
:source: ``tornado.iostream`` and ``httptools``.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Final

from tornado.iostream import IOStream, StreamClosedError

from lavendermount_core.models.calls import Body
from lavendermount_core.utils.deadlines import deadline_in
from lavendermountd.fair_reading import read_available
from lavendermountd.http1.messages import WireReply
from lavendermountd.http1.reply_parser import ReplyError, ReplyParser
from lavendermountd.memory import MemoryBudget

KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
TCP_USER_TIMEOUT_MS: Final = 4000

ReplyMatcher = Callable[[WireReply], bool]


class ExchangeError(Exception):
    """No complete reply was received.

    :param detail: error message.
    :param is_malformed: whether the server sent data that is not a valid reply
        or only a part of a reply.
    :param lacks_memory: whether this side had no room for the reply.
    """

    def __init__(
        self, detail: str, is_malformed: bool, lacks_memory: bool = False
    ) -> None:
        """Initialize the message and the kind of failure."""
        super().__init__(detail)
        self.is_malformed = is_malformed
        self.lacks_memory = lacks_memory


class HttpConnection:
    """An open connection whose reader task detects at once when it closes.

    An unsolicited reply, or bytes after a reply, close the connection:
    otherwise they could be mistaken for the reply to the next request.
    ``idle_limit_s``, which the user of the connection sets, is how long the
    connection may stay idle and still be reused.

    :param stream: an open stream.
    :param max_body: largest accepted body of a reply in bytes.
    :param memory: budget for the bodies of replies; ``None`` for one of its own.
    """

    __slots__ = (
        'stream',
        'parser',
        'reader',
        'waiter',
        'matches_request',
        'must_close',
        'used_at',
        'exchange_count',
        'idle_limit_s',
        'on_received',
    )

    def __init__(
        self, stream: IOStream, max_body: int, memory: MemoryBudget | None = None
    ) -> None:
        """Take ownership of the stream and start reading."""
        self.stream = stream
        self.parser = ReplyParser(max_body, memory)
        self.waiter: asyncio.Future[WireReply] | None = None
        self.matches_request: ReplyMatcher = _matches_any
        self.must_close = False
        self.used_at = time.monotonic()
        self.exchange_count = 0
        self.idle_limit_s: float = 0
        # Called with the size of each part of a reply.
        self.on_received: Callable[[int], None] | None = None
        self.reader = asyncio.create_task(self.read_until_closed())

    @property
    def is_reusable(self) -> bool:
        """Return whether another exchange may start on this connection."""
        return not self.must_close and not self.stream.closed()

    async def exchange(
        self,
        payload: bytes,
        matches_request: ReplyMatcher | None = None,
        is_head_request: bool = False,
        large_body: Body = b'',
    ) -> WireReply:
        """Send a request and wait for its complete reply.

        :param payload: the encoded request, or its head if ``large_body`` follows.
        :param matches_request: returns whether a reply belongs to this request
            and not to an earlier one; ``None`` accepts any reply.
        :param is_head_request: whether the method is HEAD, so that the reply
            has no body.
        :param large_body: body that is written without copying it.
        :raises ExchangeError: if no complete reply was received.
        :returns: the reply.
        """
        self.waiter = asyncio.get_running_loop().create_future()
        self.matches_request = matches_request or _matches_any
        self.parser.is_head_request = is_head_request
        self.exchange_count += 1
        try:
            self.stream.write(payload)
            if large_body:
                self.stream.write(memoryview(large_body))
            return await self.waiter
        except StreamClosedError as error:
            raise ExchangeError('the connection was closed', False) from error
        finally:
            self.finish_exchange()

    def finish_exchange(self) -> None:
        """End an exchange and drop what it refers to.

        If a part of the request is still unsent, the connection can't be
        reused.
        """
        self.waiter = None
        self.matches_request = _matches_any
        self.used_at = time.monotonic()
        self.must_close = self.must_close or self.stream.writing()

    async def read_until_closed(self) -> None:
        """Read until the connection closes."""
        try:
            await self.read_chunks()
        except StreamClosedError:
            self.handle_close()
        except ReplyError as error:
            self.deliver_replies(self.parser.take_complete())
            self.fail(ExchangeError(str(error), is_malformed=True))
        finally:
            self.parser.drop_body()
            self.stream.close()

    async def read_chunks(self) -> None:
        """Parse received data; unsolicited data ends the connection."""
        while True:
            chunk = await read_available(self.stream)
            if self.waiter is None:
                self.must_close = True
                return
            if self.on_received is not None:
                self.on_received(len(chunk))
            self.deliver_replies(self.parser.feed(chunk))
            if self.parser.awaits_memory and not await self.find_memory():
                return

    async def find_memory(self) -> bool:
        """Wait a short time for room for the reply; fail the exchange without it.

        :returns: whether there is room.
        """
        large_body = self.parser.large_body
        if large_body is None or await large_body.wait_for_room():
            return True
        detail = 'the node has no memory for the reply'
        self.fail(ExchangeError(detail, is_malformed=False, lacks_memory=True))
        return False

    def deliver_replies(self, replies: list[WireReply]) -> None:
        """Pass the reply to the waiting exchange.

        Any reply that doesn't match the current request, or that starts when no
        exchange waits, means that the connection must close.
        """
        for reply in replies:
            self.must_close = self.must_close or not reply.keeps_alive
            waiter = self.waiter
            if waiter is None or waiter.done() or not self.matches_request(reply):
                self.must_close = True
                continue
            waiter.set_result(reply)
        if not self.parser.is_between_messages and self.has_no_waiter():
            self.must_close = True

    def has_no_waiter(self) -> bool:
        """Return whether no exchange waits for a reply."""
        return self.waiter is None or self.waiter.done()

    def handle_close(self) -> None:
        """Complete a close-delimited reply, unless the connection was reset.

        An exchange that still waits after that fails.
        """
        is_reset = self.stream.error is not None
        if not is_reset:
            self.deliver_replies(self.parser.finish())
        is_truncated = not self.parser.is_between_messages
        self.fail(ExchangeError('the connection was closed', is_truncated))

    def fail(self, error: ExchangeError) -> None:
        """Fail the waiting exchange, if any; the connection can't be reused."""
        self.must_close = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)

    def close(self) -> None:
        """Close the connection and fail the waiting exchange, if any."""
        self.fail(ExchangeError('the connection was closed locally', False))
        self.reader.cancel()
        self.stream.close()


async def connect(host: str, port: int, timeout_s: float) -> IOStream:
    """Open a stream that detects an unreachable peer through TCP keepalive.

    :param host: IP address.
    :param port: TCP port.
    :param timeout_s: connect timeout in seconds.
    :raises OSError: if the server can't be reached in time.
    """
    stream = IOStream(socket.socket())
    try:
        async with deadline_in(timeout_s):
            await stream.connect((host, port))
    except (StreamClosedError, TimeoutError) as error:
        stream.close()
        raise ConnectionError(
            f'cannot connect to {host}:{port}: {stream.error or repr(error)}'
        ) from error
    except BaseException:
        stream.close()
        raise
    configure_socket(stream)
    return stream


def configure_socket(stream: IOStream) -> None:
    """Disable Nagle's algorithm and enable TCP keepalive.

    The kernel probes an idle connection and closes it if the peer doesn't
    respond. It also closes a connection on which sent data stays unacknowledged
    for ``TCP_USER_TIMEOUT_MS``.
    """
    stream.set_nodelay(True)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, name, setting in options:
        stream.socket.setsockopt(level, name, setting)


def _matches_any(reply: WireReply) -> bool:
    return True
