"""Human-readable explanation of a recorded decision.

:shapes: a list of lines for a terminal.
"""

from __future__ import annotations

from datetime import UTC, datetime
from types import MappingProxyType
from typing import Any

from lavendermount_core.replay.records import DecisionRecord
from lavendermount_core.routing.candidates import Candidate, Distance
from lavendermount_core.utils.units import MS_PER_S

DISTANCE_LABELS = MappingProxyType(
    {
        Distance.SAME_VM: 'on the same VM',
        Distance.SAME_ZONE: 'in the same availability zone',
        Distance.SAME_REGION: 'in another availability zone',
        Distance.OTHER_REGION: 'in another region',
    }
)


def explain_decision(recorded: DecisionRecord) -> list[str]:
    """Explain one decision.

    :param recorded: the decision with its inputs and outcome.
    :returns: lines for a terminal.
    """
    decided_at = datetime.fromtimestamp(recorded.time_ms / MS_PER_S, tz=UTC)
    link = 'allowed' if recorded.is_link_allowed else 'out of budget'
    head = (
        f'request {recorded.request_id}, attempt {recorded.attempt} '
        f'({recorded.cause}) at {decided_at.isoformat(timespec="milliseconds")}'
    )
    subject = (
        f'  service {recorded.service}, class {recorded.call_class}, '
        f'tenant {recorded.tenant}, preset revision {recorded.revision}'
    )
    inputs = (
        f'  policy {recorded.policy}, seed {recorded.seed}, '
        f'turn {recorded.turn}, link between regions {link}'
    )
    count = f'  {len(recorded.candidates)} targets were seen:'
    lines = [head, subject, inputs, count]
    scores = dict(recorded.scores)
    lines.extend(_candidate_line(row, scores) for row in recorded.candidates)
    lines.extend(
        f'  {count} more excluded by the constraint {name}'
        for name, count in recorded.excluded
    )
    lines.append(f'  {_chosen_line(recorded)}')
    lines.append(f'  outcome {recorded.outcome} after {recorded.elapsed_ms:g} ms')
    return lines


def _candidate_line(row: list[Any], scores: dict[str, float]) -> str:
    candidate = Candidate.from_row(row)
    score = scores.get(candidate.node_id)
    score_text = 'not compared' if score is None else f'expected {score:g} ms'
    location = DISTANCE_LABELS[Distance(candidate.distance)]
    load = (
        f'{candidate.in_flight} running and {candidate.queued} waiting '
        f'on {candidate.slots} slots {candidate.age_ms} ms ago'
    )
    history = (
        f'{candidate.sent_since} sent since, service {candidate.service_ms:.1f} ms, '
        f'{candidate.failure_ratio:.0%} failed'
    )
    return f'    {candidate.node_id}: {score_text}; {location}, {load}, {history}'


def _chosen_line(recorded: DecisionRecord) -> str:
    if not recorded.chosen:
        return 'no target was chosen: none was available'
    if not recorded.scores:
        return f'{recorded.chosen} was chosen by {recorded.policy}'
    return f'{recorded.chosen} was chosen: lowest expected time of those compared'
