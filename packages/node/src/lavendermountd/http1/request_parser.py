"""Parsing requests, several of which may come before the first answer.

:units: bytes.
:source: ``httptools``, which wraps the parser of Node.js.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from lavendermount_core.structure.calls import Headers
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    WireRequest,
    find_header,
)

MAX_DISCARDED_BODY_BYTES = 268435456


class RequestLimits:
    """What a request may weigh.

    :param header_bytes: largest head.
    :param body_bytes: largest body.
    """

    __slots__ = ('header_bytes', 'body_bytes')

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        """Keep the fields as given."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes


class RequestParser:
    """Turns the bytes of one connection into whole requests.

    A body that is too large is read and dropped before its refusal, since a
    caller that is still sending would lose an answer written now: the
    connection would be reset under it. One that asked before sending, or that
    is larger than ``DROPPED_BODY_BYTES``, is refused at once.

    :param limits: what a request may weigh.
    """

    __slots__ = (
        'limits',
        'parser',
        'complete_requests',
        'is_between_messages',
        'is_reading_head',
        'has_failed',
        'expects_continue',
        'target',
        'headers',
        'parts',
        'body_size',
        'head_size',
        'head_fed_size',
        'problem',
    )

    def __init__(self, limits: RequestLimits) -> None:
        """Start before the first request."""
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.complete_requests: list[WireRequest] = []
        self.is_between_messages = True
        self.is_reading_head = False
        self.has_failed = False
        self.expects_continue = False
        self.target = b''
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.body_size = 0
        self.head_size = 0
        self.head_fed_size = 0
        self.problem = 0

    def feed(self, chunk: bytes) -> list[WireRequest]:
        """Take bytes.

        After a request that can't be parsed, or that must be refused before
        its end, nothing more is read: ``has_failed`` is set.

        :param chunk: bytes as they came.
        :returns: the requests that became whole, and a refused one at the end.
        """
        if self.has_failed:
            return []
        self.head_fed_size = (
            self.head_fed_size + len(chunk) if self.is_reading_head else 0
        )
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self.fail(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.fail(self.problem or HTTPStatus.BAD_REQUEST)
        if not self.has_failed and self.head_fed_size > 2 * self.limits.header_bytes:
            self.fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        complete = self.complete_requests
        self.complete_requests = []
        return complete

    def fail(self, status: int) -> None:
        """Refuse the present request and read nothing more."""
        self.has_failed = True
        self.problem = status
        self.complete_requests.append(self.build_request(keeps_alive=False))

    def consume_continue(self) -> bool:
        """Whether the caller waits to be told that it may send the body."""
        expects_continue = self.expects_continue
        self.expects_continue = False
        return expects_continue and not self.has_failed

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.is_between_messages = False
        self.is_reading_head = True
        self.target = b''
        self.headers = []
        self.parts = []
        self.body_size = 0
        self.head_size = 0
        self.problem = 0

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target."""
        self.target += url
        self.check_head_size(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header."""
        self.headers.append((name.decode('latin-1'), text.decode('latin-1')))
        self.check_head_size(len(name) + len(text))

    def check_head_size(self, size: int) -> None:
        """Refuse a head that grew too large."""
        self.head_size += size
        if self.head_size > self.limits.header_bytes:
            self.problem = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise ValueError('the head is too large')

    def on_headers_complete(self) -> None:
        """Refuse ambiguous framing, and a body announced too large."""
        self.is_reading_head = False
        length = find_header(self.headers, CONTENT_LENGTH)
        if length and find_header(self.headers, TRANSFER_ENCODING):
            self.problem = HTTPStatus.BAD_REQUEST
            raise ValueError('both a length and a transfer encoding')
        self.expects_continue = bool(find_header(self.headers, 'expect'))
        if length.isdigit() and int(length) > self.limits.body_bytes:
            self.refuse_body(int(length))

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body unless it grew too large."""
        self.body_size += len(part)
        if self.body_size > self.limits.body_bytes:
            self.refuse_body(self.body_size)
            return
        self.parts.append(part)

    def refuse_body(self, size: int) -> None:
        """Refuse a body that is too large, now or at its end."""
        self.problem = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self.parts = []
        if self.expects_continue or size > MAX_DISCARDED_BODY_BYTES:
            raise ValueError('the body is too large')

    def on_message_complete(self) -> None:
        """Hand out the request."""
        self.is_between_messages = True
        self.expects_continue = False
        self.complete_requests.append(
            self.build_request(self.parser.should_keep_alive())
        )

    def build_request(self, keeps_alive: bool) -> WireRequest:
        """Build the present request."""
        method = b'' if self.has_failed else self.parser.get_method()
        return WireRequest(
            method.decode('latin-1'),
            self.target.decode('latin-1'),
            self.headers,
            b''.join(self.parts),
            keeps_alive,
            self.problem,
        )
