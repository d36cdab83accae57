"""Callers that send at random times, wait, and come back when told to.

:units: seconds on the simulated clock.
"""

from __future__ import annotations

import asyncio
import random
import time

from returns.result import Success

from lavendermount_core.structure.calls import is_failure
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.node import EmulatedNode, Fleet
from lavendermount_testbed.emulator.scenario import BURST, CallOptions
from lavendermount_testbed.emulator.tally import FAILED, IN_TIME, LATE, REFUSED, Tally
from lavendermountd.gate.attempts import AttemptResult

LEAST_RETRY_S = 0.1


class Callers:
    """All callers of one node and kind of request.

    :param node: that they send to.
    :param kind: what they ask for.
    :param tally: counts what they get.
    """

    __slots__ = ('fleet', 'node', 'kind', 'tally', 'draw', 'started_at', 'tasks')

    def __init__(
        self,
        node: EmulatedNode,
        kind: CallOptions,
        tally: Tally,
        started_at: float,
    ) -> None:
        """Send nothing yet."""
        self.fleet: Fleet = node.fleet
        self.node = node
        self.kind = kind
        self.tally = tally
        self.draw = random.Random(node.draw.random())
        self.started_at = started_at
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send at random times until the scenario ends, then wait for the rest."""
        ends_at = self.started_at + self.fleet.scenario.seconds
        while True:
            await asyncio.sleep(self.draw.expovariate(self.rate()))
            if time.monotonic() >= ends_at:
                break
            task = asyncio.create_task(self.ask())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    def rate(self) -> float:
        """Work out how many requests a second are sent at the moment."""
        now_s = time.monotonic() - self.started_at
        rate = self.kind.per_s
        for fault in self.fleet.scenario.fault:
            if fault.kind == BURST and fault.at_s <= now_s < fault.at_s + fault.for_s:
                rate *= fault.factor
        return rate

    async def ask(self) -> None:
        """Ask once, and again as often as the caller does."""
        begun = time.monotonic()
        deadline = begun + self.kind.timeout_ms / MS_PER_S
        for left in range(self.kind.retries, -1, -1):
            outcome = await self.exchange(begun)
            pause_s = self.pause_s(outcome)
            if pause_s is None or not left or time.monotonic() + pause_s >= deadline:
                break
            await asyncio.sleep(pause_s)
        self.count(outcome, begun)

    async def exchange(self, begun: float) -> AttemptResult:
        """Send a request and wait for its answer."""
        caller_s = self.fleet.scenario.network.caller_ms / MS_PER_S
        await asyncio.sleep(caller_s)
        self.tally.sent += 1
        outcome = await self.node.call(self.node.request_of(self.kind, begun))
        await asyncio.sleep(caller_s)
        return outcome

    def pause_s(self, outcome: AttemptResult) -> float | None:
        """Tell when a caller comes back; ``None`` if it does not."""
        if isinstance(outcome, Success):
            return None
        refusal = outcome.failure()
        if not refusal.is_not_run and not self.kind.is_repeatable:
            return None
        return max(refusal.retry_after_s, LEAST_RETRY_S)

    def count(self, outcome: AttemptResult, begun: float) -> None:
        """Count what a caller got in the end."""
        elapsed_ms = (time.monotonic() - begun) * MS_PER_S
        second = int(begun - self.started_at)
        self.tally.note(
            self.kind, second, self.name_of(outcome, elapsed_ms), elapsed_ms
        )

    def name_of(self, outcome: AttemptResult, elapsed_ms: float) -> str:
        """Name an outcome as a caller sees it."""
        if isinstance(outcome, Success) and not is_failure(outcome.unwrap()):
            if elapsed_ms <= self.kind.target_ms:
                return IN_TIME
            return LATE if elapsed_ms <= self.kind.timeout_ms else FAILED
        if isinstance(outcome, Success) or not outcome.failure().is_not_run:
            return FAILED
        return REFUSED
