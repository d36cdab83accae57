"""Fakes of what surrounds a component that a state machine tests."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

from builders import preset_snapshot
from returns.result import Success

from lavendermount_core.exceptions import (
    ConfigurationError,
    LogEvictedError,
    LogUnavailableError,
)
from lavendermount_core.log.adapter import (
    FIRST_ERA,
    KeyedRecord,
    LogAdapter,
    LogBatch,
    LogRecord,
    NewestRecords,
    era_of,
    join_position,
    offset_of,
)
from lavendermount_core.log.transfer import Transfer
from lavendermount_core.models.calls import CallReply, CallRequest, Reason
from lavendermount_core.presets.checked import CheckedPreset, check_steps
from lavendermount_core.utils.steps import Steps
from lavendermountd.claims.claims import ClaimService, ClaimState
from lavendermountd.claims.holders import FORGOTTEN, HolderResponse
from lavendermountd.claims.records import Claim
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate.attempts import Attempt, AttemptResult, Progress
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.target_client import TargetAnswer, TargetError

MISDIRECTED_REPLY = CallReply(421, 'Misdirected Request', [], b'')


class Execution:
    """One attempt that the target runs.

    :param attempt_id: identifier of the attempt.
    :param start: instance name and start time of the target's process.
    """

    __slots__ = ('attempt_id', 'start', 'answer')

    def __init__(self, attempt_id: str, start: tuple[str, int]) -> None:
        """Start to run; the reply is set later."""
        self.attempt_id = attempt_id
        self.start = start
        self.answer: asyncio.Future[TargetAnswer] = asyncio.Future()


class FakeTarget:
    """The target of the gate, controlled by the state machine."""

    def __init__(self) -> None:
        """Start listening; nothing has run yet."""
        self.start = ('i-1', 1)
        self.is_listening = True
        self.drops_next_connection = False
        self.execution_counts: Counter[str] = Counter()
        self.running: list[Execution] = []
        self.departed_starts: set[tuple[str, int]] = set()
        self.started_after_departure: list[str] = []
        self.sent_after_deadline: list[str] = []


class FakeDialect:
    """Reads the name of the target's instance from a reply, and nothing else."""

    def read_reply(self, status: int, headers: list[tuple[str, str]]) -> ReplyMetadata:
        """Read the instance header."""
        return ReplyMetadata(instance=dict(headers).get('instance', ''))


