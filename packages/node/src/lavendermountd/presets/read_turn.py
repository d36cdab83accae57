"""Whose turn it is to read a large answer of the log over the link of a region.

All readers of a region notice a change at the same moment. One of them reads it, and
the others abandon their reads: they fetch it from that node, compressed. If none tells
them in time, they read it themselves.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

from lavendermountd.presets.reader_selection import first_reader

if TYPE_CHECKING:
    from lavendermount_core.models.members import Member
    from lavendermountd.node import Node

# Time in which the node whose turn it is reads, prepares and announces a version. Each
# of the others waits for a time of its own, so that one of them is the next.
MIN_TURN_S: Final = 0.8
MAX_TURN_S: Final = 1.6
# In a storm of versions the next one is large, too, and is left again.
TOLD_PAUSE_S: Final = 0.3
# Time in which the node whose turn it is must answer, and nodes that are asked at most.
CONFIRM_TIMEOUT_S: Final = 0.3
MAX_CONFIRMATIONS: Final = 3


class ReadTurn:
    """Lets this node wait while another node of its region reads a large answer."""

    __slots__ = ('is_own', 'is_taken', 'gives_up_at', 'is_told')

    def __init__(self) -> None:
        """Let this node read everything itself."""
        # Whether this node reads first; replaced where readers are chosen.
        self.is_own: Callable[[], bool] = _always
        # Whether a node that reads first answers this one.
        self.is_taken: Callable[[], Awaitable[bool]] = _is_taken
        # From when on this node reads although it is not its turn; 0 unless it waits.
        self.gives_up_at: float = 0
        self.is_told = asyncio.Event()

    @property
    def is_waiting(self) -> bool:
        """Return whether another node is expected to tell the news."""
        return self.gives_up_at > time.monotonic()

    def try_leave_to_others(self, extra_s: float = 0) -> bool:
        """Leave a large answer to the node whose turn it is.

        :param extra_s: how much longer than a log reader this node waits.
        :returns: whether to abandon the read.
        """
        if self.gives_up_at or self.is_own():
            return False
        turn_s = random.uniform(MIN_TURN_S, MAX_TURN_S)
        self.gives_up_at = time.monotonic() + turn_s + extra_s
        self.is_told.clear()
        return True

    def end(self) -> None:
        """Stop waiting: another node has told what it has read."""
        self.gives_up_at = 0
        self.is_told.set()

    async def is_told_in_time(self) -> bool:
        """Wait until another node has told the news.

        :returns: whether it has; if not, this node reads at once.
        """
        if not await self.is_taken():
            self.gives_up_at = time.monotonic()
            return False
        try:
            async with asyncio.timeout(self.gives_up_at - time.monotonic()):
                await self.is_told.wait()
        except TimeoutError:
            return False
        await asyncio.sleep(TOLD_PAUSE_S)
        return True


def _always() -> bool:
    """Read at once; replaced when the node's components are connected."""
    return True


async def _is_taken() -> bool:
    """Rely on the others; replaced when the node's components are connected."""
    return True


class FirstReader:
    """Finds the node of the region that reads a large version first.

    :param node: this node.
    """

    __slots__ = ('node',)

    def __init__(self, node: Node) -> None:
        """Store the node."""
        self.node = node

    def find(self) -> Member:
        """Return the first log reader that is not known to be unreachable."""
        node = self.node
        return first_reader(
            node.table,
            node.settings.presets.readers_per_zone,
            node.follower.reachability.check_pace.is_unreachable,
        )

    def is_own(self) -> bool:
        """Return whether this node is the first."""
        return self.find().node_id == self.node.table.own.node_id

    async def is_taken(self) -> bool:
        """Return whether another node is the first, and answers.

        One that does not answer is passed over: it may have died just now.
        """
        for _ in range(MAX_CONFIRMATIONS):
            first = self.find()
            if first.node_id == self.node.table.own.node_id:
                return False
            if await self.node.gossip.exchange_with(first, CONFIRM_TIMEOUT_S):
                return True
        return False
