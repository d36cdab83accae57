"""Expected response time, the score by which targets are compared.

:units: milliseconds.

Reported service time, failure ratio and backlog lose weight exponentially with
the age of the report. The rest of the weight goes to the baseline of all
candidates, so a target that was reported slow or failing is tried again after a
while. Whether the VM was reported slow loses weight in the same way, in favor of
``UNKNOWN_SLOW_PROBABILITY``. The age is ignored for a slowdown below
``SLOWNESS_THRESHOLD``, which multiplies the service time.
"""

from __future__ import annotations

import math
from statistics import fmean, median

from lavendermount_core.routing.candidates import Candidate, Distance, Tuning
from lavendermount_core.utils.units import MS_PER_S

# Service time assumed while no candidate has reported one.
DEFAULT_SERVICE_MS = 5.0
# Extra time of a target that just started, as a multiple of its usual time; it
# decreases linearly to 0 over the slow-start period.
COLD_START_FACTOR = 3.0
# Relative increase of the service time for each request per slot.
CONTENTION_FACTOR = 0.25
ROUND_TRIP_LEGS = 2
# A backlog changes as fast as requests complete, so the time constant of its
# weight is a number of service times instead of `stale_ms`.
BACKLOG_DECAY_SERVICE_TIMES = 4
# The age of the oldest pending request replaces the service time only beyond
# this multiple of the typical one. Without the limit, a single long request makes
# a target look like a straggler, and the other targets become overloaded.
OVERDUE_FACTOR = 8
# A target of unknown service time is assumed to be faster than the typical one,
# so that it is tried. Otherwise, if a straggler is the only target with a known
# service time, its time is assumed for all targets and it stays in use.
UNKNOWN_SERVICE_FACTOR = 0.5
MIN_SERVICE_MS = 0.1
# From this slowdown on, a VM counts as slow and gets a penalty that does not
# depend on the slowdown; below it, the slowdown multiplies the service time.
SLOWNESS_THRESHOLD = 4.0
# Slow periods of a VM last a fraction of a second, so the report that a VM is slow
# loses its weight fast.
SLOWNESS_DECAY_MS = 500
# Probability that a VM without a recent report is slow.
UNKNOWN_SLOW_PROBABILITY = 0.25


class CandidateBaseline:
    """Typical values of the candidates, blended into stale reports.

    :param candidates: all targets that may be chosen.
    """

    __slots__ = ('backlog_per_slot', 'service_ms', 'failure_ratio')

    def __init__(self, candidates: list[Candidate]) -> None:
        """Compute the typical values for one decision."""
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
    """Estimate the response time of a request sent now.

    :param candidate: the target.
    :param baseline: typical values of all candidates.
    :param tuning: policy parameters from the preset.
    :param reply_kb: expected reply size in kilobytes.
    :returns: network, queueing and service time plus the failure penalty.
    """
    weight = math.exp(-candidate.age_ms / tuning.stale_ms)
    reported = candidate.service_ms or UNKNOWN_SERVICE_FACTOR * baseline.service_ms
    service = max(_blend(reported, baseline.service_ms, weight), MIN_SERVICE_MS)
    if candidate.slowness < SLOWNESS_THRESHOLD:
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
    # Requests per slot, including this one, beyond the one in service.
    queue_wait_service_times = max(0, load_per_slot + 1 / max(candidate.slots, 1) - 1)
    loaded_service = service * (
        1 + CONTENTION_FACTOR * load_per_slot + queue_wait_service_times
    )
    processing = loaded_service * _cold_start_factor(candidate, tuning)
    overhead = (
        network_ms(candidate, tuning, reply_kb)
        + slowness_penalty_ms(candidate, tuning)
        + limit_wait_ms(candidate)
    )
    return overhead + processing + failure_ratio * tuning.failure_ms


def network_ms(candidate: Candidate, tuning: Tuning, reply_kb: float = 0) -> float:
    """Estimate the round trip to a target plus the cost of the reply's bytes.

    :returns: milliseconds; 0 within a zone.
    """
    if candidate.distance <= Distance.SAME_ZONE:
        return 0
    if candidate.distance == Distance.SAME_REGION:
        delay_ms = tuning.zone_ms * ROUND_TRIP_LEGS + tuning.zone_kb_ms * reply_kb
    else:
        delay_ms = tuning.region_ms * ROUND_TRIP_LEGS + tuning.region_kb_ms * reply_kb
    return delay_ms + tuning.zone_cost_ms


def slowness_penalty_ms(candidate: Candidate, tuning: Tuning) -> float:
    """Estimate the delay caused by a VM that is slow at the moment.

    A slow period lasts a fraction of a second, so old reports say little about
    it. Without a recent report, the VM is assumed to be slow with the probability
    ``UNKNOWN_SLOW_PROBABILITY``.
    """
    weight = math.exp(-candidate.age_ms / SLOWNESS_DECAY_MS)
    is_slow = candidate.slowness >= SLOWNESS_THRESHOLD
    return tuning.slow_ms * _blend(is_slow, UNKNOWN_SLOW_PROBABILITY, weight)


def limit_wait_ms(candidate: Candidate) -> float:
    """Estimate how long the rate limit of a target holds a request back.

    The reported wait passes with the age of the report; each request that this node
    sent since then takes its turn.

    :returns: milliseconds; 0 without a limit.
    """
    if not candidate.limit_per_s:
        return 0
    left_ms = max(0, candidate.limit_wait_ms - candidate.age_ms)
    return left_ms + candidate.sent_since * MS_PER_S / candidate.limit_per_s


def _backlog_weight(candidate: Candidate, service_ms: float) -> float:
    """Weight of a reported backlog, which changes as fast as requests complete."""
    decay_ms = BACKLOG_DECAY_SERVICE_TIMES * service_ms
    return math.exp(-candidate.age_ms / decay_ms)


def _blend(reported: float, typical: float, weight: float) -> float:
    return weight * reported + (1 - weight) * typical


def _cold_start_factor(candidate: Candidate, tuning: Tuning) -> float:
    if candidate.warm_ms >= tuning.ramp_ms:
        return 1
    coldness = 1 - candidate.warm_ms / tuning.ramp_ms
    return 1 + COLD_START_FACTOR * coldness
