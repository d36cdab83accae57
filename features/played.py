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

OTHER_TARGET = CallReply(421, 'Misdirected Request', [], b'')


class Work:
    """One attempt as the target sees it."""

    __slots__ = ('attempt_id', 'start', 'answer')

    def __init__(self, attempt_id: str, start: tuple[str, int]) -> None:
        """Begin; the answer comes later."""
        self.attempt_id = attempt_id
        self.start = start
        self.answer: asyncio.Future[TargetAnswer] = asyncio.Future()


class PlayedTarget:
    """The target beside the gate, as the machine plays it."""

    def __init__(self) -> None:
        """Listen, with nothing run yet."""
        self.start = ('i-1', 1)
        self.is_listening = True
        self.loses_next = False
        self.begun: Counter[str] = Counter()
        self.running: list[Work] = []
        self.left: set[tuple[str, int]] = set()
        self.begun_after_leaving: list[str] = []


class PlayedDialect:
    """Reads the name of the target's start from a reply, and nothing else."""

    def read_reply(self, status: int, headers: list[tuple[str, str]]) -> ReplyFacts:
        """Read the only header."""
        return ReplyFacts(instance=dict(headers).get('instance', ''))


class PlayedClient:
    """Stands in for the gate's HTTP client.

    :param target: what it talks to.
    :param gate: whose client it is.
    """

    def __init__(self, target: PlayedTarget, gate: Gate) -> None:
        """Keep the parts."""
        self.target = target
        self.gate = gate
        self.dialect = PlayedDialect()

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Begin work at the target and wait for what becomes of it."""
        await asyncio.sleep(0)
        if not self.target.is_listening:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        attempt.progress = Progress.WRITTEN
        attempt.target_start = self.gate.target.start
        if self.target.loses_next:
            self.target.loses_next = False
            raise TargetError(Reason.CONNECTION_LOST, 'the connection was idle')
        start = self.target.start
        if self.gate.target.instance != start[0]:
            return TargetAnswer(OTHER_TARGET, ReplyFacts(is_other_target=True))
        work = Work(attempt.attempt_id, start)
        if start in self.target.left:
            self.target.begun_after_leaving.append(attempt.attempt_id)
        self.target.begun[attempt.attempt_id] += 1
        self.target.running.append(work)
        return await work.answer

    async def connect(self) -> Any:
        """Connect, to learn whether the target lives."""
        if not self.target.is_listening:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        return PlayedConnection()

    def put_back(self, connection: Any) -> None:
        """Keep nothing."""

    def close_idle(self) -> None:
        """Close nothing."""


class PlayedConnection:
    """A connection that stays open."""

    def __init__(self) -> None:
        """Open it."""
        self.reader: asyncio.Future[None] = asyncio.Future()


class Frame:
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
        'delivered_to',
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
        self.delivered_to = 0
        self.task: asyncio.Task[AttemptResult] | None = None
        self.outcome: AttemptResult | None = None

    @property
    def is_not_run(self) -> bool:
        """Whether the sender was told that the request has not run."""
        outcome = self.outcome
        if outcome is None or isinstance(outcome, Success):
            return False
        return outcome.failure().is_not_run


class PlayedLog:
    """A keyed log of one key, which may be away and may have evicted."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.oldest = 0
        self.is_away = False

    async def newest(self, stream: str) -> NewestRecords:
        """Read the newest record."""
        self.check()
        bodies = {'config': self.records[-1]} if self.records else {}
        return NewestRecords(len(self.records), bodies)

    async def read(self, stream: str, start: int, wait_s: float = 0) -> LogBatch:
        """Read what came since."""
        self.check()
        if start < self.oldest:
            raise LogEvictedError(stream, self.oldest)
        rows = [
            LogRecord(start + index, body)
            for index, body in enumerate(self.records[start:])
        ]
        end = len(self.records)
        return LogBatch(self.oldest, end, end, rows)

    def check(self) -> None:
        """Fail while the log is away."""
        if self.is_away:
            raise LogUnavailableError('away')

    def split_key(self, body: bytes) -> KeyedRecord:
        """Every record has the same key."""
        return KeyedRecord('config', body)


def decode_played(body: bytes) -> Any:
    """Decode a record of the machine.

    :raises ConfigurationError: if it is malformed.
    """
    try:
        revision = int(json.loads(body))
    except ValueError as error:
        raise ConfigurationError([]) from error
    return stated_preset(revision)
