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
INNER_AT = 0.5
LOOPBACK_S = 0.0003

InnerCall = Callable[[str, Attempt], Awaitable[object]]


class Noise:
    """When a VM is slow, drawn as time goes on.

    :param options: share, factor and length of slow times.
    :param draw: source of randomness.
    """

    __slots__ = ('options', 'draw', 'is_slow', 'changes_at')

    def __init__(self, options: NoiseOptions, draw: random.Random) -> None:
        """Start at an arbitrary moment of the cycle."""
        self.options = options
        self.draw = draw
        self.is_slow = draw.random() < options.share
        self.changes_at = time.monotonic() + draw.random() * self.length_s()

    def length_s(self) -> float:
        """Draw how long the present state lasts."""
        mean_s = self.options.for_ms / MS_PER_S
        if self.is_slow:
            return mean_s
        if not self.options.share:
            return math.inf
        quiet_s = mean_s * (1 - self.options.share) / self.options.share
        return self.draw.expovariate(1 / quiet_s)

    def factor_at(self, now: float) -> float:
        """How many times longer work takes at a moment."""
        while now >= self.changes_at:
            self.is_slow = not self.is_slow
            self.changes_at += self.length_s()
        return self.options.factor if self.is_slow else 1

    def time_for(self, work_s: float, now: float) -> float:
        """Work out how long work takes that goes on now.

        :returns: at most the time until the state changes.
        """
        return min(work_s * self.factor_at(now), self.changes_at - now)


class EmulatedTarget:
    """One target, as the gate's client reaches it.

    :param target: what the gate knows of it.
    :param service: slots and cold start.
    :param calls: kinds of requests by name.
    :param noise: when its VM is slow.
    """

    def __init__(
        self,
        target: Target,
        service: ServiceOptions,
        calls: dict[str, CallOptions],
        noise: Noise,
    ) -> None:
        """Start warm and idle."""
        self.target = target
        self.service = service
        self.calls = calls
        self.noise = noise
        self.draw = noise.draw
        self.factor: float = 1
        self.is_up = True
        self.warm_at: float = 0
        self.working: dict[asyncio.Task[None], None] = {}
        self.call_inner: InnerCall | None = None

    def load(self) -> TargetLoad:
        """Tell the load as a target does."""
        slowness = self.noise.factor_at(time.monotonic())
        return TargetLoad(len(self.working), 0, self.service.slots, slowness)

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Work on a request and answer it.

        :raises TargetError: if the target is down or dies.
        """
        await asyncio.sleep(LOOPBACK_S)
        if not self.is_up:
            raise TargetError(Reason.TARGET_DOWN, 'nobody listens')
        attempt.progress = Progress.WRITTEN
        attempt.target_start = self.target.start
        task = asyncio.create_task(self.work(attempt))
        self.working[task] = None
        try:
            await task
        except asyncio.CancelledError as error:
            if self.is_up:
                raise
            raise TargetError(Reason.TARGET_DIED, 'the target died') from error
        finally:
            self.working.pop(task, None)
        kind = self.calls[attempt.request.call_class.name]
        reply = CallReply(OK, 'OK', [], bytes(round(kind.reply_kb * BYTES_PER_KB)))
        return TargetAnswer(reply, ReplyFacts(load=self.load()))

    async def work(self, attempt: Attempt) -> None:
        """Work on a request; part of the requests call on."""
        kind = self.calls[attempt.request.call_class.name]
        work_s = self.draw_work_s(kind)
        if not kind.inner or self.draw.random() >= kind.inner_share:
            await self.spend(work_s)
            return
        await self.spend(work_s * INNER_AT)
        if self.call_inner is not None:
            await self.call_inner(kind.inner, attempt)
        await self.spend(work_s * (1 - INNER_AT))

    def draw_work_s(self, kind: CallOptions) -> float:
        """Draw the time that work would take on a calm VM."""
        mean = -(kind.spread**2) / 2
        work_s = kind.work_ms / MS_PER_S * self.draw.lognormvariate(mean, kind.spread)
        if time.monotonic() < self.warm_at:
            work_s *= self.service.cold_factor
        if len(self.working) >= self.service.slots:
            work_s *= 1 + self.service.knee
        return work_s * self.factor

    async def spend(self, work_s: float) -> None:
        """Let work go on, slower while the VM is slow."""
        left_s = work_s
        while left_s > 0:
            now = time.monotonic()
            factor = self.noise.factor_at(now)
            step_s = self.noise.time_for(left_s, now)
            await asyncio.sleep(step_s)
            left_s -= step_s / factor
            if step_s * factor < LOOPBACK_S and left_s < LOOPBACK_S:
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
        for task in tuple(self.working):
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
