"""The fold over the preset stream that decides which preset is in force.

:shapes: records enter in the order of their offsets, from any offset on.
:errors: none; a record that cannot count is counted as skipped.

A fold is *settled* while it knows the preset in force just below the next
offset. Only then can it judge a switch. One that starts above offset 0, or
that missed evicted records, becomes settled with the first snapshot whose
author had read everything below the fold's own start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lavendermount_core.config.preset import parse_preset
from lavendermount_core.exceptions import ConfigurationError, RecordError
from lavendermount_core.presets.records import (
    NO_REVISION,
    InForce,
    Publish,
    Switch,
    decode_record,
)
from lavendermount_core.structure.records import Record
from lavendermount_core.utils.digests import short_digest
from lavendermount_core.utils.registry import Registry

ApplyRecord = Callable[['PresetFold', int, Any], None]
appliers: Registry[type[Record], ApplyRecord] = Registry('applier')
NOTHING_IN_FORCE = InForce(NO_REVISION, 0, '', '', '')


class Judgement(Record):
    """What became of one switch.

    :param offset: where the switch stands.
    :param is_winner: whether it put its preset in force.
    :param revision: revision in force right after it.
    """

    __slots__ = ('offset', 'is_winner', 'revision')

    def __init__(self, offset: int, is_winner: bool, revision: int) -> None:
        """Keep the fields as given."""
        self.offset = offset
        self.is_winner = is_winner
        self.revision = revision


class PresetFold:
    """State of the preset stream up to an offset.

    :param start: first offset that will be applied.
    """

    __slots__ = (
        'start',
        'next_offset',
        'is_settled',
        'in_force',
        'published',
        'judgements',
        'pending_switches',
        'skipped',
        'snapshot_offset',
    )

    def __init__(self, start: int = 0) -> None:
        """Start settled at offset 0, unsettled anywhere else."""
        self.start = start
        self.next_offset = start
        self.is_settled = start == 0
        self.in_force = NOTHING_IN_FORCE
        self.published: dict[tuple[str, str], Publish] = {}
        self.judgements: dict[str, Judgement] = {}
        self.pending_switches: list[tuple[int, Switch]] = []
        self.skipped = 0
        self.snapshot_offset = start

    @classmethod
    def from_snapshot(cls, snapshot: InForce) -> PresetFold:
        """Start from what another node knows, without reading the log.

        :param statement: from a node whose fold is settled.
        :returns: a settled fold that reads on where the author had read to.
        """
        fold = cls(snapshot.as_of)
        fold.in_force = snapshot
        fold.is_settled = True
        return fold

    def restart(self, oldest: int) -> None:
        """Go on above records that were evicted unread.

        The preset in force stays; it may be behind.

        :param oldest: oldest offset that the log retains.
        """
        self.start = oldest
        self.next_offset = oldest
        self.is_settled = False
        self.pending_switches.clear()

    def apply(self, offset: int, body: bytes) -> None:
        """Apply one stored record.

        :param offset: its offset, at least ``next_offset``.
        :param body: its bytes, from anyone.
        """
        self.next_offset = offset + 1
        try:
            record = decode_record(body)
        except RecordError:
            self.skipped += 1
            return
        appliers.find(type(record))(self, offset, record)

    def adopt(self, snapshot: InForce) -> None:
        """Take over what another node knows to be in force.

        :param statement: from a node whose fold is settled.
        """
        reaches_start = snapshot.as_of >= self.start
        has_preset = self.in_force.revision != NO_REVISION
        is_newer = snapshot.revision > self.in_force.revision
        if is_newer and (reaches_start or has_preset):
            self.in_force = snapshot
        if reaches_start and not self.is_settled:
            self.settle(snapshot)

    def settle(self, snapshot: InForce) -> None:
        """Judge the waiting switches on top of a statement.

        :param statement: its author read everything below ``start``.
        """
        self.is_settled = True
        pending = self.pending_switches
        self.pending_switches = []
        revision = snapshot.revision
        for offset, switch in pending:
            if offset >= snapshot.as_of:
                revision = self.evaluate_switch(offset, switch, revision)

    def evaluate_switch(self, offset: int, switch: Switch, revision: int) -> int:
        """Decide whether a switch wins.

        :param offset: where the switch stands.
        :param switch: the switch.
        :param revision: revision in force just below it.
        :returns: revision in force just above it.
        """
        is_winner = switch.expected == revision and _is_valid(switch)
        if is_winner:
            revision = offset
            self.put_in_force(offset, switch)
        judgement = Judgement(offset, is_winner, revision)
        self.judgements.setdefault(switch.record_id, judgement)
        return revision

    def put_in_force(self, offset: int, switch: Switch) -> None:
        """Move to the preset of a winning switch, never to an older one."""
        if offset <= self.in_force.revision:
            return
        self.in_force = InForce(
            offset,
            offset + 1,
            switch.name,
            switch.version,
            switch.body,
        )

    def statement(self) -> InForce:
        """State what is in force now.

        :returns: a record that other nodes can settle on.
        """
        current = self.in_force
        as_of = max(self.next_offset, current.as_of)
        return InForce(
            current.revision, as_of, current.name, current.version, current.body
        )


@appliers.register(Publish)
def apply_publish(fold: PresetFold, offset: int, record: Publish) -> None:
    """Make a preset available; the same body again changes nothing."""
    if not _is_valid(record):
        fold.skipped += 1
        return
    fold.published.setdefault((record.name, record.version), record)


@appliers.register(Switch)
def apply_switch(fold: PresetFold, offset: int, record: Switch) -> None:
    """Judge a switch now, or when the fold is settled."""
    if not fold.is_settled:
        fold.pending_switches.append((offset, record))
        return
    if offset >= fold.in_force.as_of:
        fold.evaluate_switch(offset, record, fold.in_force.revision)


@appliers.register(InForce)
def apply_snapshot(fold: PresetFold, offset: int, record: InForce) -> None:
    """Settle on a statement if its author had read enough."""
    if record.as_of > offset or record.revision >= record.as_of:
        fold.skipped += 1
        return
    if not _is_valid(record):
        fold.skipped += 1
        return
    fold.snapshot_offset = offset
    if not fold.is_settled:
        fold.adopt(record)


def _is_valid(record: Publish | Switch | InForce) -> bool:
    if short_digest(record.body.encode()) != record.version:
        return False
    try:
        return parse_preset(record.body, record.name).name == record.name
    except ConfigurationError:
        return False
