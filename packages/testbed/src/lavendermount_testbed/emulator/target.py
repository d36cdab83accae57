"""An emulated target: slots, noise, cold starts, crashes and nested calls.

It replaces the gate's HTTP client; the code that uses the client is the real one.

:units: seconds on the simulated clock.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable

from lavendermount_core.models.calls import CallReply, Reason
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.scenario import (
    CallOptions,
    NoiseOptions,
    ServiceOptions,
)
from lavendermountd.dialects.base import ReplyMetadata, TargetLoad
from lavendermountd.gate.attempts import Attempt, Progress
from lavendermountd.gate.target import Target
from lavendermountd.gate.target_client import TargetAnswer, TargetError

OK = 200
BYTES_PER_KB = 1000
WORK_SHARE_BEFORE_INNER_CALL = 0.5
LOOPBACK_DELAY_S = 0.0003

InnerCall = Callable[[str, Attempt], Awaitable[object]]


class Noise:
    """Random slow periods of a VM.

    Slow periods have a fixed length, the gaps between them an exponential one.

    :param options: share, factor and length of the slow periods.
    :param rng: random number generator.
    """

    __slots__ = ('options', 'rng', 'is_slow', 'changes_at')

    def __init__(self, options: NoiseOptions, rng: random.Random) -> None:
        """Start at a random point of a slow period or of a gap."""
        self.options = options
        self.rng = rng
        self.is_slow = rng.random() < options.share
        self.changes_at = time.monotonic() + rng.random() * self.draw_state_duration_s()

    def draw_state_duration_s(self) -> float:
        """Draw the duration of the current state."""
        slow_duration_s = self.options.for_ms / MS_PER_S
        if self.is_slow:
            return slow_duration_s
        if not self.options.share:
            return math.inf
        mean_quiet_s = slow_duration_s * (1 - self.options.share) / self.options.share
        return self.rng.expovariate(1 / mean_quiet_s)

    def slowdown_at(self, now: float) -> float:
        """Return the factor by which work takes longer at a given time.

        Calls must not go back in time.
        """
        while now >= self.changes_at:
            self.is_slow = not self.is_slow
            self.changes_at += self.draw_state_duration_s()
        return self.options.factor if self.is_slow else 1

    def step_duration_s(self, work_s: float, now: float) -> float:
        """Return how long the work takes from now in the current state.

        :returns: at most the time until the state changes.
        """
        return min(work_s * self.slowdown_at(now), self.changes_at - now)


class EmulatedTarget:
    """One target; has the ``TargetClient`` methods that the gate calls.

    :param target: the gate's state of the target.
    :param service: slots and cold start.
    :param call_types: call types by name.
    :param noise: slow periods of the target's VM.
    """

    def __init__(
        self,
        target: Target,
        service: ServiceOptions,
        call_types: dict[str, CallOptions],
        noise: Noise,
    ) -> None:
        """Start warmed up and idle."""
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
        """Return the load that a target reports."""
        slowness = self.noise.slowdown_at(time.monotonic())
        return TargetLoad(len(self.running), 0, self.service.slots, slowness)

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Process a request and return its reply.

        :raises TargetError: if the target is down or crashes meanwhile.
        """
        await asyncio.sleep(LOOPBACK_DELAY_S)
        if not self.is_up:
            raise TargetError(Reason.TARGET_DOWN, 'connection refused')
        attempt.progress = Progress.WRITTEN
        attempt.target_start_number = self.target.start_number
        task = asyncio.create_task(self.process(attempt))
        self.running[task] = None
        try:
            await task
        except asyncio.CancelledError as error:
            if self.is_up:
                raise
            raise TargetError(Reason.TARGET_DIED, 'the target crashed') from error
        finally:
            self.running.pop(task, None)
        call_type = self.call_types[attempt.request.call_class.name]
        reply = CallReply(OK, 'OK', [], bytes(round(call_type.reply_kb * BYTES_PER_KB)))
        return TargetAnswer(reply, ReplyMetadata(load=self.load()))

    async def process(self, attempt: Attempt) -> None:
        """Process a request; some make a nested call halfway through."""
        call_type = self.call_types[attempt.request.call_class.name]
        work_s = self.draw_work_s(call_type)
        if not call_type.inner or self.rng.random() >= call_type.inner_share:
            await self.run_work(work_s)
            return
        await self.run_work(work_s * WORK_SHARE_BEFORE_INNER_CALL)
        if self.call_inner is not None:
            await self.call_inner(call_type.inner, attempt)
        await self.run_work(work_s * (1 - WORK_SHARE_BEFORE_INNER_CALL))

    def draw_work_s(self, call_type: CallOptions) -> float:
        """Draw the processing time, without the noise of the VM."""
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
        """Wait until the work is done, longer while the VM is slow."""
        remaining_s = work_s
        while remaining_s > 0:
            now = time.monotonic()
            slowdown = self.noise.slowdown_at(now)
            step_s = self.noise.step_duration_s(remaining_s, now)
            await asyncio.sleep(step_s)
            remaining_s -= step_s / slowdown
            # A remainder below LOOPBACK_DELAY_S is negligible. It is dropped if the
            # last step times the slowdown was below it too.
            if step_s * slowdown < LOOPBACK_DELAY_S and remaining_s < LOOPBACK_DELAY_S:
                return

    async def connect(self) -> EmulatedConnection:
        """Connect, to check whether the target is up.

        :raises TargetError: if the target is down.
        """
        if not self.is_up:
            raise TargetError(Reason.TARGET_DOWN, 'connection refused')
        return EmulatedConnection()

    def put_back(self, connection: EmulatedConnection) -> None:
        """Do nothing: there is no connection pool."""

    def close_idle(self) -> None:
        """Do nothing: there are no idle connections."""

    def crash(self) -> None:
        """Crash the target and abort the requests it is processing."""
        self.is_up = False
        for task in tuple(self.running):
            task.cancel()

    def restart(self) -> None:
        """Restart the target with a cold start."""
        self.is_up = True
        self.warm_at = time.monotonic() + self.service.cold_ms / MS_PER_S
        self.target.mark_started()


class EmulatedConnection:
    """A connection to a running target; it is never closed."""

    __slots__ = ('reader',)

    def __init__(self) -> None:
        """Open the connection."""
        self.reader: asyncio.Future[None] = asyncio.Future()
