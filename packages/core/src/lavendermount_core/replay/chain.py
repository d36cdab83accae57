"""Checking that no batch of a process is missing or changed.

:shapes: findings name the place of the batch that does not fit.
"""

from __future__ import annotations

from lavendermount_core.config.findings import Finding
from lavendermount_core.replay.records import DecisionBatch


class ChainCheck:
    """Follows the chain of batches of every process."""

    __slots__ = ('latest_batches',)

    def __init__(self) -> None:
        """Start before the first batch of each process."""
        self.latest_batches: dict[tuple[str, int], tuple[int, str]] = {}

    def is_repeated(self, batch: DecisionBatch) -> bool:
        """Whether the batch stands on the log a second time.

        An append whose answer was lost is sent again, byte for byte.
        """
        last = self.latest_batches.get((batch.node_id, batch.incarnation))
        return last is not None and last == (batch.sequence, batch.chain())

    def check(self, batch: DecisionBatch, place: str) -> list[Finding]:
        """Compare a batch with the one before it.

        :param batch: the next batch of its process on the log.
        :param place: where it stands.
        :returns: what does not fit.
        """
        process = (batch.node_id, batch.incarnation)
        last = self.latest_batches.get(process)
        self.latest_batches[process] = (batch.sequence, batch.chain())
        if last is None:
            return []
        if batch.sequence != last[0] + 1:
            message = f'{batch.node_id}: batch {last[0] + 1} is missing'
            return [Finding(place, message)]
        if batch.previous != last[1]:
            message = f'{batch.node_id}: batch {last[0]} was changed'
            return [Finding(place, message)]
        return []
