"""An event loop on simulated time: sleeping takes no real time.

:units: seconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import ExitStack
from types import TracebackType
from typing import Any, Self, TypeVar
from unittest.mock import patch

from aiotools import VirtualClock

# Some code reads a time of 0 as "never", so the clock starts above it.
START_S = 1000.0
Returned = TypeVar('Returned')


class SimulatedTime:
    """Runs coroutines on simulated time and patches ``time.monotonic`` to match."""

    def __init__(self) -> None:
        """Create a separate event loop; nothing runs yet."""
        self.clock = VirtualClock()
        self.clock.vtime = START_S
        self.loop = asyncio.new_event_loop()
        self.patches = ExitStack()

    def __enter__(self) -> Self:
        """Replace the monotonic clock by the simulated one."""
        self.patches.enter_context(patch('time.monotonic', self.clock.virtual_time))
        self.run(self.patch_loop())
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the remaining tasks and restore the monotonic clock."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(_gather(tasks))
        self.patches.close()
        self.loop.close()

    async def patch_loop(self) -> None:
        """Make the event loop use the simulated clock."""
        self.patches.enter_context(self.clock.patch_loop())

    @property
    def now(self) -> float:
        """The current time on the simulated clock."""
        return self.clock.vtime

    def run(self, coroutine: Coroutine[Any, Any, Returned]) -> Returned:
        """Run a coroutine until it completes."""
        return self.loop.run_until_complete(coroutine)

    def advance(self, seconds: float) -> None:
        """Run the pending tasks for a number of simulated seconds."""
        self.run(asyncio.sleep(seconds))

    def jump(self, seconds: float) -> None:
        """Advance the clock without running tasks, as if the process were frozen."""
        self.clock.vtime += seconds


async def _gather(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
