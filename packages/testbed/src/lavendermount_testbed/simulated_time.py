"""An event loop whose time is simulated: waiting takes no time at all.

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

# Times of zero mean "never" in places, so the clock does not start there.
START_S = 1000.0
Returned = TypeVar('Returned')


class SimulatedTime:
    """Runs coroutines on simulated time, and code that reads the steady clock."""

    def __init__(self) -> None:
        """Make a loop of its own; nothing runs yet."""
        self.clock = VirtualClock()
        self.clock.vtime = START_S
        self.loop = asyncio.new_event_loop()
        self.patches = ExitStack()

    def __enter__(self) -> Self:
        """Put the simulated clock in the place of the steady one."""
        self.patches.enter_context(patch('time.monotonic', self.clock.virtual_time))
        self.run(self.patch_loop())
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End what still runs and bring the steady clock back."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(_gather(tasks))
        self.patches.close()
        self.loop.close()

    async def patch_loop(self) -> None:
        """Let the loop take its time from the simulated clock."""
        self.patches.enter_context(self.clock.patch_loop())

    @property
    def now(self) -> float:
        """The present on the simulated clock."""
        return self.clock.vtime

    def run(self, coroutine: Coroutine[Any, Any, Returned]) -> Returned:
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    def advance(self, seconds: float) -> None:
        """Let what was started go on for a while."""
        self.run(asyncio.sleep(seconds))

    def jump(self, seconds: float) -> None:
        """Let time pass during which nothing runs, as when frozen."""
        self.clock.vtime += seconds


async def _gather(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
