"""Timer of a time limit that moves with the state that it belongs to.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class TimeLimit:
    """Calls back once a limit has passed.

    The limit moves with almost every event. The timer is moved only if the limit comes
    earlier; otherwise it looks again when it fires.

    :param limit_at: returns when the limit passes; ``None`` while there is none.
    :param on_passed: is called once the limit has passed.
    """

    __slots__ = ('limit_at', 'on_passed', 'timer', 'fires_at')

    def __init__(
        self, limit_at: Callable[[], float | None], on_passed: Callable[[], None]
    ) -> None:
        """Start without a timer; ``update`` sets it."""
        self.limit_at = limit_at
        self.on_passed = on_passed
        self.timer: asyncio.TimerHandle | None = None
        self.fires_at: float = 0

    def update(self) -> None:
        """Apply a limit that may have moved."""
        limit_at = self.limit_at()
        if limit_at is None or (self.timer is not None and limit_at >= self.fires_at):
            return
        self.cancel()
        self.fires_at = limit_at
        delay_s = max(0, limit_at - time.monotonic())
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.fire)

    def fire(self) -> None:
        """Call back, unless the limit has moved."""
        self.timer = None
        limit_at = self.limit_at()
        if limit_at is not None and limit_at <= time.monotonic():
            self.on_passed()
        self.update()

    def cancel(self) -> None:
        """Remove the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
