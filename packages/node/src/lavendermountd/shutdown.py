"""Graceful shutdown of a node.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from lavendermount_core.models.members import MemberStatus
from lavendermount_core.utils.deadlines import process_arrived
from lavendermountd.caller.server import DRAIN_IDLE_S
from lavendermountd.phases import Phase
from lavendermountd.stop_schedule import StopSchedule

if TYPE_CHECKING:
    from lavendermountd.node import Node

log = logging.getLogger(__name__)

STOP_POLL_S = 0.02
FINAL_FLUSH_TIMEOUT_S = 0.3
CLOSE_TIMEOUT_S = 0.1
# Time before the end of the drain by which replies must be written.
REPLY_MARGIN_S = 0.1
# Maximum idle time required to close a connection, as a ratio of the time left for
# the shutdown.
IDLE_WAIT_RATIO = 0.25


class GracefulShutdown:
    """Takes a node out of service without interrupting requests.

    :param node: the node to stop.
    :param listen_s: time for which it still accepts connections; ``None`` for that
        of its settings.
    """

    __slots__ = ('node', 'listen_s')

    def __init__(self, node: Node, listen_s: float | None = None) -> None:
        """Store the node and the time."""
        self.node = node
        if listen_s is None:
            listen_s = node.settings.listen_s or node.period_s
        self.listen_s = listen_s

    async def run(self) -> None:
        """Stop the node without interrupting requests in progress.

        For ``listen_s`` the node reports that it is not ready but still accepts
        connections, so that callers can move to other nodes. One gossip period
        before that ends, the node announces its departure and closes the gate;
        the gate stays open until then, so that the target's slots are unavailable
        for as short a time as possible. Requests in progress have until
        ``drain_s`` after the start of the shutdown to finish.
        """
        log.info('node-stopping')
        self.node.phase = Phase.STOPPING
        started_at = time.monotonic()
        ends_at = started_at + self.node.settings.drain_s - REPLY_MARGIN_S
        self.node.service.begin_stop(StopSchedule(started_at + self.listen_s, ends_at))
        await self.wait_until(started_at + self.listen_s - self.node.period_s)
        await self.announce_leaving()
        await self.wait_until(started_at + self.listen_s)
        flushing = asyncio.create_task(self.node.recorder.flush())
        await self.finish_work(started_at + self.node.settings.drain_s)
        await asyncio.gather(
            self.flush(), self.node.peer_server.close_after_replies(CLOSE_TIMEOUT_S)
        )
        flushing.cancel()
        log.info('node-stopped', extra={'work_left': self.has_work()})

    async def announce_leaving(self) -> None:
        """Tell other nodes that this one is leaving, then close the gate."""
        node = self.node
        node.table.change_own(node.gate.target.service, MemberStatus.LEAVING)
        await node.gossip_nearby()
        self.close_gate()

    async def finish_work(self, deadline: float) -> None:
        """Accept no new connections, and wait for requests in progress.

        A connection is closed only after it was idle for a while, so that the
        close does not cross a request that the caller is sending. Shortly before the
        deadline, requests that still have no outcome are answered without it.

        :param deadline: time by which all replies must have been written.
        """
        server = self.node.caller_server
        server.stop_listening()
        idle_s = min(DRAIN_IDLE_S, (deadline - time.monotonic()) * IDLE_WAIT_RATIO)
        while self.has_work_before(deadline - REPLY_MARGIN_S):
            await asyncio.sleep(STOP_POLL_S)
            server.close_idle(idle_s)
            self.node.router.abandon_late()
        # The event loop may have been busy until after the deadline.
        await self.end_work(max(deadline, time.monotonic() + REPLY_MARGIN_S))

    async def end_work(self, deadline: float) -> None:
        """Answer the requests that have no outcome.

        Replies of targets that arrived while the event loop was busy come first.

        :param deadline: time by which the answers must have been written.
        """
        await process_arrived()
        self.node.peer_server.cancel_attempts()
        self.node.caller_server.end_requests()
        while self.has_work_before(deadline):
            await asyncio.sleep(STOP_POLL_S)
            self.node.caller_server.end_requests()

    def close_gate(self) -> None:
        """Admit no new requests to the target; queued ones go to other targets."""
        self.node.gate.queue.is_closed = True
        self.node.gate.queue.refuse_waiting()
        self.node.broadcast_load()

    async def wait_until(self, deadline: float) -> None:
        """Sleep until a time on the node's monotonic clock."""
        await asyncio.sleep(max(0, deadline - time.monotonic()))

    def has_work_before(self, deadline: float) -> bool:
        """Return whether there is work, and time left for it."""
        return self.has_work() and time.monotonic() < deadline

    def has_work(self) -> bool:
        """Return whether requests are in progress or callers are connected."""
        admission = self.node.gate.admission
        is_serving_peers = any(
            session.tasks for session in self.node.peer_server.sessions
        )
        is_serving_callers = bool(self.node.service.active_tasks)
        if (
            is_serving_callers
            or is_serving_peers
            or self.node.caller_server.connections
        ):
            return True
        return bool(admission.in_flight + admission.queued)

    async def flush(self) -> None:
        """Append the last decisions if the log answers promptly.

        The wait is short, because ``drain_s`` may be used up by now.
        """
        try:
            async with asyncio.timeout(FINAL_FLUSH_TIMEOUT_S):
                await self.node.recorder.flush()
        except TimeoutError:
            log.warning(
                'decisions-lost', extra={'count': len(self.node.recorder.buffer)}
            )
