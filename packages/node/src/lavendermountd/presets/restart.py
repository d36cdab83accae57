"""Restart of a follower whose read of the log may wait for a long time.

:errors: those of the read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class RestartRequest:
    """Abandons the read that is waiting when a restart is requested.

    What has been read is applied first: the log may have come back from a copy that
    lacks it.
    """

    __slots__ = ('requested', 'applying')

    def __init__(self) -> None:
        """Start without a request."""
        self.requested = asyncio.Event()
        # Held while what was read is applied.
        self.applying = asyncio.Lock()

    def request(self) -> None:
        """Abandon the current read."""
        self.requested.set()

    async def run(self, read: Coroutine[Any, Any, None]) -> None:
        """Run a read until it ends or a restart is requested."""
        self.requested.clear()
        reading = asyncio.ensure_future(read)
        restarting = asyncio.ensure_future(self.requested.wait())
        try:
            await asyncio.wait(
                {reading, restarting}, return_when=asyncio.FIRST_COMPLETED
            )
            async with self.applying:
                if reading.done():
                    reading.result()
        finally:
            reading.cancel()
            restarting.cancel()
