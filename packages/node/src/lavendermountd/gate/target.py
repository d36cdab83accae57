"""State and averages of the node's own target.

:units: seconds on the node's monotonic clock, milliseconds in averages.
"""

from __future__ import annotations

import math
import time
from enum import StrEnum

from lavendermount_core.routing.expected_time import SLOWNESS_THRESHOLD
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.cold_phase import ColdPhase
from lavendermountd.gate.reports import StartHistory, TargetReport

# Weights of a new sample in the moving averages.
SERVICE_TIME_WEIGHT = 0.1
FAILURE_WEIGHT = 0.1
# Time within which a target that has recovered is used like the others.
RECOVERY_S = 15.0
# Within the recovery time, a target that is avoided is tried this many times.
RECOVERY_TRIES = 5
AVERAGE_EXPIRY_S = RECOVERY_S / RECOVERY_TRIES
# Within the recovery time, earlier failures lose 99% of their weight.
FAILURE_DECAY_S = RECOVERY_S / math.log(100)
SLOWNESS_EXPIRY_S = 0.5
WARM_UPTIME_S = 3600.0
# Up to this slowness, run times count as those of a VM that is not slow.
MAX_NORMAL_SLOWNESS = 1.3
# Consecutive cancelled requests from which on the target is presumed to hang.
HANG_THRESHOLD = 2
# A cancelled request counts only if it ran at least this long.
MIN_CANCELLED_MS = 20.0


class TargetState(StrEnum):
    """Whether the target accepts requests."""

    ABSENT = 'absent'
    UP = 'up'
    DRAINING = 'draining'
    DOWN = 'down'


