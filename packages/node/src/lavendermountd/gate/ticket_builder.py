"""Builds the tickets of requests, and measures what they depend on.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

from lavendermount_core.models.calls import CLASS_PRIORITY, CallClass, CallRequest
from lavendermountd.gate.admission import Admission
from lavendermountd.gate.delay_cost import RequestTimes, RunTimes
from lavendermountd.gate.ticket import Ticket
from lavendermountd.gate.urgency import ClassServiceTime


class TicketBuilder:
    """Builds tickets from requests, the rules of classes and measured run times.

    :param admission: rules of the classes.
    """

    __slots__ = ('admission', 'class_times', 'run_times', 'has_tenants')

    def __init__(self, admission: Admission) -> None:
        """Start without measured times."""
        self.admission = admission
        self.class_times = ClassServiceTime()
        self.run_times = RunTimes()
        # Whether the preset has tenants; otherwise the tenants of requests are
        # ignored here.
        self.has_tenants = False

    def build(
        self, request: CallRequest, is_exclusive: bool, patience_s: float
    ) -> Ticket:
        """Build the ticket of a request.

        :param is_exclusive: whether the request must run alone on the target.
        :param patience_s: longest wait while another target may accept the request;
            0 for no limit.
        """
        call_class = request.call_class
        ticket = Ticket(
            call_class.name,
            self.effective_deadline(request),
            is_exclusive,
            patience_s,
            self.tenant_of(call_class),
            own_priority(call_class),
            RequestTimes(request.due, request.deadline, call_class.is_repeatable),
        )
        ticket.work = self.run_times.relative_work(call_class.name, ticket.tenant)
        return ticket

    def effective_deadline(self, request: CallRequest) -> float:
        """Return the time by which a request must be answered to get a slot.

        That is its due time, or its deadline if it has no due time or belongs to
        the most urgent class. In the order by cost it is the due time of every class:
        once the most urgent class alone is too much for a target, waiting beyond the
        due time would make all of its answers late.
        """
        if self.admission.cost_order is not None:
            return request.due or request.deadline
        is_urgent = self.class_times.is_most_urgent(
            request.call_class.name,
            self.admission.priorities,
            own_priority(request.call_class),
        )
        if is_urgent or not request.due:
            return request.deadline
        return request.due

    def tenant_of(self, call_class: CallClass) -> str:
        """Return the tenant whose turn a request takes; empty without tenants."""
        return call_class.tenant if self.has_tenants else ''

    def record_end(self, call_class: CallClass, ran_s: float, now: float) -> None:
        """Add the run time of a request that ended, with or without a reply."""
        self.class_times.add(call_class.name, ran_s, now)

    def record_completed(self, call_class: CallClass, ran_s: float) -> None:
        """Add the run time of a request that the target answered correctly."""
        self.run_times.add(call_class.name, self.tenant_of(call_class), ran_s)


def own_priority(call_class: CallClass) -> int | None:
    """Return the priority of a tenant; ``None`` for that of the class."""
    if call_class.priority == CLASS_PRIORITY:
        return None
    return call_class.priority
