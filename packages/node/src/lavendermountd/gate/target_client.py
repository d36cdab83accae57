"""HTTP client for the node's own target, with keep-alive connections.

:errors: ``TargetError`` carries the reason of a failed exchange; the progress of
    the attempt tells whether any byte may have been sent.
"""

from __future__ import annotations

import time

from lavendermount_core.models.calls import Body, CallReply, Headers, Reason
from lavendermount_core.utils.units import DEFAULT_MAX_BODY_BYTES, MS_PER_S
from lavendermountd.caller.headers import drop_hop_by_hop
from lavendermountd.dialects.base import Dialect, ReplyMetadata
from lavendermountd.gate.attempts import Attempt, Progress
from lavendermountd.gate.silence import SilenceDetector
from lavendermountd.gate.target import Target
from lavendermountd.http1.client import ExchangeError, HttpConnection, connect
from lavendermountd.http1.messages import (
    WireReply,
    encode_head,
    join_unless_large,
)
from lavendermountd.memory import MemoryBudget
from lavendermountd.unread_data import has_unread_data

CONNECT_TIMEOUT_S = 0.3
# Idle time up to which a connection is used for requests that may not be repeated,
# and for any request if the target announces no idle timeout.
SAFE_IDLE_S = 1.0
# Share of the idle timeout announced by the target for which an idle connection is
# still used.
IDLE_TIMEOUT_SHARE = 0.8
BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


class TargetError(Exception):
    """The target could not be reached or did not send a complete reply.

    :param reason: reason of the failure.
    """

    def __init__(self, reason: Reason, detail: str) -> None:
        """Set the reason and the message."""
        super().__init__(detail)
        self.reason = reason


class TargetAnswer:
    """A complete reply and the metadata in its headers.

    :param reply: reply without hop-by-hop headers.
    :param metadata: information about the target and the request in the headers.
    """

    __slots__ = ('reply', 'metadata')

    def __init__(self, reply: CallReply, metadata: ReplyMetadata) -> None:
        """Initialize the fields."""
        self.reply = reply
        self.metadata = metadata


