"""Buffers routing decisions in memory and appends them to the log in batches.

:units: milliseconds since the epoch in records; seconds for intervals.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import LogAdapter
from lavendermount_core.models.records import pack
from lavendermount_core.replay.records import (
    DECISION_STREAM,
    NO_PREVIOUS_DIGEST,
    DecisionBatch,
    DecisionRecord,
    compress_rows,
)
from lavendermountd.identity import Identity

log = logging.getLogger(__name__)

MAX_BATCH_DECISIONS = 2000
# Room in a record for the fields of a batch besides its rows.
BATCH_HEAD_BYTES = 1024


class Recorder:
    """Bounded buffer of decisions that are yet to be appended to the log.

    :param identity: identity of the node that makes the decisions.
    :param platform_log: log that the batches are appended to.
    :param max_buffered: maximum number of decisions kept while the log is down.
    :param max_record_bytes: largest record that the log accepts.
    """

    def __init__(
        self,
        identity: Identity,
        platform_log: LogAdapter,
        max_buffered: int,
        max_record_bytes: int,
    ) -> None:
        """Start with an empty buffer."""
        self.identity = identity
        self.platform_log = platform_log
        self.buffer: deque[bytes] = deque()
        self.max_buffered = max_buffered
        self.max_rows_bytes = max_record_bytes - BATCH_HEAD_BYTES
        self.sequence = 0
        self.previous_digest = NO_PREVIOUS_DIGEST
        self.recorded = 0
        # Decisions that were taken from the buffer into batches.
        self.taken = 0
        self.dropped = 0
        self.reported_dropped = 0
        self.pending_batch: DecisionBatch | None = None
        self.lock = asyncio.Lock()

    def add(self, decision: DecisionRecord) -> None:
        """Buffer a decision; drop the oldest one if the buffer is full."""
        self.recorded += 1
        self.buffer.append(pack(decision.to_row()))
        if len(self.buffer) > self.max_buffered:
            self.buffer.popleft()
            self.dropped += 1

    async def run(self, period_s: float) -> None:
        """Flush the buffer after each period until cancelled."""
        while True:
            await asyncio.sleep(period_s)
            await self.flush()

    async def flush(self) -> bool:
        """Append the decisions that are buffered now to the log.

        Those that are added meanwhile wait for the next flush. Under load there is
        always one, and each would cost an append of its own.

        :returns: whether the log accepted them; ``False`` while it is down.
        """
        async with self.lock:
            if self.pending_batch is not None and not await self.append_pending():
                return False
            last_number = self.taken + len(self.buffer)
            while self.buffer and self.taken < last_number:
                self.pending_batch = await self.take_batch()
                if not await self.append_pending():
                    return False
            return True

    async def append_pending(self) -> bool:
        """Append the batch that is due.

        :returns: whether the log accepted it.
        """
        assert self.pending_batch is not None
        if not await self.try_append(self.pending_batch):
            return False
        self.pending_batch = None
        return True

    async def try_append(self, batch: DecisionBatch) -> bool:
        """Append a batch to the log, marked with the current era of the log.

        :returns: whether the log accepted it.
        """
        batch.era = max(0, self.platform_log.era)
        try:
            await self.platform_log.append(DECISION_STREAM, pack(batch.to_row()))
        except LogUnavailableError as error:
            log.warning('decisions-unsent', extra={'cause': str(error)})
            return False
        self.previous_digest = batch.digest()
        return True

    async def take_batch(self) -> DecisionBatch:
        """Remove the next batch from the buffer.

        ``flush`` sends the batch again until the log accepts it. If the reply
        to an append is lost, the batch is on the log twice; readers skip the
        duplicate, which has the sequence number of the batch before it.

        A batch that would exceed the largest record is halved: the log would refuse
        it each time, and all later ones would wait behind it.

        Compression runs in a thread, because it would block the event loop
        and delay requests.
        """
        size = min(len(self.buffer), MAX_BATCH_DECISIONS)
        packed = [self.buffer.popleft() for _ in range(size)]
        rows = await asyncio.to_thread(compress_rows, packed)
        while len(rows) > self.max_rows_bytes and len(packed) > 1:
            middle = len(packed) // 2
            self.buffer.extendleft(reversed(packed[middle:]))
            packed = packed[:middle]
            rows = await asyncio.to_thread(compress_rows, packed)
        self.taken += len(packed)
        batch = DecisionBatch(
            self.identity.node_id,
            self.identity.incarnation,
            self.sequence,
            self.previous_digest,
            self.dropped - self.reported_dropped,
            rows,
        )
        self.reported_dropped = self.dropped
        self.sequence += 1
        return batch
