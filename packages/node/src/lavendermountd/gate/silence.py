"""Noticing that a reused connection to the target went silent for good.

:units: seconds on the node's monotonic clock.

A slow target must not be given the same work twice: it would only become
slower. So silence alone proves nothing. A connection is given up when another
one that was written to later has been answered, or when the silent exchange is
the only one, so that a second try does no harm.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.http1.client import HttpConnection

if TYPE_CHECKING:
    from lavendermountd.gate.target_client import TargetClient

SERVICE_TIME_FACTOR = 10


class SilenceDetector:
    """Closes a connection that seems to be silent for good.

    :param client: what it knows of other connections.
    :param connection: the reused connection that is written to next.
    """

    __slots__ = ('client', 'connection', 'exchange_number', 'interval_s', 'timer')

    def __init__(self, client: TargetClient, connection: HttpConnection) -> None:
        """Look for the first time after the patience that the target has earned."""
        self.client = client
        self.connection = connection
        self.exchange_number = client.exchange_count + 1
        learned_s = SERVICE_TIME_FACTOR * client.target.service_ms / MS_PER_S
        self.interval_s = max(client.silent_s, learned_s)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.interval_s, self.check)

    def check(self) -> None:
        """Close the connection, or look again later."""
        has_later_answer = self.client.last_answered_number > self.exchange_number
        if has_later_answer or self.client.active_exchanges == 1:
            self.connection.close()
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.interval_s, self.check)

    def stop(self) -> None:
        """Look no more."""
        self.timer.cancel()
