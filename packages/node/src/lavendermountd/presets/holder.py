"""The preset in force on this node.

:shapes: an ``InForcePreset`` is replaced by a newer one instead of modified.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import StrEnum

from lavendermount_core.config.preset import ClassOptions, parse_preset
from lavendermount_core.presets.checked import CheckedPreset, check_steps
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import NO_REVISION, PresetSnapshot
from lavendermount_core.routing.tuning import tuning_from
from lavendermount_core.utils.steps import Steps, run_steps
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.presets.refusals import LOG, PresetRefusals
from lavendermountd.presets.route_index import RouteIndex, index_routes
from lavendermountd.presets.tenant_index import TenantIndex
from lavendermountd.slices import run_in_slices

log = logging.getLogger(__name__)

LOGGED_ADJUSTMENTS = 20


class PresetStage(StrEnum):
    """What happens to a preset until it is in force."""

    RECEIVE = 'receive'
    DECODE = 'decode'
    APPLY = 'apply'


class InForcePreset:
    """A validated preset and the revision at which it was put in force.

    :param checked: the preset.
    :param index: its routes.
    """

    __slots__ = (
        'snapshot',
        'revision',
        'version',
        'schema',
        'classes',
        'services',
        'tuning',
        'index',
        'tenants',
        'split_weights',
        'adjustments',
    )

    def __init__(self, checked: CheckedPreset, index: RouteIndex) -> None:
        """Look up what requests need often."""
        self.snapshot = checked.snapshot
        self.revision = checked.snapshot.revision
        self.version = checked.snapshot.version
        self.schema = checked.schema
        self.classes = {entry.name: entry for entry in self.schema.class_}
        self.services = {entry.name: entry for entry in self.schema.service}
        self.tuning = tuning_from(self.schema)
        self.index = index
        self.tenants = TenantIndex(self.schema)
        self.split_weights: dict[int, dict[str, float]] = {}
        self.adjustments = checked.adjustments

    def class_options(self, name: str) -> ClassOptions:
        """Return the options of a class; validation ensures that it exists."""
        return self.classes[name]


def compile_steps(checked: CheckedPreset) -> Steps[InForcePreset]:
    """Make a validated preset ready to be put in force, in steps."""
    index = yield from index_routes(checked.schema)
    return InForcePreset(checked, index)


def compile_preset(snapshot: PresetSnapshot) -> InForcePreset:
    """Make a preset ready to be put in force, in one piece.

    :param snapshot: the preset; not validated again if it was the latest.
    :raises ConfigurationError: with all findings.
    """
    schema = parse_preset(snapshot.body, snapshot.name)
    return run_steps(compile_steps(CheckedPreset(snapshot, schema)))


class PresetHolder:
    """Holds the preset in force; never returns to an older one."""

    __slots__ = ('fold', 'current', 'refusals', 'on_change', 'on_stage', 'turn')

    def __init__(self) -> None:
        """Start without a preset in force."""
        self.fold: PresetFold | None = None
        self.current: InForcePreset | None = None
        self.refusals = PresetRefusals()
        self.on_change: list[Callable[[InForcePreset], None]] = []
        # Called with the time that a stage took, in seconds.
        self.on_stage: Callable[[PresetStage, float], None] = _ignore_stage
        # Held while a preset is prepared.
        self.turn = asyncio.Lock()

    @property
    def revision(self) -> int:
        """Revision of the preset in force, or ``NO_REVISION``."""
        return NO_REVISION if self.current is None else self.current.revision

    async def prepare(self, steps: Steps[CheckedPreset]) -> InForcePreset:
        """Validate and compile a preset in slices, while requests are served.

        One preset is prepared at a time, and finished also if a newer one waits.

        :param steps: decodes and validates the preset.
        :raises ConfigurationError: with all findings.
        :returns: the preset, which is not in force yet.
        """
        async with self.turn:
            return await self.compile(steps)

    async def prepare_if_newer(self, snapshot: PresetSnapshot) -> InForcePreset | None:
        """Validate and compile a preset whose revision is known.

        :param snapshot: the preset; not trusted.
        :raises ConfigurationError: with all findings.
        :returns: the preset; ``None`` if a newer one came into force before its turn.
        """
        async with self.turn:
            if snapshot.revision <= self.revision:
                return None
            return await self.compile(check_steps(snapshot))

    async def compile(self, steps: Steps[CheckedPreset]) -> InForcePreset:
        """Validate and compile a preset in slices.

        :raises ConfigurationError: with all findings.
        """
        started_at = time.monotonic()
        checked = await run_in_slices(steps)
        preset = await run_in_slices(compile_steps(checked))
        self.on_stage(PresetStage.DECODE, time.monotonic() - started_at)
        return preset

    def refresh(self, source: str = LOG, prepared: InForcePreset | None = None) -> None:
        """Put the preset of the fold in force if it is newer.

        :param source: name of the node that it was learned from, or ``LOG``.
        :param prepared: the preset that the fold has just adopted.
        """
        if self.fold is None or self.fold.in_force.revision <= self.revision:
            return
        started_at = time.monotonic()
        if prepared is None or prepared.snapshot is not self.fold.in_force:
            prepared = compile_preset(self.fold.in_force)
        self.current = prepared
        self.refusals.end_up_to(prepared.revision)
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
                'adjusted': len(self.current.adjustments),
            },
        )
        _log_adjustments(self.current)

    def put_in_force(self, prepared: InForcePreset, source: str = LOG) -> None:
        """Put a preset in force unless a newer one is by now.

        :param prepared: the preset.
        :param source: name of the node that it was learned from, or ``LOG``.
        """
        if prepared.revision <= self.revision:
            return
        if self.fold is None:
            self.fold = PresetFold.from_snapshot(prepared.snapshot)
        else:
            self.fold.adopt(prepared.snapshot)
        self.refresh(source, prepared)


def _log_adjustments(preset: InForcePreset) -> None:
    """Log the first values that differ from those that were asked for."""
    for adjustment in preset.adjustments[:LOGGED_ADJUSTMENTS]:
        log.warning(
            'preset-value-adjusted',
            extra={
                'revision': preset.revision,
                'field': adjustment.location,
                'asked': adjustment.asked,
                'in_force': adjustment.in_force,
            },
        )


def _ignore_stage(stage: PresetStage, seconds: float) -> None:
    """Do nothing; the node installs the real callback."""
