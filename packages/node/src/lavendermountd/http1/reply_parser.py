"""Incremental parser for HTTP/1.1 replies.

:units: bytes.
:source: ``httptools``, which wraps the parser of Node.js.
"""

from __future__ import annotations

import httptools

from lavendermount_core.models.calls import (
    MIN_FINAL_STATUS,
    MIN_STATUS,
    Body,
    Headers,
    is_final_status,
)
from lavendermountd.http1.framing import FramingLimit
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    NO_BODY_STATUS,
    TRANSFER_ENCODING,
    WireReply,
    find_header,
)
from lavendermountd.memory import (
    SMALL_BODY_BYTES,
    BodyBuffer,
    BodyKind,
    MemoryBudget,
)

MAX_REPLY_HEAD_BYTES = 65536
HEAD_TOO_LARGE = 'the reply head is too large'


class ReplyError(Exception):
    """The data is not a valid reply, or the reply exceeds the size limit."""


class ReplyParser:
    """Parses the data of one connection into complete replies.

    A body for which the memory budget has no room now sets ``awaits_memory``; nothing
    further should be fed until ``large_body`` has found room.

    :param max_body: largest accepted body.
    :param memory: budget of the node; ``None`` for one of its own.
    """

    __slots__ = (
        'max_body',
        'memory',
        'parser',
        'complete_replies',
        'is_between_messages',
        'is_head_request',
        'is_close_delimited',
        'reason',
        'headers',
        'parts',
        'large_body',
        'body_size',
        'head_size',
        'head_received_size',
        'is_reading_body',
        'framing',
        'failure',
    )

    def __init__(self, max_body: int, memory: MemoryBudget | None = None) -> None:
        """Start in the state before the first reply."""
        self.max_body = max_body
        self.memory = memory or MemoryBudget()
        self.parser = httptools.HttpResponseParser(self)
        self.complete_replies: list[WireReply] = []
        self.is_between_messages = True
        self.is_head_request = False
        self.is_close_delimited = False
        self.reason = b''
        self.headers: Headers = []
        self.parts: list[bytes] = []
        # Takes the place of ``parts`` for a body above ``SMALL_BODY_BYTES``.
        self.large_body: BodyBuffer | None = None
        self.body_size = 0
        self.head_size = 0
        self.head_received_size = 0
        self.is_reading_body = False
        self.framing = FramingLimit(2 * MAX_REPLY_HEAD_BYTES)
        # Why a callback has refused the reply; the parser drops its error.
        self.failure = ''

    @property
    def awaits_memory(self) -> bool:
        """Return whether there is no room for the rest of the body now."""
        return self.large_body is not None and self.large_body.missing_bytes > 0

    def feed(self, chunk: bytes) -> list[WireReply]:
        """Parse a chunk of data.

        :param chunk: data as received.
        :raises ReplyError: if it is not a valid reply; replies completed before
            the error stay in ``complete_replies``.
        :returns: the replies completed by this chunk.
        """
        # The parser reports a header only once it is complete, so a head that never
        # ends, or interim replies without end, are limited by the bytes received.
        self.head_received_size += 0 if self.is_reading_body else len(chunk)
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ReplyError(self.failure or str(error)) from error
        if self.head_received_size > 2 * MAX_REPLY_HEAD_BYTES:
            raise ReplyError(HEAD_TOO_LARGE)
        if self.is_reading_body and self.framing.exceeds_after(len(chunk)):
            raise ReplyError('the framing is too large')
        return self.take_complete()

    def take_complete(self) -> list[WireReply]:
        """Return and remove the replies that are complete."""
        complete = self.complete_replies
        self.complete_replies = []
        return complete

    def finish(self) -> list[WireReply]:
        """Process an orderly close of the connection.

        :returns: the close-delimited reply, if there is one.
        """
        if self.is_close_delimited:
            self.add_complete(keeps_alive=False)
        return self.take_complete()

    def on_message_begin(self) -> None:
        """Reset the state for a new reply."""
        self.is_between_messages = False
        self.is_close_delimited = False
        self.reason = b''
        self.headers = []
        self.drop_body()
        self.body_size = 0
        self.head_size = 0
        self.is_reading_body = False

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header, or a trailer after the body.

        :raises ReplyError: if the headers exceed the size limit.
        """
        self.framing.note_report()
        self.head_size += len(name) + len(text)
        if self.head_size > MAX_REPLY_HEAD_BYTES:
            self.failure = HEAD_TOO_LARGE
            raise ReplyError(self.failure)
        self.headers.append((name.decode('latin-1'), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited.

        :raises ReplyError: if HTTP defines no such status, or no body for it.
        """
        status = self.parser.get_status_code()
        if MIN_STATUS <= status < MIN_FINAL_STATUS:
            self.check_interim()
            return
        if not is_final_status(status):
            self.failure = f'{status:03} is no status of HTTP'
            raise ReplyError(self.failure)
        self.head_received_size = 0
        self.is_reading_body = True
        self.framing.note_report()
        if status in NO_BODY_STATUS:
            return
        if self.is_head_request:
            self.add_complete(keeps_alive=False)
            return
        encoding = find_header(self.headers, TRANSFER_ENCODING).lower()
        length = find_header(self.headers, CONTENT_LENGTH)
        self.is_close_delimited = not length and encoding != 'chunked'
        size = int(length) if length.isdigit() else 0
        self.check_body_size(size)
        if size > SMALL_BODY_BYTES:
            self.begin_large_body(size)

    def check_interim(self) -> None:
        """Refuse an interim reply that has a body, and so is none.

        :raises ReplyError: if it has.
        """
        length = find_header(self.headers, CONTENT_LENGTH) or '0'
        if length.strip('0') or find_header(self.headers, TRANSFER_ENCODING):
            self.failure = 'an interim reply has a body'
            raise ReplyError(self.failure)

    def begin_large_body(self, size: int) -> None:
        """Take memory for a body.

        :param size: its size if known, otherwise the bytes that were read.
        """
        large_body = BodyBuffer(self.memory, BodyKind.TARGET_REPLY, self.max_body)
        large_body.reserve(size)
        for part in self.parts:
            large_body.add(part)
        self.parts = []
        self.large_body = large_body

    def drop_body(self) -> None:
        """Release what was read of the body."""
        self.parts = []
        self.large_body = None

    def on_body(self, part: bytes) -> None:
        """Store a part of the body.

        :raises ReplyError: if the body exceeds the size limit; ``httptools``
            turns it into a callback error, whose text ``feed`` reports.
        """
        self.framing.note_report()
        self.body_size += len(part)
        self.check_body_size(self.body_size)
        if self.large_body is not None:
            self.large_body.add(part)
            return
        self.parts.append(part)
        if self.body_size > SMALL_BODY_BYTES:
            self.begin_large_body(self.body_size)

    def check_body_size(self, size: int) -> None:
        """Refuse a body that is too large, as soon as its size is known."""
        if size > self.max_body:
            self.failure = 'the reply body is too large'
            raise ReplyError(self.failure)

    def take_body(self) -> Body:
        """Return the complete body and release what it was made of."""
        body: Body = b''
        if self.large_body is not None:
            body = self.large_body.finish()
        elif self.parts:
            body = b''.join(self.parts)
        self.drop_body()
        return body

    def on_message_complete(self) -> None:
        """Complete the reply unless it is interim (1xx) or already complete."""
        if self.is_between_messages:
            return
        self.is_between_messages = True
        if is_final_status(self.parser.get_status_code()):
            self.add_complete(self.parser.should_keep_alive())

    def add_complete(self, keeps_alive: bool) -> None:
        """Build the current reply and add it to the complete ones."""
        self.is_between_messages = True
        self.is_close_delimited = False
        self.is_reading_body = False
        self.complete_replies.append(
            WireReply(
                self.parser.get_status_code(),
                self.reason.decode('latin-1'),
                self.headers,
                self.take_body(),
                keeps_alive,
            ),
        )
