"""Policy parameters of a preset.

:units: milliseconds.
"""

from __future__ import annotations

from lavendermount_core.config.preset import PresetSchema
from lavendermount_core.routing.candidates import Tuning


def tuning_from(schema: PresetSchema) -> Tuning:
    """Extract the policy parameters from a preset."""
    choosing = schema.choosing
    return Tuning(
        choosing.sample,
        choosing.stale_ms,
        choosing.ramp_ms,
        choosing.zone_ms,
        choosing.region_ms,
        choosing.failure_ms,
        choosing.slow_ms,
        choosing.zone_kb_ms,
        choosing.region_kb_ms,
    )
