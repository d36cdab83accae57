"""Load reports of targets.

:units: milliseconds; counts of requests.
"""

from __future__ import annotations

from typing import Any, Self

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.records import Record

# Load reports travel in messages with 32-bit counts.
MAX_COUNT = 1_000_000


class LoadReport(Record):
    """Load of a target as of the time its node writes the report.

    The counts of requests are exact at that time, since every request to the
    target passes through its node.

    :param node_id: node that serves the target.
    :param incarnation: incarnation of that node.
    :param sequence: number that increases with every report of the
        incarnation.
    :param in_flight: requests that hold a slot of the target.
    :param queued: requests in the node's queue.
    :param slots: concurrency limit that the target reports; 0 without a target.
    :param service_ms: recent mean service time of the target.
    :param failure_ratio: recent share of failed requests.
    :param warm_ms: time since the target last became ready; at least an hour if
        it then reported that it is warm.
    :param is_accepting: whether the target accepts new requests; false if it is
        absent, down or draining, or if its node is stopping.
    :param slowness: current slowdown of the target's VM, as a multiple of the
        usual processing time; 1 if the target has not reported it recently.
    :param limit_per_s: requests a second that the target accepts; 0 without a limit.
    :param limit_wait_ms: time until that limit allows a further request.
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
        'limit_per_s',
        'limit_wait_ms',
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
        limit_per_s: float = 0,
        limit_wait_ms: int = 0,
    ) -> None:
        """Initialize the fields."""
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
        self.limit_per_s = limit_per_s
        self.limit_wait_ms = limit_wait_ms

    @classmethod
    def from_row(cls, row: Any) -> Self:
        """Build a report from its row.

        :raises RecordError: if the row is malformed or a count is out of range.
        """
        report = super().from_row(row)
        for count in (report.in_flight, report.queued, report.slots):
            if not isinstance(count, int) or not 0 <= count <= MAX_COUNT:
                raise RecordError(f'LoadReport: {count!r} is out of range')
        return report
