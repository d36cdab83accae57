"""Steps for the batches in which decisions are recorded."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import Any

from behave import given, then, when
from builders import NODE_SETTINGS

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.replay.records import DecisionRecord, decode_batch
from lavendermountd.identity import Identity
from lavendermountd.recorder.recorder import Recorder

MAX_BUFFERED = 20_000
MAX_RECORD_BYTES = 262_144
MAX_ADDED = 3


class StrictLog:
    """A log that refuses records that are too large."""

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self.era = 0
        self.max_bytes = max_bytes
        self.records: list[bytes] = []

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record, or refuse it."""
        if len(body) > self.max_bytes:
            raise LogUnavailableError('the record is too large')
        self.records.append(body)
        return len(self.records) - 1


def decision(number: int) -> DecisionRecord:
    """Build a decision whose candidates have random names."""
    rows = [[secrets.token_hex(40), 0, 0] for _ in range(3)]
    return DecisionRecord(
        f'r{number}',
        1,
        'first',
        1,
        5,
        's',
        'c',
        't',
        'random',
        [],
        number,
        1,
        False,
        rows,
        '',
        [],
        'whole:200',
        1,
    )


@given('a log that refuses records of more than {max_bytes:d} bytes')
def strict_log(context: Any, max_bytes: int) -> None:
    """Build the log and a recorder that knows its limit."""
    context.strict_log = StrictLog(max_bytes)
    identity = Identity(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    context.recorder = Recorder(identity, context.strict_log, MAX_BUFFERED, max_bytes)


@when('{count:d} decisions that hardly compress are recorded and flushed')
def record_and_flush(context: Any, count: int) -> None:
    """Record the decisions; one flush must append all of them."""
    for number in range(count):
        context.recorder.add(decision(number))
    context.recorded_count = count
    context.is_flushed = asyncio.run(context.recorder.flush())


@then('all of them are on the log, in a chain without a gap')
def chain_is_whole(context: Any) -> None:
    """Check the order of the decisions and the digests of the batches."""
    assert context.is_flushed
    batches = [decode_batch(body) for body in context.strict_log.records]
    names = [row.request_id for batch in batches for row in batch.decisions()]
    assert names == [f'r{number}' for number in range(context.recorded_count)]
    assert [batch.sequence for batch in batches] == list(range(len(batches)))
    for previous, batch in itertools.pairwise(batches):
        assert batch.previous == previous.digest()


class BusyLog(StrictLog):
    """A log whose node records another decision while it appends a batch."""

    recorder: Recorder

    def __init__(self, context: Any) -> None:
        """Accept records of any size."""
        super().__init__(MAX_RECORD_BYTES)
        self.context = context
        self.added = 0

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record, and record one more decision."""
        if self.added < MAX_ADDED:
            self.recorder.add(decision(self.context.recorded_count + self.added))
            self.added += 1
        return await super().append(stream, body)


@given('a log that records a decision during each append')
def busy_log(context: Any) -> None:
    """Build the log and its recorder."""
    context.strict_log = BusyLog(context)
    identity = Identity(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    context.recorder = Recorder(
        identity, context.strict_log, MAX_BUFFERED, MAX_RECORD_BYTES
    )
    context.strict_log.recorder = context.recorder


@when('{count:d} decisions are recorded and flushed')
def record_some(context: Any, count: int) -> None:
    """Record the decisions and flush once."""
    record_and_flush(context, count)


@then('the log got one append')
def one_append(context: Any) -> None:
    """Count the records."""
    assert len(context.strict_log.records) == 1, len(context.strict_log.records)


@when('the decisions that were added meanwhile are flushed')
def flush_rest(context: Any) -> None:
    """Flush until nothing is left."""
    while context.recorder.buffer:
        context.is_flushed = asyncio.run(context.recorder.flush())
    context.recorded_count += context.strict_log.added
