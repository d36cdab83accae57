"""State of a request across its attempts, retries and hedges.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

from enum import StrEnum

from returns.result import Failure, Success

from lavendermount_core.models.calls import (
    CallRequest,
    Reason,
    Refusal,
    unknown_refusal,
)
from lavendermount_core.models.members import Member
from lavendermount_core.routing.candidates import Decision, DecisionInputs
from lavendermount_core.routing.expected_time import SLOWNESS_THRESHOLD
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.gate.suspects import fingerprint_of
from lavendermountd.presets.holder import InForcePreset

# A connection failed, not the target, so the target may be tried again.
CONNECTION_FAILURE_REASONS = frozenset((Reason.NOT_ARRIVED, Reason.CONNECTION_LOST))
# A target received the request but rejected it without executing it.
TARGET_REJECTION_REASONS = frozenset((Reason.TARGET_SHED, Reason.OTHER_TARGET))


class Cause(StrEnum):
    """Cause of an attempt."""

    FIRST = 'first'
    RETRY = 'retry'
    HEDGE = 'hedge'


class RequestState:
    """A request and the state of its attempts.

    :param request: the request.
    :param preset: preset in force when the request arrived.
    """

    __slots__ = (
        'request',
        'preset',
        'fingerprint',
        'attempt_count',
        'tried_nodes',
        'may_have_run',
        'last_reply',
        'delivered_count',
        'active_attempts',
        'is_abandoned',
        'tried_nodes_in_other_regions',
    )

    def __init__(self, request: CallRequest, preset: InForcePreset) -> None:
        """Start without attempts."""
        self.request = request
        self.preset = preset
        self.fingerprint = fingerprint_of(request)
        self.attempt_count = 0
        self.tried_nodes: set[str] = set()
        self.may_have_run = False
        self.last_reply: AttemptResult | None = None
        self.delivered_count = 0
        self.active_attempts: dict[str, Member] = {}
        self.is_abandoned = False
        self.tried_nodes_in_other_regions: set[str] = set()

    @property
    def class_key(self) -> str:
        """Name of the request's service and class."""
        call_class = self.request.call_class
        return f'{call_class.service}/{call_class.name}'

    @property
    def was_passed_on(self) -> bool:
        """Return whether a target may have received the request."""
        return bool(self.active_attempts or self.delivered_count or self.may_have_run)

    def next_attempt_number(self) -> int:
        """Count a new attempt and return its number."""
        self.attempt_count += 1
        return self.attempt_count

    def record_outcome(self, outcome: AttemptResult, node_id: str) -> None:
        """Record the outcome of an attempt.

        A lost connection is no failure of the target, so the target may be tried
        again over a new connection.

        :param outcome: outcome of the attempt.
        :param node_id: node that serves the target.
        """
        if isinstance(outcome, Success):
            self.last_reply = outcome
            self.delivered_count += 1
            return
        refusal = outcome.failure()
        self.delivered_count += has_reached_target(refusal)
        if not refusal.is_not_run:
            self.may_have_run = True
        if refusal.reason in CONNECTION_FAILURE_REASONS:
            self.tried_nodes.discard(node_id)
            self.tried_nodes_in_other_regions.discard(node_id)

    def final_outcome(self, outcome: AttemptResult) -> AttemptResult:
        """Derive the outcome of the request from that of its last attempt.

        :param outcome: outcome of the last attempt.
        :returns: a reply if any target sent one, even an error; otherwise a
            refusal, which is ``unknown`` if any attempt may have been executed.
        """
        if isinstance(outcome, Success):
            return outcome
        if self.last_reply is not None:
            return self.last_reply
        refusal = outcome.failure()
        if not self.may_have_run or not refusal.is_not_run:
            return outcome
        detail = f'{refusal.detail}; an earlier attempt may have run'
        reason = Reason(refusal.reason)
        return Failure(unknown_refusal(reason, detail, refusal.retry_after_s))


def has_reached_target(refusal: Refusal) -> bool:
    """Return whether a refused request may have reached a target.

    If the target's node itself refused the request, no target received it.
    """
    return not refusal.is_not_run or refusal.reason in TARGET_REJECTION_REASONS


class Selection:
    """A decision with its inputs and the selected member.

    :param inputs: inputs of the decision.
    :param decision: the decision.
    :param member: node of the selected target; ``None`` if there is none.
    :param excluded: constraints that excluded targets, each with their number.
    """

    __slots__ = ('inputs', 'decision', 'member', 'excluded')

    def __init__(
        self,
        inputs: DecisionInputs,
        decision: Decision,
        member: Member | None,
        excluded: list[tuple[str, int]],
    ) -> None:
        """Initialize the fields."""
        self.inputs = inputs
        self.decision = decision
        self.member = member
        self.excluded = excluded

    def is_slow(self) -> bool:
        """Return whether the selected target was slow in its last report."""
        return any(
            candidate.node_id == self.decision.chosen
            and candidate.slowness >= SLOWNESS_THRESHOLD
            for candidate in self.inputs.candidates
        )
