"""Answers requests of callers; what the server's connections share.

:units: bytes and seconds.
"""

from __future__ import annotations

import asyncio

from lavendermount_core.structure.calls import CallRequest
from lavendermount_core.utils.units import DEFAULT_BODY_BYTES
from lavendermountd.claims.claims import ClaimService
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.metrics import NodeMetrics
from lavendermountd.presets.holder import InForcePreset, PresetHolder
from lavendermountd.routing.router import Router

FENCE_WAIT_S = 0.5


class CallService:
    """Everything a caller's connection needs of the node.

    :param holder: preset in force.
    :param router: takes requests to targets.
    :param claims: decides about idempotency keys.
    :param metrics: counts and times.
    """

    def __init__(
        self,
        holder: PresetHolder,
        router: Router,
        claims: ClaimService,
        metrics: NodeMetrics,
    ) -> None:
        """Start with nothing under way."""
        self.holder = holder
        self.router = router
        self.claims = claims
        self.metrics = metrics
        self.under_way: set[asyncio.Task[None]] = set()
        self.max_body = DEFAULT_BODY_BYTES
        self.is_stopping = False
        self.is_current = asyncio.Event()
        self.is_current.set()

    async def wait_until_current(self) -> None:
        """After a freeze, wait a little for the log to be read again."""
        if self.is_current.is_set():
            return
        try:
            async with asyncio.timeout(FENCE_WAIT_S):
                await self.is_current.wait()
        except TimeoutError:
            self.is_current.set()

    async def answer(
        self,
        request: CallRequest,
        preset: InForcePreset,
    ) -> AttemptResult:
        """Answer a request, once for each idempotency key.

        :param request: the request.
        :param preset: preset in force when it arrived.
        """
        key = self.claims.key_of(request)
        if key is None:
            return await self.router.route(request, preset)
        return await self.claims.run_once(key, request, preset)
