"""Inputs and result of a target selection.

:units: milliseconds; counts of requests.
:shapes: plain data only, so that a decision can be recorded and replayed.
"""

from __future__ import annotations

from enum import IntEnum

from lavendermount_core.models.members import Member
from lavendermount_core.models.records import Record


class Distance(IntEnum):
    """Network distance between the deciding node and a target."""

    SAME_VM = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


def distance_between(one: Member, other: Member) -> Distance:
    """Return the network distance between the VMs of two members."""
    if one.node_id == other.node_id:
        return Distance.SAME_VM
    if one.region != other.region:
        return Distance.OTHER_REGION
    if one.zone != other.zone:
        return Distance.SAME_REGION
    return Distance.SAME_ZONE


class Candidate(Record):
    """A target that may be selected, as known to the deciding node.

    :param node_id: node that serves the target.
    :param distance: a ``Distance``.
    :param in_flight: requests being processed, as of the last report.
    :param queued: requests waiting in the queue, as of the last report.
    :param sent_since: pending requests that this node sent after that report.
    :param slots: concurrency limit of the target.
    :param service_ms: mean service time in the last report; 0 if unknown.
    :param failure_ratio: share of failed requests.
    :param oldest_ms: age of this node's oldest pending request to the target.
    :param age_ms: age of the last report.
    :param warm_ms: time since the target last became ready; at least an hour if
        it then reported that it is warm.
    :param slowness: slowdown of the target's VM in the last report, as a
        multiple of the usual processing time.
    :param limit_per_s: requests a second that the target accepts, in the last report;
        0 without a limit.
    :param limit_wait_ms: time until that limit allows a further request, as of the
        last report.
    """

    __slots__ = (
        'node_id',
        'distance',
        'in_flight',
        'queued',
        'sent_since',
        'slots',
        'service_ms',
        'failure_ratio',
        'oldest_ms',
        'age_ms',
        'warm_ms',
        'slowness',
        'limit_per_s',
        'limit_wait_ms',
    )

    def __init__(
        self,
        node_id: str,
        distance: int,
        in_flight: int,
        queued: int,
        sent_since: int,
        slots: int,
        service_ms: float,
        failure_ratio: float,
        oldest_ms: int,
        age_ms: int,
        warm_ms: int,
        slowness: float = 1,
        limit_per_s: float = 0,
        limit_wait_ms: int = 0,
    ) -> None:
        """Initialize the fields."""
        self.node_id = node_id
        self.distance = distance
        self.in_flight = in_flight
        self.queued = queued
        self.sent_since = sent_since
        self.slots = slots
        self.service_ms = service_ms
        self.failure_ratio = failure_ratio
        self.oldest_ms = oldest_ms
        self.age_ms = age_ms
        self.warm_ms = warm_ms
        self.slowness = slowness
        self.limit_per_s = limit_per_s
        self.limit_wait_ms = limit_wait_ms


class Tuning(Record):
    """Parameters of the policies, taken from the preset.

    :param sample: number of targets to compare.
    :param stale_ms: time constant of the decay of a report's weight; at this
        age the weight is 1/e.
    :param ramp_ms: slow-start period, in which the traffic of a new target
        grows.
    :param zone_ms: one-way delay between zones.
    :param region_ms: one-way delay between regions.
    :param failure_ms: penalty for a failed request.
    :param slow_ms: delay of a request on a VM that is currently slow.
    :param zone_kb_ms: cost of sending a kilobyte between zones, as time.
    :param region_kb_ms: cost of sending a kilobyte between regions, as time.
    :param zone_cost_ms: cost of leaving the zone, as time; 0 to treat the zones of a
        region alike.
    """

    __slots__ = (
        'sample',
        'stale_ms',
        'ramp_ms',
        'zone_ms',
        'region_ms',
        'failure_ms',
        'slow_ms',
        'zone_kb_ms',
        'region_kb_ms',
        'zone_cost_ms',
    )

    def __init__(
        self,
        sample: int,
        stale_ms: float,
        ramp_ms: float,
        zone_ms: float,
        region_ms: float,
        failure_ms: float,
        slow_ms: float = 0,
        zone_kb_ms: float = 0,
        region_kb_ms: float = 0,
        zone_cost_ms: float = 0,
    ) -> None:
        """Initialize the fields."""
        self.sample = sample
        self.stale_ms = stale_ms
        self.ramp_ms = ramp_ms
        self.zone_ms = zone_ms
        self.region_ms = region_ms
        self.failure_ms = failure_ms
        self.slow_ms = slow_ms
        self.zone_kb_ms = zone_kb_ms
        self.region_kb_ms = region_kb_ms
        self.zone_cost_ms = zone_cost_ms

    def with_zone_cost(self, zone_cost_ms: float) -> Tuning:
        """Copy the parameters with another cost of leaving the zone."""
        copy = Tuning.from_row(self.to_row())
        copy.zone_cost_ms = zone_cost_ms
        return copy


class DecisionInputs:
    """All inputs of one decision.

    :param policy: registered name of the policy.
    :param tuning: policy parameters from the preset.
    :param seed: seed of the random number generator.
    :param turn: number of this decision among those of the node for the
        service.
    :param is_link_allowed: whether the budget for traffic between regions
        covers the request's body.
    :param candidates: targets that may be chosen, ordered by node id.
    :param reply_kb: average reply size of the class in kilobytes.
    :param is_abroad: whether only targets of other regions may serve the request.
    """

    __slots__ = (
        'policy',
        'tuning',
        'seed',
        'turn',
        'is_link_allowed',
        'candidates',
        'reply_kb',
        'is_abroad',
    )

    def __init__(
        self,
        policy: str,
        tuning: Tuning,
        seed: int,
        turn: int,
        is_link_allowed: bool,
        candidates: list[Candidate],
        reply_kb: float = 0,
        is_abroad: bool = False,
    ) -> None:
        """Initialize the fields."""
        self.policy = policy
        self.tuning = tuning
        self.seed = seed
        self.turn = turn
        self.is_link_allowed = is_link_allowed
        self.candidates = candidates
        self.reply_kb = reply_kb
        self.is_abroad = is_abroad


class Decision(Record):
    """Result of a target selection.

    :param chosen: node id of the selected target; empty if there is none.
    :param scores: node id and expected milliseconds of each compared target.
    """

    __slots__ = ('chosen', 'scores')

    def __init__(self, chosen: str, scores: list[tuple[str, float]]) -> None:
        """Initialize the fields."""
        self.chosen = chosen
        self.scores = scores
