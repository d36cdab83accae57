"""One connection of a caller, with pipelined requests.

:units: seconds on the node's monotonic clock.
:errors: none are raised; a lost connection abandons its requests.
:source: RFC 9112, section 9.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time

from tornado.iostream import IOStream, StreamClosedError

from lavendermount_core.models.calls import Body, CallReply
from lavendermountd.caller.closing import CloseCause, report_close
from lavendermountd.caller.connection_state import ConnectionState
from lavendermountd.caller.exchange import CallExchange
from lavendermountd.caller.service import CallService
from lavendermountd.caller.time_limit import TimeLimit
from lavendermountd.fair_reading import begin_read, finish_read
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    NO_BODY_STATUS,
    encode_head,
    find_header,
    join_unless_large,
)
from lavendermountd.unread_data import has_unread_data

log = logging.getLogger(__name__)

LINGER_S = 1.0
# The reads of all connections that have data are in memory at the same time.
READ_BYTES = 16384
# Header lines and parts of a body from which a request is parsed in turn.
MANY_PARTS = 2000
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class CallerConnection:
    """Reads requests, runs them concurrently and writes replies in order.

    :param service: handles the requests.
    :param stream: the connection.
    """

    __slots__ = (
        'service',
        'stream',
        'state',
        'time_limit',
        'state_changed',
        'reader',
        'pending_read',
    )

    def __init__(self, service: CallService, stream: IOStream) -> None:
        """Take ownership of the connection."""
        self.service = service
        self.stream = stream
        self.state = ConnectionState(service)
        self.time_limit = TimeLimit(self.state.limit_at, self.handle_time_limit)
        self.state_changed = asyncio.Event()
        self.reader: asyncio.Task[None] | None = None
        self.pending_read: asyncio.Future[bytes] | None = None

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        self.reader = asyncio.create_task(self.read_requests())
        writer = asyncio.create_task(self.write_replies())
        self.time_limit.update()
        tasks = {self.reader, writer}
        cause = CloseCause.PROCESS_END
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            cause = self.find_cause(tasks)
        finally:
            self.report_close(cause)
            await self.cancel_tasks(tasks)

    async def cancel_tasks(self, tasks: set[asyncio.Task[None]]) -> None:
        """Cancel the tasks, abandon the requests and close the stream."""
        self.time_limit.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.abandon_all()
        self.state.parser.drop_body()
        self.stream.close()

    def find_cause(self, tasks: set[asyncio.Task[None]]) -> CloseCause:
        """Return why the first of the tasks has ended; log an error."""
        for task in filter(asyncio.Task.done, tasks):
            error = task.exception()
            if error is not None:
                log.error('connection-failed', exc_info=error)
                return CloseCause.FAILURE
        if self.state.owes_replies:
            return CloseCause.CALLER
        return self.state.close_cause or CloseCause.CALLER

    def report_close(self, cause: CloseCause) -> None:
        """Count the closed connection; log what it leaves unread or unanswered."""
        report_close(self.service, cause, self.state.exchanges)
        if not self.state.discarded_bytes:
            return
        log.warning(
            'request-discarded',
            extra={
                'bytes': self.state.discarded_bytes,
                'idle_s': round(time.monotonic() - self.state.used_at, 3),
                'cause': str(self.state.close_cause),
                'is_stopping': self.service.is_stopping,
            },
        )

    def handle_disconnect(self) -> None:
        """Abandon the requests of a caller that closed its connection."""
        in_progress = len(self.state.exchanges)
        log.debug('caller-disconnected', extra={'under_way': in_progress})
        self.abandon_all()

    def abandon_all(self) -> None:
        """Abandon every request in progress."""
        for exchange in self.state.exchanges:
            exchange.abandon()

    async def read_requests(self) -> None:
        """Start each request as soon as it is complete.

        Reading goes on while as many requests as allowed are in progress, because it
        notices when the caller disconnects. Data after the last request is read and
        discarded: closing a connection with unread data resets it, and the caller could
        lose the last reply.
        """
        while True:
            if self.state.is_paused:
                await self.wait_until_read()
                continue
            try:
                self.pending_read = begin_read(self.stream, READ_BYTES)
                chunk = await finish_read(self.pending_read)
            except StreamClosedError:
                self.handle_disconnect()
                return
            await self.process_in_turn(chunk)

    async def process_in_turn(self, chunk: bytes) -> None:
        """Process a chunk; of requests in many parts, one chunk in a pass of the loop.

        A part of a byte takes as much work as one of many.
        """
        if self.state.parser.part_count < MANY_PARTS:
            self.process_chunk(chunk)
            return
        async with self.service.intake.parsing:
            self.process_chunk(chunk)
            await asyncio.sleep(0)

    async def wait_until_read(self) -> None:
        """Wait until the connection may be read again."""
        if self.state.parser.awaits_memory:
            await self.wait_for_memory()
        else:
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until a request starts or ends, or no further one is accepted."""
        self.state_changed.clear()
        await self.state_changed.wait()

    def handle_time_limit(self) -> None:
        """Accept no further request; refuse one whose body is not complete.

        The read in progress continues: it notices when the caller disconnects. What
        has arrived in time is processed first, however late this is called.
        """
        if self.has_unread_data():
            return
        self.state.expire()
        self.start_requests()
        self.announce_close()

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that the reader has not processed."""
        if self.stream.closed():
            return False
        if self.pending_read is not None and self.pending_read.done():
            return True
        return has_unread_data(self.stream)

    def process_chunk(self, chunk: bytes) -> None:
        """Parse a chunk and start the requests that it completes."""
        self.state.receive(chunk)
        self.service.intake.update(self)
        self.start_requests()
        self.prompt_for_body()
        self.time_limit.update()

    async def wait_for_memory(self) -> None:
        """Wait until there is room for the body, or it is refused."""
        self.service.intake.make_room(self.state.parser.large_body)
        await self.state.wait_for_memory()
        self.start_requests()
        self.prompt_for_body()
        self.time_limit.update()

    def start_requests(self) -> None:
        """Start the requests that may start, or the refusals of malformed ones."""
        for request in self.state.take_startable():
            self.state.exchanges.append(CallExchange(self.service, request))
        self.state_changed.set()

    def prompt_for_body(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""
        if self.state.expects_continue() and not self.stream.closed():
            self.stream.write(CONTINUE_RESPONSE)

    async def write_replies(self) -> None:
        """Write the replies in the order of the requests."""
        while not self.state.is_finished:
            if not self.state.exchanges:
                await self.wait_for_change()
                continue
            await self.write_reply(self.state.exchanges[0])
            self.state.finish_reply()
            self.start_requests()
            self.prompt_for_body()
            self.time_limit.update()
        await self.close_gracefully()

    async def write_reply(self, exchange: CallExchange) -> None:
        """Wait for one reply and write it.

        Cancelling the writer task doesn't cancel the exchange.
        """
        await asyncio.wait({exchange.task})
        reply = exchange.find_reply()
        if reply is None:
            return
        is_last = self.state.is_last_reply()
        payload, large_body = _encode(reply, exchange.request.method, is_last)
        with contextlib.suppress(StreamClosedError):
            written = self.stream.write(payload)
            if large_body:
                written = self.stream.write(memoryview(large_body))
            await written

    async def close_gracefully(self) -> None:
        """Close the sending side and wait for the caller to close the other.

        The wait ends after ``LINGER_S``.
        """
        if self.stream.closed():
            return
        self.announce_close()
        if self.reader is not None:
            await asyncio.wait({self.reader}, timeout=LINGER_S)

    def announce_close(self) -> None:
        """Close the sending side if nothing more will be sent.

        The caller learns of it at once, and sends no request that would be discarded
        while the event loop is busy.
        """
        if self.state.is_finished and not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)

    def end(self) -> None:
        """Answer what a stopping node can't complete, and accept no further request.

        While data is unread, a request that has arrived may be among it.
        """
        if not self.has_unread_data():
            self.state.end()
        self.start_requests()
        for exchange in self.state.exchanges:
            exchange.end()
        self.announce_close()

    def shed(self) -> None:
        """Refuse the request that is not complete, and close the connection."""
        self.state.shed()
        self.start_requests()
        self.announce_close()

    def close_if_idle(self, idle_s: float) -> None:
        """Close the connection if it was unused for some time.

        A caller that used it just now may be sending the next request, which
        would arrive after the close and be lost; its connection is closed with
        the next reply instead.

        :param idle_s: minimum time without use.
        """
        if self.state.has_been_idle(idle_s) and not self.has_unread_data():
            self.state.stop_accepting(CloseCause.STOPPING)
            self.announce_close()
            self.state_changed.set()


def _encode(reply: CallReply, method: str, is_last: bool) -> tuple[bytes, Body]:
    headers = list(reply.headers)
    body = reply.body
    if method == 'HEAD':
        body = b''
    elif reply.status not in NO_BODY_STATUS and not find_header(
        headers, CONTENT_LENGTH
    ):
        headers.append(('Content-Length', str(len(body))))
    if is_last:
        headers.append(('Connection', 'close'))
    head = encode_head(f'HTTP/1.1 {reply.status} {reply.reason}', headers)
    return join_unless_large(head, body)
