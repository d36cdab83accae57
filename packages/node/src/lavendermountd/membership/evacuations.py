"""Availability zones that operators have evacuated.

An evacuated zone gets no new requests until the evacuation is lifted. The operator's
records are on the platform's log; nodes that can't read it learn them by gossip. Of
two states of a zone, the one with the higher log position wins, so the state that
a node holds never goes back, and it survives a cut, a freeze and a log that comes
back from an older copy.

:units: positions are those of the log, which include its era.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lavendermount_core.log.adapter import NewestRecords, era_of
from lavendermount_core.models.records import Record

log = logging.getLogger(__name__)

# Source of a state that was read from the log.
LOG = 'log'


class ZoneState(Record):
    """Whether a zone is evacuated, as of one record of the operator.

    :param zone: name of the availability zone.
    :param position: log position of the record.
    :param is_evacuated: whether the zone is evacuated; false once that is lifted.
    """

    __slots__ = ('zone', 'position', 'is_evacuated')

    def __init__(self, zone: str, position: int, is_evacuated: bool) -> None:
        """Initialize the fields."""
        self.zone = zone
        self.position = position
        self.is_evacuated = is_evacuated


class EvacuationTable:
    """The newest known state of each zone that was ever evacuated.

    :param key_prefix: prefix of the keys of the operator's records; the name of
        the zone follows it. If empty, no record is one of an evacuation.
    """

    __slots__ = ('key_prefix', 'states', 'evacuated', 'listeners')

    def __init__(self, key_prefix: str = '') -> None:
        """Start with no zone evacuated."""
        self.key_prefix = key_prefix
        self.states: dict[str, ZoneState] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.listeners: list[Callable[[], None]] = []

    def zone_of(self, key: str) -> str:
        """Return the zone that a record's key names; empty if it names none."""
        if not self.key_prefix or not key.startswith(self.key_prefix):
            return ''
        return key[len(self.key_prefix) :]

    def read_record(self, key: str, body: bytes, position: int) -> None:
        """Apply a record of the log; those with other keys are ignored.

        :param key: key of the record.
        :param body: the record; empty if the evacuation was lifted.
        :param position: log position of the record.
        """
        zone = self.zone_of(key)
        if zone:
            self.merge(ZoneState(zone, position, bool(body)))

    def read_newest(self, newest: NewestRecords) -> None:
        """Apply the newest record of each key.

        An evacuation whose record is gone was lifted. If the log has come back from
        an older copy, the record may have been lost with it; the zone then stays
        evacuated until the operator's next record.
        """
        for key, body in newest.bodies.items():
            self.read_record(key, body, newest.offsets.get(key, newest.end))
        for zone in self.evacuated:
            known = self.states[zone]
            is_gone = f'{self.key_prefix}{zone}' not in newest.bodies
            if is_gone and era_of(known.position) == era_of(newest.end):
                self.merge(ZoneState(zone, newest.end, is_evacuated=False))

    def merge(self, state: ZoneState, source: str = LOG) -> bool:
        """Adopt a state if it is newer than the known one.

        :param state: state of a zone.
        :param source: name of the node that it was learned from, or ``LOG``.
        :returns: whether it was newer.
        """
        known = self.states.get(state.zone)
        if known is not None and known.position >= state.position:
            return False
        self.states[state.zone] = state
        was_evacuated = state.zone in self.evacuated
        if was_evacuated == state.is_evacuated:
            return True
        self.evacuated = frozenset(
            zone for zone, entry in self.states.items() if entry.is_evacuated
        )
        log.info(
            'zone-evacuated' if state.is_evacuated else 'zone-reopened',
            extra={
                'zone': state.zone,
                'position': state.position,
                'source': source,
            },
        )
        for listener in self.listeners:
            listener()
        return True
