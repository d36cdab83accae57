"""Plays load against the queue of a gate in simulated time.

:units: seconds; requests a second.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from typing import Any

from builders import call_request

from lavendermount_core.config.preset import COST_ORDER
from lavendermount_core.models.calls import CLASS_PRIORITY, Refusal
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.gate.admission import ClassRule
from lavendermountd.gate.queue import SlotQueue
from lavendermountd.gate.target import Target

SLOTS = 4
IN_TIME = 'in time'
LATE = 'late'
REFUSED = 'refused'
SENT = 'sent'
# Number of times that an impatient caller sends a refused request again, and after
# which time.
RETRIES = 3
RETRY_AFTER_S = 0.01
MAX_RUN_FACTOR = 4


class Flow:
    """Requests of one class and tenant, with Poisson arrivals."""

    def __init__(self, call_class: str, per_s: float, **options: Any) -> None:
        """Set the rate; options replace the defaults below."""
        self.call_class = call_class
        self.per_s = per_s
        self.tenant = 'default'
        self.priority = CLASS_PRIORITY
        self.work_s = 0.25
        self.due_s = 1.0
        self.deadline_s = 4.0
        self.begins_s = 0.0
        self.ends_s = 1e9
        self.is_impatient = False
        for name, option in options.items():
            setattr(self, name, option)


class Play:
    """One load against one target; outcomes by flow and by second."""

    def __init__(
        self,
        rules: list[ClassRule],
        flows: list[Flow],
        order: str = COST_ORDER,
        seed: int = 1,
    ) -> None:
        """Store what is played."""
        self.rules = rules
        self.flows = flows
        self.order = order
        self.rng = random.Random(seed)
        self.outcomes: dict[Flow, Counter[str]] = defaultdict(Counter)
        self.in_time_by_second: dict[Flow, Counter[int]] = defaultdict(Counter)
        self.refusals: list[tuple[Flow, float, Refusal]] = []
        self.starts: list[tuple[float, Flow, bool]] = []
        self.longest_queue = 0

    def run(self, seconds: float, has_tenants: bool = True) -> Play:
        """Play the load for some simulated seconds."""
        state = random.getstate()
        random.seed(self.rng.random())
        with SimulatedTime() as simulated:
            simulated.run(self.play(seconds, has_tenants))
        random.setstate(state)
        return self

    async def play(self, seconds: float, has_tenants: bool) -> None:
        """Build the queue and send the requests of all flows."""
        target = Target()
        target.slots = SLOTS
        self.target = target
        self.queue = SlotQueue(target)
        self.queue.admission.replace_rules(self.rules)
        self.queue.tickets.has_tenants = has_tenants
        self.queue.set_slots(SLOTS)
        self.began_at = time.monotonic()
        self.seconds = seconds
        await asyncio.gather(*(self.send_all(flow) for flow in self.flows))

    async def send_all(self, flow: Flow) -> None:
        """Send the requests of one flow."""
        await asyncio.sleep(flow.begins_s)
        tasks = []
        ends_at = self.began_at + min(self.seconds, flow.ends_s)
        while time.monotonic() < ends_at:
            tasks.append(asyncio.create_task(self.call(flow)))
            await asyncio.sleep(self.rng.expovariate(flow.per_s))
        await asyncio.gather(*tasks)

    async def call(self, flow: Flow) -> None:
        """Send a request, again and again if its caller is impatient."""
        self.outcomes[flow][SENT] += 1
        outcome = REFUSED
        for _ in range(1 + RETRIES * flow.is_impatient):
            outcome = await self.attempt(flow)
            if outcome != REFUSED:
                break
            await asyncio.sleep(RETRY_AFTER_S)
        self.outcomes[flow][outcome] += 1

    async def attempt(self, flow: Flow) -> str:
        """Pass one request through the queue and run it."""
        queue = self.queue
        now = time.monotonic()
        request = call_request(call_class=flow.call_class)
        request.call_class.tenant = flow.tenant
        request.call_class.priority = flow.priority
        request.deadline = now + flow.deadline_s
        request.due = now + flow.due_s
        ticket = queue.tickets.build(request, False, 0)
        refusal = await queue.acquire_slot(ticket)
        self.longest_queue = max(self.longest_queue, queue.admission.queued)
        if refusal is not None:
            self.refusals.append((flow, time.monotonic(), refusal))
            return REFUSED
        started_at = time.monotonic()
        self.starts.append((started_at, flow, ticket.slot_granted is not None))
        run_s = flow.work_s * min(self.rng.expovariate(1), MAX_RUN_FACTOR)
        await asyncio.sleep(flow.work_s / 2 + run_s / 2)
        ended_at = time.monotonic()
        self.target.observe((ended_at - started_at) * 1000, is_failure=False)
        queue.tickets.record_end(request.call_class, ended_at - started_at, ended_at)
        queue.tickets.record_completed(request.call_class, ended_at - started_at)
        queue.release_slot(ticket, is_sent=True)
        if ended_at > request.due:
            return LATE
        self.in_time_by_second[flow][int(ended_at - self.began_at)] += 1
        return IN_TIME

    def share(self, flow: Flow) -> float:
        """Return the share of a flow's requests that were answered in time."""
        counts = self.outcomes[flow]
        return counts[IN_TIME] / max(counts[SENT], 1)

    def goodput(self, since_s: int, until_s: int) -> float:
        """Return the answers in time a second in a part of the play."""
        total = sum(
            counts[second]
            for counts in self.in_time_by_second.values()
            for second in range(since_s, until_s)
        )
        return total / (until_s - since_s)
