"""What a decision is made from.

:units: milliseconds; counts of requests.
:shapes: everything here is plain data, so that a decision can be replayed.
"""

from __future__ import annotations

from enum import IntEnum

from lavendermount_core.structure.members import Member
from lavendermount_core.structure.records import Record


class Distance(IntEnum):
    """How far a target is from the choosing node."""

    SAME_VM = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


def distance_between(one: Member, other: Member) -> Distance:
    """Tell how far two VMs are from each other."""
    if one.node_id == other.node_id:
        return Distance.SAME_VM
    if one.region != other.region:
        return Distance.OTHER_REGION
    if one.zone != other.zone:
        return Distance.SAME_REGION
    return Distance.SAME_ZONE


class Candidate(Record):
    """One target as the choosing node sees it.

    :param node_id: node beside the target.
    :param distance: a ``Distance``.
    :param in_flight: requests running there, when last reported.
    :param queued: requests waiting there, when last reported.
    :param sent_since: requests this node sent there since that report.
    :param slots: requests the target works on at once.
    :param service_ms: mean service time when last reported; 0 for none.
    :param failure_ratio: share of failed requests.
    :param oldest_ms: age of the oldest request this node has there.
    :param age_ms: age of the report.
    :param warm_ms: time since the target announced itself.
    :param slowness: how many times longer than usual work took on the
        target's VM when last reported.
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
    ) -> None:
        """Keep the fields as given."""
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


class Tuning(Record):
    """The preset's numbers that a policy reads.

    :param sample: targets compared.
    :param stale_ms: age at which a report has lost most of its weight.
    :param ramp_ms: time in which a new target is given more and more work.
    :param zone_ms: one-way delay between zones.
    :param region_ms: one-way delay between regions.
    :param failure_ms: time a failed answer counts as.
    :param slow_ms: time that work is held up on a VM that is slow now.
    :param zone_kb_ms: time that a kilobyte between zones counts as.
    :param region_kb_ms: time that a kilobyte between regions counts as.
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
    ) -> None:
        """Keep the fields as given."""
        self.sample = sample
        self.stale_ms = stale_ms
        self.ramp_ms = ramp_ms
        self.zone_ms = zone_ms
        self.region_ms = region_ms
        self.failure_ms = failure_ms
        self.slow_ms = slow_ms
        self.zone_kb_ms = zone_kb_ms
        self.region_kb_ms = region_kb_ms


class Situation:
    """All inputs of one decision.

    :param policy: registered name of the policy.
    :param tuning: numbers from the preset.
    :param seed: start of the random choice.
    :param turn: decisions this node made for the service before.
    :param is_link_allowed: whether the link between regions has budget left.
    :param candidates: targets that may be chosen, ordered by node id.
    :param reply_kb: kilobytes that replies of the class have on average.
    """

    __slots__ = (
        'policy',
        'tuning',
        'seed',
        'turn',
        'is_link_allowed',
        'candidates',
        'reply_kb',
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
    ) -> None:
        """Keep the fields as given."""
        self.policy = policy
        self.tuning = tuning
        self.seed = seed
        self.turn = turn
        self.is_link_allowed = is_link_allowed
        self.candidates = candidates
        self.reply_kb = reply_kb


class Decision(Record):
    """The outcome of one decision.

    :param chosen: node id of the target; empty if none may be chosen.
    :param scores: node id and expected milliseconds of each target compared.
    """

    __slots__ = ('chosen', 'scores')

    def __init__(self, chosen: str, scores: list[tuple[str, float]]) -> None:
        """Keep the fields as given."""
        self.chosen = chosen
        self.scores = scores
