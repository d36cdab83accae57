"""The preset in force on this node.

:shapes: an ``InForcePreset`` is replaced by a newer one instead of modified.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lavendermount_core.config.preset import ClassOptions, parse_preset
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import NO_REVISION, PresetSnapshot
from lavendermount_core.routing.tuning import tuning_from
from lavendermountd.presets.route_index import RouteIndex
from lavendermountd.presets.tenant_index import TenantIndex

log = logging.getLogger(__name__)

# Source of a preset that was read from the log.
LOG = 'log'


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

    __slots__ = ('fold', 'current', 'on_change')

    def __init__(self) -> None:
        """Start without a preset in force."""
        self.fold: PresetFold | None = None
        self.current: InForcePreset | None = None
        self.on_change: list[Callable[[InForcePreset], None]] = []

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
        self.current = InForcePreset(self.fold.in_force)
        log.info(
            'preset-in-force',
            extra={
                'preset': self.current.schema.name,
                'version': self.current.version,
                'revision': self.current.revision,
                'source': source,
            },
        )
        for callback in self.on_change:
            callback(self.current)

    def adopt(self, snapshot: PresetSnapshot, source: str = LOG) -> None:
        """Adopt a snapshot from the log or from another node whose fold is settled.

        :param source: name of that node, or ``LOG``.
        """
        if self.fold is None:
            self.fold = PresetFold.from_snapshot(snapshot)
        else:
            self.fold.adopt(snapshot)
        self.refresh(source)
