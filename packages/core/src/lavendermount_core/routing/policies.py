"""Policies that choose a target; each is a plain function of its inputs.

:shapes: a policy takes a ``Situation`` with at least one candidate.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from lavendermount_core.routing.candidates import (
    Candidate,
    Decision,
    Distance,
    Situation,
)
from lavendermount_core.routing.expected_time import Fleet, expected_ms
from lavendermount_core.utils.registry import Registry

Policy = Callable[[Situation], Decision]
policies: Registry[str, Policy] = Registry('policy')

SCORE_DIGITS = 3
FAR_DIVISOR = 3


def policy_names() -> list[str]:
    """List the registered policies."""
    return policies.names()


def decide(situation: Situation) -> Decision:
    """Choose a target.

    :param situation: all inputs of the decision.
    :returns: the decision; the same for the same inputs.
    """
    if not situation.candidates:
        return Decision('', [])
    return policies.find(situation.policy)(situation)


@policies.register('expected-time')
def choose_expected_time(situation: Situation) -> Decision:
    """Compare a random few by expected time to answer.

    The sample comes from the own region. A few targets of other regions join
    it while the link between regions has budget left.
    """
    near, far = _split_by_region(situation.candidates)
    chooser = random.Random(situation.seed)
    size = min(situation.tuning.sample, len(near))
    sample = chooser.sample(near, size)
    if far and (situation.is_link_allowed or not near):
        few = max(1, situation.tuning.sample // FAR_DIVISOR)
        sample.extend(chooser.sample(far, min(few, len(far))))
    fleet = Fleet(situation.candidates)
    scores = [
        (
            seen.node_id,
            round(
                expected_ms(seen, fleet, situation.tuning, situation.reply_kb),
                SCORE_DIGITS,
            ),
        )
        for seen in sample
    ]
    return Decision(min(scores, key=_score_of)[0], scores)


@policies.register('round-robin')
def choose_round_robin(situation: Situation) -> Decision:
    """Take each target in turn, whatever its load; a baseline."""
    index = situation.turn % len(situation.candidates)
    return Decision(situation.candidates[index].node_id, [])


@policies.register('random')
def choose_random(situation: Situation) -> Decision:
    """Take any target, whatever its load; a baseline."""
    chooser = random.Random(situation.seed)
    return Decision(chooser.choice(situation.candidates).node_id, [])


def _split_by_region(
    candidates: list[Candidate],
) -> tuple[list[Candidate], list[Candidate]]:
    near: list[Candidate] = []
    far: list[Candidate] = []
    for seen in candidates:
        side = far if seen.distance == Distance.OTHER_REGION else near
        side.append(seen)
    return near, far


def _score_of(score: tuple[str, float]) -> tuple[float, str]:
    return score[1], score[0]
