"""Notices when a target that was down accepts connections again.

:units: seconds.
"""

from __future__ import annotations

import asyncio
import logging

from lavendermountd.gate.gate import Gate
from lavendermountd.gate.target import TargetState
from lavendermountd.gate.target_client import TargetError

log = logging.getLogger(__name__)

DOWN_CHECK_S = 0.2
UP_CHECK_S = 1.0


class TargetWatch:
    """Connects to a target that is down, over loopback, until it is up.

    :param gate: whose target is watched.
    """

    def __init__(self, gate: Gate) -> None:
        """Keep the gate."""
        self.gate = gate

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            is_down = self.gate.target.state == TargetState.DOWN
            if is_down:
                await self.check()
            await asyncio.sleep(DOWN_CHECK_S if is_down else UP_CHECK_S)

    async def check(self) -> None:
        """Connect once."""
        try:
            stream = await self.gate.client.connect()
        except TargetError:
            return
        self.gate.client.discard(stream)
        if self.gate.target.state == TargetState.DOWN:
            self.gate.target.mark_started()
            log.info('target-up', extra={'service': self.gate.target.service})
            self.gate.on_load_change()
