"""The preset in force on this node.

:shapes: an ``InForcePreset`` is replaced by a newer one instead of modified.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from enum import StrEnum

from lavendermount_core.config.preset import ClassOptions, parse_preset
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import NO_REVISION, PresetSnapshot
from lavendermount_core.routing.tuning import tuning_from
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.presets.route_index import RouteIndex
from lavendermountd.presets.tenant_index import TenantIndex

log = logging.getLogger(__name__)

# Source of a preset that was read from the log.
LOG = 'log'


class PresetStage(StrEnum):
    """What happens to a preset until it is in force."""

    RECEIVE = 'receive'
    DECODE = 'decode'
    APPLY = 'apply'


class InForcePreset:
    """A parsed preset and the revision at which it was put in force.

    :param snapshot: snapshot of the preset in force.
    """

    __slots__ = (
        'revision',
        'version',
        'schema',
        'classes',
        'services',
        'tuning',
        'index',
        'tenants',
        'split_weights',
    )

    def __init__(self, snapshot: PresetSnapshot) -> None:
        """Parse the preset; the fold accepts only valid presets."""
        self.revision = snapshot.revision
        self.version = snapshot.version
        self.schema = parse_preset(snapshot.body, snapshot.name)
        self.classes = {entry.name: entry for entry in self.schema.class_}
        self.services = {entry.name: entry for entry in self.schema.service}
        self.tuning = tuning_from(self.schema)
        self.index = RouteIndex(self.schema)
        self.tenants = TenantIndex(self.schema)
        self.split_weights: dict[int, dict[str, float]] = {}

    def class_options(self, name: str) -> ClassOptions:
        """Return the options of a class; validation ensures that it exists."""
        return self.classes[name]


class PresetHolder:
    """Holds the preset in force; never returns to an older one."""

    __slots__ = ('fold', 'current', 'on_change', 'on_stage')

    def __init__(self) -> None:
        """Start without a preset in force."""
        self.fold: PresetFold | None = None
        self.current: InForcePreset | None = None
        self.on_change: list[Callable[[InForcePreset], None]] = []
        # Called with the time that a stage took, in seconds.
        self.on_stage: Callable[[PresetStage, float], None] = _ignore_stage

    @property
    def revision(self) -> int:
        """Revision of the preset in force, or ``NO_REVISION``."""
        return NO_REVISION if self.current is None else self.current.revision

    def refresh(self, source: str = LOG) -> None:
        """Put the preset of the fold in force if it is newer.

        :param source: name of the node that it was learned from, or ``LOG``.
        """
        if self.fold is None or self.fold.in_force.revision <= self.revision:
            return
        started_at = time.monotonic()
        self.current = InForcePreset(self.fold.in_force)
        for callback in self.on_change:
            callback(self.current)
        elapsed_s = time.monotonic() - started_at
        self.on_stage(PresetStage.APPLY, elapsed_s)
        log.info(
            'preset-in-force',
            extra={
                'preset': self.current.schema.name,
                'version': self.current.version,
                'revision': self.current.revision,
                'source': source,
                'bytes': len(self.fold.in_force.body),
                'apply_ms': round(elapsed_s * MS_PER_S),
            },
        )

    def adopt(self, snapshot: PresetSnapshot, source: str = LOG) -> None:
        """Adopt a snapshot from the log or from another node whose fold is settled.

        :param source: name of that node, or ``LOG``.
        """
        if self.fold is None:
            self.fold = PresetFold.from_snapshot(snapshot)
        else:
            self.fold.adopt(snapshot)
        self.refresh(source)


def _ignore_stage(stage: PresetStage, seconds: float) -> None:
    """Do nothing; the node installs the real callback."""
