"""This node's view of the load of each target, with the age of each report.

:units: seconds on the node's monotonic clock; milliseconds in candidates.
"""

from __future__ import annotations

import math
import time

from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member
from lavendermount_core.routing.candidates import Candidate, Distance, distance_between
from lavendermount_core.routing.expected_time import limit_wait_ms
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.identity import Identity

# Values for a target without a report: the age gives it no weight, and the target
# counts as warm.
UNKNOWN_AGE_MS = 3_600_000
UNKNOWN_WARM_MS = 3_600_000
NEVER_S = math.inf


class ReportedLoad:
    """The newest load report of a target and its time.

    :param report: the report.
    :param reported_at: time at which the report was written.
    """

    __slots__ = ('report', 'reported_at')

    def __init__(self, report: LoadReport, reported_at: float) -> None:
        """Initialize the fields."""
        self.report = report
        self.reported_at = reported_at


class LoadView:
    """Loads of all targets as known to this node.

    :param identity: identity of this node, with its region and zone.
    """

    __slots__ = ('identity', 'loads', 'active_attempts', 'closed_expiry_s')

    def __init__(self, identity: Identity) -> None:
        """Start without reports."""
        self.identity = identity
        self.loads: dict[str, ReportedLoad] = {}
        self.active_attempts: dict[str, dict[str, float]] = {}
        # Age from which a report that a target is closed no longer counts.
        self.closed_expiry_s = NEVER_S

    def take_report(self, report: LoadReport, age_ms: float = 0) -> bool:
        """Store a report if it is newer than the known one.

        :param report: report of the target's node, possibly relayed by others.
        :param age_ms: age of the report.
        :returns: whether it was newer.
        """
        known = self.loads.get(report.node_id)
        if known is not None and _version(known.report) >= _version(report):
            return False
        reported_at = time.monotonic() - age_ms / MS_PER_S
        self.loads[report.node_id] = ReportedLoad(report, reported_at)
        return True

    def forget(self, node_id: str) -> None:
        """Remove a target that no longer exists."""
        self.loads.pop(node_id, None)
        self.active_attempts.pop(node_id, None)

    def attempt_started(self, node_id: str, attempt_id: str) -> None:
        """Record that an attempt was sent to a target."""
        attempts = self.active_attempts.setdefault(node_id, {})
        attempts[attempt_id] = time.monotonic()

    def attempt_ended(self, node_id: str, attempt_id: str) -> None:
        """Record that an attempt at a target ended."""
        self.active_attempts.get(node_id, {}).pop(attempt_id, None)

    def is_accepting(self, member: Member) -> bool:
        """Return whether a target accepts new requests, as far as known.

        A closed gate refuses at once, so a target that may have opened again is tried.
        """
        if not member.is_available:
            return False
        known = self.current_load(member)
        if known is None or known.report.is_accepting:
            return True
        return time.monotonic() - known.reported_at > self.closed_expiry_s

    def current_load(self, member: Member) -> ReportedLoad | None:
        """Return the newest report of a node if its incarnation is not outdated.

        The load report of a restarted node may arrive before gossip announces
        its new incarnation.
        """
        known = self.loads.get(member.node_id)
        if known is None or known.report.incarnation < member.incarnation:
            return None
        return known

    def is_in_time(self, member: Member, now: float, due: float) -> bool:
        """Return whether the rate limit of a target allows a reply in time.

        :param due: time by which the reply is due.
        """
        known = self.current_load(member)
        if known is None or not known.report.limit_per_s:
            return True
        needed_ms = limit_wait_ms(self.candidate(member, now)) + known.report.service_ms
        return now + needed_ms / MS_PER_S <= due

    def candidate(self, member: Member, now: float) -> Candidate:
        """Describe a target for a decision.

        :param member: node that serves the target.
        :param now: current time.
        """
        distance = self.distance_to(member)
        attempts = self.active_attempts.get(member.node_id, {})
        known = self.current_load(member)
        if known is None:
            oldest_ms = _oldest_ms(attempts, now)
            return _unknown_candidate(
                member.node_id, distance, len(attempts), oldest_ms
            )
        report = known.report
        return Candidate(
            member.node_id,
            distance,
            report.in_flight,
            report.queued,
            sum(1 for at in attempts.values() if at > known.reported_at),
            report.slots,
            report.service_ms,
            report.failure_ratio,
            _oldest_ms(attempts, now),
            max(0, int((now - known.reported_at) * MS_PER_S)),
            report.warm_ms,
            report.slowness,
            report.limit_per_s,
            report.limit_wait_ms,
        )

    def distance_to(self, member: Member) -> Distance:
        """Return the network distance from this node to a member."""
        return distance_between(self.identity.member, member)


def _unknown_candidate(
    node_id: str,
    distance: int,
    attempt_count: int,
    oldest_ms: int,
) -> Candidate:
    return Candidate(
        node_id,
        distance,
        0,
        0,
        attempt_count,
        1,
        0,
        0,
        oldest_ms,
        UNKNOWN_AGE_MS,
        UNKNOWN_WARM_MS,
    )


def _oldest_ms(attempts: dict[str, float], now: float) -> int:
    if not attempts:
        return 0
    oldest = next(iter(attempts.values()))
    return int((now - oldest) * MS_PER_S)


def _version(report: LoadReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
