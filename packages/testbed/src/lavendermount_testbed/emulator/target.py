"""An emulated target: slots, noise, cold starts, crashes and nested calls.

It stands in for the gate's HTTP client, so everything above it is the product.

:units: seconds on the simulated clock.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable

from lavendermount_core.structure.calls import CallReply, Reason
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.scenario import (
    CallOptions,
    NoiseOptions,
    ServiceOptions,
)
from lavendermountd.dialects.base import ReplyFacts, TargetLoad
from lavendermountd.gate.attempts import Attempt, Progress
from lavendermountd.gate.target import Target
from lavendermountd.gate.target_client import TargetAnswer, TargetError

OK = 200
BYTES_PER_KB = 1000
INNER_CALL_POSITION = 0.5
LOOPBACK_DELAY_S = 0.0003

InnerCall = Callable[[str, Attempt], Awaitable[object]]


class Noise:
    """When a VM is slow, drawn as time goes on.

    :param options: share, factor and length of slow times.
    :param rng: source of randomness.
    """

    __slots__ = ('options', 'rng', 'is_slow', 'changes_at')

    def __init__(self, options: NoiseOptions, rng: random.Random) -> None:
        """Start at an arbitrary moment of the cycle."""
        self.options = options
        self.rng = rng
        self.is_slow = rng.random() < options.share
        self.changes_at = time.monotonic() + rng.random() * self.draw_state_duration_s()

    def draw_state_duration_s(self) -> float:
        """Draw how long the present state lasts."""
        mean_s = self.options.for_ms / MS_PER_S
        if self.is_slow:
            return mean_s
        if not self.options.share:
            return math.inf
        mean_quiet_s = mean_s * (1 - self.options.share) / self.options.share
        return self.rng.expovariate(1 / mean_quiet_s)

    def slowdown_at(self, now: float) -> float:
        """How many times longer work takes at a moment."""
        while now >= self.changes_at:
            self.is_slow = not self.is_slow
            self.changes_at += self.draw_state_duration_s()
        return self.options.factor if self.is_slow else 1

    def step_duration_s(self, work_s: float, now: float) -> float:
        """Work out how long work takes that goes on now.

        :returns: at most the time until the state changes.
        """
        return min(work_s * self.slowdown_at(now), self.changes_at - now)


class EmulatedTarget:
    """One target, as the gate's client reaches it.

    :param target: what the gate knows of it.
    :param service: slots and cold start.
    :param call_types: kinds of requests by name.
    :param noise: when its VM is slow.
    """

    def __init__(
        self,
        target: Target,
        service: ServiceOptions,
        call_types: dict[str, CallOptions],
        noise: Noise,
    ) -> None:
        """Start warm and idle."""
        self.target = target
        self.service = service
        self.call_types = call_types
        self.noise = noise
        self.rng = noise.rng
        self.slowdown: float = 1
        self.is_up = True
        self.warm_at: float = 0
        self.running: dict[asyncio.Task[None], None] = {}
        self.call_inner: InnerCall | None = None

    def load(self) -> TargetLoad:
        """Tell the load as a target does."""
        slowness = self.noise.slowdown_at(time.monotonic())
        return TargetLoad(len(self.running), 0, self.service.slots, slowness)

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Work on a request and answer it.

        :raises TargetError: if the target is down or dies.
        """
        await asyncio.sleep(LOOPBACK_DELAY_S)
        if not self.is_up:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        attempt.progress = Progress.WRITTEN
        attempt.target_start = self.target.start
        task = asyncio.create_task(self.process(attempt))
        self.running[task] = None
        try:
            await task
        except asyncio.CancelledError as error:
            if self.is_up:
                raise
            raise TargetError(Reason.TARGET_DIED, 'the target died') from error
        finally:
            self.running.pop(task, None)
        call_type = self.call_types[attempt.request.call_class.name]
        reply = CallReply(OK, 'OK', [], bytes(round(call_type.reply_kb * BYTES_PER_KB)))
        return TargetAnswer(reply, ReplyFacts(load=self.load()))

    async def process(self, attempt: Attempt) -> None:
        """Work on a request; part of the requests call on."""
        call_type = self.call_types[attempt.request.call_class.name]
        work_s = self.draw_work_s(call_type)
        if not call_type.inner or self.rng.random() >= call_type.inner_share:
            await self.run_work(work_s)
            return
        await self.run_work(work_s * INNER_CALL_POSITION)
        if self.call_inner is not None:
            await self.call_inner(call_type.inner, attempt)
        await self.run_work(work_s * (1 - INNER_CALL_POSITION))

    def draw_work_s(self, call_type: CallOptions) -> float:
        """Draw the time that work would take on a calm VM."""
        log_mean = -(call_type.spread**2) / 2
        work_s = (
            call_type.work_ms
            / MS_PER_S
            * self.rng.lognormvariate(log_mean, call_type.spread)
        )
        if time.monotonic() < self.warm_at:
            work_s *= self.service.cold_factor
        if len(self.running) >= self.service.slots:
            work_s *= 1 + self.service.knee
        return work_s * self.slowdown

    async def run_work(self, work_s: float) -> None:
        """Let work go on, slower while the VM is slow."""
        remaining_s = work_s
        while remaining_s > 0:
            now = time.monotonic()
            slowdown = self.noise.slowdown_at(now)
            step_s = self.noise.step_duration_s(remaining_s, now)
            await asyncio.sleep(step_s)
            remaining_s -= step_s / slowdown
            if step_s * slowdown < LOOPBACK_DELAY_S and remaining_s < LOOPBACK_DELAY_S:
                return

    async def connect(self) -> EmulatedConnection:
        """Connect, to learn whether the target lives.

        :raises TargetError: if nobody listens.
        """
        if not self.is_up:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        return EmulatedConnection()

    def put_back(self, connection: EmulatedConnection) -> None:
        """Keep nothing."""

    def close_idle(self) -> None:
        """Close nothing."""

    def crash(self) -> None:
        """End the process with all that it works on."""
        self.is_up = False
        for task in tuple(self.running):
            task.cancel()

    def restart(self) -> None:
        """Start the process again; it is cold."""
        self.is_up = True
        self.warm_at = time.monotonic() + self.service.cold_ms / MS_PER_S
        self.target.mark_started()


class EmulatedConnection:
    """A connection that stays open."""

    __slots__ = ('reader',)

    def __init__(self) -> None:
        """Open it."""
        self.reader: asyncio.Future[None] = asyncio.Future()
