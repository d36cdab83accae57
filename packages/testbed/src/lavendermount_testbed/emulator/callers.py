"""Emulated callers: open-loop load with timeouts and retries.

:units: seconds on the simulated clock.
"""

from __future__ import annotations

import asyncio
import random
import time

from returns.result import Success

from lavendermount_core.models.calls import is_failure
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.node import EmulatedNode, Fleet
from lavendermount_testbed.emulator.outcome_stats import (
    FAILED,
    IN_TIME,
    LATE,
    REFUSED,
    OutcomeStats,
)
from lavendermount_testbed.emulator.scenario import BURST, CallOptions
from lavendermountd.gate.attempts import AttemptResult

MIN_RETRY_DELAY_S = 0.1


class CallerGroup:
    """All callers that send one call type to one node.

    :param node: node that receives the requests.
    :param call_type: type of the requests.
    :param stats: records the outcomes.
    :param run_started_at: time at which the load starts.
    """

    __slots__ = (
        'fleet',
        'node',
        'call_type',
        'stats',
        'rng',
        'run_started_at',
        'tasks',
    )

    def __init__(
        self,
        node: EmulatedNode,
        call_type: CallOptions,
        stats: OutcomeStats,
        run_started_at: float,
    ) -> None:
        """Prepare; no request is sent yet."""
        self.fleet: Fleet = node.fleet
        self.node = node
        self.call_type = call_type
        self.stats = stats
        self.rng = random.Random(node.rng.random())
        self.run_started_at = run_started_at
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests at exponential intervals, then wait for pending ones."""
        ends_at = self.run_started_at + self.fleet.scenario.seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(self.current_rate()))
            if time.monotonic() >= ends_at:
                break
            task = asyncio.create_task(self.send_with_retries())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    def current_rate(self) -> float:
        """Return the current requests per second, including active bursts."""
        elapsed_s = time.monotonic() - self.run_started_at
        rate = self.call_type.per_s
        for fault in self.fleet.scenario.fault:
            if (
                fault.kind == BURST
                and fault.at_s <= elapsed_s < fault.at_s + fault.for_s
            ):
                rate *= fault.factor
        return rate

    async def send_with_retries(self) -> None:
        """Send a request and retry it within the caller's timeout."""
        first_sent_at = time.monotonic()
        deadline = first_sent_at + self.call_type.timeout_ms / MS_PER_S
        for retries_left in range(self.call_type.retries, -1, -1):
            outcome = await self.send_once(first_sent_at)
            retry_delay_s = self.retry_delay_s(outcome)
            if (
                retry_delay_s is None
                or not retries_left
                or time.monotonic() + retry_delay_s >= deadline
            ):
                break
            await asyncio.sleep(retry_delay_s)
        self.record_outcome(outcome, first_sent_at)

    async def send_once(self, first_sent_at: float) -> AttemptResult:
        """Send the request once and wait for its outcome."""
        network_delay_s = self.fleet.scenario.network.caller_ms / MS_PER_S
        await asyncio.sleep(network_delay_s)
        self.stats.sent += 1
        outcome = await self.node.call(
            self.node.build_request(self.call_type, first_sent_at)
        )
        await asyncio.sleep(network_delay_s)
        return outcome

    def retry_delay_s(self, outcome: AttemptResult) -> float | None:
        """Return the time until the caller retries; ``None`` if it does not retry."""
        if isinstance(outcome, Success):
            return None
        refusal = outcome.failure()
        if not refusal.is_not_run and not self.call_type.is_repeatable:
            return None
        return max(refusal.retry_after_s, MIN_RETRY_DELAY_S)

    def record_outcome(self, outcome: AttemptResult, first_sent_at: float) -> None:
        """Record the final outcome of a request."""
        elapsed_ms = (time.monotonic() - first_sent_at) * MS_PER_S
        second = int(first_sent_at - self.run_started_at)
        self.stats.record(
            self.call_type,
            second,
            self.classify_outcome(outcome, elapsed_ms),
            elapsed_ms,
        )

    def classify_outcome(self, outcome: AttemptResult, elapsed_ms: float) -> str:
        """Classify an outcome from the caller's point of view."""
        if isinstance(outcome, Success) and not is_failure(outcome.unwrap()):
            if elapsed_ms <= self.call_type.target_ms:
                return IN_TIME
            return LATE if elapsed_ms <= self.call_type.timeout_ms else FAILED
        if isinstance(outcome, Success) or not outcome.failure().is_not_run:
            return FAILED
        return REFUSED
