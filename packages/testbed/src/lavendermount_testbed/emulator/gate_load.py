"""Load on the queue of one gate in simulated time, to compare orders of the queue.

The queue is the real one; targets and callers are emulated.

:units: seconds; requests a second.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import Counter, defaultdict
from types import MappingProxyType
from typing import Any

from lavendermount_core.config.preset import COST_ORDER
from lavendermount_core.models.calls import (
    CLASS_PRIORITY,
    CallClass,
    CallRequest,
    Refusal,
)
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.gate.admission import ClassRule
from lavendermountd.gate.cost_order import CostOrder
from lavendermountd.gate.queue import SlotQueue
from lavendermountd.gate.target import Target
from lavendermountd.gate.ticket import LaneKey, Ticket

SLOTS = 4
IN_TIME = 'in time'
LATE = 'late'
REFUSED = 'refused'
SENT = 'sent'
# Number of times that an impatient caller sends a refused request again, and after
# which time.
RETRIES = 3
RETRY_AFTER_S = 0.01
MAX_WORK_FACTOR = 4


# Number of requests by outcome and second.
SecondCounts = Counter[tuple[str, int]]


class Flow:
    """Requests of one class and tenant, with Poisson arrivals."""

    def __init__(self, call_class: str, per_s: float, **options: Any) -> None:
        """Set the rate; options replace the defaults below."""
        self.name = f'{call_class} {options}'
        self.call_class = call_class
        self.per_s = per_s
        self.tenant = 'default'
        self.priority = CLASS_PRIORITY
        self.work_s = 0.25
        self.due_s = 1.0
        self.deadline_s = 4.0
        self.begins_s: float = 0
        self.ends_s = math.inf
        self.is_repeatable = True
        # Whether callers retry at once, or after the time that a refusal names.
        self.is_impatient = False
        self.is_returning = False
        for name, option in options.items():
            setattr(self, name, option)


class PlayedRefusal:
    """A refusal, and when its request arrived and was refused."""

    def __init__(self, flow: Flow, arrived_at: float, refusal: Refusal) -> None:
        """Store the refusal of a request that is refused now."""
        self.flow = flow
        self.refused_at = time.monotonic()
        self.waited_s = self.refused_at - arrived_at
        self.refusal = refusal
        self.retry_after_s = refusal.retry_after_s


class GateLoad:
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
        self.seed = seed
        # Each flow has its own generators, so that all orders get the same requests.
        self.arrivals = {flow: random.Random(f'{seed} {flow.name}') for flow in flows}
        self.works = {flow: random.Random(f'{flow.name} {seed}') for flow in flows}
        # Outcomes of each flow by the second in which its requests were first sent.
        self.outcomes: dict[Flow, SecondCounts] = defaultdict(Counter)
        self.refusals: list[PlayedRefusal] = []
        self.starts: list[Flow] = []
        self.longest_queue = 0

    def run(self, seconds: float, has_tenants: bool = True) -> GateLoad:
        """Play the load for some simulated seconds."""
        state = random.getstate()
        random.seed(self.seed)
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
        self.queue.set_order(self.order)
        compared = COMPARED_ORDERS.get(self.order)
        if compared is not None:
            self.queue.admission.cost_order = compared(
                self.queue.admission.priority_of, self.queue.tickets.run_times, target
            )
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
            await asyncio.sleep(self.arrivals[flow].expovariate(flow.per_s))
        await asyncio.gather(*tasks)

    async def call(self, flow: Flow) -> None:
        """Send a request, again and again if its caller is impatient."""
        second = int(time.monotonic() - self.began_at)
        self.outcomes[flow][SENT, second] += 1
        work_factor = min(self.works[flow].expovariate(1), MAX_WORK_FACTOR)
        work_s = flow.work_s * (1 + work_factor) / 2
        outcome = REFUSED
        retries = RETRIES * (flow.is_impatient or flow.is_returning)
        for _ in range(1 + retries):
            outcome = await self.attempt(flow, work_s)
            if outcome != REFUSED:
                break
            advised_s = self.refusals[-1].retry_after_s
            await asyncio.sleep(advised_s if flow.is_returning else RETRY_AFTER_S)
        self.outcomes[flow][outcome, second] += 1

    async def attempt(self, flow: Flow, work_s: float) -> str:
        """Pass one request through the queue and run it."""
        queue = self.queue
        now = time.monotonic()
        call_class = CallClass(
            '', flow.tenant, flow.call_class, flow.is_repeatable, flow.priority
        )
        request = CallRequest(
            '', '', '', [], b'', call_class, now + flow.deadline_s, now + flow.due_s
        )
        ticket = queue.tickets.build(request, False, 0)
        refusal = await queue.acquire_slot(ticket)
        self.longest_queue = max(self.longest_queue, queue.admission.queued)
        if refusal is not None:
            self.refusals.append(PlayedRefusal(flow, now, refusal))
            return REFUSED
        started_at = time.monotonic()
        self.starts.append(flow)
        await asyncio.sleep(work_s)
        ended_at = time.monotonic()
        self.target.observe((ended_at - started_at) * MS_PER_S, is_failure=False)
        queue.tickets.record_end(request.call_class, ended_at - started_at, ended_at)
        queue.tickets.record_completed(request.call_class, ended_at - started_at)
        queue.release_slot(ticket, is_sent=True)
        return LATE if ended_at > request.due else IN_TIME

    def count(self, flow: Flow, outcome: str, since_s: int, until_s: int) -> int:
        """Count the requests that were sent in a part of the play."""
        counts = self.outcomes[flow]
        return sum(counts[outcome, second] for second in range(since_s, until_s))

    def share(self, flow: Flow, since_s: int = 0, until_s: int = 1000) -> float:
        """Return the share of a flow's requests that were answered in time."""
        sent = self.count(flow, SENT, since_s, until_s)
        return self.count(flow, IN_TIME, since_s, until_s) / max(sent, 1)

    def goodput(self, since_s: int, until_s: int) -> float:
        """Return the slots that did work answered in time, in a part of the play."""
        work_s = sum(
            self.count(flow, IN_TIME, since_s, until_s) * flow.work_s
            for flow in self.flows
        )
        return work_s / (until_s - since_s)


class LeastSlackFirst(CostOrder):
    """Serves the lane whose first request has to start first; for comparison."""

    __slots__ = ()

    def score_of(self, ticket: Ticket) -> float:
        """Return a score that is higher for an earlier latest start."""
        return -self.cost_of(ticket).latest_start

    def passed_over_of(self, key: LaneKey) -> int:
        """Give no turns to lanes that were passed over."""
        return 0


class PlainCost(LeastSlackFirst):
    """Serves the lane with the highest cost, whatever its slack; for comparison."""

    __slots__ = ()

    def score_of(self, ticket: Ticket) -> float:
        """Return the cost that does not depend on time."""
        return self.rank_of(ticket)


COMPARED_ORDERS = MappingProxyType({'slack': LeastSlackFirst, 'plain-cost': PlainCost})
