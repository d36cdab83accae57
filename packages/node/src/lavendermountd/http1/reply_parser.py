"""Incremental parser for HTTP/1.1 replies.

:units: bytes.
:source: ``httptools``, which wraps the parser of Node.js.
"""

from __future__ import annotations

import httptools

from lavendermount_core.models.calls import Headers
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    NO_BODY_STATUS,
    TRANSFER_ENCODING,
    WireReply,
    find_header,
)

FIRST_FINAL_STATUS = 200
MAX_REPLY_HEAD_BYTES = 65536
HEAD_TOO_LARGE = 'the reply head is too large'


class ReplyError(Exception):
    """The data is not a valid reply, or the reply exceeds the size limit."""


class ReplyParser:
    """Parses the data of one connection into complete replies.

    :param max_body: largest accepted body.
    """

    __slots__ = (
        'max_body',
        'parser',
        'complete_replies',
        'is_between_messages',
        'is_head_request',
        'is_close_delimited',
        'reason',
        'headers',
        'parts',
        'body_size',
        'head_size',
        'head_received_size',
        'is_reading_body',
        'failure',
    )

    def __init__(self, max_body: int) -> None:
        """Start in the state before the first reply."""
        self.max_body = max_body
        self.parser = httptools.HttpResponseParser(self)
        self.complete_replies: list[WireReply] = []
        self.is_between_messages = True
        self.is_head_request = False
        self.is_close_delimited = False
        self.reason = b''
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.body_size = 0
        self.head_size = 0
        self.head_received_size = 0
        self.is_reading_body = False
        # Why a callback has refused the reply; the parser drops its error.
        self.failure = ''

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
        self.parts = []
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
        self.head_size += len(name) + len(text)
        if self.head_size > MAX_REPLY_HEAD_BYTES:
            self.failure = HEAD_TOO_LARGE
            raise ReplyError(self.failure)
        self.headers.append((name.decode('latin-1'), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self.head_received_size = 0
        self.is_reading_body = True
        if status in NO_BODY_STATUS:
            return
        if self.is_head_request:
            self.add_complete(keeps_alive=False)
            return
        encoding = find_header(self.headers, TRANSFER_ENCODING).lower()
        has_length = bool(find_header(self.headers, CONTENT_LENGTH))
        self.is_close_delimited = not has_length and encoding != 'chunked'

    def on_body(self, part: bytes) -> None:
        """Store a part of the body.

        :raises ReplyError: if the body exceeds the size limit; ``httptools``
            turns it into a callback error, whose text ``feed`` reports.
        """
        self.body_size += len(part)
        if self.body_size > self.max_body:
            self.failure = 'the reply body is too large'
            raise ReplyError(self.failure)
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Complete the reply unless it is interim (1xx) or already complete."""
        if self.is_between_messages:
            return
        self.is_between_messages = True
        if self.parser.get_status_code() >= FIRST_FINAL_STATUS:
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
                b''.join(self.parts),
                keeps_alive,
            ),
        )
