"""A request that asks the gate for a slot of the target.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
from itertools import count

from lavendermount_core.models.calls import Reason
from lavendermountd.gate.delay_cost import RequestTimes

AVERAGE_WORK = 1.0

# Class of a request, and its priority if it is not that of the class.
LaneKey = tuple[str, int | None]
# Reason of a refusal and explanation for the caller.
Removal = tuple[Reason, str]
_ticket_numbers = count()


class Ticket:
    """A request that asks for a slot.

    :param call_class: name of the request's class.
    :param deadline: time after which a reply is useless to the caller.
    :param is_exclusive: whether the request must run alone on the target.
    :param patience_s: longest wait for a slot while another target may accept
        the request; 0 to wait until the deadline.
    :param tenant: tenant whose turn the request takes; empty if the preset has no
        tenants.
    :param priority: priority instead of that of the class; ``None`` for that of
        the class.
    :param times: times that the cost of its delay depends on; ``None`` if the
        deadline is the only one.
    """

    __slots__ = (
        'call_class',
        'deadline',
        'is_exclusive',
        'patience_s',
        'tenant',
        'priority',
        'times',
        'work',
        'number',
        'is_removed',
        'removed_for',
        'wait_cause',
        'slot_granted',
    )

    def __init__(
        self,
        call_class: str,
        deadline: float,
        is_exclusive: bool = False,
        patience_s: float = 0,
        tenant: str = '',
        priority: int | None = None,
        times: RequestTimes | None = None,
    ) -> None:
        """Create a ticket that is not queued."""
        self.call_class = call_class
        self.deadline = deadline
        self.is_exclusive = is_exclusive
        self.patience_s = patience_s
        self.tenant = tenant
        self.priority = priority
        self.times = RequestTimes(0, deadline) if times is None else times
        # Work relative to that of an average request of the class.
        self.work = AVERAGE_WORK
        self.number = next(_ticket_numbers)
        self.is_removed = False
        # Why the gate removed it from the queue; ``None`` if the target or its node
        # accepts no more work.
        self.removed_for: Removal | None = None
        # Why the request had to wait, for the log; empty if it did not.
        self.wait_cause = ''
        # Set to ``True`` once the queued request holds a slot, or to ``False`` if it
        # is refused.
        self.slot_granted: asyncio.Future[bool] | None = None


def lane_key(ticket: Ticket) -> LaneKey:
    """Return the key of the lane that a request waits in."""
    return ticket.call_class, ticket.priority
