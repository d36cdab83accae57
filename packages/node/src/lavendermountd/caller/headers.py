"""Filters for hop-by-hop and other headers.

:source: RFC 9110, section 7.6.1.
"""

from __future__ import annotations

from lavendermount_core.models.calls import Headers
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


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Drop hop-by-hop headers and the headers that frame the body.

    The headers named in ``Connection`` are hop-by-hop too.

    :param headers: headers as received.
    :returns: the other headers in order, with repeated names kept.
    """
    named = find_header(headers, 'connection').lower()
    dropped = HOP_BY_HOP
    if named:
        dropped = dropped.union(name.strip() for name in named.split(','))
    return drop_headers(headers, dropped)


def drop_headers(headers: Headers, dropped: frozenset[str]) -> Headers:
    """Drop headers by name.

    :param dropped: names in lower case.
    """
    return [pair for pair in headers if pair[0].lower() not in dropped]
