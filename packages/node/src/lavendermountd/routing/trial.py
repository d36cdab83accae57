"""One attempt of a request at a chosen target, and its record.

:units: seconds on the node's monotonic clock; milliseconds in records.
"""

from __future__ import annotations

import time

from lavendermount_core.replay.records import DecisionRecord
from lavendermount_core.structure.members import Member
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.routing.journey import Cause, Choice, Journey


class OutboundAttempt:
    """One attempt under way.

    :param state: the request.
    :param choice: the decision, which names a target.
    :param cause: why the attempt is made.
    """

    __slots__ = ('state', 'choice', 'cause', 'member', 'number', 'started_at')

    def __init__(self, state: Journey, choice: Choice, cause: Cause) -> None:
        """Begin now, with the next number."""
        assert choice.member is not None
        self.state = state
        self.choice = choice
        self.cause = cause
        self.member: Member = choice.member
        self.number = state.next_attempt_number()
        self.started_at = time.monotonic()

    @property
    def node_id(self) -> str:
        """Node beside the target."""
        return self.member.node_id

    @property
    def attempt_id(self) -> str:
        """Identifier of the attempt, unique in the system."""
        return f'{self.state.request.request_id}-{self.number}'

    def elapsed_ms(self) -> float:
        """Time since the attempt began."""
        return (time.monotonic() - self.started_at) * MS_PER_S

    def to_record(self, label: str) -> DecisionRecord:
        """Build the record of the decision and its outcome.

        :param label: the outcome.
        """
        record = decision_record(self.state, self.choice, self.cause)
        record.attempt = self.number
        record.outcome = label
        record.elapsed_ms = round(self.elapsed_ms(), 2)
        return record


def decision_record(
    state: Journey,
    choice: Choice,
    cause: Cause,
) -> DecisionRecord:
    """Build the record of a decision for which no attempt was made yet.

    :param state: the request.
    :param choice: the decision with its inputs.
    :param cause: why it was taken.
    """
    inputs = choice.inputs
    call_class = state.request.call_class
    return DecisionRecord(
        state.request.request_id,
        0,
        str(cause),
        int(time.time() * MS_PER_S),
        state.preset.revision,
        call_class.service,
        call_class.name,
        call_class.tenant,
        inputs.policy,
        inputs.tuning.to_row(),
        inputs.seed,
        inputs.turn,
        inputs.is_link_allowed,
        [candidate.to_row() for candidate in inputs.candidates],
        choice.decision.chosen,
        choice.decision.scores,
        '',
        0,
        inputs.reply_kb,
    )
