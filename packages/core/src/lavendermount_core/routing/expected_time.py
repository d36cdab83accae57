"""Expected time to answer, the score that targets are compared by.

:units: milliseconds.
"""

from __future__ import annotations

import math
from statistics import fmean, median

from lavendermount_core.routing.candidates import Candidate, Distance, Tuning

DEFAULT_SERVICE_MS = 5.0
COLD_START_FACTOR = 3.0
CONTENTION_FACTOR = 0.25
ROUND_TRIP_LEGS = 2
BACKLOG_DECAY_SERVICES = 4
OVERDUE_FACTOR = 8
UNKNOWN_SERVICE_FACTOR = 0.5
MIN_SERVICE_MS = 0.1
SLOW = 4.0
SLOWNESS_DECAY_MS = 500
UNKNOWN_SLOW_PROBABILITY = 0.25


class CandidateBaseline:
    """What is typical among the candidates, to blend stale reports with.

    :param candidates: all targets that may be chosen.
    """

    __slots__ = ('backlog_per_slot', 'service_ms', 'failure_ratio')

    def __init__(self, candidates: list[Candidate]) -> None:
        """Compute the typical values once for a decision."""
        known_times = [
            candidate.service_ms for candidate in candidates if candidate.service_ms
        ]
        self.service_ms = median(known_times) if known_times else DEFAULT_SERVICE_MS
        self.failure_ratio = median(candidate.failure_ratio for candidate in candidates)
        self.backlog_per_slot = fmean(
            (candidate.in_flight + candidate.queued) / max(candidate.slots, 1)
            for candidate in candidates
        )


def expected_ms(
    candidate: Candidate,
    baseline: CandidateBaseline,
    tuning: Tuning,
    reply_kb: float = 0,
) -> float:
    """Estimate how long a request sent now takes to be answered.

    :param candidate: the target.
    :param baseline: typical values among all candidates.
    :param tuning: numbers from the preset.
    :param reply_kb: kilobytes that the reply is expected to have.
    :returns: path, wait and service time with the risk of failure.
    """
    weight = math.exp(-candidate.age_ms / tuning.stale_ms)
    reported = candidate.service_ms or UNKNOWN_SERVICE_FACTOR * baseline.service_ms
    service = max(_blend(reported, baseline.service_ms, weight), MIN_SERVICE_MS)
    if candidate.slowness < SLOW:
        service *= max(1, candidate.slowness)
    if candidate.oldest_ms > OVERDUE_FACTOR * baseline.service_ms:
        service = max(service, candidate.oldest_ms)
    failure_ratio = _blend(candidate.failure_ratio, baseline.failure_ratio, weight)
    backlog = _blend(
        candidate.in_flight + candidate.queued,
        baseline.backlog_per_slot * candidate.slots,
        _backlog_weight(candidate, service),
    )
    load_per_slot = (backlog + candidate.sent_since) / max(candidate.slots, 1)
    queue_wait = max(0, load_per_slot + 1 / max(candidate.slots, 1) - 1)
    loaded_service = service * (1 + CONTENTION_FACTOR * load_per_slot + queue_wait)
    processing = loaded_service * _cold_start_factor(candidate, tuning)
    overhead = network_ms(candidate, tuning, reply_kb) + slowness_penalty_ms(
        candidate, tuning
    )
    return overhead + processing + failure_ratio * tuning.failure_ms


def network_ms(candidate: Candidate, tuning: Tuning, reply_kb: float = 0) -> float:
    """Round trip to a target's gate, and what the reply's bytes count as.

    :returns: milliseconds on the network.
    """
    if candidate.distance <= Distance.SAME_ZONE:
        return 0
    if candidate.distance == Distance.SAME_REGION:
        return tuning.zone_ms * ROUND_TRIP_LEGS + tuning.zone_kb_ms * reply_kb
    return tuning.region_ms * ROUND_TRIP_LEGS + tuning.region_kb_ms * reply_kb


def slowness_penalty_ms(candidate: Candidate, tuning: Tuning) -> float:
    """Time that a VM which is slow at the moment holds work up.

    Such a state lasts a fraction of a second, so old news say little: a VM
    that was not heard of lately is taken to be slow in a share of the cases.
    """
    weight = math.exp(-candidate.age_ms / SLOWNESS_DECAY_MS)
    is_slow = candidate.slowness >= SLOW
    return tuning.slow_ms * _blend(is_slow, UNKNOWN_SLOW_PROBABILITY, weight)


def _backlog_weight(candidate: Candidate, service_ms: float) -> float:
    """Trust in a reported backlog, which changes as fast as work is done."""
    decay_ms = BACKLOG_DECAY_SERVICES * service_ms
    return math.exp(-candidate.age_ms / decay_ms)


def _blend(reported: float, typical: float, weight: float) -> float:
    return weight * reported + (1 - weight) * typical


def _cold_start_factor(candidate: Candidate, tuning: Tuning) -> float:
    if candidate.warm_ms >= tuning.ramp_ms:
        return 1
    coldness = 1 - candidate.warm_ms / tuning.ramp_ms
    return 1 + COLD_START_FACTOR * coldness
