"""Headers that end at one hop, and those that go through.

:source: RFC 9110, section 7.6.1.
"""

from __future__ import annotations

from tornado.httputil import HTTPHeaders

from lavendermount_core.structure.calls import Headers

HOP_BY_HOP = frozenset(
    (
        'connection',
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


def end_to_end(headers: HTTPHeaders) -> Headers:
    """Drop the headers that end at this hop.

    :param headers: headers as received.
    :returns: names and values in order; repeated names stay repeated.
    """
    named = headers.get('Connection', '').lower().split(',')
    dropped = HOP_BY_HOP.union(name.strip() for name in named)
    return [
        (name, text) for name, text in headers.get_all() if name.lower() not in dropped
    ]


def without(headers: Headers, dropped: frozenset[str]) -> Headers:
    """Drop headers by name.

    :param dropped: names in lower case.
    """
    return [pair for pair in headers if pair[0].lower() not in dropped]
