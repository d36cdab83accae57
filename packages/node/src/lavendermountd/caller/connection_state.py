"""State of a caller's connection: what it has read and which replies it owes.

:units: bytes; seconds on the node's monotonic clock.
:errors: none are raised; malformed data becomes a request that is refused.
:source: RFC 9112, section 9.
"""

from __future__ import annotations

import time
from collections import deque
from http import HTTPStatus

from lavendermountd.caller.closing import CloseCause
from lavendermountd.caller.exchange import CallExchange
from lavendermountd.caller.service import CallService
from lavendermountd.http1.messages import WireRequest
from lavendermountd.http1.request_parser import RequestParser

# Requests of one connection that are in progress at the same time, and complete ones
# that may wait behind them.
MAX_IN_PROGRESS = 16
MAX_WAITING = 64


class ConnectionState:
    """Decides which data is read as requests, and after which reply to close.

    It is told of every event of the connection and does no I/O. Once it has stopped
    accepting requests, it never accepts one again, and every accepted request is
    answered before the connection closes.

    :param service: holds the limits, and tells whether the node is stopping.
    """

    __slots__ = (
        'service',
        'parser',
        'exchanges',
        'waiting',
        'close_cause',
        'used_at',
        'finished_at',
        'head_since',
        'discarded_bytes',
    )

    def __init__(self, service: CallService) -> None:
        """Start in the state before the first request."""
        self.service = service
        self.parser = RequestParser(service.limits)
        self.exchanges: deque[CallExchange] = deque()
        # Complete requests that start once fewer are in progress.
        self.waiting: deque[WireRequest] = deque()
        # ``None`` as long as further requests are accepted.
        self.close_cause: CloseCause | None = None
        self.used_at = time.monotonic()
        # When the last reply was written, or the connection opened.
        self.finished_at = self.used_at
        self.head_since: float = 0
        self.discarded_bytes = 0

    @property
    def is_accepting(self) -> bool:
        """Return whether further requests are accepted."""
        return self.close_cause is None

    @property
    def owes_replies(self) -> bool:
        """Return whether a complete request has not been answered."""
        return bool(self.exchanges or self.waiting)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or partially read."""
        return self.parser.is_between_messages and not self.owes_replies

    @property
    def is_sheddable(self) -> bool:
        """Return whether nothing is lost if the connection closes."""
        return self.is_accepting and not self.owes_replies

    @property
    def is_full(self) -> bool:
        """Return whether to read nothing until a request has ended."""
        return len(self.waiting) >= MAX_WAITING

    @property
    def is_paused(self) -> bool:
        """Return whether to read nothing now."""
        return (self.is_full and self.is_accepting) or self.parser.awaits_memory

    @property
    def is_finished(self) -> bool:
        """Return whether every reply has been written and no request is accepted."""
        return not self.owes_replies and not self.is_accepting

    def receive(self, chunk: bytes) -> None:
        """Parse a chunk, or discard it if no further request is accepted.

        The requests that it completes wait until ``take_startable`` returns them.

        While the node is stopping, a connection carries no request behind one that is
        in progress: its caller, who sends without waiting for replies, would always
        have one in progress, and the connection could not close before the node ends.
        """
        if self.service.is_stopping and self.exchanges:
            self.stop_accepting(CloseCause.STOPPING)
        if not self.is_accepting:
            self.discarded_bytes += len(chunk)
            return
        self.used_at = time.monotonic()
        head_number = self.parser.head_count
        requests = self.parser.feed(chunk)
        if self.parser.head_count != head_number:
            self.head_since = self.used_at
        if self.parser.has_failed:
            self.stop_accepting(CloseCause.MALFORMED)
        elif not all(request.keeps_alive for request in requests):
            self.stop_accepting(CloseCause.REQUEST)
        self.waiting.extend(requests)

    async def wait_for_memory(self) -> None:
        """Wait a short time for room for a body; refuse the body without it.

        The caller is not read meanwhile, so it is not idle.
        """
        self.waiting.extend(await self.parser.wait_for_memory())
        self.used_at = time.monotonic()
        if self.parser.has_failed:
            self.stop_accepting(CloseCause.MEMORY)

    def stop_accepting(self, cause: CloseCause) -> None:
        """Accept no further request; the first cause is kept."""
        self.close_cause = self.close_cause or cause

    def take_startable(self) -> list[WireRequest]:
        """Remove and return the requests that may start now, in order."""
        room = MAX_IN_PROGRESS - len(self.exchanges)
        count = min(max(room, 0), len(self.waiting))
        return [self.waiting.popleft() for _ in range(count)]

    def expects_continue(self) -> bool:
        """Return whether to send ``100 Continue`` now, and clear that state.

        Before the replies to earlier requests it would be read as a part of these.
        """
        if self.owes_replies or not self.is_accepting or self.parser.awaits_memory:
            return False
        return self.parser.consume_continue()

    def limit_at(self) -> float | None:
        """Return when the time limit of the current state passes.

        A head must be complete within the header timeout. Between requests, and between
        the parts of a body, the caller may be idle for the idle timeout. Nothing limits
        the time in which the caller waits for a reply.

        :returns: ``None`` if the caller is not to send anything now, or if what it
            sends is not read.
        """
        if not self.is_accepting or self.is_full or self.parser.awaits_memory:
            return None
        if self.parser.is_reading_head:
            return self.head_since + self.service.header_timeout_s
        if self.owes_replies and self.parser.is_between_messages:
            return None
        return self.used_at + self.service.idle_timeout_s

    def expire(self) -> None:
        """Accept no further request, because a time limit has passed.

        A request whose body did not arrive in time is refused. A head belongs to no
        request yet.
        """
        if self.parser.is_reading_head:
            self.stop_accepting(CloseCause.HEADER_TIMEOUT)
            return
        if self.parser.is_between_messages:
            self.stop_accepting(CloseCause.IDLE_TIMEOUT)
            return
        self.stop_accepting(CloseCause.BODY_TIMEOUT)
        self.waiting.extend(self.parser.give_up(HTTPStatus.REQUEST_TIMEOUT))

    def shed(self) -> None:
        """Accept no further request, and refuse the one that is not complete."""
        self.stop_accepting(CloseCause.MEMORY)
        self.waiting.extend(self.parser.give_up(HTTPStatus.SERVICE_UNAVAILABLE))

    def end(self) -> None:
        """Accept no further request, because the node ends."""
        if self.is_accepting:
            self.stop_accepting(CloseCause.STOPPING)
            self.expire()

    def is_last_reply(self) -> bool:
        """Return whether the connection closes after the reply to the first request.

        If so, no further request is accepted. The connection never closes before
        an accepted request has been answered.
        """
        if len(self.exchanges) > 1 or self.waiting:
            return False
        if self.service.is_stopping:
            self.stop_accepting(CloseCause.STOPPING)
        return not self.is_accepting

    def finish_reply(self) -> None:
        """Remove the first request, whose reply has been written."""
        self.exchanges.popleft()
        self.used_at = time.monotonic()
        self.finished_at = self.used_at

    def has_been_idle(self, idle_s: float) -> bool:
        """Return whether the connection was unused for some time.

        :param idle_s: minimum time without use.
        """
        return self.is_idle and time.monotonic() - self.used_at >= idle_s
