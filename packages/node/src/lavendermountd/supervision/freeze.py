"""Detects that the process was frozen, or its VM suspended, and resumed.

:units: seconds on the boot-time clock, which also counts the time of a
    suspended VM; the monotonic clock does not.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from lavendermount_core.utils.units import MS_PER_S

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.25
# A tick that is later than this is logged.
STALL_THRESHOLD_S = 0.1
FREEZE_THRESHOLD_S = 2.0


def boot_clock_s() -> float:
    """Return the seconds since the VM booted, including those while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreezeGuard:
    """Detects gaps between the regular ticks of a task.

    State from before a gap may be out of date: the node must not run requests from
    connections that were open, nor trust its view of the other nodes.
    """

    __slots__ = ('last_tick', 'freezes', 'on_freeze', 'on_lag')

    def __init__(self) -> None:
        """Start at the current time."""
        self.last_tick = boot_clock_s()
        self.freezes = 0
        self.on_freeze: list[Callable[[], None]] = []
        # Called with the time by which each tick was late.
        self.on_lag: Callable[[float], None] = _ignore_lag

    def check(self) -> bool:
        """Check the clock for a gap and run the callbacks if there is one.

        The peer server and the ``Gossip`` call of the control server run this check
        before they handle a message, since the regular tick may come after the
        first bytes are read.

        :returns: whether the process was frozen since the last tick or check.
        """
        now = boot_clock_s()
        gap = now - self.last_tick
        self.last_tick = max(self.last_tick, now - TICK_INTERVAL_S)
        if gap < FREEZE_THRESHOLD_S:
            return False
        self.last_tick = now
        self.freezes += 1
        log.warning('process-was-frozen', extra={'seconds': round(gap, 2)})
        for callback in self.on_freeze:
            callback()
        return True

    async def run(self) -> None:
        """Check the clock at regular intervals until cancelled."""
        while True:
            self.check()
            self.last_tick = boot_clock_s()
            due_at = time.monotonic() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            self.observe_lag(time.monotonic() - due_at)

    def observe_lag(self, lag_s: float) -> None:
        """Report by how much a tick was late because the event loop was busy."""
        self.on_lag(lag_s)
        if lag_s >= STALL_THRESHOLD_S:
            log.info('event-loop-stalled', extra={'lag_ms': round(lag_s * MS_PER_S)})


def _ignore_lag(lag_s: float) -> None:
    """Do nothing; the node installs the real callback."""
