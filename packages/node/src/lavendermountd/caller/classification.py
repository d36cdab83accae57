"""Finding the route of a request and what it says of the request.

:units: milliseconds for deadlines.
"""

from __future__ import annotations

from tornado.httputil import HTTPHeaders, RequestStartLine

from lavendermount_core.config.preset import RouteOptions
from lavendermount_core.structure.calls import CallClass
from lavendermountd.presets.holder import InForcePreset

DEADLINE_HEADER = 'X-Deadline-Ms'
DEADLINE_LIMIT_MS = 600000


class Classified:
    """What the preset says of a request.

    :param call_class: service, tenant, class and repeatability.
    :param deadline_ms: time to answer.
    """

    __slots__ = ('call_class', 'deadline_ms')

    def __init__(self, call_class: CallClass, deadline_ms: float) -> None:
        """Keep the fields as given."""
        self.call_class = call_class
        self.deadline_ms = deadline_ms


def classify(
    preset: InForcePreset,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
) -> Classified | None:
    """Apply the first route that matches.

    :param preset: preset in force.
    :param start_line: method and path.
    :param headers: headers as received.
    :returns: what the route says, or ``None`` without a matching route.
    """
    for route in preset.schema.route:
        if _matches(route, start_line, headers):
            return _apply(preset, route, start_line, headers)
    return None


def _matches(
    route: RouteOptions,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
) -> bool:
    if route.methods and start_line.method not in route.methods:
        return False
    if not start_line.path.startswith(route.path):
        return False
    host = headers.get('Host', '').partition(':')[0].lower()
    return not route.host or route.host.lower() == host


def _apply(
    preset: InForcePreset,
    route: RouteOptions,
    start_line: RequestStartLine,
    headers: HTTPHeaders,
) -> Classified:
    tenant = headers.get(route.tenant_header, '') if route.tenant_header else ''
    call_class = CallClass(
        route.service,
        tenant or route.tenant,
        route.class_,
        start_line.method in route.repeatable,
    )
    options = preset.class_options(route.class_)
    allowed_ms = route.deadline_ms or options.deadline_ms
    asked_ms = _asked_deadline(headers)
    if asked_ms is None:
        return Classified(call_class, allowed_ms)
    return Classified(call_class, min(asked_ms, DEADLINE_LIMIT_MS))


def _asked_deadline(headers: HTTPHeaders) -> float | None:
    text = headers.get(DEADLINE_HEADER, '')
    return int(text) if text.isascii() and text.isdigit() else None
