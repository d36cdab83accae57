"""The queue in front of the target's slots: who waits, and who is refused.

Load this answers: more work than the target can answer in time. A request is
refused as soon as it is clear that it can't be answered by the time that it is
due, so that it holds no place and its caller knows when to come back; while
other targets may take it, it waits here for a short time only.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import random
import time

from lavendermount_core.structure.calls import CallRequest, Reason, Refusal, not_run
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.admission import Admission, Ticket
from lavendermountd.gate.target import Target
from lavendermountd.gate.urgency import ClassServiceTime

MIN_RETRY_AFTER_S = 0.05
RETRY_JITTER = 0.5
TARGET_LEAVING_RETRY_S = 1.0


class SlotQueue:
    """Gives the target's slots to requests, or refuses them.

    :param target: whose slots they are.
    """

    __slots__ = ('target', 'admission', 'class_times', 'is_closed')

    def __init__(self, target: Target) -> None:
        """Start without a slot."""
        self.target = target
        self.admission = Admission(0)
        self.class_times = ClassServiceTime()
        self.is_closed = False

    def effective_deadline(self, request: CallRequest) -> float:
        """Until when a request must be answered to be worth its slot."""
        is_urgent = self.class_times.is_most_urgent(
            request.call_class.name,
            self.admission.priorities,
        )
        if is_urgent or not request.due:
            return request.deadline
        return request.due

    async def acquire_slot(self, ticket: Ticket) -> Refusal | None:
        """Take a slot, now or after a wait.

        :returns: why the request will not run, or ``None`` with a slot taken.
        """
        if self.admission.try_start(ticket):
            return None
        if ticket.patience_s and self.is_too_busy(ticket):
            return self.refuse(Reason.BUSY, 'others may be quicker')
        if self.would_miss_deadline(ticket):
            return self.refuse(Reason.DEADLINE, 'the queue is too long to be in time')
        if not self.admission.wait(ticket):
            return self.refuse(Reason.QUEUE_FULL, 'the queue of the class is full')
        ticket.started = asyncio.get_running_loop().create_future()
        give_up_at = ticket.deadline - self.target.service_ms / MS_PER_S
        if ticket.patience_s:
            give_up_at = min(give_up_at, time.monotonic() + ticket.patience_s)
        try:
            async with asyncio.timeout_at(give_up_at):
                has_slot = await ticket.started
        except TimeoutError:
            self.cancel_wait(ticket)
            reason = Reason.BUSY if ticket.patience_s else Reason.DEADLINE
            return self.refuse(reason, 'no slot became free in time')
        except asyncio.CancelledError:
            self.cancel_wait(ticket)
            raise
        return None if has_slot else self.refuse_removed()

    def is_too_busy(self, ticket: Ticket) -> bool:
        """Whether a request is likely to wait longer than it may."""
        position = self.admission.queued_ahead_of(ticket.call_class) + 1
        return (
            self.target.is_slow or self.estimated_time_s(position) > ticket.patience_s
        )

    def would_miss_deadline(self, ticket: Ticket) -> bool:
        """Whether a request that has to wait can't finish in time.

        A slot is expected to become free at each share of the service time.
        """
        position = self.admission.queued_ahead_of(ticket.call_class) + 1
        needed_s = self.estimated_time_s(position) + self.target.service_ms / MS_PER_S
        return time.monotonic() + needed_s > ticket.deadline

    def estimated_time_s(self, request_count: int) -> float:
        """Estimate the time that the target takes for some requests.

        :param work: number of requests.
        """
        slots = max(self.target.slots, 1)
        return request_count * self.target.service_ms / slots / MS_PER_S

    def refuse(self, reason: Reason, detail: str) -> Refusal:
        """Refuse work that never left, with the time the queue takes."""
        request_count = self.admission.in_flight + self.admission.queued
        drain_s = max(self.estimated_time_s(request_count), MIN_RETRY_AFTER_S)
        jitter = 1 + random.random() * RETRY_JITTER
        return not_run(reason, detail, drain_s * jitter)

    def refuse_removed(self) -> Refusal:
        """Refuse work that waited until the target left or became slow."""
        if self.target.is_accepting and not self.is_closed:
            return self.refuse(Reason.BUSY, 'the target became slow')
        return self.refuse_leaving()

    def refuse_leaving(self) -> Refusal:
        """Refuse work for a target that takes none any more."""
        detail = 'the target is leaving'
        return not_run(Reason.DRAINING, detail, TARGET_LEAVING_RETRY_S)

    def dismiss_waiting(self, is_limited_wait_only: bool = False) -> None:
        """Refuse what waits, so that it goes to another target in time."""
        for ticket in self.admission.remove_waiting(is_limited_wait_only):
            if ticket.started is not None and not ticket.started.done():
                ticket.started.set_result(False)

    def cancel_wait(self, ticket: Ticket) -> None:
        """Leave the queue, or give back a slot got in the same moment."""
        if ticket.started is not None and _is_granted(ticket.started):
            self.release_slot(ticket)
            return
        self.admission.remove(ticket)
        self.grant_slots(self.admission.start_waiting())

    def release_slot(self, ticket: Ticket) -> None:
        """Give a slot back and start who waits for it."""
        self.grant_slots(self.admission.release(ticket))

    def grant_slots(self, tickets: list[Ticket]) -> None:
        """Let requests run that were given a slot."""
        for ticket in tickets:
            if ticket.started is None or ticket.started.done():
                self.release_slot(ticket)
                continue
            ticket.started.set_result(True)


def _is_granted(started: asyncio.Future[bool]) -> bool:
    return started.done() and not started.cancelled() and started.result()