class Target:
    """The target to which this node's gate sends requests."""

    __slots__ = (
        'service',
        'host',
        'port',
        'slots',
        'instance',
        'state',
        'ready_at',
        'start_number',
        'service_ms',
        'replied_ms',
        'failure_ratio',
        'running_since',
        'observed_at',
        'history',
        'slowness',
        'slowness_at',
        'last_above_normal_at',
        'consecutive_cancelled',
        'cold_phase',
    )

    def __init__(self) -> None:
        """Create a target that has not been announced yet."""
        self.service = ''
        self.host = ''
        self.port = 0
        self.slots = 0
        self.instance = ''
        self.state = TargetState.ABSENT
        self.ready_at: float = 0
        self.start_number = 0
        self.service_ms: float = 0
        # Mean service time of the requests that the target answered.
        self.replied_ms: float = 0
        self.failure_ratio: float = 0
        self.running_since: dict[str, float] = {}
        self.observed_at: float = 0
        self.history = StartHistory()
        self.slowness: float = 1
        self.slowness_at: float = 0
        # Last time at which the slowness exceeded ``MAX_NORMAL_SLOWNESS``.
        self.last_above_normal_at: float = 0
        self.consecutive_cancelled = 0
        self.cold_phase = ColdPhase()

    @property
    def is_accepting(self) -> bool:
        """Whether the target accepts new requests."""
        return self.state == TargetState.UP

    def apply_ready_report(self, report: TargetReport) -> bool:
        """Apply a report that the target is ready.

        :param report: report that is newer than the current state.
        :returns: whether the instance name changed or the target was not up before.
        """
        is_new = (
            report.instance != self.instance
            or self.state != TargetState.UP
            or self.history.is_later_start(report)
        )
        self.history.record_report(report)
        self.set_address(report)
        self.state = TargetState.UP
        if is_new:
            self.mark_started(report.cold_ms)
        elif report.cold_ms:
            self.cold_phase.extend(report.cold_ms / MS_PER_S)
        return is_new

    def set_address(self, report: TargetReport) -> None:
        """Set service, address, slots and instance; mark the target as down."""
        self.service = report.service
        self.host = report.host
        self.port = report.port
        self.slots = report.slots
        self.instance = report.instance
        self.state = TargetState.DOWN

    def mark_departing(self, report: TargetReport) -> None:
        """Record that a start of the target is draining or has stopped."""
        self.history.record_departure(report.start)
        if report.instance == self.instance:
            self.state = TargetState.DRAINING

    def mark_started(self, cold_ms: int | None = None) -> None:
        """Mark the target as up after a start, count the start, reset the averages.

        :param cold_ms: how long the target says that it stays cold; ``None`` if
            unknown. A target that says it is warm is treated as started
            ``WARM_UPTIME_S`` ago.
        """
        is_warm = cold_ms == 0
        self.ready_at = time.monotonic() - is_warm * WARM_UPTIME_S
        self.cold_phase.begin(None if cold_ms is None else cold_ms / MS_PER_S)
        self.start_number += 1
        self.state = TargetState.UP
        self.service_ms = 0
        self.replied_ms = 0
        self.failure_ratio = 0

    def record_cold(self, cold_ms: int) -> None:
        """Apply what a health answer says about the cold phase.

        A target that turned cold again ramps up like one that has just started.

        :param cold_ms: how long the target stays cold.
        """
        if cold_ms and not self.cold_phase.remaining_s:
            self.ready_at = time.monotonic()
        self.cold_phase.replace(cold_ms / MS_PER_S)

    def record_slowness(self, slowness: float, now: float) -> None:
        """Record the current slowness of the target's VM."""
        if max(slowness, self.current_slowness(now)) > MAX_NORMAL_SLOWNESS:
            self.last_above_normal_at = now
        self.slowness = slowness
        self.slowness_at = now

    def current_slowness(self, now: float) -> float:
        """Return the slowness of the target's VM; 1 if no recent value is known."""
        return self.slowness if now - self.slowness_at < SLOWNESS_EXPIRY_S else 1

    @property
    def is_slow(self) -> bool:
        """Whether the target's VM is currently slow."""
        return self.current_slowness(time.monotonic()) >= SLOWNESS_THRESHOLD

    def begin(self, attempt_id: str, now: float) -> None:
        """Record that a request is being sent to the target."""
        self.running_since[attempt_id] = now

    def end(self, attempt_id: str, now: float) -> None:
        """Record that a request has ended at the target."""
        self.running_since.pop(attempt_id, None)

    def observe(self, elapsed_ms: float, is_failure: bool) -> None:
        """Add one finished request to the averages.

        :param elapsed_ms: time from the start of the exchange to its end.
        :param is_failure: whether the target failed to answer correctly.
        """
        now = time.monotonic()
        elapsed_s = now - self.observed_at
        self.reset_if_expired(now)
        self.consecutive_cancelled = 0
        if is_failure:
            self.failure_ratio += FAILURE_WEIGHT * (1 - self.failure_ratio)
            return
        self.failure_ratio *= _failure_decay(elapsed_s)
        self.add_service_time(elapsed_ms)
        self.replied_ms = _moving_average(self.replied_ms, elapsed_ms)

    def observe_cancelled(self, elapsed_ms: float) -> None:
        """Add a request that was cancelled before the target answered.

        For example, another target answered first or the request was abandoned.
        Its time is a lower bound of the service time, so it only counts if it is
        above the average. From the second such request without a reply in
        between, the target is presumed to hang and a failure is added, unless
        its VM is known to have been slow just now.

        A request that ran shorter than usual shows nothing: it is often the
        second copy of a request whose first copy was answered. It must not keep
        the averages of a target alive that gets no other requests.

        :param elapsed_ms: time from the start of the exchange to its
            cancellation.
        """
        if elapsed_ms < max(self.replied_ms, MIN_CANCELLED_MS):
            return
        now = time.monotonic()
        self.reset_if_expired(now)
        self.consecutive_cancelled += 1
        if elapsed_ms > self.service_ms:
            self.add_service_time(elapsed_ms)
        if (
            self.consecutive_cancelled >= HANG_THRESHOLD
            and self.last_above_normal_at < now - SLOWNESS_EXPIRY_S
        ):
            self.failure_ratio += FAILURE_WEIGHT * (1 - self.failure_ratio)

    def reset_if_expired(self, now: float) -> None:
        """Reset the averages if they are too old.

        Otherwise the first request after a pause would make the averages current
        again, and old failures would count although they are over.
        """
        if self.is_expired(now):
            self.service_ms = 0
            self.failure_ratio = 0
            self.consecutive_cancelled = 0
        self.observed_at = now

    def add_service_time(self, elapsed_ms: float) -> None:
        """Add one sample to the average service time."""
        self.service_ms = _moving_average(self.service_ms, elapsed_ms)

    def is_expired(self, now: float) -> bool:
        """Whether the averages are too old to be used."""
        return now - self.observed_at > AVERAGE_EXPIRY_S

    def current_service_ms(self, now: float) -> float:
        """Return the service time, or the mean age of running requests if longer.

        The average expires when the target gets no requests for a while. A
        target that is avoided because of its average could otherwise never show
        that it has recovered.

        :returns: milliseconds; 0 if no recent value is known.
        """
        if not self.running_since:
            return 0 if self.is_expired(now) else self.service_ms
        total_age_s = now * len(self.running_since) - sum(self.running_since.values())
        return max(self.service_ms, total_age_s * MS_PER_S / len(self.running_since))

    def current_failure_ratio(self, now: float) -> float:
        """Return the share of failures; 0 if no recent value is known."""
        return 0 if self.is_expired(now) else self.failure_ratio

    def warm_ms(self, now: float) -> int:
        """Return the time since the target was marked as up after its start.

        It is ``WARM_UPTIME_S`` longer if the target reported that it is warm.

        :returns: milliseconds.
        """
        return int((now - self.ready_at) * MS_PER_S)


def _moving_average(average_ms: float, sample_ms: float) -> float:
    """Add a sample to an average; the first sample becomes the average."""
    if not average_ms:
        return sample_ms
    return average_ms + SERVICE_TIME_WEIGHT * (sample_ms - average_ms)


def _failure_decay(elapsed_s: float) -> float:
    """Factor by which a success reduces the failure ratio.

    It falls with the time since the previous sample. With a fixed factor, a target
    that gets few requests because it failed would need minutes to show that it has
    recovered.
    """
    return (1 - FAILURE_WEIGHT) * math.exp(-elapsed_s / FAILURE_DECAY_S)
