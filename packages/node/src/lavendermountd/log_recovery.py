"""Recovery of a node when the log comes back from an older copy of itself.

The log has then lost the latest records of all nodes, and its era has risen. Each
node reads it anew and appends its own lasting records again: its member record and
its claims. What the node believes stays in force meanwhile.

:units: seconds.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavendermountd.node import Node

REWRITE_SPREAD_S = 1.5


class LogRecovery:
    """Restarts the readers and writers of the log.

    :param node: node whose components read and write the log.
    """

    __slots__ = ('node', 'tasks')

    def __init__(self, node: Node) -> None:
        """Start without a recovery."""
        self.node = node
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Read and write again what the log may have lost."""
        self.node.follower.restart()
        self.node.claims.begin_recovery()
        for task in self.tasks:
            task.cancel()
        self.tasks = {asyncio.create_task(self.rewrite())}

    async def rewrite(self) -> None:
        """Append the lasting records of this node again.

        The nodes spread their calls over ``REWRITE_SPREAD_S``.
        """
        await asyncio.sleep(random.uniform(0, REWRITE_SPREAD_S))
        await self.node.joiner.rewrite()
        await self.node.claims.rewrite()
