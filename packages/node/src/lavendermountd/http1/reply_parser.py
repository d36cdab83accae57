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
        'whole',
        'is_between',
        'is_head_request',
        'ends_with_connection',
        'reason',
        'headers',
        'parts',
        'size',
    )

    def __init__(self, max_body: int) -> None:
        """Start before the first reply."""
        self.max_body = max_body
        self.parser = httptools.HttpResponseParser(self)
        self.whole: list[WireReply] = []
        self.is_between = True
        self.is_head_request = False
        self.ends_with_connection = False
        self.reason = b''
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.size = 0

    def feed(self, chunk: bytes) -> list[WireReply]:
        """Take bytes.

        :param chunk: bytes as they came.
        :raises ReplyError: if they are no reply; those that became whole
            before stay in ``whole``.
        :returns: the replies that became whole.
        """
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ReplyError(str(error)) from error
        return self.take_whole()

    def take_whole(self) -> list[WireReply]:
        """Take the replies that became whole."""
        whole = self.whole
        self.whole = []
        return whole

    def finish(self) -> list[WireReply]:
        """Note that the connection ended in good order.

        :returns: the reply that ends with its connection, if there is one.
        """
        if self.ends_with_connection:
            self.hand_out(keeps_alive=False)
        return self.take_whole()

    def on_message_begin(self) -> None:
        """Begin a reply."""
        self.is_between = False
        self.ends_with_connection = False
        self.reason = b''
        self.headers = []
        self.parts = []
        self.size = 0

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
            self.hand_out(keeps_alive=False)
            return
        encoding = find_header(self.headers, TRANSFER_ENCODING).lower()
        has_length = bool(find_header(self.headers, CONTENT_LENGTH))
        self.ends_with_connection = not has_length and encoding != 'chunked'

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self.size += len(part)
        if self.size > self.max_body:
            raise ReplyError('the reply is too large')
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Hand out the reply unless it is an interim one."""
        if self.is_between:
            return
        self.is_between = True
        if self.parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.hand_out(self.parser.should_keep_alive())

    def hand_out(self, keeps_alive: bool) -> None:
        """Build the present reply."""
        self.is_between = True
        self.ends_with_connection = False
        self.whole.append(
            WireReply(
                self.parser.get_status_code(),
                self.reason.decode('latin-1'),
                self.headers,
                b''.join(self.parts),
                keeps_alive,
            ),
        )
