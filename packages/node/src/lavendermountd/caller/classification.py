"""Route lookup and classification of requests.

:units: milliseconds for deadlines.
"""

from __future__ import annotations

from lavendermount_core.config.preset import (
    ALWAYS,
    BY_METHOD,
    LONGEST_PREFIX,
    RouteOptions,
    TenantOptions,
)
from lavendermount_core.models.calls import (
    CLASS_PRIORITY,
    CallClass,
    Headers,
    Reason,
    Refusal,
    not_run_refusal,
)
from lavendermount_core.utils.units import MAX_TIME_LIMIT_MS
from lavendermountd.caller.splitting import choose_service
from lavendermountd.caller.tenancy import identify_tenant, intersect_regions
from lavendermountd.dialects.base import CallMetadata
from lavendermountd.http1.messages import WireRequest, find_header
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.presets.route_index import matches

CLOSED_ROUTE_RETRY_S = 1.0


class Classification:
    """How a request is treated according to the preset.

    :param call_class: service, tenant, class and repeatability.
    :param deadline_ms: time limit for the reply.
    :param target_ms: preferred response time; 0 if the route sets none.
    :param attempts: maximum number of targets to try; 0 for the default of the
        preset.
    :param allowed_regions: regions whose targets may serve the request; ``None``
        for all.
    :param tenant: tenant that the request's key identifies; ``None`` without one.
    """

    __slots__ = (
        'call_class',
        'deadline_ms',
        'target_ms',
        'attempts',
        'allowed_regions',
        'tenant',
    )

    def __init__(
        self,
        call_class: CallClass,
        deadline_ms: float,
        target_ms: float,
        attempts: int,
        allowed_regions: frozenset[str] | None,
        tenant: TenantOptions | None,
    ) -> None:
        """Initialize the fields."""
        self.call_class = call_class
        self.deadline_ms = deadline_ms
        self.target_ms = target_ms
        self.attempts = attempts
        self.allowed_regions = allowed_regions
        self.tenant = tenant


def classify(
    preset: InForcePreset,
    request: WireRequest,
    metadata: CallMetadata,
) -> Classification | Refusal:
    """Classify a request by its matching route and its key.

    :param preset: preset in force.
    :param request: the request.
    :param metadata: time limit and key that the caller names.
    :returns: the classification, or a refusal if no route matches, the route is closed
        or the key is not valid.
    """
    route = find_route(preset, request)
    if route is None:
        return not_run_refusal(Reason.NO_ROUTE, 'no route matches')
    if route.closed:
        detail = 'the route is closed'
        return not_run_refusal(Reason.CLOSED, detail, CLOSED_ROUTE_RETRY_S)
    tenancy = identify_tenant(preset.tenants, route, metadata.key)
    if tenancy.refusal is not None:
        return tenancy.refusal
    return _apply_route(preset, route, request, metadata.deadline_ms, tenancy.tenant)


def find_route(preset: InForcePreset, request: WireRequest) -> RouteOptions | None:
    """Find the matching route of a request.

    The ``matching`` option of the preset selects either the longest path prefix
    or the first match.

    :returns: the route, or ``None`` if none matches.
    """
    host = _host_of(request.headers)
    if preset.schema.matching == LONGEST_PREFIX:
        return preset.index.find(host, request.method, request.target)
    return next(
        (
            route
            for route in preset.schema.route
            if matches(route, host, request.method, request.target)
        ),
        None,
    )


def _host_of(headers: Headers) -> str:
    return find_header(headers, 'host').partition(':')[0].lower()


def _apply_route(
    preset: InForcePreset,
    route: RouteOptions,
    request: WireRequest,
    requested_ms: float | None,
    tenant: TenantOptions | None,
) -> Classification:
    call_class = CallClass(
        choose_service(route, preset.split_weights),
        _tenant_name(route, request, tenant),
        route.class_,
        _is_repeatable(route, request.method),
        CLASS_PRIORITY if tenant is None else tenant.priority,
    )
    options = preset.class_options(route.class_)
    default_ms = route.deadline_ms or options.deadline_ms
    deadline_ms = (
        default_ms if requested_ms is None else min(requested_ms, MAX_TIME_LIMIT_MS)
    )
    if route.timeout_ms:
        deadline_ms = min(deadline_ms, route.timeout_ms)
    return Classification(
        call_class,
        deadline_ms,
        route.target_ms,
        route.attempts,
        intersect_regions(route, tenant),
        tenant,
    )


def _tenant_name(
    route: RouteOptions, request: WireRequest, tenant: TenantOptions | None
) -> str:
    if tenant is not None:
        return tenant.name
    named = ''
    if route.tenant_header:
        named = find_header(request.headers, route.tenant_header.lower())
    return named or route.tenant


def _is_repeatable(route: RouteOptions, method: str) -> bool:
    if route.repeat == BY_METHOD:
        return method in route.repeatable
    return route.repeat == ALWAYS
