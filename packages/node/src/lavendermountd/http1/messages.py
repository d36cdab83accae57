"""HTTP/1.1 requests and replies, and encoding of their heads.

:units: bytes.
:source: RFC 9112.
"""

from __future__ import annotations

from http import HTTPStatus

from lavendermount_core.models.calls import Body, Headers
from lavendermountd.memory import SMALL_BODY_BYTES

CONTENT_LENGTH = 'content-length'
TRANSFER_ENCODING = 'transfer-encoding'
# Longer numbers in headers can't be times or sizes; int() refuses very long ones.
MAX_HEADER_DIGITS = 15
NO_BODY_STATUS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class WireRequest:
    """A complete request.

    :param method: HTTP method.
    :param target: request target (path and query), as received.
    :param headers: headers in order, as received.
    :param body: complete body, without framing.
    :param keeps_alive: whether the connection may carry another request.
    :param error_status: HTTP status with which to refuse a malformed request or one
        that exceeds a limit; 0 for a valid request.
    :param received_at: time at which it was complete, in seconds on the node's
        monotonic clock.
    """

    __slots__ = (
        'method',
        'target',
        'headers',
        'body',
        'keeps_alive',
        'error_status',
        'received_at',
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: Body,
        keeps_alive: bool,
        error_status: int = 0,
        received_at: float = 0,
    ) -> None:
        """Initialize the fields."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive
        self.error_status = error_status
        self.received_at = received_at


class WireReply:
    """A complete reply.

    :param status: HTTP status code.
    :param reason: HTTP reason phrase.
    :param headers: headers in order, as received.
    :param body: complete body, without framing.
    :param keeps_alive: whether the connection may carry another request.
    """

    __slots__ = ('status', 'reason', 'headers', 'body', 'keeps_alive')

    def __init__(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: Body,
        keeps_alive: bool,
    ) -> None:
        """Initialize the fields."""
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.keeps_alive = keeps_alive


def find_header(headers: Headers, name: str) -> str:
    """Find the first header with a given name.

    :param headers: headers in order.
    :param name: name in lower case.
    :returns: its value; empty if there is none.
    """
    for header_name, text in headers:
        if header_name.lower() == name:
            return text
    return ''


def header_text(text: str) -> str:
    """Return a text of any language in the form that ``encode_head`` takes.

    :returns: the text, as UTF-8 if Latin-1 lacks one of its characters.
    """
    try:
        text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode().decode('latin-1')
    return text


def encode_head(start_line: str, headers: Headers) -> bytes:
    """Encode the start line and the headers of a message.

    :param start_line: request or status line.
    :param headers: headers in order; the values must not contain line breaks,
        which those from a parser never do.
    :returns: the head, including the blank line at its end.
    """
    lines = [start_line]
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1')


def join_unless_large(head: bytes, body: Body) -> tuple[bytes, Body]:
    """Append a body to a head if copying it costs less than a second write.

    :returns: the message, or its head and the large body that follows.
    """
    if len(body) > SMALL_BODY_BYTES:
        return head, body
    return head + body, b''


def is_decimal(text: str, max_digits: int = MAX_HEADER_DIGITS) -> bool:
    """Return whether a header is a decimal number of a bounded length."""
    return len(text) <= max_digits and text.isascii() and text.isdigit()
