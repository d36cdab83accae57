"""Polls the node's own target.

It detects when the target is up, and refreshes the load of a target that is up.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import logging
import time

from lavendermount_core.utils.deadlines import deadline_in
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gate.target import TargetState
from lavendermountd.gate.target_client import TargetError
from lavendermountd.http1.client import ExchangeError, HttpConnection
from lavendermountd.http1.messages import WireReply, encode_head

log = logging.getLogger(__name__)

DOWN_CHECK_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 1.0
REFRESH_TIMEOUT_S = 0.03
HTTP_OK = 200


class TargetMonitor:
    """Polls a target that is down until it is up.

    The target is usually reached over loopback, and polls are not charged to the
    measuring budget. If the preset sets a probe interval and a health path, the load
    of a target that is up is polled too. Health replies change the state only of a
    target that is down or unknown: if it is up, its replies to requests are better
    evidence.

    :param gate: gate of the target.
    :param needs_health: whether a successful connection is not enough evidence
        that the target is up.
    """

    __slots__ = ('gate', 'health_path', 'needs_health', 'probe_s')

    def __init__(self, gate: Gate, needs_health: bool) -> None:
        """Create a monitor without a health path.

        Until a path is set, only connections are tried.
        """
        self.gate = gate
        self.health_path = ''
        self.needs_health = needs_health
        # Age of the known load after which it is requested again; 0 for never.
        self.probe_s: float = 0

    async def run(self) -> None:
        """Poll the target until cancelled."""
        while True:
            if self.is_start_expected():
                await self.connect_and_check()
                await asyncio.sleep(DOWN_CHECK_INTERVAL_S)
            elif self.probe_s and self.health_path:
                await self.probe_if_due(self.probe_s)
                await asyncio.sleep(self.probe_s / 2)
            else:
                await asyncio.sleep(IDLE_INTERVAL_S)

    async def refresh(self) -> None:
        """Update the load of the target right before a request that depends on it."""
        if not self.probe_s or not self.health_path:
            return
        try:
            async with deadline_in(REFRESH_TIMEOUT_S):
                await self.probe_if_due(self.probe_s / 4)
        except TimeoutError:
            log.debug('load-refresh-timeout')

    async def probe_if_due(self, max_age_s: float) -> None:
        """Request the load of a target that is up if the known load is too old.

        :param max_age_s: maximum age of the known load.
        """
        target = self.gate.target
        age_s = time.monotonic() - target.slowness_at
        if target.state != TargetState.UP or age_s < max_age_s:
            return
        if self.gate.queue.is_evacuated:
            return
        connection = self.gate.client.take_idle(is_repeatable=True)
        if connection is not None:
            await self.check_health(connection)
            return
        await self.connect_and_check()

    def is_start_expected(self) -> bool:
        """Whether a target may come up at the known address."""
        target = self.gate.target
        if target.state == TargetState.DOWN:
            return True
        return target.state == TargetState.ABSENT and bool(target.port)

    async def connect_and_check(self) -> None:
        """Connect once, and request the health if a health path is set."""
        try:
            connection = await self.gate.client.connect()
        except TargetError:
            return
        if self.health_path:
            await self.check_health(connection)
            return
        self.gate.client.discard(connection)
        if self.needs_health:
            return
        if self.gate.target.state == TargetState.DOWN:
            self.gate.target.mark_started()
            self.gate.limits.apply_cold_phase()
            self.mark_up('connection')

    async def check_health(self, connection: HttpConnection) -> None:
        """Request the health of the target and apply the reply."""
        try:
            async with deadline_in(HEALTH_TIMEOUT_S):
                reply = await connection.exchange(self.health_request())
        except (ExchangeError, TimeoutError) as error:
            log.debug('health-unanswered', extra={'cause': repr(error)})
            self.gate.client.discard(connection)
            return
        except asyncio.CancelledError:
            self.gate.client.discard(connection)
            raise
        self.gate.client.put_back(connection)
        self.handle_health_reply(reply)

    def health_request(self) -> bytes:
        """Encode a health request."""
        target = self.gate.target
        headers = [('Host', f'{target.host}:{target.port}')]
        return encode_head(f'GET {self.health_path} HTTP/1.1', headers)

    def handle_health_reply(self, reply: WireReply) -> None:
        """Apply a health reply.

        A target that was down or unknown is marked as up if it is healthy and
        names an instance that has not departed. It gets that instance name.
        """
        target = self.gate.target
        metadata = self.gate.client.dialect.read_reply(reply.status, reply.headers)
        self.apply_evidence(metadata)
        if reply.status != HTTP_OK and not metadata.is_not_run:
            target.history.dispute()
        is_valid_instance = bool(metadata.instance) and not target.history.has_departed(
            metadata.instance
        )
        if (
            reply.status != HTTP_OK
            or not is_valid_instance
            or not self.is_start_expected()
        ):
            return
        if metadata.load is not None:
            target.slots = metadata.load.slots
        unconfirmed = target.history.unconfirmed
        started_at_ms = 0
        if metadata.instance == target.history.current[0]:
            started_at_ms = target.history.current[1]
        elif unconfirmed is not None and metadata.instance == unconfirmed.instance:
            started_at_ms = unconfirmed.started_at_ms
        target.apply_ready_report(
            TargetReport(
                target.service,
                target.host,
                target.port,
                target.slots,
                metadata.instance,
                started_at_ms=started_at_ms,
                cold_ms=metadata.cold_ms,
            ),
        )
        self.gate.limits.apply_cold_phase()
        self.mark_up('health')

    def apply_evidence(self, metadata: ReplyMetadata) -> None:
        """Apply what a health reply says about load, limits and the cold phase."""
        target = self.gate.target
        if metadata.load is not None:
            self.gate.record_slowness(metadata.load)
        self.gate.limits.record_named(metadata.limit_per_s, 'health')
        if metadata.is_leaving and metadata.instance:
            self.gate.on_leaving(metadata.instance, 'health')
        is_current = metadata.instance == target.instance
        if metadata.cold_ms is not None and is_current and target.is_accepting:
            target.record_cold(metadata.cold_ms)
            self.gate.limits.apply_cold_phase()

    def mark_up(self, evidence: str) -> None:
        """Log that the target is up, set the number of slots and publish the load."""
        target = self.gate.target
        log.info(
            'target-up',
            extra={
                'service': target.service,
                'instance': target.instance,
                'evidence': evidence,
            },
        )
        self.gate.queue.set_slots(target.slots)
        self.gate.on_load_change()
