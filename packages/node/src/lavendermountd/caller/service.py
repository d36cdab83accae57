"""Handling of requests, with the state that connections of callers share.

:units: bytes and seconds.
"""

from __future__ import annotations

import asyncio

from returns.result import Failure

from lavendermount_core.config.preset import LimitOptions, TenantOptions
from lavendermount_core.models.calls import CallReply, CallRequest, Refusal
from lavendermount_core.utils.units import DEFAULT_MAX_BODY_BYTES, MS_PER_S
from lavendermountd.allotments.client import Take
from lavendermountd.allotments.service import Allotments
from lavendermountd.caller.intake import Intake
from lavendermountd.claims.claims import ClaimService
from lavendermountd.dialects.base import Dialect
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.http1.request_parser import RequestLimits
from lavendermountd.metrics import NodeMetrics
from lavendermountd.presets.holder import InForcePreset, PresetHolder
from lavendermountd.routing.request_state import has_reached_target
from lavendermountd.routing.router import Router
from lavendermountd.stop_schedule import StopSchedule

CATCH_UP_TIMEOUT_S = 0.5
DEFAULT_HEADER_BYTES = 65536
DEFAULT_HEADER_TIMEOUT_S = 60.0
DEFAULT_IDLE_TIMEOUT_S = 300.0


class CallService:
    """Runs the requests of all connections of callers and holds their limits.

    :param holder: holds the preset in force.
    :param router: routes requests to targets.
    :param claims: runs requests with an idempotency key at most once.
    :param metrics: metrics of the node.
    :param dialect: dialect of the callers.
    :param origin: service that runs on this VM.
    :param allotments: takes tokens of tenants' allotments.
    """

    def __init__(
        self,
        holder: PresetHolder,
        router: Router,
        claims: ClaimService,
        metrics: NodeMetrics,
        dialect: Dialect,
        origin: str,
        allotments: Allotments,
    ) -> None:
        """Start without requests and with default limits."""
        self.holder = holder
        self.router = router
        self.claims = claims
        self.metrics = metrics
        self.active_tasks: set[asyncio.Task[CallReply]] = set()
        self.dialect = dialect
        self.origin = origin
        self.allotments = allotments
        self.limits = RequestLimits(DEFAULT_HEADER_BYTES, DEFAULT_MAX_BODY_BYTES)
        self.intake = Intake(self.limits)
        self.header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.is_stopping = False
        self.stop_schedule: StopSchedule | None = None
        self.caught_up = asyncio.Event()
        self.caught_up.set()

    def apply_limits(self, limits: LimitOptions) -> None:
        """Apply the limits of a preset, also to open connections."""
        self.limits.header_bytes = limits.header_bytes
        self.limits.body_bytes = limits.body_bytes
        self.header_timeout_s = limits.header_ms / MS_PER_S
        self.idle_timeout_s = limits.idle_ms / MS_PER_S

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Refuse from now on what can't be answered before the node ends."""
        self.is_stopping = True
        self.stop_schedule = schedule
        self.router.stops_at = schedule.ends_at

    def refusal_at_stop(self, received_at: float, deadline: float) -> Refusal | None:
        """Return the refusal of a request that may outlast a stopping node.

        :param received_at: time at which the request was complete.
        :param deadline: time after which its reply is useless.
        """
        if self.stop_schedule is None:
            return None
        return self.stop_schedule.refusal_of(received_at, deadline)

    def may_have_run(self, request: CallRequest) -> bool:
        """Return whether a target may have run a request that has no outcome yet.

        One with an idempotency key may run at another node that holds the key.
        """
        if self.router.may_have_run(request.request_id):
            return True
        return self.claims.key_digest(request) is not None

    async def wait_until_caught_up(self) -> None:
        """After a freeze, wait until the log has been read again.

        After ``CATCH_UP_TIMEOUT_S``, this and all later requests proceed with
        the state at hand.
        """
        if self.caught_up.is_set():
            return
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await self.caught_up.wait()
        except TimeoutError:
            self.caught_up.set()

    async def handle_request(
        self,
        request: CallRequest,
        preset: InForcePreset,
        tenant: TenantOptions | None = None,
    ) -> AttemptResult:
        """Run a request if the allotment of its tenant allows.

        :param request: the request.
        :param preset: preset that was in force when the request was classified.
        :param tenant: tenant that the request's key identifies; ``None`` without one.
        """
        if tenant is None:
            return await self.run_request(request, preset)
        take = await self.allotments.client.try_take(tenant.name)
        if take.refusal is not None:
            return Failure(take.refusal)
        outcome = await self.run_request(request, preset)
        self.settle(tenant.name, take, outcome)
        return outcome

    def settle(self, tenant: str, take: Take, outcome: AttemptResult) -> None:
        """Give the token of a request back if it reached no target.

        A request that a target refused was not run either, but it counts as one that
        reached a target.
        """
        if isinstance(outcome, Failure) and not has_reached_target(outcome.failure()):
            self.allotments.client.give_back(tenant, take)

    async def run_request(
        self, request: CallRequest, preset: InForcePreset
    ) -> AttemptResult:
        """Run a request, at most once for each idempotency key."""
        key = self.claims.key_digest(request)
        if key is None:
            return await self.router.route(request, preset)
        return await self.claims.run_once(key, request, preset)