class FakeClient:
    """Replaces the gate's HTTP client.

    :param target: target that requests are sent to.
    :param gate: gate that sends them.
    """

    def __init__(self, target: FakeTarget, gate: Gate) -> None:
        """Keep the target and the gate."""
        self.target = target
        self.gate = gate
        self.dialect = FakeDialect()

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Start a request at the target and wait for its reply.

        :raises TargetError: if the target does not listen or the connection is
            lost.
        """
        if attempt.request.deadline < asyncio.get_running_loop().time():
            self.target.sent_after_deadline.append(attempt.attempt_id)
        await asyncio.sleep(0)
        if not self.target.is_listening:
            raise TargetError(Reason.TARGET_DOWN, 'connection refused')
        attempt.progress = Progress.WRITTEN
        attempt.target_start_number = self.gate.target.start_number
        if self.target.drops_next_connection:
            self.target.drops_next_connection = False
            raise TargetError(Reason.CONNECTION_LOST, 'the idle connection was closed')
        start = self.target.start
        if self.gate.target.instance != start[0]:
            return TargetAnswer(MISDIRECTED_REPLY, ReplyMetadata(is_other_target=True))
        execution = Execution(attempt.attempt_id, start)
        if start in self.target.departed_starts:
            self.target.started_after_departure.append(attempt.attempt_id)
        self.target.execution_counts[attempt.attempt_id] += 1
        self.target.running.append(execution)
        return await execution.answer

    async def connect(self) -> Any:
        """Connect, to find out whether the target listens.

        :raises TargetError: if it does not.
        """
        if not self.target.is_listening:
            raise TargetError(Reason.TARGET_DOWN, 'connection refused')
        return FakeConnection()

    def put_back(self, connection: Any) -> None:
        """Do nothing; connections are not pooled."""

    def close_idle(self) -> None:
        """Do nothing; no idle connection is kept."""


class FakeConnection:
    """A connection that stays open."""

    def __init__(self) -> None:
        """Open the connection."""
        self.reader: asyncio.Future[None] = asyncio.Future()


class SentAttempt:
    """One attempt as its sender sees it.

    :param attempt_id: identifier of the attempt.
    :param request: request that is sent.
    :param incarnation: incarnation of the gate that it was sent to.
    :param sent_at: when it was sent, in seconds of simulated time.
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
        """Start undelivered and without an outcome."""
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
    """A keyed log of one key that can be unavailable and evict records."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.oldest = 0
        self.era = FIRST_ERA
        self.is_unavailable = False

    async def newest(
        self, stream: str, transfer: Transfer | None = None
    ) -> NewestRecords:
        """Read the newest record."""
        self.check_available()
        bodies = {'config': self.records[-1]} if self.records else {}
        return NewestRecords(len(self.records), bodies)

    async def end(self, stream: str) -> int:
        """Return the offset behind the newest record."""
        self.check_available()
        return len(self.records)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        transfer: Transfer | None = None,
    ) -> LogBatch:
        """Read the records from an offset on.

        :raises LogEvictedError: if records from there on were evicted.
        """
        self.check_available()
        if offset < self.oldest:
            raise LogEvictedError(stream, self.oldest)
        rows = [
            LogRecord(offset + index, body)
            for index, body in enumerate(self.records[offset:])
        ]
        end = len(self.records)
        return LogBatch(self.oldest, end, end, rows)

    def check_available(self) -> None:
        """Raise an error while the log is unavailable."""
        if self.is_unavailable:
            raise LogUnavailableError('the fake log is unavailable')

    def split_key(self, body: bytes) -> KeyedRecord:
        """Split a record; every record has the same key."""
        return KeyedRecord('config', body)


class FakeClaimLog(LogAdapter):
    """One node's client of a log of claims that can lose its latest records.

    :param stored: the log that all nodes share.
    """

    def __init__(self, stored: StoredLog) -> None:
        """Connect to the log."""
        super().__init__()
        self.stored = stored
        # Seconds until the log answers this node.
        self.delay_s = 0.0

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record; the answer may come late or never."""
        await asyncio.sleep(0)
        self.check_available()
        self.stored.records.append(body)
        position = join_position(self.stored.era, len(self.stored.records) - 1)
        await asyncio.sleep(self.delay_s)
        self.check_available()
        self.check_era(str(era_of(position)))
        return position

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        transfer: Transfer | None = None,
    ) -> LogBatch:
        """Read all records from an offset on, after the delay.

        :raises LogEvictedError: if records from there on were evicted.
        """
        await asyncio.sleep(self.delay_s)
        self.check_available()
        stored = self.stored
        self.check_era(str(stored.era))
        start = offset_of(offset)
        oldest = join_position(stored.era, stored.oldest)
        if start < stored.oldest or start > len(stored.records):
            raise LogEvictedError(stream, oldest)
        self.check_position(stream, offset, oldest)
        rows = [
            LogRecord(join_position(stored.era, index), body)
            for index, body in enumerate(stored.records)
            if index >= start
        ]
        end = join_position(stored.era, len(stored.records))
        return LogBatch(oldest, end, end, rows)

    def check_available(self) -> None:
        """Raise an error while the log is unavailable."""
        if self.stored.is_unavailable:
            raise LogUnavailableError('the fake log is unavailable')


class StoredLog:
    """Records of the log of claims."""

    def __init__(self) -> None:
        """Start empty, in era 0."""
        self.records: list[bytes] = []
        self.oldest = 0
        self.era = 0
        self.is_unavailable = False

    def lose_latest(self, count: int) -> None:
        """Come back from a copy that lacks the latest records."""
        self.records = self.records[: max(self.oldest, len(self.records) - count)]
        self.era += 1


class FakeHolders:
    """Queries the claims of other nodes without a network.

    :param services: claim services of the running nodes by incarnation.
    """

    def __init__(self, services: dict[int, ClaimService]) -> None:
        """Keep the services."""
        self.services = services

    async def query(self, claim: Claim, deadline: float) -> HolderResponse:
        """Return the state of a claim, as the control server does."""
        await asyncio.sleep(0)
        service = self.services.get(claim.incarnation)
        if service is None:
            return HolderResponse(FORGOTTEN, None)
        local = service.find(claim.claim_id)
        if local is None:
            is_released = service.is_released(claim.claim_id)
            state = str(ClaimState.RELEASED) if is_released else FORGOTTEN
            return HolderResponse(state, None)
        if local.state == ClaimState.RUNNING:
            await asyncio.shield(local.outcome_future)
        if local.state != ClaimState.COMPLETE:
            return HolderResponse(str(local.state), None)
        return HolderResponse('whole', local.outcome_future.result().unwrap())


class FakeRouter:
    """Runs requests; each run ends when the state machine says how."""

    def __init__(self) -> None:
        """Start without runs."""
        self.run_counts: Counter[str] = Counter()
        self.pending: list[tuple[str, asyncio.Future[Any]]] = []

    async def route(self, request: CallRequest, preset: Any) -> Any:
        """Wait until the state machine ends the run."""
        outcome: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.pending.append((request.headers[0][1], outcome))
        return await outcome


def decode_fake_record(body: bytes) -> Steps[CheckedPreset]:
    """Decode a record that the state machine wrote.

    :raises ConfigurationError: if it is malformed.
    """
    try:
        revision = int(json.loads(body))
    except ValueError as error:
        raise ConfigurationError([]) from error
    return (yield from check_steps(preset_snapshot(revision)))
