"""Records of attempts, to look up their outcomes after a link was lost.

:units: seconds on the node's monotonic clock; bytes.

Identifiers are small and are kept for ``ID_RETENTION_S``. Outcomes are kept for
``OUTCOME_RETENTION_S``, and only for requests that may not be repeated, if the
body of the reply has at most ``MAX_STORED_BODY_BYTES``.
"""

from __future__ import annotations

from returns.result import Failure

from lavendermount_core.models.calls import (
    Body,
    CallReply,
    Reason,
    not_run_refusal,
    unknown_refusal,
)
from lavendermountd.gate.attempts import Attempt, AttemptResult

ID_RETENTION_S = 120.0
OUTCOME_RETENTION_S = 30.0
MAX_STORED_BODY_BYTES = 65536
# More than the one record that a close adds, so that expired records don't
# accumulate.
EVICTIONS_PER_CLOSE = 2


class AttemptTable:
    """Attempts by identifier; each identifier is accepted only once.

    The identifier of an attempt from another node is kept for at least
    ``ID_RETENTION_S`` after the attempt ended or the identifier got a tombstone. A
    lookup of an older one that has no record must be answered with ``unknown``.
    """

    __slots__ = ('running', 'ended', 'outcomes')

    def __init__(self) -> None:
        """Create an empty table."""
        self.running: dict[str, Attempt] = {}
        self.ended: dict[str, float] = {}
        self.outcomes: dict[str, AttemptResult] = {}

    def open(self, attempt: Attempt) -> bool:
        """Add an attempt unless its identifier is already known or has a tombstone.

        :param attempt: a new attempt.
        :returns: whether the attempt may run.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self.ended or attempt_id in self.running:
            return False
        self.running[attempt_id] = attempt
        return True

    def close(self, attempt: Attempt, outcome: AttemptResult, now: float) -> None:
        """Record the end of an attempt and evict expired records."""
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

    def add_tombstone(self, attempt_id: str, now: float) -> bool:
        """Add a tombstone for an attempt that has not arrived.

        If the attempt arrives later, it is refused.

        :param attempt_id: identifier of the attempt.
        :param now: current time.
        :returns: whether the identifier was unknown and has a tombstone now.
        """
        if attempt_id in self.ended or attempt_id in self.running:
            return False
        self.ended[attempt_id] = now
        self.outcomes[attempt_id] = refuse_tombstoned()
        return True

    def outcome_of(self, attempt_id: str) -> AttemptResult:
        """Return the stored outcome of an ended attempt, or an ``unknown`` refusal."""
        stored = self.outcomes.get(attempt_id)
        if stored is not None:
            return stored
        return Failure(
            unknown_refusal(
                Reason.LINK_LOST,
                'the attempt may have ended, but its outcome is not stored',
            )
        )

    def evict_expired(self, now: float) -> None:
        """Evict a few of the oldest records if they have expired."""
        for _ in range(EVICTIONS_PER_CLOSE):
            self.evict_oldest_outcome(now - OUTCOME_RETENTION_S)
            self.evict_oldest_id(now - ID_RETENTION_S)

    def evict_oldest_id(self, ended_before: float) -> None:
        """Evict the oldest identifier if its attempt ended before the given time."""
        oldest = next(iter(self.ended), None)
        if oldest is not None and self.ended[oldest] < ended_before:
            self.ended.pop(oldest)

    def evict_oldest_outcome(self, ended_before: float) -> None:
        """Evict the oldest outcome if its attempt ended before the given time."""
        oldest = next(iter(self.outcomes), None)
        if oldest is not None and self.ended.get(oldest, 0) < ended_before:
            self.outcomes.pop(oldest)


def _is_large(outcome: AttemptResult) -> bool:
    return len(outcome.map(_body_of).value_or(b'')) > MAX_STORED_BODY_BYTES


def _body_of(reply: CallReply) -> Body:
    return reply.body


def refuse_tombstoned() -> AttemptResult:
    """Refuse an attempt whose identifier has a tombstone or was already used."""
    return Failure(
        not_run_refusal(
            Reason.NOT_ARRIVED,
            'the attempt did not arrive before it was looked up, or its identifier was '
            'already used',
        ),
    )
