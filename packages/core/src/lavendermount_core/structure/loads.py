"""What a gate says of its own target's load.

:units: milliseconds; counts of requests.
"""

from __future__ import annotations

from lavendermount_core.structure.records import Record


class LoadReport(Record):
    """Load of one target, known exactly by its gate when written.

    :param node_id: node beside the target.
    :param incarnation: incarnation of that node.
    :param sequence: grows with every report of the incarnation.
    :param in_flight: requests the target works on.
    :param queued: requests that wait in the gate.
    :param slots: requests the target works on at once; 0 for no target.
    :param service_ms: recent mean time the target needs for a request.
    :param failure_ratio: recent share of requests that failed.
    :param warm_ms: time since the target announced itself.
    :param is_accepting: false while the target drains or is down.
    :param slowness: how many times longer than usual work takes on the
        target's VM now; 1 where the target does not tell.
    """

    __slots__ = (
        'node_id',
        'incarnation',
        'sequence',
        'in_flight',
        'queued',
        'slots',
        'service_ms',
        'failure_ratio',
        'warm_ms',
        'is_accepting',
        'slowness',
    )

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        sequence: int,
        in_flight: int,
        queued: int,
        slots: int,
        service_ms: float,
        failure_ratio: float,
        warm_ms: int,
        is_accepting: bool,
        slowness: float = 1,
    ) -> None:
        """Keep the fields as given."""
        self.node_id = node_id
        self.incarnation = incarnation
        self.sequence = sequence
        self.in_flight = in_flight
        self.queued = queued
        self.slots = slots
        self.service_ms = service_ms
        self.failure_ratio = failure_ratio
        self.warm_ms = warm_ms
        self.is_accepting = is_accepting
        self.slowness = slowness
