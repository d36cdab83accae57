"""What the gate remembers of attempts, so that a lost link loses no answer.

:units: seconds on the node's monotonic clock; bytes.
"""

from __future__ import annotations

from collections import OrderedDict

from returns.result import Failure

from lavendermount_core.structure.calls import Reason, not_run
from lavendermountd.gate.attempts import Attempt, AttemptResult

HORIZON_S = 120.0
KEPT_BODY_BYTES = 65536
CLEAN_STEP = 2


class Ledger:
    """Attempts by identifier; each identifier is accepted once.

    Every attempt and every tombstone is remembered for ``HORIZON_S`` after
    its end. A question about an older one must be answered ``unknown``.
    """

    __slots__ = ('attempts', 'tombstones', 'ended')

    def __init__(self) -> None:
        """Start empty."""
        self.attempts: dict[str, Attempt] = {}
        self.tombstones: OrderedDict[str, float] = OrderedDict()
        self.ended: OrderedDict[str, float] = OrderedDict()

    def open(self, attempt: Attempt) -> bool:
        """Accept an attempt unless its identifier is known or buried.

        :param attempt: a new attempt.
        :returns: whether it may go on.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self.tombstones or attempt_id in self.attempts:
            return False
        self.attempts[attempt_id] = attempt
        return True

    def close(self, attempt: Attempt, outcome: AttemptResult, now: float) -> None:
        """Keep the outcome of an attempt and forget what is too old."""
        attempt.finish(outcome, now)
        attempt.task = None
        if _is_large(outcome):
            attempt.finished = attempt.finished.get_loop().create_future()
        self.ended[attempt.attempt_id] = now
        self.clean(now)

    def find_or_bury(self, attempt_id: str, now: float) -> Attempt | None:
        """Look an attempt up; one never seen is never accepted afterwards.

        :param attempt_id: which attempt.
        :param now: the present.
        :returns: the attempt, or ``None`` if it is buried.
        """
        found = self.attempts.get(attempt_id)
        if found is None:
            self.tombstones[attempt_id] = now
        return found

    def clean(self, now: float) -> None:
        """Forget a few of the oldest entries beyond the horizon."""
        for _ in range(CLEAN_STEP):
            self.forget_oldest(now - HORIZON_S)

    def forget_oldest(self, limit: float) -> None:
        """Forget one attempt and one tombstone that ended before a time."""
        if self.ended and next(iter(self.ended.values())) < limit:
            attempt_id, _ = self.ended.popitem(last=False)
            self.attempts.pop(attempt_id)
        if self.tombstones and next(iter(self.tombstones.values())) < limit:
            self.tombstones.popitem(last=False)


def _is_large(outcome: AttemptResult) -> bool:
    return len(outcome.map(_body_of).value_or(b'')) > KEPT_BODY_BYTES


def _body_of(reply: object) -> bytes:
    body: bytes = getattr(reply, 'body', b'')
    return body


def refuse_buried() -> AttemptResult:
    """Refuse an attempt whose identifier may not run any more."""
    return Failure(
        not_run(Reason.NOT_ARRIVED, 'the attempt was lost on its way to the gate'),
    )
