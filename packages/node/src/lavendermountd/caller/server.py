"""HTTP server for callers.

:errors: every failure becomes a problem document; malformed HTTP is answered
    by ``tornado`` itself.
:source: ``tornado.httpserver`` with a bare connection delegate.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import cast

from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from lavendermount_core.structure.calls import (
    CallReply,
    CallRequest,
    Reason,
    Refusal,
    not_run,
    unknown,
)
from lavendermount_core.utils.digests import random_identifier
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.caller.classification import Classified, classify
from lavendermountd.caller.headers import end_to_end, without
from lavendermountd.caller.problems import problem_reply
from lavendermountd.caller.service import CallService

log = logging.getLogger(__name__)

REQUEST_ID_HEADER = 'X-Request-Id'
OWN_HEADERS = frozenset(
    ('content-length', 'expect', 'x-request-id', 'x-deadline-ms'),
)
REPLY_OWN_HEADERS = frozenset(('content-length', 'x-request-id'))
NO_BODY_STATUS = frozenset((204, 304))
MAX_HEADER_BYTES = 65536
SERVER_BODY_LIMIT = 2 * 1024**3
IDLE_CONNECTION_S = 300
RECENT_S = 2.0
DROPPED_BODY_BYTES = 268435456


class CallExchange(HTTPMessageDelegate):
    """One request of a caller and the reply to it.

    :param service: answers requests.
    :param connection: where the reply goes.
    """

    __slots__ = (
        'service',
        'connection',
        'request_id',
        'start_line',
        'headers',
        'parts',
        'size',
        'arrived_at',
        'is_answered',
        'is_too_large',
        'task',
    )

    def __init__(self, service: CallService, connection: HTTPConnection) -> None:
        """Start with nothing received."""
        self.service = service
        self.connection = connection
        self.request_id = random_identifier()
        self.start_line = RequestStartLine('', '', '')
        self.headers = HTTPHeaders()
        self.parts: list[bytes] = []
        self.size = 0
        self.arrived_at = time.monotonic()
        self.is_answered = False
        self.is_too_large = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Keep the head; refuse a body that is announced too large."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self.arrived_at = time.monotonic()
        announced = headers.get('Content-Length', '')
        if announced.isdigit() and int(announced) > self.service.max_body:
            self.refuse_body(int(announced))

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body unless it grows too large."""
        self.size += len(chunk)
        if self.size > self.service.max_body:
            self.refuse_body(self.size)
        if not self.is_too_large:
            self.parts.append(chunk)

    def refuse_body(self, size: int) -> None:
        """Refuse a body that is too large.

        A caller that is still sending would lose an answer written now: the
        connection would be reset under it. So a body of a bearable size is
        read and dropped first; a caller that asked before sending, or that
        sends without end, is answered at once.

        :param size: bytes announced or received so far.
        """
        self.is_too_large = True
        self.parts.clear()
        if 'Expect' in self.headers or size > DROPPED_BODY_BYTES:
            self.write_too_large()

    def write_too_large(self) -> None:
        """Answer that the body is too large, once."""
        if self.is_answered:
            return
        limit = self.service.max_body
        detail = f'the body is larger than {limit} bytes'
        self.write(self.problem(not_run(Reason.TOO_LARGE, detail)))

    def finish(self) -> None:
        """Answer in a task of its own once the request is whole."""
        if self.is_too_large:
            self.write_too_large()
            return
        self.connection.set_close_callback(self.on_caller_gone)  # type: ignore[attr-defined]
        self.task = asyncio.create_task(self.serve())
        self.service.under_way.add(self.task)
        self.task.add_done_callback(self.service.under_way.discard)

    def on_connection_close(self) -> None:
        """Forget a request that never became whole."""
        self.parts.clear()

    def on_caller_gone(self) -> None:
        """Call repeatable work off; other work may have begun."""
        classified = self.classified()
        if classified is None or not classified.call_class.is_repeatable:
            return
        if self.task is not None:
            self.task.cancel()

    async def serve(self) -> None:
        """Find the answer and write it."""
        try:
            reply = await self.reply()
        except asyncio.CancelledError:
            log.debug('caller-gone', extra={'request': self.request_id})
            return
        except Exception:
            log.exception('request-failed', extra={'request': self.request_id})
            reply = self.problem(unknown(Reason.LINK_LOST, 'the node failed'))
        self.write(reply)

    async def reply(self) -> CallReply:
        """Route the request.

        :returns: the target's reply or a problem document.
        """
        await self.service.wait_until_current()
        classified = self.classified()
        preset = self.service.holder.current
        if preset is None:
            refusal = not_run(Reason.NO_PRESET, 'no preset is in force yet', 1)
            return self.problem(refusal)
        if classified is None:
            return self.problem(not_run(Reason.NO_ROUTE, 'no route matches'))
        if not self.start_line.path.startswith('/'):
            return self.problem(not_run(Reason.MALFORMED, 'the path is malformed'))
        request = self.to_request(classified)
        outcome = await self.service.answer(request, preset)
        self.service.metrics.observe_call(
            classified.call_class,
            time.monotonic() - self.arrived_at,
            outcome,
        )
        if isinstance(outcome, Success):
            return cast(CallReply, outcome.unwrap())
        return self.problem(outcome.failure())

    def classified(self) -> Classified | None:
        """Apply the preset in force to the head of the request."""
        preset = self.service.holder.current
        if preset is None:
            return None
        return classify(preset, self.start_line, self.headers)

    def to_request(self, classified: Classified) -> CallRequest:
        """Build the request that is routed."""
        headers = without(end_to_end(self.headers), OWN_HEADERS)
        headers.append((REQUEST_ID_HEADER, self.request_id))
        if 'traceparent' not in self.headers:
            headers.append(('traceparent', _new_traceparent(self.request_id)))
        return CallRequest(
            self.request_id,
            self.start_line.method,
            self.start_line.path,
            headers,
            b''.join(self.parts),
            classified.call_class,
            self.arrived_at + classified.deadline_ms / MS_PER_S,
        )

    def problem(self, refusal: Refusal) -> CallReply:
        """Build a problem document for this request."""
        return problem_reply(refusal, self.request_id)

    def write(self, reply: CallReply) -> None:
        """Write a whole reply."""
        self.is_answered = True
        headers = HTTPHeaders()
        for name, text in without(reply.headers, REPLY_OWN_HEADERS):
            headers.add(name, text)
        headers[REQUEST_ID_HEADER] = self.request_id
        if self.service.is_stopping:
            headers['Connection'] = 'close'
        _set_length(headers, reply, self.start_line.method)
        start_line = ResponseStartLine('HTTP/1.1', reply.status, reply.reason)
        body = b'' if self.start_line.method == 'HEAD' else reply.body
        try:
            self.connection.write_headers(start_line, headers, body or None)
            self.connection.finish()
        except (StreamClosedError, OSError):
            log.debug('caller-gone', extra={'request': self.request_id})


