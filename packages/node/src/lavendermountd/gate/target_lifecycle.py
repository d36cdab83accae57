"""Tracks the lifecycle of the node's own target.

:errors: none; outdated reports are ignored.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lavendermount_core.models.members import MemberStatus
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import ReportedState, TargetReport
from lavendermountd.gate.target import TargetState
from lavendermountd.membership.table import MemberTable

log = logging.getLogger(__name__)


class TargetLifecycle:
    """Applies reports about the target and publishes its state to other nodes.

    :param gate: gate of the target.
    :param table: members; this node's entry names the target's service.
    :param broadcast_load: sends the target's load to other nodes.
    :param needs_confirmation: whether the first report of a target that this
        process doesn't know must be confirmed before the target gets requests.
    """

    __slots__ = ('gate', 'table', 'broadcast_load', 'needs_confirmation')

    def __init__(
        self,
        gate: Gate,
        table: MemberTable,
        broadcast_load: Callable[[], None],
        needs_confirmation: bool,
    ) -> None:
        """Initialize the fields; no target is known yet."""
        self.gate = gate
        self.table = table
        self.broadcast_load = broadcast_load
        self.needs_confirmation = needs_confirmation

    def set_target_address(self, report: TargetReport) -> None:
        """Set the configured address of a target that has not reported yet.

        The service of the target is published.
        """
        self.gate.target.set_address(report)
        self.publish_target()

    def handle_report(self, report: TargetReport) -> None:
        """Apply a report that the target sent about itself.

        A report that the target is draining or has stopped closes the gate before
        this method returns, so the response to the report guarantees that the
        target gets no new requests.
        """
        target = self.gate.target
        is_late = target.history.is_late(report)
        log.info(
            'target-reported',
            extra={
                'instance': report.instance,
                'state': str(report.state),
                'born_ms': report.started_at_ms,
                'sequence': report.sequence,
                'is_late': is_late,
            },
        )
        if is_late:
            return
        if report.state != ReportedState.READY:
            self.handle_departure(report)
            return
        if self.needs_confirmation and not target.history.confirm(report):
            return
        is_new = target.apply_ready_report(report)
        self.gate.limits.apply_cold_phase()
        if is_new:
            self.publish_target()

    def handle_departure(self, report: TargetReport) -> None:
        """Record that a start of the target is draining or has stopped.

        If it is the current start, the target is drained. A repeated report of an
        earlier start changes nothing. One without an instance name applies to the
        current target.
        """
        target = self.gate.target
        is_current = not report.instance or report.start == target.history.current
        if report.start in target.history.departed and not is_current:
            return
        target.history.record_report(report)
        target.mark_departing(report)
        if report.instance in {target.instance, ''}:
            self.drain_target()

    def handle_leaving_answer(self, instance: str, evidence: str) -> None:
        """Record that an answer of the target says that it is leaving.

        :param instance: name of the start that answered; the reports of another start
            at the address are not affected.
        :param evidence: kind of answer.
        """
        target = self.gate.target
        current = target.history.current
        started_at_ms = current[1] if instance == current[0] else 0
        report = TargetReport(
            target.service,
            target.host,
            target.port,
            target.slots,
            instance,
            ReportedState.DRAINING,
            started_at_ms,
        )
        if report.start in target.history.departed:
            return
        log.info(
            'target-leaving',
            extra={'instance': instance, 'evidence': evidence},
        )
        self.handle_departure(report)

    def mark_replaced(self) -> None:
        """Mark the target as down because another one answered at its address.

        The target monitor then checks which target that is.
        """
        if self.gate.target.state == TargetState.UP:
            self.gate.target.state = TargetState.DOWN
            self.gate.client.close_idle()
            log.warning(
                'target-replaced', extra={'instance': self.gate.target.instance}
            )
            self.broadcast_load()

    def publish_target(self) -> None:
        """Set the gate up for a new start and publish its service to other nodes."""
        target = self.gate.target
        self.gate.client.close_idle()
        self.gate.queue.set_slots(target.slots)
        self.gate.concurrency_limit.reset()
        self.table.change_own(target.service, MemberStatus.ALIVE)
        self.broadcast_load()

    def drain_target(self) -> None:
        """Send the target no new requests; running requests continue."""
        if self.gate.target.state == TargetState.ABSENT:
            return
        log.info('target-draining', extra={'service': self.gate.target.service})
        self.gate.target.state = TargetState.DRAINING
        self.gate.queue.refuse_waiting()
        self.table.change_own(self.gate.target.service, MemberStatus.LEAVING)
        self.broadcast_load()
