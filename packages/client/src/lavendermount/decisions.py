"""Reading the decision stream.

:shapes: batches of one process form a chain; gaps and changes are findings.
"""

from __future__ import annotations

from lavendermount_core.config.findings import Finding
from lavendermount_core.exceptions import LogEvictedError, RecordError
from lavendermount_core.log.adapter import LogAdapter, LogBatch
from lavendermount_core.replay.chain import ChainCheck
from lavendermount_core.replay.records import (
    DECISION_STREAM,
    DecisionRecord,
    decode_batch,
)


class StoredDecisions:
    """What the log holds of decisions.

    :param decisions: in the order of the log.
    :param findings: batches that are missing, changed or malformed.
    :param dropped: decisions that nodes lost before they could be stored.
    """

    __slots__ = ('decisions', 'findings', 'dropped', 'chain')

    def __init__(self) -> None:
        """Start empty."""
        self.decisions: list[DecisionRecord] = []
        self.findings: list[Finding] = []
        self.dropped = 0
        self.chain = ChainCheck()

    def add_batch(self, offset: int, body: bytes) -> None:
        """Take one record of the stream."""
        place = f'{DECISION_STREAM}[{offset}]'
        try:
            batch = decode_batch(body)
            decisions = batch.decisions()
        except RecordError as error:
            self.findings.append(Finding(place, str(error)))
            return
        if self.chain.is_repeated(batch):
            return
        self.findings.extend(self.chain.check(batch, place))
        self.decisions.extend(decisions)
        self.dropped += batch.dropped


async def read_decisions(platform_log: LogAdapter) -> StoredDecisions:
    """Read the whole decision stream.

    :param platform_log: where the stream is.
    :returns: what was read and what is wrong with it.
    """
    stored = StoredDecisions()
    offset = 0
    while True:
        try:
            batch = await platform_log.read(DECISION_STREAM, offset)
        except LogEvictedError as error:
            offset = error.oldest
            continue
        _add_batches(stored, batch)
        offset = batch.next_offset
        if offset >= batch.end:
            return stored


def _add_batches(stored: StoredDecisions, batch: LogBatch) -> None:
    for record in batch.records:
        stored.add_batch(record.offset, record.body)
