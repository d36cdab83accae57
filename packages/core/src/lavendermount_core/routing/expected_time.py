"""Expected time to answer, the score that targets are compared by.

:units: milliseconds.
"""

from __future__ import annotations

import math
from statistics import fmean, median

from lavendermount_core.routing.candidates import Candidate, Distance, Tuning

DEFAULT_SERVICE_MS = 5.0
COLD_FACTOR = 3.0
CROWDING_SHARE = 0.25
ROUND_TRIP = 2
BACKLOG_SERVICES = 4
OVERDUE_SERVICES = 8
UNKNOWN_SHARE = 0.5
LEAST_SERVICE_MS = 0.1
SLOW = 4.0
SLOW_LIFETIME_MS = 500
UNKNOWN_SLOW_SHARE = 0.25


class Fleet:
    """What is typical among the candidates, to blend stale reports with.

    :param candidates: all targets that may be chosen.
    """

    __slots__ = ('backlog_per_slot', 'service_ms', 'failure_ratio')

    def __init__(self, candidates: list[Candidate]) -> None:
        """Compute the typical values once for a decision."""
        services = [seen.service_ms for seen in candidates if seen.service_ms]
        self.service_ms = median(services) if services else DEFAULT_SERVICE_MS
        self.failure_ratio = median(seen.failure_ratio for seen in candidates)
        self.backlog_per_slot = fmean(
            (seen.in_flight + seen.queued) / max(seen.slots, 1) for seen in candidates
        )


def expected_ms(
    candidate: Candidate,
    fleet: Fleet,
    tuning: Tuning,
    reply_kb: float = 0,
) -> float:
    """Estimate how long a request sent now takes to be answered.

    :param candidate: the target.
    :param fleet: typical values among all candidates.
    :param tuning: numbers from the preset.
    :param reply_kb: kilobytes that the reply is expected to have.
    :returns: path, wait and service time with the risk of failure.
    """
    trust = math.exp(-candidate.age_ms / tuning.stale_ms)
    known = candidate.service_ms or UNKNOWN_SHARE * fleet.service_ms
    service = max(_blend(known, fleet.service_ms, trust), LEAST_SERVICE_MS)
    if candidate.slowness < SLOW:
        service *= max(1, candidate.slowness)
    if candidate.oldest_ms > OVERDUE_SERVICES * fleet.service_ms:
        service = max(service, candidate.oldest_ms)
    failures = _blend(candidate.failure_ratio, fleet.failure_ratio, trust)
    backlog = _blend(
        candidate.in_flight + candidate.queued,
        fleet.backlog_per_slot * candidate.slots,
        _backlog_trust(candidate, service),
    )
    crowd = (backlog + candidate.sent_since) / max(candidate.slots, 1)
    waiting = max(0, crowd + 1 / max(candidate.slots, 1) - 1)
    busy = service * (1 + CROWDING_SHARE * crowd + waiting)
    warm = busy * _cold_factor(candidate, tuning)
    beside = path_ms(candidate, tuning, reply_kb) + held_up_ms(candidate, tuning)
    return beside + warm + failures * tuning.failure_ms


def path_ms(candidate: Candidate, tuning: Tuning, reply_kb: float = 0) -> float:
    """Round trip to a target's gate, and what the reply's bytes count as.

    :returns: milliseconds on the network.
    """
    if candidate.distance <= Distance.SAME_ZONE:
        return 0
    if candidate.distance == Distance.SAME_REGION:
        return tuning.zone_ms * ROUND_TRIP + tuning.zone_kb_ms * reply_kb
    return tuning.region_ms * ROUND_TRIP + tuning.region_kb_ms * reply_kb


def held_up_ms(candidate: Candidate, tuning: Tuning) -> float:
    """Time that a VM which is slow at the moment holds work up.

    Such a state lasts a fraction of a second, so old news say little: a VM
    that was not heard of lately is taken to be slow in a share of the cases.
    """
    trust = math.exp(-candidate.age_ms / SLOW_LIFETIME_MS)
    is_slow = candidate.slowness >= SLOW
    return tuning.slow_ms * _blend(is_slow, UNKNOWN_SLOW_SHARE, trust)


def _backlog_trust(candidate: Candidate, service_ms: float) -> float:
    """Trust in a reported backlog, which changes as fast as work is done."""
    lifetime_ms = BACKLOG_SERVICES * service_ms
    return math.exp(-candidate.age_ms / lifetime_ms)


def _blend(reported: float, typical: float, trust: float) -> float:
    return trust * reported + (1 - trust) * typical


def _cold_factor(candidate: Candidate, tuning: Tuning) -> float:
    if candidate.warm_ms >= tuning.ramp_ms:
        return 1
    coldness = 1 - candidate.warm_ms / tuning.ramp_ms
    return 1 + COLD_FACTOR * coldness