class TargetClient:
    """Pool of connections to one target.

    :param target: target to connect to.
    :param dialect: header dialect that the target speaks.
    """

    __slots__ = (
        'target',
        'dialect',
        'idle',
        'max_connections',
        'max_body',
        'open_count',
        'memory',
        'silence_timeout_s',
        'exchange_count',
        'active_exchanges',
        'last_replied_exchange',
    )

    def __init__(self, target: Target, dialect: Dialect) -> None:
        """Create a client without connections."""
        self.target = target
        self.dialect = dialect
        self.idle: list[HttpConnection] = []
        # The limits apply until the first preset is applied.
        self.max_connections = 200
        self.max_body = DEFAULT_MAX_BODY_BYTES
        self.memory = MemoryBudget()
        self.silence_timeout_s = 0.3
        self.open_count = 0
        self.exchange_count = 0
        self.active_exchanges = 0
        self.last_replied_exchange = 0

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Send a request and wait for the complete reply.

        A reused connection may have been closed by the target or have gone
        silent in the meantime. Its failure has the reason ``CONNECTION_LOST``, and
        the node that routes the request decides whether to retry.

        :param attempt: attempt to send; it is marked as written before its first
            byte is sent.
        :raises TargetError: if no complete reply arrived.
        :returns: the reply.
        """
        is_repeatable = attempt.request.call_class.is_repeatable
        connection = self.take_idle(is_repeatable)
        if connection is None:
            return await self.exchange_on(await self.connect(), attempt)
        # Requests with a due time are hedged when they take long, so they need
        # no detection of silent connections.
        if not is_repeatable or attempt.request.due:
            return await self.exchange_on(connection, attempt)
        detector = SilenceDetector(self, connection)
        try:
            return await self.exchange_on(connection, attempt)
        finally:
            detector.stop()

    async def exchange_on(
        self,
        connection: HttpConnection,
        attempt: Attempt,
    ) -> TargetAnswer:
        """Run an exchange on a connection; keep it only if the exchange succeeds."""
        self.active_exchanges += 1
        try:
            answer = await self.send_and_read(connection, attempt)
        except BaseException:
            self.discard(connection)
            raise
        finally:
            self.active_exchanges -= 1
        self.put_back(connection)
        return answer

    async def send_and_read(
        self,
        connection: HttpConnection,
        attempt: Attempt,
    ) -> TargetAnswer:
        """Send the request and read its reply."""
        self.exchange_count += 1
        number = self.exchange_count
        connection.parser.max_body = self.max_body
        attempt.progress = Progress.WRITTEN
        attempt.target_start_number = self.target.start_number
        payload, large_body = self.encode(attempt)
        try:
            reply = await connection.exchange(
                payload,
                lambda received: self.is_reply_to(attempt, received),
                attempt.request.method == 'HEAD',
                large_body,
            )
        except ExchangeError as error:
            raise TargetError(_reason_of(error, connection), str(error)) from error
        self.last_replied_exchange = max(self.last_replied_exchange, number)
        metadata = self.dialect.read_reply(reply.status, reply.headers)
        if not self.is_attributable(connection, metadata):
            connection.must_close = True
            raise TargetError(
                Reason.TARGET_REPLY,
                'the reply names no request, and may be an earlier one',
            )
        connection.idle_limit_s = metadata.idle_s * IDLE_TIMEOUT_SHARE or SAFE_IDLE_S
        return TargetAnswer(_to_call_reply(reply), metadata)

    def is_reply_to(self, attempt: Attempt, reply: WireReply) -> bool:
        """Whether a reply belongs to an attempt or names no request."""
        metadata = self.dialect.read_reply(reply.status, reply.headers)
        return metadata.request_id in {'', attempt.request.request_id}

    def is_attributable(
        self, connection: HttpConnection, metadata: ReplyMetadata
    ) -> bool:
        """Return whether a reply can only be that to the current request.

        A target may repeat its reply to an earlier request of the connection.
        """
        is_first = connection.exchange_count == 1
        return bool(metadata.request_id) or is_first or not self.dialect.names_requests

    def encode(self, attempt: Attempt) -> tuple[bytes, Body]:
        """Encode a request, including the time left until its deadline.

        :returns: the request, or its head and the large body that follows.
        """
        request = attempt.request
        remaining_s = request.deadline - time.monotonic()
        headers: Headers = list(request.headers)
        headers.extend(
            self.dialect.target_headers(
                request,
                max(0, int(remaining_s * MS_PER_S)),
                self.target.instance,
            ),
        )
        if request.body or request.method in BODY_METHODS:
            headers.append(('Content-Length', str(len(request.body))))
        first_line = f'{request.method} {request.path} HTTP/1.1'
        return join_unless_large(encode_head(first_line, headers), request.body)

    def take_idle(self, is_repeatable: bool) -> HttpConnection | None:
        """Take the most recently used connection that is not idle for too long.

        A connection that was idle for longer than ``SAFE_IDLE_S`` may have gone
        silent, so requests that may not be repeated are not sent on it. Nor are they
        sent on a connection that the target has closed while this node was busy.
        """
        now = time.monotonic()
        while self.idle:
            connection = self.idle.pop()
            limit_s = connection.idle_limit_s
            if not is_repeatable:
                limit_s = min(limit_s, SAFE_IDLE_S)
            is_fresh = connection.is_reusable and now - connection.used_at < limit_s
            if is_fresh and (is_repeatable or not has_unread_data(connection.stream)):
                return connection
            self.discard(connection)
        return None

    async def connect(self) -> HttpConnection:
        """Open a connection.

        :raises TargetError: if the target can't be reached or the connection
            limit is reached; no byte was sent.
        """
        if self.open_count >= self.max_connections:
            raise TargetError(
                Reason.OVERLOADED, 'the limit of connections to the target is reached'
            )
        self.open_count += 1
        try:
            stream = await connect(
                self.target.host,
                self.target.port,
                CONNECT_TIMEOUT_S,
            )
        except OSError as error:
            self.open_count -= 1
            raise TargetError(Reason.TARGET_DOWN, str(error)) from error
        except BaseException:
            self.open_count -= 1
            raise
        connection = HttpConnection(stream, self.max_body, self.memory)
        connection.idle_limit_s = SAFE_IDLE_S
        return connection

    def put_back(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if it isn't reusable."""
        if not connection.is_reusable:
            self.discard(connection)
            return
        self.idle.append(connection)
        self.close_stale()

    def close_stale(self) -> None:
        """Close the least recently used connection if it was idle for too long."""
        oldest = self.idle[0]
        if time.monotonic() - oldest.used_at > oldest.idle_limit_s:
            self.idle.pop(0)
            self.discard(oldest)

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.discard(self.idle.pop())

    def discard(self, connection: HttpConnection) -> None:
        """Close a connection and free its place under the connection limit."""
        connection.close()
        self.open_count -= 1


def _reason_of(error: ExchangeError, connection: HttpConnection) -> Reason:
    if error.lacks_memory:
        return Reason.NO_MEMORY
    if error.is_malformed:
        return Reason.TARGET_REPLY
    if connection.exchange_count > 1:
        return Reason.CONNECTION_LOST
    return Reason.TARGET_DIED


def _to_call_reply(reply: WireReply) -> CallReply:
    return CallReply(
        reply.status,
        reply.reason,
        drop_hop_by_hop(reply.headers),
        reply.body,
    )
