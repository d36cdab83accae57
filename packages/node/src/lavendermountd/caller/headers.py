"""Headers that end at one hop, and those that go through.

:source: RFC 9110, section 7.6.1.
"""

from __future__ import annotations

from lavendermount_core.structure.calls import Headers
from lavendermountd.http1.messages import find_header

HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


def end_to_end(headers: Headers) -> Headers:
    """Drop the headers that end at this hop, and the framing of the body.

    :param headers: headers as received.
    :returns: names and values in order; repeated names stay repeated.
    """
    named = find_header(headers, 'connection').lower()
    dropped = HOP_BY_HOP
    if named:
        dropped = dropped.union(name.strip() for name in named.split(','))
    return without(headers, dropped)


def without(headers: Headers, dropped: frozenset[str]) -> Headers:
    """Drop headers by name.

    :param dropped: names in lower case.
    """
    return [pair for pair in headers if pair[0].lower() not in dropped]
