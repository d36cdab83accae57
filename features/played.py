"""What the state machines put around the part of the product that they play."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

from builders import stated_preset
from returns.result import Success

from lavendermount_core.exceptions import (
    ConfigurationError,
    LogEvictedError,
    LogUnavailableError,
)
from lavendermount_core.log.adapter import (
    KeyedRecord,
    LogBatch,
    LogRecord,
    NewestRecords,
)
from lavendermount_core.structure.calls import CallReply, CallRequest, Reason
from lavendermountd.dialects.base import ReplyFacts
from lavendermountd.gate.attempts import Attempt, AttemptResult, Progress
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.target_client import TargetAnswer, TargetError

MISDIRECTED_REPLY = CallReply(421, 'Misdirected Request', [], b'')


class Execution:
    """One attempt as the target sees it."""

    __slots__ = ('attempt_id', 'start', 'answer')

    def __init__(self, attempt_id: str, start: tuple[str, int]) -> None:
        """Begin; the answer comes later."""
        self.attempt_id = attempt_id
        self.start = start
        self.answer: asyncio.Future[TargetAnswer] = asyncio.Future()


class FakeTarget:
    """The target beside the gate, as the machine plays it."""

    def __init__(self) -> None:
        """Listen, with nothing run yet."""
        self.start = ('i-1', 1)
        self.is_listening = True
        self.drops_next_connection = False
        self.execution_counts: Counter[str] = Counter()
        self.running: list[Execution] = []
        self.departed_starts: set[tuple[str, int]] = set()
        self.started_after_departure: list[str] = []


class FakeDialect:
    """Reads the name of the target's start from a reply, and nothing else."""

    def read_reply(self, status: int, headers: list[tuple[str, str]]) -> ReplyFacts:
        """Read the only header."""
        return ReplyFacts(instance=dict(headers).get('instance', ''))


class FakeClient:
    """Stands in for the gate's HTTP client.

    :param target: what it talks to.
    :param gate: whose client it is.
    """

    def __init__(self, target: FakeTarget, gate: Gate) -> None:
        """Keep the parts."""
        self.target = target
        self.gate = gate
        self.dialect = FakeDialect()

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Begin work at the target and wait for what becomes of it."""
        await asyncio.sleep(0)
        if not self.target.is_listening:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        attempt.progress = Progress.WRITTEN
        attempt.target_start = self.gate.target.start
        if self.target.drops_next_connection:
            self.target.drops_next_connection = False
            raise TargetError(Reason.CONNECTION_LOST, 'the connection was idle')
        start = self.target.start
        if self.gate.target.instance != start[0]:
            return TargetAnswer(MISDIRECTED_REPLY, ReplyFacts(is_other_target=True))
        execution = Execution(attempt.attempt_id, start)
        if start in self.target.departed_starts:
            self.target.started_after_departure.append(attempt.attempt_id)
        self.target.execution_counts[attempt.attempt_id] += 1
        self.target.running.append(execution)
        return await execution.answer

    async def connect(self) -> Any:
        """Connect, to learn whether the target lives."""
        if not self.target.is_listening:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        return FakeConnection()

    def put_back(self, connection: Any) -> None:
        """Keep nothing."""

    def close_idle(self) -> None:
        """Close nothing."""


class FakeConnection:
    """A connection that stays open."""

    def __init__(self) -> None:
        """Open it."""
        self.reader: asyncio.Future[None] = asyncio.Future()


class SentAttempt:
    """One attempt as its sender sees it.

    :param attempt_id: identifier of the attempt.
    :param request: what is sent.
    :param incarnation: of the gate that it was sent to.
    :param sent_at: when.
    """

    __slots__ = (
        'attempt_id',
        'request',
        'incarnation',
        'sent_at',
        'delivered_to_incarnation',
        'task',
        'outcome',
    )

    def __init__(
        self, attempt_id: str, request: CallRequest, incarnation: int, sent_at: float
    ) -> None:
        """Have nothing delivered yet."""
        self.attempt_id = attempt_id
        self.request = request
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.delivered_to_incarnation = 0
        self.task: asyncio.Task[AttemptResult] | None = None
        self.outcome: AttemptResult | None = None

    @property
    def is_not_run(self) -> bool:
        """Whether the sender was told that the request has not run."""
        outcome = self.outcome
        if outcome is None or isinstance(outcome, Success):
            return False
        return outcome.failure().is_not_run


class FakeLog:
    """A keyed log of one key, which may be away and may have evicted."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.oldest = 0
        self.is_unavailable = False

    async def newest(self, stream: str) -> NewestRecords:
        """Read the newest record."""
        self.check_available()
        bodies = {'config': self.records[-1]} if self.records else {}
        return NewestRecords(len(self.records), bodies)

    async def read(self, stream: str, start: int, wait_s: float = 0) -> LogBatch:
        """Read what came since."""
        self.check_available()
        if start < self.oldest:
            raise LogEvictedError(stream, self.oldest)
        rows = [
            LogRecord(start + index, body)
            for index, body in enumerate(self.records[start:])
        ]
        end = len(self.records)
        return LogBatch(self.oldest, end, end, rows)

    def check_available(self) -> None:
        """Fail while the log is away."""
        if self.is_unavailable:
            raise LogUnavailableError('away')

    def split_key(self, body: bytes) -> KeyedRecord:
        """Every record has the same key."""
        return KeyedRecord('config', body)


def decode_fake_record(body: bytes) -> Any:
    """Decode a record of the machine.

    :raises ConfigurationError: if it is malformed.
    """
    try:
        revision = int(json.loads(body))
    except ValueError as error:
        raise ConfigurationError([]) from error
    return stated_preset(revision)
