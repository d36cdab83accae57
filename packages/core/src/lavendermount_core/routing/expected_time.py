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


def expected_ms(candidate: Candidate, fleet: Fleet, tuning: Tuning) -> float:
    """Estimate how long a request sent now takes to be answered.

    :param candidate: the target.
    :param fleet: typical values among all candidates.
    :param tuning: numbers from the preset.
    :returns: path, wait and service time with the risk of failure.
    """
    trust = math.exp(-candidate.age_ms / tuning.stale_ms)
    known = candidate.service_ms or UNKNOWN_SHARE * fleet.service_ms
    service = max(_blend(known, fleet.service_ms, trust), LEAST_SERVICE_MS)
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
    return path_ms(candidate, tuning) + warm + failures * tuning.failure_ms


def path_ms(candidate: Candidate, tuning: Tuning) -> float:
    """Round trip to a target's gate.

    :returns: milliseconds on the network.
    """
    if candidate.distance <= Distance.SAME_ZONE:
        return 0
    if candidate.distance == Distance.SAME_REGION:
        return tuning.zone_ms * ROUND_TRIP
    return tuning.region_ms * ROUND_TRIP


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
