"""Verification of the digest chain over the recorded decision batches.

:shapes: each finding names the location of the batch that breaks the chain.
"""

from __future__ import annotations

from lavendermount_core.config.findings import Finding
from lavendermount_core.replay.records import DecisionBatch


class ChainCheck:
    """Verifies the chain of batches of every process."""

    __slots__ = ('latest_batches',)

    def __init__(self) -> None:
        """Start without any batch."""
        self.latest_batches: dict[tuple[str, int], tuple[int, str]] = {}

    def is_repeated(self, batch: DecisionBatch) -> bool:
        """Return whether the batch is a duplicate of the previous one.

        An append whose acknowledgement was lost is sent again, byte for byte.
        """
        last = self.latest_batches.get((batch.node_id, batch.incarnation))
        return last is not None and last == (batch.sequence, batch.digest())

    def check(self, batch: DecisionBatch, location: str) -> list[Finding]:
        """Verify a batch against the previous one of the same process.

        :param batch: the next batch of its process on the log.
        :param location: location of the batch.
        :returns: one finding if the batch does not follow the previous one; none
            for the first known batch of a process.
        """
        process = (batch.node_id, batch.incarnation)
        last = self.latest_batches.get(process)
        self.latest_batches[process] = (batch.sequence, batch.digest())
        if last is None:
            return []
        if batch.sequence != last[0] + 1:
            message = f'{batch.node_id}: batch {last[0] + 1} is missing or out of order'
            return [Finding(location, message)]
        if batch.previous != last[1]:
            message = f'{batch.node_id}: batch {last[0]} was modified'
            return [Finding(location, message)]
        return []
