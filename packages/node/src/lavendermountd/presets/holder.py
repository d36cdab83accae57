"""The preset in force on this node.

:shapes: ``InForcePreset`` is never changed, only replaced by a newer one.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lavendermount_core.config.preset import ClassOptions, parse_preset
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import NO_REVISION, InForce
from lavendermount_core.routing.tuning import tuning_from
from lavendermountd.presets.route_index import RouteIndex

log = logging.getLogger(__name__)


class InForcePreset:
    """A preset with the revision that put it in force.

    :param snapshot: the record that names it.
    """

    __slots__ = (
        'revision',
        'version',
        'schema',
        'classes',
        'services',
        'tuning',
        'index',
        'turns',
    )

    def __init__(self, snapshot: InForce) -> None:
        """Parse the preset; a fold only ever states a valid one."""
        self.revision = snapshot.revision
        self.version = snapshot.version
        self.schema = parse_preset(snapshot.body, snapshot.name)
        self.classes = {entry.name: entry for entry in self.schema.class_}
        self.services = {entry.name: entry for entry in self.schema.service}
        self.tuning = tuning_from(self.schema)
        self.index = RouteIndex(self.schema)
        self.turns: dict[int, dict[str, float]] = {}

    def class_options(self, name: str) -> ClassOptions:
        """Find a class; routes only name classes that exist."""
        return self.classes[name]


class PresetHolder:
    """Keeps the preset in force; it never goes back to an older one."""

    __slots__ = ('fold', 'current', 'on_change')

    def __init__(self) -> None:
        """Start with nothing in force."""
        self.fold: PresetFold | None = None
        self.current: InForcePreset | None = None
        self.on_change: list[Callable[[InForcePreset], None]] = []

    @property
    def revision(self) -> int:
        """Revision in force, or ``NO_REVISION``."""
        return NO_REVISION if self.current is None else self.current.revision

    def refresh(self) -> None:
        """Put in force what the fold says, if it is newer."""
        if self.fold is None or self.fold.in_force.revision <= self.revision:
            return
        self.current = InForcePreset(self.fold.in_force)
        log.info(
            'preset-in-force',
            extra={
                'preset': self.current.schema.name,
                'version': self.current.version,
                'revision': self.current.revision,
            },
        )
        for callback in self.on_change:
            callback(self.current)

    def adopt(self, snapshot: InForce) -> None:
        """Take over what another settled node has in force."""
        if self.fold is None:
            self.fold = PresetFold.from_snapshot(snapshot)
        else:
            self.fold.adopt(snapshot)
        self.refresh()
