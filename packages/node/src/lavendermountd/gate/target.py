"""The target beside the node, as announced.

:units: seconds on the node's monotonic clock, milliseconds in averages.
"""

from __future__ import annotations

import time
from enum import StrEnum

from lavendermount_core.routing.expected_time import SLOW
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.reports import StartHistory, TargetReport

SERVICE_TIME_WEIGHT = 0.1
FAILURE_WEIGHT = 0.1
AVERAGE_EXPIRY_S = 5.0
SLOWNESS_EXPIRY_S = 0.5
WARM_UPTIME_S = 3600.0
NORMAL_SLOWNESS = 1.3
# Requests overtaken in a row that speak of a target that hangs.
HANG_THRESHOLD = 2


class TargetState(StrEnum):
    """Whether the target takes work."""

    ABSENT = 'absent'
    UP = 'up'
    DRAINING = 'draining'
    DOWN = 'down'


class Target:
    """The one target that this node's gate dispatches to."""

    __slots__ = (
        'service',
        'host',
        'port',
        'slots',
        'instance',
        'state',
        'ready_at',
        'start',
        'service_ms',
        'failure_ratio',
        'running_since',
        'observed_at',
        'history',
        'slowness',
        'slowness_at',
        'last_slow_at',
        'consecutive_cancelled',
    )

    def __init__(self) -> None:
        """Start without a target."""
        self.service = ''
        self.host = ''
        self.port = 0
        self.slots = 0
        self.instance = ''
        self.state = TargetState.ABSENT
        self.ready_at: float = 0
        self.start = 0
        self.service_ms: float = 0
        self.failure_ratio: float = 0
        self.running_since: dict[str, float] = {}
        self.observed_at: float = 0
        self.history = StartHistory()
        self.slowness: float = 1
        self.slowness_at: float = 0
        self.last_slow_at: float = 0
        self.consecutive_cancelled = 0

    @property
    def is_accepting(self) -> bool:
        """Whether new work may start."""
        return self.state == TargetState.UP

    def announce(self, report: TargetReport) -> bool:
        """Take over a report of a target that is ready.

        :param report: newer than what is known.
        :returns: whether this is a new start of the target.
        """
        is_new = report.instance != self.instance or self.state != TargetState.UP
        self.history.note(report)
        self.expect(report)
        self.state = TargetState.UP
        if is_new:
            self.mark_started(is_warm=report.cold_ms == 0)
        return is_new

    def expect(self, report: TargetReport) -> None:
        """Know where a target is to be found, without knowing that it is up."""
        self.service = report.service
        self.host = report.host
        self.port = report.port
        self.slots = report.slots
        self.instance = report.instance
        self.state = TargetState.DOWN

    def mark_departing(self, report: TargetReport) -> None:
        """Remember that a start of the target leaves."""
        self.history.note_departure(report.start)
        if report.instance == self.instance:
            self.state = TargetState.DRAINING

    def mark_started(self, is_warm: bool = False) -> None:
        """Begin the averages anew for a target that just started.

        :param is_warm: whether the target says that it is slow no longer.
        """
        self.ready_at = time.monotonic() - is_warm * WARM_UPTIME_S
        self.start += 1
        self.state = TargetState.UP
        self.service_ms = 0
        self.failure_ratio = 0

    def note_slowness(self, slowness: float, now: float) -> None:
        """Keep how slow the target's VM is at the moment."""
        if max(slowness, self.current_slowness(now)) > NORMAL_SLOWNESS:
            self.last_slow_at = now
        self.slowness = slowness
        self.slowness_at = now

    def current_slowness(self, now: float) -> float:
        """How slow the target's VM is; 1 if nothing recent is known."""
        return self.slowness if now - self.slowness_at < SLOWNESS_EXPIRY_S else 1

    @property
    def is_slow(self) -> bool:
        """Whether the target's VM is slow at the moment."""
        return self.current_slowness(time.monotonic()) >= SLOW

    def begin(self, attempt_id: str, now: float) -> None:
        """Note that a request went to the target."""
        self.running_since[attempt_id] = now

    def end(self, attempt_id: str, now: float) -> None:
        """Note that a request is no longer at the target."""
        self.running_since.pop(attempt_id, None)

    def observe(self, elapsed_ms: float, is_failure: bool) -> None:
        """Add one completed request to the averages.

        :param elapsed_ms: from the write to the end of the reply.
        :param is_failure: whether the reply was a failure of the target.
        """
        self.reset_if_expired(time.monotonic())
        self.consecutive_cancelled = 0
        self.failure_ratio += FAILURE_WEIGHT * (is_failure - self.failure_ratio)
        if is_failure:
            return
        self.add_service_time(elapsed_ms)

    def observe_cancelled(self, elapsed_ms: float) -> None:
        """Add a request that was answered by another target first.

        Its time is a lower bound, so it only counts if it is above average. A
        second one without an answer between them speaks of a target that hangs,
        unless its VM is known to be slow for the moment.

        :param elapsed_ms: from the write until it was called off.
        """
        now = time.monotonic()
        self.reset_if_expired(now)
        self.consecutive_cancelled += 1
        if elapsed_ms > self.service_ms:
            self.add_service_time(elapsed_ms)
        if (
            self.consecutive_cancelled >= HANG_THRESHOLD
            and self.last_slow_at < now - SLOWNESS_EXPIRY_S
        ):
            self.failure_ratio += FAILURE_WEIGHT * (1 - self.failure_ratio)

    def reset_if_expired(self, now: float) -> None:
        """Begin averages anew that are too old.

        An old failure must not weigh again because a first try has shown that
        it is over.
        """
        if self.is_expired(now):
            self.service_ms = 0
            self.failure_ratio = 0
            self.consecutive_cancelled = 0
        self.observed_at = now

    def add_service_time(self, elapsed_ms: float) -> None:
        """Add one time to the average of service times."""
        if not self.service_ms:
            self.service_ms = elapsed_ms
        self.service_ms += SERVICE_TIME_WEIGHT * (elapsed_ms - self.service_ms)

    def is_expired(self, now: float) -> bool:
        """Whether the averages are too old to tell anything."""
        return now - self.observed_at > AVERAGE_EXPIRY_S

    def current_service_ms(self, now: float) -> float:
        """Recent service time, or the age of the work in flight if longer.

        What was learned is forgotten when nothing came for a while: a target
        that nobody sends work to could never show that it has recovered.

        :returns: milliseconds; 0 if nothing recent is known.
        """
        if not self.running_since:
            return 0 if self.is_expired(now) else self.service_ms
        total_age_s = now * len(self.running_since) - sum(self.running_since.values())
        return max(self.service_ms, total_age_s * MS_PER_S / len(self.running_since))

    def current_failure_ratio(self, now: float) -> float:
        """Recent share of failures; 0 if nothing recent is known."""
        return 0 if self.is_expired(now) else self.failure_ratio

    def warm_ms(self, now: float) -> int:
        """Time since the target started."""
        return int((now - self.ready_at) * MS_PER_S)
