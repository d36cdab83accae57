"""Decides which tenant a request belongs to, by its key.

The entry node decides once for each request, with the preset in force when the
request arrives. What was admitted goes on if its key is withdrawn later.

:errors: none; a request without a valid key gets a refusal.
"""

from __future__ import annotations

from lavendermount_core.config.preset import RouteOptions, TenantOptions
from lavendermount_core.models.calls import Reason, Refusal, not_run_refusal
from lavendermountd.presets.tenant_index import TenantIndex


class Tenancy:
    """Tenant of a request, or why it is refused.

    :param tenant: the tenant; ``None`` if the request names no valid key.
    :param refusal: the refusal; ``None`` if the request is admitted.
    """

    __slots__ = ('tenant', 'refusal')

    def __init__(self, tenant: TenantOptions | None, refusal: Refusal | None) -> None:
        """Initialize the fields."""
        self.tenant = tenant
        self.refusal = refusal


def identify_tenant(index: TenantIndex, route: RouteOptions, key: str) -> Tenancy:
    """Identify the tenant of a request.

    :param index: tenants of the preset in force.
    :param route: route of the request.
    :param key: key that the request names; empty if none.
    """
    if index.is_empty:
        return Tenancy(None, None)
    tenant = index.by_key.get(key) if key else None
    if tenant is None and not route.public:
        detail = 'the request names no valid key'
        return Tenancy(None, not_run_refusal(Reason.UNKNOWN_KEY, detail))
    return Tenancy(tenant, None)


def intersect_regions(
    route: RouteOptions, tenant: TenantOptions | None
) -> frozenset[str] | None:
    """Return the regions that both the route and the tenant allow.

    :returns: the regions, possibly none; ``None`` if all are allowed.
    """
    route_regions = frozenset(route.allowed_regions)
    tenant_regions = frozenset(tenant.allowed_regions) if tenant else frozenset()
    if route_regions and tenant_regions:
        return route_regions & tenant_regions
    return route_regions or tenant_regions or None
