"""Limits of tenants and the share of one zone.

:units: requests and requests a second.
"""

from __future__ import annotations

from lavendermount_core.config.preset import PresetSchema
from lavendermountd.allotments.bucket import MIN_CAPACITY


class ZoneShare:
    """Share of one zone in the allotment of a tenant.

    :param total_per_s: rate over all zones.
    :param rate_per_s: rate of the zone.
    :param capacity: burst of the zone, at least one token.
    """

    __slots__ = ('total_per_s', 'rate_per_s', 'capacity')

    def __init__(self, total_per_s: float, burst: float, zones: int) -> None:
        """Divide the allotment equally."""
        self.total_per_s = total_per_s
        self.rate_per_s = total_per_s / zones
        self.capacity = max(MIN_CAPACITY, burst / zones)


def zone_shares(schema: PresetSchema, zones: int) -> dict[str, ZoneShare]:
    """Return the shares of all tenants that have a limit, by name.

    :param zones: number of zones of the deployment.
    """
    return {
        tenant.name: ZoneShare(tenant.rate_per_s, tenant.burst, zones)
        for tenant in schema.tenant
        if tenant.rate_per_s
    }
