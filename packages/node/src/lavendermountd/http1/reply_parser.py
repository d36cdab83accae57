"""Parsing replies.

:units: bytes.
:source: ``httptools``, which wraps the parser of Node.js.
"""

from __future__ import annotations

import httptools

from lavendermount_core.structure.calls import Headers
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    NO_BODY_STATUS,
    TRANSFER_ENCODING,
    WireReply,
    find_header,
)

FIRST_FINAL_STATUS = 200


class ReplyError(Exception):
    """The bytes are no reply, or more than may be kept."""


class ReplyParser:
    """Turns the bytes of one connection into whole replies.

    :param max_body: largest body.
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
    )

    def __init__(self, max_body: int) -> None:
        """Start before the first reply."""
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

    def feed(self, chunk: bytes) -> list[WireReply]:
        """Take bytes.

        :param chunk: bytes as they came.
        :raises ReplyError: if they are no reply; those that became whole
            before stay in ``complete_replies``.
        :returns: the replies that became whole.
        """
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ReplyError(str(error)) from error
        return self.take_complete()

    def take_complete(self) -> list[WireReply]:
        """Take the replies that became whole."""
        complete = self.complete_replies
        self.complete_replies = []
        return complete

    def finish(self) -> list[WireReply]:
        """Note that the connection ended in good order.

        :returns: the reply that ends with its connection, if there is one.
        """
        if self.is_close_delimited:
            self.add_complete(keeps_alive=False)
        return self.take_complete()

    def on_message_begin(self) -> None:
        """Begin a reply."""
        self.is_between_messages = False
        self.is_close_delimited = False
        self.reason = b''
        self.headers = []
        self.parts = []
        self.body_size = 0

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header."""
        self.headers.append((name.decode('latin-1'), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS or status in NO_BODY_STATUS:
            return
        if self.is_head_request:
            self.add_complete(keeps_alive=False)
            return
        encoding = find_header(self.headers, TRANSFER_ENCODING).lower()
        has_length = bool(find_header(self.headers, CONTENT_LENGTH))
        self.is_close_delimited = not has_length and encoding != 'chunked'

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self.body_size += len(part)
        if self.body_size > self.max_body:
            raise ReplyError('the reply is too large')
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Hand out the reply unless it is an interim one."""
        if self.is_between_messages:
            return
        self.is_between_messages = True
        if self.parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.add_complete(self.parser.should_keep_alive())

    def add_complete(self, keeps_alive: bool) -> None:
        """Build the present reply."""
        self.is_between_messages = True
        self.is_close_delimited = False
        self.complete_replies.append(
            WireReply(
                self.parser.get_status_code(),
                self.reason.decode('latin-1'),
                self.headers,
                b''.join(self.parts),
                keeps_alive,
            ),
        )
