"""Times of a planned stop, as far as requests of callers depend on them.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

from lavendermount_core.models.calls import Reason, Refusal, not_run_refusal


class StopSchedule:
    """Refuses requests that a stopping node may not be able to answer.

    :param listens_until: time until which callers may not know of the stop; requests
        received before it are accepted.
    :param ends_at: time by which all replies must be written.
    """

    __slots__ = ('listens_until', 'ends_at')

    def __init__(self, listens_until: float, ends_at: float) -> None:
        """Initialize the fields."""
        self.listens_until = listens_until
        self.ends_at = ends_at

    def refusal_of(self, received_at: float, deadline: float) -> Refusal | None:
        """Return the refusal of a request that may outlast the node, if it must be.

        :param received_at: time at which the request was complete.
        :param deadline: time after which its reply is useless.
        """
        if received_at < self.listens_until or deadline <= self.ends_at:
            return None
        return stopping_refusal()


def stopping_refusal() -> Refusal:
    """Build the refusal of a request that its node can't answer before it ends."""
    return not_run_refusal(Reason.STOPPING, 'the node is stopping')
