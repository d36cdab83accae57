"""Reader of the decision stream.

:shapes: the batches of one process form a hash chain; a missing or changed
    batch becomes a finding.
"""

from __future__ import annotations

from lavendermount_core.config.findings import Finding
from lavendermount_core.exceptions import RecordError
from lavendermount_core.log.adapter import LogAdapter
from lavendermount_core.log.reading import read_to_end
from lavendermount_core.replay.chain import ChainCheck
from lavendermount_core.replay.records import (
    DECISION_STREAM,
    DecisionRecord,
    decode_batch,
)


class StoredDecisions:
    """Decisions read from the log.

    :param decisions: decisions in log order.
    :param findings: batches that are missing, changed or malformed.
    :param dropped: number of decisions that nodes dropped before storing them.
    """

    __slots__ = ('decisions', 'findings', 'dropped', 'chain')

    def __init__(self) -> None:
        """Start empty."""
        self.decisions: list[DecisionRecord] = []
        self.findings: list[Finding] = []
        self.dropped = 0
        self.chain = ChainCheck()

    def add_batch(self, offset: int, body: bytes) -> None:
        """Decode one record of the stream and add its decisions."""
        location = f'{DECISION_STREAM}[{offset}]'
        try:
            batch = decode_batch(body)
            decisions = batch.decisions()
        except RecordError as error:
            self.findings.append(Finding(location, str(error)))
            return
        if self.chain.is_repeated(batch):
            return
        self.findings.extend(self.chain.check(batch, location))
        self.decisions.extend(decisions)
        self.dropped += batch.dropped


async def read_decisions(platform_log: LogAdapter) -> StoredDecisions:
    """Read the whole decision stream.

    :param platform_log: log that holds the stream.
    :returns: the decisions, and findings about the stream.
    """
    stored = StoredDecisions()
    async for batch in read_to_end(platform_log, DECISION_STREAM):
        for record in batch.records:
            stored.add_batch(record.offset, record.body)
    return stored