def _set_length(headers: HTTPHeaders, reply: CallReply, method: str) -> None:
    if reply.status in NO_BODY_STATUS:
        return
    if method != 'HEAD':
        headers['Content-Length'] = str(len(reply.body))
        return
    announced = [
        text for name, text in reply.headers if name.lower() == 'content-length'
    ]
    if announced:
        headers['Content-Length'] = announced[0]


def _new_traceparent(request_id: str) -> str:
    trace_id = random_identifier() + request_id
    return f'00-{trace_id}-{request_id}-01'


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts connections from callers.

    :param service: answers requests.
    """

    def __init__(self, service: CallService) -> None:
        """Listen to nothing yet."""
        self.service = service
        self.server: HTTPServer | None = None
        self.listeners: list[socket.socket] = []
        self.last_used: dict[object, float] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Begin an exchange."""
        self.last_used[server_conn] = time.monotonic()
        return CallExchange(self.service, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self.last_used.pop(server_conn, None)

    def has_recent_callers(self) -> bool:
        """Whether a caller is likely to send on an open connection.

        Such a caller is told with its next reply to close the connection.
        """
        oldest = time.monotonic() - RECENT_S
        return any(used > oldest for used in self.last_used.values())

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        server = HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=SERVER_BODY_LIMIT,
            idle_connection_timeout=IDLE_CONNECTION_S,
        )
        self.listeners = bind_sockets(port, host)
        server.add_sockets(self.listeners)
        self.server = server
        try:
            await asyncio.Event().wait()
        finally:
            server.stop()

    def stop_listening(self) -> None:
        """Accept no new connection; open ones go on.

        Connections that the kernel has accepted already are taken first:
        closing the listener would reset them with a request inside.
        """
        if self.server is None:
            return
        for listener in self.listeners:
            self.accept_waiting(listener, self.server)
        self.server.stop()

    def accept_waiting(self, listener: socket.socket, server: HTTPServer) -> None:
        """Take the connections that wait in the kernel."""
        while True:
            try:
                connection, address = listener.accept()
            except OSError:
                return
            connection.setblocking(False)  # noqa: WPS425
            server.handle_stream(IOStream(connection), address)
