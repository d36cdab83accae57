"""Keeps what is known of the target beside the node.

:errors: none; a report that is late changes nothing.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lavendermount_core.structure.members import MemberStatus
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import ReportedState, TargetReport
from lavendermountd.gate.target import TargetState
from lavendermountd.membership.table import MemberTable

log = logging.getLogger(__name__)


class TargetKeeper:
    """Takes the target's reports and tells the other nodes what follows.

    :param gate: whose target it is.
    :param table: members; the own entry names the target's service.
    :param tell_load: tells the target's load to other nodes.
    :param needs_health: whether a report alone shows nothing to a process that
        never knew the target.
    """

    __slots__ = ('gate', 'table', 'tell_load', 'needs_health')

    def __init__(
        self,
        gate: Gate,
        table: MemberTable,
        tell_load: Callable[[], None],
        needs_health: bool,
    ) -> None:
        """Keep the parts; no target is known yet."""
        self.gate = gate
        self.table = table
        self.tell_load = tell_load
        self.needs_health = needs_health

    def expect(self, report: TargetReport) -> None:
        """Know where a target is to be found before it was heard of."""
        self.gate.target.expect(report)
        self.publish_target()

    def take_report(self, report: TargetReport) -> None:
        """Take over what the target beside the node says of itself.

        A report that says the target leaves closes the gate before this
        returns, so that an answer to the report may promise it.
        """
        target = self.gate.target
        is_late = target.history.is_late(report)
        log.info(
            'target-reported',
            extra={
                'instance': report.instance,
                'state': str(report.state),
                'born_ms': report.born_ms,
                'sequence': report.sequence,
                'is_late': is_late,
            },
        )
        if is_late:
            return
        if report.state != ReportedState.READY:
            self.handle_departure(report)
            return
        if self.needs_health and not target.history.is_confirmed(report):
            return
        if target.announce(report):
            self.publish_target()

    def handle_departure(self, report: TargetReport) -> None:
        """Give a target that leaves no new work; what runs goes on."""
        target = self.gate.target
        target.history.note(report)
        target.mark_departing(report)
        if report.instance in {target.instance, ''}:
            self.drain_target()

    def lose_target(self) -> None:
        """Ask who answers at the target's address; it is not the one known."""
        if self.gate.target.state == TargetState.UP:
            self.gate.target.state = TargetState.DOWN
            self.gate.client.close_idle()
            log.warning(
                'target-replaced', extra={'instance': self.gate.target.instance}
            )
            self.tell_load()

    def publish_target(self) -> None:
        """Tell the others which service the target answers for."""
        target = self.gate.target
        self.gate.client.close_idle()
        self.gate.admission.slots = target.slots
        self.gate.concurrency_limit.reset()
        self.table.change_own(target.service, MemberStatus.ALIVE)
        self.tell_load()

    def drain_target(self) -> None:
        """Give the target no new work; what runs goes on."""
        if self.gate.target.state == TargetState.ABSENT:
            return
        log.info('target-draining', extra={'service': self.gate.target.service})
        self.gate.target.state = TargetState.DRAINING
        self.gate.queue.dismiss_waiting()
        self.table.change_own(self.gate.target.service, MemberStatus.LEAVING)
        self.tell_load()
