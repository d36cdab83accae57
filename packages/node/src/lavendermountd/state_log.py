"""Logs the state of the node at regular intervals.

A node without work logs nothing else, and its silence could have any cause.

:units: seconds.
:errors: none are raised.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Final

from lavendermount_core.models.members import MemberStatus

if TYPE_CHECKING:
    from lavendermountd.node import Node

log = logging.getLogger(__name__)

INTERVAL_S: Final = 10.0


async def log_state(node: Node) -> None:
    """Log the state until cancelled.

    The time of day is logged beside the steady clock: the difference between two lines
    shows a clock that was set.
    """
    while True:
        await asyncio.sleep(INTERVAL_S)
        statuses = [member.status for member in node.table.members.values()]
        log.info(
            'node-state',
            extra={
                'revision': node.holder.revision,
                'told_revision': node.newest_revision(),
                'steady_s': round(time.monotonic(), 1),
                'log_answer_age_s': round(node.follower.reachability.answer_age_s(), 1),
                'alive': statuses.count(MemberStatus.ALIVE),
                'suspected': statuses.count(MemberStatus.SUSPECT),
                'dead': statuses.count(MemberStatus.DEAD),
                'connections': len(node.caller_server.connections),
                'in_flight': node.gate.admission.in_flight,
            },
        )
