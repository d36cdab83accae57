"""What the gate remembers of attempts, so that a lost link loses no answer.

:units: seconds on the node's monotonic clock; bytes.

Identifiers are remembered for long and cost little; outcomes are kept for a
shorter time, and only of work that may not be repeated.
"""

from __future__ import annotations

from returns.result import Failure

from lavendermount_core.structure.calls import CallReply, Reason, not_run, unknown
from lavendermountd.gate.attempts import Attempt, AttemptResult

ID_RETENTION_S = 120.0
OUTCOME_RETENTION_S = 30.0
MAX_STORED_BODY_BYTES = 65536
EVICTIONS_PER_CLOSE = 2


class AttemptTable:
    """Attempts by identifier; each identifier is accepted once.

    Every identifier is remembered for ``HORIZON_S`` after the end of its
    attempt or its burial. A question about an older one must be answered
    ``unknown``.
    """

    __slots__ = ('running', 'ended', 'outcomes')

    def __init__(self) -> None:
        """Start empty."""
        self.running: dict[str, Attempt] = {}
        self.ended: dict[str, float] = {}
        self.outcomes: dict[str, AttemptResult] = {}

    def open(self, attempt: Attempt) -> bool:
        """Accept an attempt unless its identifier is known or buried.

        :param attempt: a new attempt.
        :returns: whether it may go on.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self.ended or attempt_id in self.running:
            return False
        self.running[attempt_id] = attempt
        return True

    def close(self, attempt: Attempt, outcome: AttemptResult, now: float) -> None:
        """Remember an attempt that ended, and forget what is too old."""
        attempt_id = attempt.attempt_id
        attempt.finish(outcome)
        self.running.pop(attempt_id)
        if not attempt.is_remote:
            return
        self.ended[attempt_id] = now
        is_repeatable = attempt.request.call_class.is_repeatable
        if not is_repeatable and not _is_large(outcome):
            self.outcomes[attempt_id] = outcome
        self.evict_expired(now)

    def block(self, attempt_id: str, now: float) -> bool:
        """Make sure that an attempt never seen is never accepted.

        :param attempt_id: which attempt.
        :param now: the present.
        :returns: whether it was never seen and is buried now.
        """
        if attempt_id in self.ended or attempt_id in self.running:
            return False
        self.ended[attempt_id] = now
        self.outcomes[attempt_id] = refuse_blocked()
        return True

    def outcome_of(self, attempt_id: str) -> AttemptResult:
        """Tell the outcome of an attempt that ended, if it is still kept."""
        stored = self.outcomes.get(attempt_id)
        if stored is not None:
            return stored
        return Failure(unknown(Reason.LINK_LOST, 'the reply is no longer kept'))

    def evict_expired(self, now: float) -> None:
        """Forget a few of the oldest entries that are too old."""
        for _ in range(EVICTIONS_PER_CLOSE):
            self.evict_oldest_outcome(now - OUTCOME_RETENTION_S)
            self.evict_oldest_id(now - ID_RETENTION_S)

    def evict_oldest_id(self, limit: float) -> None:
        """Forget the oldest identifier if it ended before a time."""
        oldest = next(iter(self.ended), None)
        if oldest is not None and self.ended[oldest] < limit:
            self.ended.pop(oldest)

    def evict_oldest_outcome(self, limit: float) -> None:
        """Forget the oldest outcome if its attempt ended before a time."""
        oldest = next(iter(self.outcomes), None)
        if oldest is not None and self.ended.get(oldest, 0) < limit:
            self.outcomes.pop(oldest)


def _is_large(outcome: AttemptResult) -> bool:
    return len(outcome.map(_body_of).value_or(b'')) > MAX_STORED_BODY_BYTES


def _body_of(reply: CallReply) -> bytes:
    return reply.body


def refuse_blocked() -> AttemptResult:
    """Refuse an attempt whose identifier may not run any more."""
    return Failure(
        not_run(Reason.NOT_ARRIVED, 'the attempt was lost on its way to the gate'),
    )
