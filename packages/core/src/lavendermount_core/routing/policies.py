"""Load-balancing policies; each is a pure function of its inputs.

:shapes: a policy takes a ``DecisionInputs`` with at least one candidate.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from lavendermount_core.routing.candidates import (
    Candidate,
    Decision,
    DecisionInputs,
    Distance,
    Tuning,
)
from lavendermount_core.routing.expected_time import (
    SLOWNESS_THRESHOLD,
    CandidateBaseline,
    expected_ms,
)
from lavendermount_core.utils.registry import Registry

Policy = Callable[[DecisionInputs], Decision]
policies: Registry[str, Policy] = Registry('policy')

SCORE_DECIMALS = 3
# The sample from other regions is this many times smaller.
OTHER_REGION_DIVISOR = 3
# The sample from other zones, where leaving the zone has a cost, is smaller too.
OTHER_ZONE_DIVISOR = 2


def policy_names() -> list[str]:
    """Return the names of the registered policies."""
    return policies.names()


def decide(inputs: DecisionInputs) -> Decision:
    """Select a target with the policy that the inputs name.

    :param inputs: all inputs of the decision.
    :returns: the decision; equal inputs give equal decisions.
    """
    if not inputs.candidates:
        return Decision('', [])
    return policies.find(inputs.policy)(inputs)


@policies.register('expected-time')
def choose_expected_time(inputs: DecisionInputs) -> Decision:
    """Select the lowest expected response time of a random sample.

    The sample is taken from the node's own region; if leaving the zone has a cost,
    from the own zone, with a smaller one from the other zones. A smaller sample from
    other regions is added if the budget for traffic between regions allows it, or if
    the node's own region has no candidate. If only other regions may serve the
    request, the whole sample is taken from them.
    """
    same_region, other_region = _split_by_region(inputs.candidates)
    rng = random.Random(inputs.seed)
    sample = _sample_region(same_region, inputs.tuning, rng)
    if other_region and (inputs.is_link_allowed or not same_region):
        divisor = 1 if inputs.is_abroad else OTHER_REGION_DIVISOR
        other_size = max(1, inputs.tuning.sample // divisor)
        sample.extend(rng.sample(other_region, min(other_size, len(other_region))))
    baseline = CandidateBaseline(inputs.candidates)
    tuning = _tuning_in_zone(inputs.tuning, sample)
    scores = [
        (
            candidate.node_id,
            round(
                expected_ms(candidate, baseline, tuning, inputs.reply_kb),
                SCORE_DECIMALS,
            ),
        )
        for candidate in sample
    ]
    return Decision(min(scores, key=_score_key)[0], scores)


@policies.register('round-robin')
def choose_round_robin(inputs: DecisionInputs) -> Decision:
    """Select the targets in turn regardless of load; a baseline for comparison."""
    index = inputs.turn % len(inputs.candidates)
    return Decision(inputs.candidates[index].node_id, [])


@policies.register('random')
def choose_random(inputs: DecisionInputs) -> Decision:
    """Select a random target regardless of load; a baseline for comparison."""
    rng = random.Random(inputs.seed)
    return Decision(rng.choice(inputs.candidates).node_id, [])


def _split_by_region(
    candidates: list[Candidate],
) -> tuple[list[Candidate], list[Candidate]]:
    same_region: list[Candidate] = []
    other_region: list[Candidate] = []
    for candidate in candidates:
        group = (
            other_region if candidate.distance == Distance.OTHER_REGION else same_region
        )
        group.append(candidate)
    return same_region, other_region


def _sample_region(
    candidates: list[Candidate], tuning: Tuning, rng: random.Random
) -> list[Candidate]:
    """Sample the targets of the own region.

    :param candidates: targets of the own region.
    """
    if not tuning.zone_cost_ms:
        return rng.sample(candidates, min(tuning.sample, len(candidates)))
    own_zone = [entry for entry in candidates if entry.distance <= Distance.SAME_ZONE]
    other_zones = [entry for entry in candidates if entry.distance > Distance.SAME_ZONE]
    sample = rng.sample(own_zone, min(tuning.sample, len(own_zone)))
    other_size = tuning.sample // OTHER_ZONE_DIVISOR if own_zone else tuning.sample
    sample.extend(rng.sample(other_zones, min(max(1, other_size), len(other_zones))))
    return sample


def _tuning_in_zone(tuning: Tuning, sample: list[Candidate]) -> Tuning:
    """Drop the cost of leaving the zone if no target of the sample has room there.

    A request that leaves a full zone spares those behind it the queue.
    """
    if not tuning.zone_cost_ms or any(map(_has_room_in_zone, sample)):
        return tuning
    return tuning.with_zone_cost(0)


def _has_room_in_zone(candidate: Candidate) -> bool:
    pending = candidate.in_flight + candidate.queued + candidate.sent_since
    return (
        candidate.distance <= Distance.SAME_ZONE
        and pending < candidate.slots
        and candidate.slowness < SLOWNESS_THRESHOLD
    )


def _score_key(score: tuple[str, float]) -> tuple[float, str]:
    return score[1], score[0]
