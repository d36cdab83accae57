"""Reports that a target sends about itself, and the history of its starts.

A start is one run of the target process.

:units: milliseconds since the epoch for times; milliseconds for durations, but
    seconds where a name says so.
"""

from __future__ import annotations

import time
from enum import StrEnum

from lavendermount_core.utils.units import NS_PER_MS


class ReportedState(StrEnum):
    """State that a target reports."""

    READY = 'ready'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class TargetReport:
    """One report of a target to its node.

    :param service: service that the target provides.
    :param host: IP address of the target.
    :param port: port of the target.
    :param slots: requests the target processes concurrently.
    :param instance: name of this start of the target.
    :param state: a ``ReportedState``.
    :param started_at_ms: time at which this start began; 0 if not reported.
    :param sequence: number that grows with each report of this start; 0 if not
        reported.
    :param cold_ms: remaining time of the slow phase after the start; ``None``
        if not reported.
    """

    __slots__ = (
        'service',
        'host',
        'port',
        'slots',
        'instance',
        'state',
        'started_at_ms',
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
        started_at_ms: int = 0,
        sequence: int = 0,
        cold_ms: int | None = None,
    ) -> None:
        """Initialize the fields."""
        self.service = service
        self.host = host
        self.port = port
        self.slots = slots
        self.instance = instance
        self.state = state
        self.started_at_ms = started_at_ms
        self.sequence = sequence
        self.cold_ms = cold_ms

    @property
    def start(self) -> tuple[str, int]:
        """Key of the start, unique even if an instance name is reused."""
        return self.instance, self.started_at_ms


NO_START = ('', 0)
# Least time between two reports of which the second confirms the first.
MIN_REPORT_INTERVAL_S = 0.5
# The same while health checks say that the target is leaving or failing: longer than a
# report may be late.
MIN_DISPUTED_INTERVAL_S = 8.0
NOT_DEPARTED_MS = -1


class StartHistory:
    """Current start of a target, and the starts that have departed.

    Reports may arrive late and out of order. A start that reported that it is
    leaving never returns; only a later start can replace it.
    """

    __slots__ = (
        'current',
        'sequence',
        'departed',
        'unconfirmed',
        'unconfirmed_at',
        'is_disputed',
    )

    def __init__(self) -> None:
        """Create a history without reports."""
        self.current: tuple[str, int] = NO_START
        self.sequence = 0
        self.departed: dict[tuple[str, int], int] = {}
        self.unconfirmed: TargetReport | None = None
        self.unconfirmed_at: float = 0
        # Whether a health check contradicts the unconfirmed report.
        self.is_disputed = False

    def dispute(self) -> None:
        """Record that the target says in a health check that it is not ready."""
        self.is_disputed = True

    def confirm(self, report: TargetReport) -> bool:
        """Return whether a report of a ready target is known not to be outdated.

        If not, the report is stored for comparison with the next one.

        A restarted node doesn't know what its target reported to the previous
        process: the first report it gets may be older than a report that the
        target is leaving. It counts only after a second report of the same
        start with a higher sequence number.

        The two must not arrive together, as late ones may: in the time between
        them, health checks tell whether the target is leaving. If they say that it
        is not ready, only reports that can't both be late outweigh them, as the health
        check of a sound target may be wrong.

        The same holds after a departure without a start time, because reports
        can't be ordered relative to it.

        :param report: report with the state ``READY``.
        """
        is_start_time_unknown = not self.current[1] and self.current in self.departed
        if self.current != NO_START and not is_start_time_unknown:
            return True
        now = time.monotonic()
        previous = self.unconfirmed
        if previous is None or previous.start != report.start:
            self.unconfirmed = report
            self.unconfirmed_at = now
            self.is_disputed = False
            return False
        interval_s = MIN_REPORT_INTERVAL_S
        if self.is_disputed:
            interval_s = MIN_DISPUTED_INTERVAL_S
        is_later = now - self.unconfirmed_at >= interval_s
        return is_later and report.sequence > previous.sequence

    def is_late(self, report: TargetReport) -> bool:
        """Whether a report is outdated.

        A repeated report of a departure is not outdated. A departure without a
        start time applies to every start of that instance that began before the
        departure was recorded.
        """
        is_ready = report.state == ReportedState.READY
        if report.start in self.departed:
            return is_ready
        departed_at_ms = self.departed.get((report.instance, 0), NOT_DEPARTED_MS)
        if is_ready and report.started_at_ms <= departed_at_ms:
            return True
        if report.start == self.current:
            return bool(report.sequence) and report.sequence <= self.sequence
        return bool(report.started_at_ms) and report.started_at_ms < self.current[1]

    def is_later_start(self, report: TargetReport) -> bool:
        """Whether a report is of a later start under the same instance name."""
        return 0 < self.current[1] < report.started_at_ms

    def record_report(self, report: TargetReport) -> None:
        """Record a report that was not late."""
        if report.start != self.current:
            self.current = report.start
            self.sequence = 0
        self.sequence = max(self.sequence, report.sequence)

    def record_departure(self, start: tuple[str, int]) -> None:
        """Record that a start has departed.

        :param start: instance name and start time; the time is 0 if unknown.
        """
        self.departed[start] = time.time_ns() // NS_PER_MS
        if len(self.departed) > MAX_DEPARTED:
            self.departed.pop(next(iter(self.departed)))

    def has_departed(self, instance: str) -> bool:
        """Whether any start with this instance name has departed.

        :param instance: instance name, as given in replies of the target.
        """
        return any(name == instance for name, _ in self.departed)


# The oldest departures beyond this number are dropped.
MAX_DEPARTED = 64
