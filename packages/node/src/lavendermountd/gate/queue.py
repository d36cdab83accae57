"""Queue in front of the target's slots, with early refusal under overload.

If the target gets more requests than it can answer in time, a request is refused
as soon as it is clear that it can't be answered by its due time. It then takes
no place in the queue, and its caller learns when to retry. As long as other
targets may accept a request, it waits here for a short time only.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import random
import time

from lavendermount_core.config.preset import COST_ORDER
from lavendermount_core.models.calls import (
    Reason,
    Refusal,
    not_run_refusal,
)
from lavendermount_core.utils.deadlines import is_overdue, process_arrived
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.admission import Admission, wait_cause
from lavendermountd.gate.cost_order import CostOrder
from lavendermountd.gate.rate_limit import NAMED, RateLimit
from lavendermountd.gate.target import Target
from lavendermountd.gate.ticket import Removal, Ticket
from lavendermountd.gate.ticket_builder import TicketBuilder

MIN_RETRY_AFTER_S = 0.05
# Largest random part of the retry delay, as a share of the time to drain the queue.
MAX_JITTER_SHARE = 0.5
TARGET_DRAINING_RETRY_AFTER_S = 1.0
DISPLACED = (Reason.QUEUE_FULL, 'a request whose delay costs more took its place')
TOO_LATE = (Reason.DEADLINE, 'no slot became free in time')


class SlotQueue:
    """Gives requests a slot of the target, or refuses them.

    :param target: target that offers the slots.
    """

    __slots__ = (
        'target',
        'admission',
        'tickets',
        'is_closed',
        'is_evacuated',
        'token_timer',
    )

    def __init__(self, target: Target) -> None:
        """Create a queue without slots."""
        self.target = target
        self.admission = Admission(0)
        self.tickets = TicketBuilder(self.admission)
        self.is_closed = False
        self.is_evacuated = False
        self.token_timer: asyncio.TimerHandle | None = None

    @property
    def rate_limit(self) -> RateLimit:
        """Rate limit of the target."""
        return self.admission.rate_limit

    @property
    def cost_order(self) -> CostOrder | None:
        """Order by the cost of delay; ``None`` if requests are served by priority."""
        return self.admission.cost_order

    def set_order(self, name: str) -> None:
        """Change the order of the queue; queued requests stay queued.

        :param name: order, as in the preset.
        """
        if name != COST_ORDER:
            self.admission.cost_order = None
        elif self.cost_order is None:
            self.admission.cost_order = CostOrder(
                self.admission.priority_of, self.tickets.run_times, self.target
            )

    async def acquire_slot(self, ticket: Ticket) -> Refusal | None:
        """Take a slot, waiting in the queue if necessary.

        :returns: the refusal if the request can't run; ``None`` if it holds a
            slot.
        """
        if self.try_start(ticket):
            return None
        refusal = self.refusal_on_arrival(ticket)
        if refusal is not None:
            return refusal
        if not self.enqueue(ticket):
            detail = 'the queue of the class is full'
            return self.refuse(Reason.QUEUE_FULL, detail, ticket)
        ticket.slot_granted = asyncio.get_running_loop().create_future()
        self.wait_for_token()
        give_up_at = self.latest_start(ticket)
        if ticket.patience_s:
            give_up_at = min(give_up_at, time.monotonic() + ticket.patience_s)
        try:
            async with asyncio.timeout_at(give_up_at):
                has_slot = await ticket.slot_granted
        except TimeoutError:
            self.cancel_wait(ticket)
            return await _end_wait(self, ticket, give_up_at)
        except asyncio.CancelledError:
            self.cancel_wait(ticket)
            raise
        return None if has_slot else self.refuse_removed(ticket)

    def enqueue(self, ticket: Ticket) -> bool:
        """Add a request to the queue, if necessary in the place of another one.

        :returns: whether the request was queued.
        """
        if self.admission.is_full_for(ticket):
            victim = self.admission.displace_for(ticket)
            if victim is not None:
                _notify_removed([victim], DISPLACED)
        if not self.admission.enqueue(ticket):
            return False
        ticket.wait_cause = wait_cause(self.admission, ticket)
        self.remove_late(ticket)
        return True

    def remove_late(self, newcomer: Ticket | None = None) -> None:
        """Refuse queued requests that can't be answered in time any more.

        This happens only in the order by cost.

        :param newcomer: a request that was just queued and delays others; ``None`` to
            examine the requests that would be served next.
        """
        order = self.cost_order
        while order is not None:
            if newcomer is None:
                late = order.late_head(self.admission.lanes)
            else:
                late = order.too_late(self.admission.lanes, newcomer)
            if late is None:
                return
            self.admission.remove(late)
            _notify_removed([late], DISPLACED if newcomer else TOO_LATE)

    def try_start(self, ticket: Ticket) -> bool:
        """Take a slot at once if there is one for the request.

        Requests that wait for a token of the rate limit go first.
        """
        if self.rate_limit.is_active:
            self.start_waiting()
        return self.admission.try_start(ticket)

    def refusal_on_arrival(self, ticket: Ticket) -> Refusal | None:
        """Return the refusal of a new request that would wait too long.

        That is the case if it can't be answered in time, or if another target may
        accept it and this one is slow or would let it wait longer than
        ``patience_s``.
        """
        if self.cost_order is not None:
            self.cost_order.record_arrival(ticket)
        wait_s = self.wait_s(ticket)
        is_busy = self.target.is_slow or wait_s > ticket.patience_s
        if ticket.patience_s and is_busy:
            detail = 'another target may answer sooner'
            return self.refuse(Reason.BUSY, detail, ticket)
        if time.monotonic() + wait_s > self.latest_start(ticket):
            detail = 'the queue is too long to answer in time'
            return self.refuse(Reason.DEADLINE, detail, ticket)
        return None

    def latest_start(self, ticket: Ticket) -> float:
        """Return the time after which a request is no longer worth a slot."""
        if self.cost_order is not None:
            return self.cost_order.cost_of(ticket).latest_start
        return ticket.deadline - self.target.service_ms / MS_PER_S

    def wait_s(self, ticket: Ticket) -> float:
        """Estimate how long a new request waits for a slot.

        With n slots, a slot is expected to become free every ``service_ms / n``.
        """
        position = self.admission.queued_ahead_of(ticket) + 1
        if self.cost_order is None:
            return max(self.slots_time_s(position), self.rate_limit.wait_s(position))
        wait_s = self.cost_order.wait_s(ticket, self.admission.lanes)
        return max(wait_s, self.rate_limit.wait_s(position))

    def slots_time_s(self, request_count: int) -> float:
        """Estimate the time that a number of requests needs in the target's slots.

        :param request_count: number of requests.
        """
        slots = max(self.target.slots, 1)
        return request_count * self.target.service_ms / slots / MS_PER_S

    def change_limit(self, limit_per_s: float | None, cause: str = NAMED) -> None:
        """Apply another rate limit, and start the requests that it allows.

        :param limit_per_s: requests a second; ``None`` to lift the limit.
        :param cause: cause of the limit.
        """
        self.rate_limit.change(limit_per_s, cause)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start queued requests, and wait for a token if the rate limit holds them."""
        self.remove_late()
        self.grant_slots(self.admission.start_waiting())
        self.wait_for_token()

    def wait_for_token(self) -> None:
        """Start queued requests once the rate limit allows the next one."""
        if self.token_timer is not None:
            self.token_timer.cancel()
            self.token_timer = None
        wait_s = self.rate_limit.wait_s()
        if wait_s and self.admission.queued:
            loop = asyncio.get_running_loop()
            self.token_timer = loop.call_later(wait_s, self.start_waiting)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots, and start queued requests in new ones."""
        self.admission.slots = slots
        self.start_waiting()

    def refuse(
        self, reason: Reason, detail: str, ticket: Ticket | None = None
    ) -> Refusal:
        """Refuse a request that was not run.

        Its caller is told to retry after the estimated time to drain the queue,
        plus a random part so that callers don't return all at once. In the order by
        cost, it is told when there is room for this kind of work.

        :param ticket: the request, if it asked for a slot.
        """
        if ticket is not None and self.cost_order is not None:
            retry_after_s = max(
                self.cost_order.retry_after_s(ticket, self.admission.lanes),
                self.rate_limit.wait_s(self.admission.queued + 1),
            )
            return not_run_refusal(reason, detail, retry_after_s)
        queued = self.admission.queued
        drain_s = max(
            self.slots_time_s(self.admission.in_flight + queued),
            self.rate_limit.wait_s(queued + 1),
            MIN_RETRY_AFTER_S,
        )
        jitter = 1 + random.random() * MAX_JITTER_SHARE
        return not_run_refusal(reason, detail, drain_s * jitter)

    def refuse_removed(self, ticket: Ticket) -> Refusal:
        """Build the refusal of a queued request that was removed from the queue.

        Another request took its place, the target is draining or down, its zone was
        evacuated, its node is stopping, or its VM became slow.
        """
        if self.is_evacuated:
            return self.refuse_evacuated()
        if ticket.removed_for is not None:
            return self.refuse(*ticket.removed_for, ticket)
        if self.target.is_accepting and not self.is_closed:
            return self.refuse(Reason.BUSY, 'the VM of the target became slow')
        return self.refuse_draining()

    def refuse_evacuated(self) -> Refusal:
        """Build the refusal for a target in an evacuated zone."""
        detail = 'the zone of the target has been evacuated'
        return not_run_refusal(Reason.EVACUATED, detail, TARGET_DRAINING_RETRY_AFTER_S)

    def refuse_draining(self) -> Refusal:
        """Build the refusal for a target that is draining or whose node is stopping."""
        detail = 'the target is draining or its node is stopping'
        return not_run_refusal(Reason.DRAINING, detail, TARGET_DRAINING_RETRY_AFTER_S)

    def refuse_waiting(self, is_limited_wait_only: bool = False) -> None:
        """Refuse queued requests, so that they reach another target in time.

        :param is_limited_wait_only: whether to keep the requests that may wait
            until their deadline.
        """
        _notify_removed(self.admission.remove_waiting(is_limited_wait_only))

    def cancel_wait(self, ticket: Ticket) -> None:
        """Leave the queue, or free a slot that was granted at the same moment."""
        if ticket.slot_granted is not None and _is_granted(ticket.slot_granted):
            self.release_slot(ticket)
            return
        self.admission.remove(ticket)
        self.grant_slots(self.admission.start_waiting())

    def release_slot(self, ticket: Ticket, is_sent: bool = False) -> None:
        """Free a slot and start queued requests.

        :param is_sent: whether the request was sent to the target.
        """
        if not is_sent:
            self.rate_limit.give_back()
        self.remove_late()
        self.grant_slots(self.admission.release(ticket))
        self.wait_for_token()

    def grant_slots(self, tickets: list[Ticket]) -> None:
        """Notify requests that they hold a slot.

        The slots of requests that no longer wait are freed.
        """
        for ticket in tickets:
            if ticket.slot_granted is None or ticket.slot_granted.done():
                self.release_slot(ticket)
                continue
            ticket.slot_granted.set_result(True)


def _is_granted(slot_granted: asyncio.Future[bool]) -> bool:
    return (
        slot_granted.done() and not slot_granted.cancelled() and slot_granted.result()
    )


async def _end_wait(
    queue: SlotQueue, ticket: Ticket, gave_up_at: float
) -> Refusal | None:
    """Refuse a request whose wait has ended.

    If the event loop was busy, replies that arrived meanwhile may have freed a slot.
    """
    if is_overdue(gave_up_at):
        await process_arrived()
        if queue.try_start(ticket):
            return None
    reason = Reason.BUSY if ticket.patience_s else Reason.DEADLINE
    return queue.refuse(reason, TOO_LATE[1], ticket)


def _notify_removed(tickets: list[Ticket], removal: Removal | None = None) -> None:
    """Tell requests that they were removed from the queue.

    :param removal: reason and explanation; ``None`` if the target or its node accepts
        no more work.
    """
    for ticket in tickets:
        ticket.removed_for = removal
        if ticket.slot_granted is not None and not ticket.slot_granted.done():
            ticket.slot_granted.set_result(False)
