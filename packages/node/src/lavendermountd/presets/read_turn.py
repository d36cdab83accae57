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
from collections.abc import Callable
from typing import Final

# Time in which the node whose turn it is reads, prepares and announces a version. Each
# of the others waits for a time of its own, so that one of them is the next.
MIN_TURN_S: Final = 0.8
MAX_TURN_S: Final = 1.6


class ReadTurn:
    """Lets this node wait while another node of its region reads a large answer."""

    __slots__ = ('is_own', 'gives_up_at', 'is_told')

    def __init__(self) -> None:
        """Let this node read everything itself."""
        # Whether this node reads first; replaced where readers are chosen.
        self.is_own: Callable[[], bool] = _always
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

    async def wait(self) -> None:
        """Wait until another node has told the news, or has not in time."""
        try:
            async with asyncio.timeout(self.gives_up_at - time.monotonic()):
                await self.is_told.wait()
        except TimeoutError:
            return


def _always() -> bool:
    """Read at once; replaced when the node's components are connected."""
    return True
