"""Detects that a reused connection to the target no longer delivers replies.

:units: seconds on the node's monotonic clock.

Silence alone does not show that a connection is broken: the target may just be
slow, and would become slower if it got the same request twice. A silent
connection is therefore closed only when an exchange that started later on
another connection has been answered, or when the silent exchange is the only
one, so that a second attempt does no harm.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavendermount_core.utils.deadlines import AfterReads
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.http1.client import HttpConnection

if TYPE_CHECKING:
    from lavendermountd.gate.target_client import TargetClient

SERVICE_TIME_FACTOR = 10


class SilenceDetector:
    """Closes a connection that is presumably broken.

    :param client: client that counts the exchanges on all connections.
    :param connection: reused connection on which the next exchange starts.
    """

    __slots__ = ('client', 'connection', 'exchange_number', 'interval_s', 'timer')

    def __init__(self, client: TargetClient, connection: HttpConnection) -> None:
        """Schedule the first check.

        The interval grows with the target's service time, so that a slow target
        gets more time.
        """
        self.client = client
        self.connection = connection
        self.exchange_number = client.exchange_count + 1
        scaled_service_time_s = (
            SERVICE_TIME_FACTOR * client.target.service_ms / MS_PER_S
        )
        self.interval_s = max(client.silence_timeout_s, scaled_service_time_s)
        self.timer: asyncio.TimerHandle | AfterReads = self.schedule_check()

    def schedule_check(self) -> asyncio.TimerHandle:
        """Schedule the next check."""
        loop = asyncio.get_running_loop()
        return loop.call_later(self.interval_s, self.check)

    def check(self) -> None:
        """Check the connection once the replies that have arrived are processed."""
        self.timer = AfterReads(self.close_if_broken)

    def close_if_broken(self) -> None:
        """Close the connection if it is presumably broken, or check again later."""
        has_later_reply = self.client.last_replied_exchange > self.exchange_number
        if has_later_reply or self.client.active_exchanges == 1:
            self.connection.close()
            return
        self.timer = self.schedule_check()

    def stop(self) -> None:
        """Cancel the next check."""
        self.timer.cancel()
