"""Verification of the digest chain over the recorded decision batches.

A log that comes back from an older copy has lost the latest batches of a process.
The next batch then names a later era; the gap is reported as a loss, not as a
difference.

:shapes: each finding names the location of the batch that breaks the chain.
"""

from __future__ import annotations

from lavendermount_core.config.findings import Finding
from lavendermount_core.replay.records import DecisionBatch


class ChainCheck:
    """Verifies the chain of batches of every process."""

    __slots__ = ('latest_batches', 'losses')

    def __init__(self) -> None:
        """Start without any batch."""
        self.latest_batches: dict[tuple[str, int], DecisionBatch] = {}
        self.losses: list[Finding] = []

    def is_repeated(self, batch: DecisionBatch) -> bool:
        """Return whether the batch is a duplicate of the previous one.

        An append whose acknowledgement was lost is sent again unchanged, but for the
        era if it has risen meanwhile. The next batch then refers to the later copy.
        """
        process = (batch.node_id, batch.incarnation)
        last = self.latest_batches.get(process)
        if last is None or batch.row_without_era() != last.row_without_era():
            return False
        self.latest_batches[process] = batch
        return True

    def check(self, batch: DecisionBatch, location: str) -> list[Finding]:
        """Verify a batch against the previous one of the same process.

        :param batch: the next batch of its process on the log.
        :param location: location of the batch.
        :returns: one finding if the batch does not follow the previous one; none
            for the first known batch of a process, or if the log lost the batches
            between them.
        """
        process = (batch.node_id, batch.incarnation)
        last = self.latest_batches.get(process)
        self.latest_batches[process] = batch
        if last is None:
            return []
        if batch.sequence > last.sequence + 1 and batch.era > last.era:
            lost = f'{last.sequence + 1} to {batch.sequence - 1}'
            message = f'{batch.node_id}: the log lost batches {lost} before era'
            self.losses.append(Finding(location, f'{message} {batch.era}'))
            return []
        if batch.sequence != last.sequence + 1:
            missing = last.sequence + 1
            message = f'{batch.node_id}: batch {missing} is missing or out of order'
            return [Finding(location, message)]
        if batch.previous != last.digest():
            message = f'{batch.node_id}: batch {last.sequence} was modified'
            return [Finding(location, message)]
        return []
