"""Finds the tenant that a key identifies.

:shapes: one entry for each key of a preset; keys are never logged.
"""

from __future__ import annotations

from lavendermount_core.config.preset import PresetSchema, TenantOptions


class TenantIndex:
    """Tenants of a preset by key and by name.

    :param schema: preset that contains the tenants.
    """

    __slots__ = ('by_key', 'by_name')

    def __init__(self, schema: PresetSchema) -> None:
        """Index the tenants once, so that lookups are fast."""
        self.by_name = {tenant.name: tenant for tenant in schema.tenant}
        self.by_key: dict[str, TenantOptions] = {
            key: tenant for tenant in schema.tenant for key in tenant.keys
        }

    @property
    def is_empty(self) -> bool:
        """Whether the preset has no tenants, so that requests need no key."""
        return not self.by_name
