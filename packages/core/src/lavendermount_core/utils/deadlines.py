"""Time limits that act on what has arrived, not on what has been processed.

While the event loop is busy, bytes wait in the kernel. When it returns, a timer that is
due runs before the tasks that read these bytes, and would give up what was in time.

:units: seconds on the clock of the event loop, which is the node's monotonic clock.
:errors: ``TimeoutError`` from a ``Deadline`` that has passed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

# Passes of the event loop from the arrival of bytes to the task that waits for what
# they complete: the socket's event, its reader, the exchange, and who waits for that.
READ_PASSES = 4
# A timer that fires earlier than this after its time was not delayed by other work.
MIN_LATENESS_S = 0.002


class AfterReads:
    """Calls back once the tasks have processed what has arrived until now.

    :param callback: is called unless ``cancel`` is called first.
    """

    __slots__ = ('callback', 'passes_left', 'next_pass')

    def __init__(self, callback: Callable[[], None]) -> None:
        """Start with the next pass of the event loop."""
        self.callback = callback
        self.passes_left = READ_PASSES
        self.next_pass = asyncio.get_running_loop().call_soon(self.count_pass)

    def count_pass(self) -> None:
        """Count one pass of the event loop; call back after the last one."""
        self.passes_left -= 1
        if self.passes_left:
            self.next_pass = asyncio.get_running_loop().call_soon(self.count_pass)
            return
        self.callback()

    def cancel(self) -> None:
        """Don't call back."""
        self.next_pass.cancel()


async def process_arrived() -> None:
    """Let the other tasks process what has arrived until now."""
    for _ in range(READ_PASSES):
        await asyncio.sleep(0)


def is_overdue(expired_at: float) -> bool:
    """Return whether the event loop was busy as a time passed.

    :param expired_at: time of a timer that has just fired.
    """
    return asyncio.get_running_loop().time() - expired_at >= MIN_LATENESS_S


class Deadline:
    """Cancels a block like ``asyncio.timeout_at``, but not before what has arrived.

    :param expires_at: time at which the block is to end.
    """

    __slots__ = ('expires_at', 'timeout', 'pending')

    def __init__(self, expires_at: float) -> None:
        """Store the time; the block starts the timer."""
        self.expires_at = expires_at
        self.timeout = asyncio.timeout(None)
        self.pending: asyncio.TimerHandle | AfterReads | None = None

    async def __aenter__(self) -> Self:
        """Start the timer."""
        await self.timeout.__aenter__()
        self.start_timer()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer.

        :raises TimeoutError: if the block was cancelled because its time has passed.
        """
        if self.pending is not None:
            self.pending.cancel()
        await self.timeout.__aexit__(error_type, error, traceback)

    def start_timer(self) -> None:
        """Start the timer of the current time."""
        loop = asyncio.get_running_loop()
        self.pending = loop.call_at(self.expires_at, self.read_first)

    def read_first(self) -> None:
        """Let the tasks process what has arrived, then end the block."""
        self.pending = AfterReads(self.expire)

    def expire(self) -> None:
        """End the block."""
        self.pending = None
        self.timeout.reschedule(self.expires_at)

    def move(self, expires_at: float) -> None:
        """Move the deadline, unless the block is ending already.

        :param expires_at: time at which the block is to end instead.
        """
        self.expires_at = expires_at
        if self.pending is None:
            return
        self.pending.cancel()
        self.start_timer()


def deadline_in(delay_s: float) -> Deadline:
    """Return a deadline after some time from now."""
    return Deadline(asyncio.get_running_loop().time() + delay_s)
