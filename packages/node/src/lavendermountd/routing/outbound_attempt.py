"""An attempt of a request at a selected target, and its record.

:units: seconds on the node's monotonic clock; milliseconds in records.
"""

from __future__ import annotations

import time

from lavendermount_core.models.members import Member
from lavendermount_core.replay.records import DecisionRecord
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.routing.request_state import Cause, RequestState, Selection


class OutboundAttempt:
    """An attempt that this node sends.

    :param state: the request.
    :param selection: the decision, which selected a target.
    :param cause: cause of the attempt.
    """

    __slots__ = ('state', 'selection', 'cause', 'member', 'number', 'started_at')

    def __init__(self, state: RequestState, selection: Selection, cause: Cause) -> None:
        """Start now, with the next number of the request."""
        assert selection.member is not None
        self.state = state
        self.selection = selection
        self.cause = cause
        self.member: Member = selection.member
        self.number = state.next_attempt_number()
        self.started_at = time.monotonic()

    @property
    def node_id(self) -> str:
        """Node that serves the target."""
        return self.member.node_id

    @property
    def attempt_id(self) -> str:
        """Identifier of the attempt, unique in the cluster."""
        return f'{self.state.request.request_id}-{self.number}'

    def elapsed_ms(self) -> float:
        """Return the time since the attempt started."""
        return (time.monotonic() - self.started_at) * MS_PER_S

    def to_record(self, label: str) -> DecisionRecord:
        """Build the record of the decision and its outcome.

        :param label: outcome to be recorded.
        """
        record = decision_record(self.state, self.selection, self.cause)
        record.attempt = self.number
        record.outcome = label
        record.elapsed_ms = round(self.elapsed_ms(), 2)
        return record


def decision_record(
    state: RequestState,
    selection: Selection,
    cause: Cause,
) -> DecisionRecord:
    """Build the record of a decision, without attempt number and outcome.

    :param state: the request.
    :param selection: the decision with its inputs.
    :param cause: cause of the attempt.
    """
    inputs = selection.inputs
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
        selection.decision.chosen,
        selection.decision.scores,
        '',
        0,
        inputs.reply_kb,
        inputs.is_abroad,
        selection.excluded,
    )
