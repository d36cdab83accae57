"""Folds the preset stream into the preset that is in force.

:shapes: records are applied in offset order, starting at any offset.
:errors: none; invalid records are skipped and counted.

A fold is *settled* while it knows which revision is in force immediately
before its next offset. Only a settled fold can decide whether a switch
succeeds. A fold that starts above offset 0, or that missed evicted records,
becomes settled with the first snapshot (a ``PresetSnapshot`` record) whose author
had read every record below the start of the fold.

A stream of a later era of the log begins without a preset. It becomes settled with
the first snapshot that a node carries over from an earlier era; a later one with a
higher revision, from a node that had seen more, replaces it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lavendermount_core.config.preset import parse_preset
from lavendermount_core.exceptions import ConfigurationError, RecordError
from lavendermount_core.log.adapter import era_of, join_position
from lavendermount_core.models.records import Record
from lavendermount_core.presets.records import (
    NO_REVISION,
    PresetSnapshot,
    Publish,
    Switch,
    decode_record,
)
from lavendermount_core.utils.digests import short_digest
from lavendermount_core.utils.registry import Registry

ApplyRecord = Callable[['PresetFold', int, Any], None]
record_appliers: Registry[type[Record], ApplyRecord] = Registry('record applier')
NOTHING_IN_FORCE = PresetSnapshot(NO_REVISION, 0, '', '', '')


class SwitchResult(Record):
    """Result of evaluating one switch.

    :param offset: offset of the switch.
    :param is_winner: whether the switch put its preset in force.
    :param revision: revision in force immediately after the switch.
    """

    __slots__ = ('offset', 'is_winner', 'revision')

    def __init__(self, offset: int, is_winner: bool, revision: int) -> None:
        """Initialize the fields."""
        self.offset = offset
        self.is_winner = is_winner
        self.revision = revision


class PresetFold:
    """State of the preset stream up to an offset.

    :param start: offset of the first record to apply.
    """

    __slots__ = (
        'start',
        'next_offset',
        'is_settled',
        'in_force',
        'published',
        'switch_results',
        'pending_switches',
        'skipped',
        'snapshot_offset',
        'carried_revision',
    )

    def __init__(self, start: int = 0) -> None:
        """Create an empty state, which is settled only at offset 0."""
        self.start = start
        self.next_offset = start
        self.is_settled = start == 0
        self.in_force = NOTHING_IN_FORCE
        self.published: dict[tuple[str, str], Publish] = {}
        self.switch_results: dict[str, SwitchResult] = {}
        self.pending_switches: list[tuple[int, Switch]] = []
        self.skipped = 0
        self.snapshot_offset = start
        self.carried_revision = NO_REVISION

    @property
    def decided_revision(self) -> int:
        """Revision in force according to the records of the current era.

        The fold may know of a newer one from an earlier era, which the records do
        not show yet.
        """
        era = era_of(self.next_offset)
        if era_of(self.in_force.as_of) == era:
            return self.in_force.revision
        return self.carried_revision

    @property
    def must_carry_over(self) -> bool:
        """Whether the records of the current era lack the preset in force."""
        return self.decided_revision < self.in_force.revision

    @classmethod
    def from_snapshot(cls, snapshot: PresetSnapshot) -> PresetFold:
        """Create a fold from the snapshot of a peer, without reading the log.

        :param snapshot: snapshot from a node whose fold is settled.
        :returns: a settled fold that continues at the offset up to which the
            author had read.
        """
        fold = cls(snapshot.as_of)
        fold.in_force = snapshot
        fold.is_settled = True
        return fold

    def restart(self, oldest: int) -> None:
        """Resume after records that were evicted before they were read.

        The same happens when the log came back from an older copy. The preset in
        force is kept, although it may be out of date.

        :param oldest: oldest offset that the log retains.
        """
        self.start = oldest
        self.next_offset = oldest
        self.is_settled = False
        self.carried_revision = NO_REVISION
        self.pending_switches.clear()

    def apply(self, offset: int, body: bytes) -> None:
        """Apply one stored record.

        :param offset: offset of the record, at least ``next_offset``.
        :param body: encoded record; not trusted.
        """
        self.next_offset = offset + 1
        try:
            record = decode_record(body)
        except RecordError:
            self.skipped += 1
            return
        record_appliers.find(type(record))(self, offset, record)

    def adopt(self, snapshot: PresetSnapshot) -> None:
        """Adopt the snapshot of a node if it is newer, and settle if possible.

        A fold without a preset ignores a snapshot that does not cover every
        record below the start of the fold.

        :param snapshot: snapshot from a node whose fold is settled.
        """
        reaches_start = snapshot.as_of >= self.start
        has_preset = self.in_force.revision != NO_REVISION
        is_newer = snapshot.revision > self.in_force.revision
        if is_newer and (reaches_start or has_preset):
            self.in_force = snapshot
        if reaches_start and not self.is_settled:
            self.settle(snapshot)

    def carry_over(self, snapshot: PresetSnapshot) -> None:
        """Apply a snapshot that a node carried over from an earlier era."""
        self.carried_revision = max(self.carried_revision, snapshot.revision)
        if snapshot.revision > self.in_force.revision:
            self.in_force = snapshot
        if not self.is_settled:
            self.settle(snapshot)

    def settle(self, snapshot: PresetSnapshot) -> None:
        """Mark the fold as settled and evaluate the pending switches.

        Switches that the snapshot already covers are dropped.

        :param snapshot: snapshot whose author had read every record below
            ``start``.
        """
        self.is_settled = True
        pending = self.pending_switches
        self.pending_switches = []
        revision = snapshot.revision
        for offset, switch in pending:
            if offset >= snapshot.as_of:
                revision = self.evaluate_switch(offset, switch, revision)

    def evaluate_switch(self, offset: int, switch: Switch, revision: int) -> int:
        """Decide whether a switch succeeds, and record the result.

        :param offset: offset of the switch.
        :param switch: the switch.
        :param revision: revision in force immediately before the switch.
        :returns: revision in force immediately after the switch.
        """
        is_winner = switch.expected == revision and _is_valid(switch)
        if is_winner:
            revision = offset
            self.put_in_force(offset, switch)
        switch_result = SwitchResult(offset, is_winner, revision)
        self.switch_results.setdefault(switch.record_id, switch_result)
        return revision

    def put_in_force(self, offset: int, switch: Switch) -> None:
        """Put the preset of a successful switch in force, unless it is older."""
        if offset <= self.in_force.revision:
            return
        self.in_force = PresetSnapshot(
            offset,
            offset + 1,
            switch.name,
            switch.version,
            switch.body,
        )

    def snapshot(self) -> PresetSnapshot:
        """Take a snapshot of the preset in force.

        :returns: a record that lets the folds of other nodes become settled.
        """
        current = self.in_force
        as_of = current.as_of
        if self.is_settled and not self.must_carry_over:
            as_of = max(self.next_offset, as_of)
        return PresetSnapshot(
            current.revision, as_of, current.name, current.version, current.body
        )


def resume_fold(fold: PresetFold | None, oldest: int) -> PresetFold:
    """Let a fold continue after records that the log no longer has.

    In a later era of the log, it continues at the beginning of the era's own stream.

    :param fold: the fold; ``None`` if nothing has been read.
    :param oldest: oldest position that the log retains.
    :returns: the fold, or a new one.
    """
    # A reader begins with the stream of era 0, since it doesn't know the era yet.
    previous_era = 0 if fold is None else era_of(fold.next_offset)
    if era_of(oldest) != previous_era:
        oldest = join_position(era_of(oldest), 0)
    if fold is None:
        return PresetFold(oldest)
    fold.restart(oldest)
    return fold


@record_appliers.register(Publish)
def apply_publish(fold: PresetFold, offset: int, record: Publish) -> None:
    """Make a preset available; publishing the same body again has no effect."""
    if not _is_valid(record):
        fold.skipped += 1
        return
    fold.published.setdefault((record.name, record.version), record)


@record_appliers.register(Switch)
def apply_switch(fold: PresetFold, offset: int, record: Switch) -> None:
    """Evaluate a switch now, or defer it until the fold is settled.

    A switch that the snapshot in force already covers is ignored.
    """
    if not fold.is_settled:
        fold.pending_switches.append((offset, record))
        return
    if offset >= fold.in_force.as_of:
        fold.evaluate_switch(offset, record, fold.decided_revision)


@record_appliers.register(PresetSnapshot)
def apply_snapshot(fold: PresetFold, offset: int, record: PresetSnapshot) -> None:
    """Adopt a snapshot if the fold is not settled yet, or if it was carried over.

    A snapshot is skipped if it claims to cover its own offset or later ones, if
    its revision is not below ``as_of``, or if its body is not a valid preset.
    """
    if record.as_of > offset or record.revision >= record.as_of:
        fold.skipped += 1
        return
    if not _is_valid(record):
        fold.skipped += 1
        return
    fold.snapshot_offset = offset
    if era_of(record.as_of) < era_of(offset):
        fold.carry_over(record)
        return
    if not fold.is_settled:
        fold.adopt(record)


def _is_valid(record: Publish | Switch | PresetSnapshot) -> bool:
    if short_digest(record.body.encode()) != record.version:
        return False
    try:
        return parse_preset(record.body, record.name).name == record.name
    except ConfigurationError:
        return False
