"""Incremental parser for HTTP/1.1 requests, which may be pipelined.

:units: bytes.
:source: ``httptools``, which wraps the parser of Node.js.
"""

from __future__ import annotations

import time
from http import HTTPStatus

import httptools

from lavendermount_core.models.calls import Body
from lavendermountd.http1.framing import FramingLimit
from lavendermountd.http1.head_buffer import EXPECT, HeadBuffer
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    WireRequest,
    encode_head,
)
from lavendermountd.memory import (
    SMALL_BODY_BYTES,
    BodyBuffer,
    BodyKind,
    MemoryBudget,
)

MAX_DISCARDED_BODY_BYTES = 268435456
CONTINUE_EXPECTATION = '100-continue'


class RequestLimits:
    """Size limits of a request, and the budget of all bodies together.

    :param header_bytes: largest accepted head.
    :param body_bytes: largest accepted body.
    :param memory: budget of the node; ``None`` for one of its own.
    """

    __slots__ = ('header_bytes', 'body_bytes', 'memory')

    def __init__(
        self, header_bytes: int, body_bytes: int, memory: MemoryBudget | None = None
    ) -> None:
        """Initialize the fields."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.memory = memory or MemoryBudget()


class RequestParser:
    """Parses the data of one connection into complete requests.

    A body that is too large is read and discarded before the request is
    refused: if the node replied and closed while the caller is still sending,
    the connection would be reset and the caller would lose the reply. The
    request is refused at once if its caller still waits for ``100 Continue``
    before it sends the body, or if the body is larger than
    ``MAX_DISCARDED_BODY_BYTES``.

    A body for which the memory budget has no room now sets ``awaits_memory``. Nothing
    further must be fed until ``wait_for_memory`` has returned; if there is still no
    room, the body is refused like one that is too large.

    :param limits: size limits of a request.
    """

    __slots__ = (
        'limits',
        'parser',
        'complete_requests',
        'is_between_messages',
        'is_reading_head',
        'framing',
        'has_failed',
        'expects_continue',
        'offers_upgrade',
        'is_resuming',
        'method',
        'target',
        'head',
        'small_body',
        'large_body',
        'body_size',
        'head_size',
        'head_received_size',
        'head_count',
        'part_count',
        'error_status',
    )

    def __init__(self, limits: RequestLimits) -> None:
        """Start in the state before the first request."""
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.complete_requests: list[WireRequest] = []
        self.is_between_messages = True
        self.is_reading_head = False
        self.framing = FramingLimit(2 * limits.header_bytes)
        self.has_failed = False
        self.expects_continue = False
        self.offers_upgrade = False
        self.is_resuming = False
        self.method = ''
        self.target = b''
        self.head = HeadBuffer()
        self.small_body = bytearray()
        # Takes the place of ``small_body`` for a body above ``SMALL_BODY_BYTES``.
        self.large_body: BodyBuffer | None = None
        self.body_size = 0
        self.head_size = 0
        self.head_received_size = 0
        self.head_count = 0
        # Header lines and parts of the body of the current request.
        self.part_count = 0
        self.error_status = 0

    @property
    def awaits_memory(self) -> bool:
        """Return whether there is no room for the rest of the body now."""
        return self.large_body is not None and self.large_body.missing_bytes > 0

    async def wait_for_memory(self) -> list[WireRequest]:
        """Wait a short time for room for the body; refuse the body without it.

        :returns: the request if it is refused at once.
        """
        large_body = self.large_body
        if large_body is None or await large_body.wait_for_room():
            return []
        if self.expects_continue:
            return self.give_up(HTTPStatus.SERVICE_UNAVAILABLE)
        self.error_status = HTTPStatus.SERVICE_UNAVAILABLE
        self.drop_body()
        return []

    def feed(self, chunk: bytes) -> list[WireRequest]:
        """Parse a chunk of data.

        A request that can't be parsed, or that must be refused before its end,
        sets ``has_failed``; later data is ignored.

        :param chunk: data as received.
        :returns: the requests completed by this chunk; a refused one is last.
        """
        if self.has_failed:
            return []
        head_number = self.head_count
        self.parse(chunk)
        if self.is_reading_head and self.head_count == head_number:
            self.count_head_bytes(len(chunk))
        self.count_body_bytes(len(chunk))
        return self.take_complete()

    def give_up(self, status: int) -> list[WireRequest]:
        """Refuse the request that is being read; later data is ignored.

        :param status: HTTP status of the refusal.
        :returns: the refused request.
        """
        self.fail(status)
        return self.take_complete()

    def take_complete(self) -> list[WireRequest]:
        """Return and remove the requests that are complete or refused."""
        complete = self.complete_requests
        self.complete_requests = []
        return complete

    def count_head_bytes(self, size: int) -> None:
        """Refuse a head that does not end.

        The parser reports a header only once it is complete, so a header that never
        ends is limited by the bytes received.

        :param size: size of a chunk that belongs to the current head as a whole.
        """
        self.head_received_size += size
        if self.head_received_size > 2 * self.limits.header_bytes:
            self.fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def count_body_bytes(self, size: int) -> None:
        """Refuse a trailer, or the framing of a chunk, that does not end.

        :param size: size of a chunk of data that the parser was given.
        """
        if self.is_reading_head or self.is_between_messages or self.has_failed:
            return
        if self.framing.exceeds_after(size):
            self.fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def parse(self, chunk: bytes) -> None:
        """Pass a chunk to the parser; an error refuses the current request."""
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as upgrade:
            self.decline_upgrade()
            self.parse(chunk[upgrade.args[0] :])
        except httptools.HttpParserError:
            self.fail(self.error_status or HTTPStatus.BAD_REQUEST)

    def decline_upgrade(self) -> None:
        """Continue with the body of a request that offers another protocol.

        The parser takes all data after such a head for the other protocol. A server may
        ignore the offer (RFC 9110, section 7.8), so a new parser continues after a head
        that has the same framing and offers nothing.
        """
        kept = [
            (name, text)
            for name, text in self.head.decode()
            if name.lower() in {CONTENT_LENGTH, TRANSFER_ENCODING}
        ]
        if not self.parser.should_keep_alive():
            kept.append(('Connection', 'close'))
        self.offers_upgrade = False
        self.parser = httptools.HttpRequestParser(self)
        self.is_resuming = True
        self.parser.feed_data(encode_head('POST / HTTP/1.1', kept))
        self.is_resuming = False

    def fail(self, status: int) -> None:
        """Stop parsing, and refuse the request that has begun and is not complete.

        Without such a request there is nothing to answer: a second answer would be
        taken for that to a later request.

        :param status: HTTP status of the refusal.
        """
        if self.has_failed:
            return
        self.has_failed = True
        self.is_reading_head = False
        if self.is_between_messages:
            return
        self.error_status = status
        self.drop_body()
        self.complete_requests.append(self.build_request(keeps_alive=False))

    def consume_continue(self) -> bool:
        """Return whether to send ``100 Continue``, and clear that state."""
        expects_continue = self.expects_continue
        self.expects_continue = False
        return expects_continue and not self.has_failed

    def drop_body(self) -> None:
        """Free what was read of the body."""
        self.small_body = bytearray()
        self.large_body = None

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self.is_resuming:
            return
        self.is_between_messages = False
        self.is_reading_head = True
        self.target = b''
        self.head = HeadBuffer()
        self.drop_body()
        self.body_size = 0
        self.head_size = 0
        self.head_received_size = 0
        self.head_count += 1
        self.part_count = 0
        self.error_status = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if self.is_resuming:
            return
        self.target += url
        self.check_head_size(len(url))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        if self.is_resuming:
            return
        self.framing.note_report()
        self.part_count += 1
        self.head.add(name, text)
        self.check_head_size(len(name) + len(text))

    def check_head_size(self, size: int) -> None:
        """Add to the size of the head and refuse one that is too large."""
        self.head_size += size
        if self.head_size > self.limits.header_bytes:
            self.error_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise ValueError('request head is too large')

    def on_headers_complete(self) -> None:
        """Refuse ambiguous framing or a ``Content-Length`` above the limit."""
        if self.is_resuming:
            return
        self.is_reading_head = False
        self.framing.note_report()
        self.method = self.parser.get_method().decode('latin-1')
        self.offers_upgrade = self.parser.should_upgrade()
        length = self.head.find(CONTENT_LENGTH)
        if length and self.head.find(TRANSFER_ENCODING):
            self.error_status = HTTPStatus.BAD_REQUEST
            raise ValueError('both Content-Length and Transfer-Encoding are set')
        expectation = self.head.find(EXPECT).lower()
        self.expects_continue = expectation == CONTINUE_EXPECTATION
        size = int(length) if length.isdigit() else 0
        if size > self.limits.body_bytes:
            self.refuse_body(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, size)
        elif size > SMALL_BODY_BYTES:
            self.begin_large_body(size)

    def begin_large_body(self, size: int) -> None:
        """Take memory for a body; refuse one that can never fit.

        :param size: its size if known, otherwise the bytes that were read.
        """
        large_body = BodyBuffer(
            self.limits.memory, BodyKind.CALLER_REQUEST, self.limits.body_bytes
        )
        large_body.reserve(size)
        if not large_body.can_fit:
            large_body.count_refusal()
            self.refuse_body(HTTPStatus.SERVICE_UNAVAILABLE, size)
            return
        large_body.add(self.small_body)
        self.small_body = bytearray()
        self.large_body = large_body

    def on_body(self, part: bytes) -> None:
        """Store a part of the body unless the body is refused."""
        self.framing.note_report()
        self.part_count += 1
        self.body_size += len(part)
        if self.error_status:
            self.refuse_body(self.error_status, self.body_size)
            return
        if self.body_size > self.limits.body_bytes:
            self.refuse_body(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, self.body_size)
            return
        if self.large_body is not None:
            self.large_body.add(part)
            return
        self.small_body += part
        if self.body_size > SMALL_BODY_BYTES:
            self.begin_large_body(self.body_size)

    def refuse_body(self, status: int, size: int) -> None:
        """Refuse a body that is too large, at once or once it is read.

        :param status: HTTP status of the refusal.
        """
        self.error_status = status
        self.drop_body()
        if self.expects_continue or size > MAX_DISCARDED_BODY_BYTES:
            raise ValueError('request body is too large')

    def on_message_complete(self) -> None:
        """Complete the request, unless its body follows an offer to upgrade."""
        if self.offers_upgrade:
            return
        self.is_between_messages = True
        self.expects_continue = False
        self.complete_requests.append(
            self.build_request(self.parser.should_keep_alive())
        )

    def take_body(self) -> Body:
        """Return the complete body and release what it was made of.

        One that was complete before there was room for it is refused.
        """
        if self.large_body is None:
            body: Body = bytes(self.small_body)
        elif self.awaits_memory:
            self.large_body.count_refusal()
            self.error_status = HTTPStatus.SERVICE_UNAVAILABLE
            body = b''
        else:
            body = self.large_body.finish()
        self.drop_body()
        return body

    def build_request(self, keeps_alive: bool) -> WireRequest:
        """Build the current request from the parsed parts."""
        body = self.take_body()
        headers, is_whole = self.head.decode_within(self.limits.memory)
        self.head = HeadBuffer()
        if not is_whole:
            self.error_status = self.error_status or HTTPStatus.SERVICE_UNAVAILABLE
        return WireRequest(
            '' if self.has_failed else self.method,
            self.target.decode('latin-1'),
            headers,
            body,
            keeps_alive,
            self.error_status,
            time.monotonic(),
        )
