"""What a target says of itself.

:units: milliseconds since the epoch for starts; milliseconds for durations.
"""

from __future__ import annotations

import time
from enum import StrEnum

from lavendermount_core.utils.units import NS_PER_MS


class ReportedState(StrEnum):
    """What a target says that it does."""

    READY = 'ready'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class TargetReport:
    """One report of a target to the node beside it.

    :param service: service that the target answers for.
    :param host: IP number of the target.
    :param port: port of the target.
    :param slots: requests it works on at once.
    :param instance: name of this start of the target.
    :param state: a ``ReportedState``.
    :param born_ms: when this start began; 0 if not said.
    :param sequence: grows with each report of this start; 0 if not said.
    :param cold_ms: how much longer it stays slow after its start; ``None`` if
        not said.
    """

    __slots__ = (
        'service',
        'host',
        'port',
        'slots',
        'instance',
        'state',
        'born_ms',
        'sequence',
        'cold_ms',
    )

    def __init__(
        self,
        service: str,
        host: str,
        port: int,
        slots: int,
        instance: str,
        state: str = ReportedState.READY,
        born_ms: int = 0,
        sequence: int = 0,
        cold_ms: int | None = None,
    ) -> None:
        """Keep the fields as given."""
        self.service = service
        self.host = host
        self.port = port
        self.slots = slots
        self.instance = instance
        self.state = state
        self.born_ms = born_ms
        self.sequence = sequence
        self.cold_ms = cold_ms

    @property
    def start(self) -> tuple[str, int]:
        """Name of the start, unique even where an instance name comes again."""
        return self.instance, self.born_ms


NO_START = ('', 0)
NOT_DEPARTED_MS = -1


class StartHistory:
    """Which starts of a target came before which, and which have left.

    Reports arrive late and out of order. A start that said it was leaving
    never comes back; only a later start takes its place.
    """

    __slots__ = ('current', 'sequence', 'departed', 'unconfirmed')

    def __init__(self) -> None:
        """Start with no report."""
        self.current: tuple[str, int] = NO_START
        self.sequence = 0
        self.departed: dict[tuple[str, int], int] = {}
        self.unconfirmed: TargetReport | None = None

    def is_confirmed(self, report: TargetReport) -> bool:
        """Whether a report of a target that this process never knew counts.

        A process that was started again knows nothing of what its target said
        to the one before: the report may be older than the word that the
        target leaves. A second report, sent later, proves that it does not.

        A departure that named no beginning proves nothing either: it can't be
        told which reports are older.

        :param report: says that the target is ready.
        """
        is_start_time_unknown = not self.current[1] and self.current in self.departed
        if self.current != NO_START and not is_start_time_unknown:
            return True
        previous = self.unconfirmed
        self.unconfirmed = report
        if previous is None or previous.start != report.start:
            return False
        return report.sequence > previous.sequence

    def is_late(self, report: TargetReport) -> bool:
        """Whether something newer than a report is known already.

        A start that left without saying when it began is the one that began
        before then.
        """
        is_ready = report.state == ReportedState.READY
        if report.start in self.departed:
            return is_ready
        departed_at_ms = self.departed.get((report.instance, 0), NOT_DEPARTED_MS)
        if is_ready and report.born_ms <= departed_at_ms:
            return True
        if report.start == self.current:
            return bool(report.sequence) and report.sequence <= self.sequence
        return bool(report.born_ms) and report.born_ms < self.current[1]

    def note(self, report: TargetReport) -> None:
        """Remember a report that was not late."""
        if report.start != self.current:
            self.current = report.start
            self.sequence = 0
        self.sequence = max(self.sequence, report.sequence)

    def note_departure(self, start: tuple[str, int]) -> None:
        """Remember that a start has left.

        :param start: its name and beginning; 0 if that is not known.
        """
        self.departed[start] = time.time_ns() // NS_PER_MS
        if len(self.departed) > MAX_DEPARTED:
            self.departed.pop(next(iter(self.departed)))

    def has_departed(self, instance: str) -> bool:
        """Whether the present start is this one and has left.

        :param instance: name of a start, as a reply bears it.
        """
        return any(name == instance for name, _ in self.departed)


MAX_DEPARTED = 64
