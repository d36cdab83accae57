"""Steps that play overload against the queue of a gate."""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any

from behave import then, when
from builders import call_request
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st
from overload_play import Flow, Play

from lavendermountd.gate.admission import Admission, ClassRule
from lavendermountd.gate.fair_queue import FairQueue
from lavendermountd.gate.ticket import Ticket
from lavendermountd.gate.ticket_builder import TicketBuilder

PRIORITY = 'priority'


@when('one of 4 tenants sends 7.5 times its usual load and retries at once')
def play_greedy(context: Any) -> None:
    """Play 3/s of three tenants and 45/s (instead of 6/s) of one, where 16/s can be served."""
    context.others = [Flow('safe', 3, tenant=f't{index}') for index in range(3)]
    context.greedy = Flow('safe', 45, tenant='greedy', is_impatient=True)
    rules = [ClassRule('safe', 0, 0, 12)]
    context.play = Play(rules, [*context.others, context.greedy], PRIORITY).run(60)


@then('at least {share:g} of the requests of the other tenants are answered in time')
def others_in_time(context: Any, share: float) -> None:
    """Guard against a tenant that fills the queue and keeps the others out."""
    shares = [context.play.share(flow) for flow in context.others]
    assert min(shares) >= share, shares


@then('all slots stay in use')
def slots_in_use(context: Any) -> None:
    """Guard against a fair order that leaves slots idle."""
    assert len(context.play.starts) >= 0.9 * 60 * 16, len(context.play.starts)


@when('a tenant of priority 0 and one with the priority of its class overload a target')
def play_priorities(context: Any) -> None:
    """Play 10/s of priority 0 and 45/s of the class's priority 2."""
    context.others = [Flow('safe', 10, tenant='first', priority=0)]
    flows = [*context.others, Flow('safe', 45, tenant='second')]
    context.play = Play([ClassRule('safe', 2, 0, 12)], flows, PRIORITY).run(60)


@then(
    'at least {share:g} of the requests of the tenant of priority 0 are answered in time'
)
def first_in_time(context: Any, share: float) -> None:
    """Guard against queueing by the priority of the class alone."""
    others_in_time(context, share)


@then(
    'requests without tenants start in the order of their deadlines,'
    ' whatever their tenant header'
)
def deadline_order(context: Any) -> None:
    """Guard against another order for presets without tenants."""
    admission = Admission(1)
    admission.replace_rules([ClassRule('safe', 0, 0, 100)])
    builder = TicketBuilder(admission)
    running = Ticket('safe', 0)
    admission.try_start(running)
    for index in range(100):
        request = call_request(call_class='safe')
        request.call_class.tenant = f't{index % 7}'
        request.deadline = (index * 37) % 100
        assert admission.enqueue(
            builder.build(request, is_exclusive=False, patience_s=0)
        )
    started = []
    while admission.queued:
        running = admission.release(running)[0]
        started.append(running.deadline)
    assert started == sorted(started), started


@then(
    'on generated backlogs every tenant gets at least a quarter of the average starts'
)
def quarter_of_starts(context: Any) -> None:
    """Guard against starving a tenant whose requests need much more work."""
    works = st.lists(st.floats(0.01, 50), min_size=2, max_size=12)

    @settings(max_examples=300)
    @generated(works, st.integers(0, 2**16))
    def check(drawn: list[float], seed: int) -> None:
        rng = random.Random(seed)
        queue = FairQueue()
        for index, work in enumerate(drawn):
            for _ in range(200):
                ticket = Ticket('safe', rng.random(), tenant=str(index))
                ticket.work = work
                queue.add(ticket)
        starts = Counter(queue.pop_first().tenant for _ in range(40 * len(drawn)))
        assert min(starts[str(index)] for index in range(len(drawn))) >= 10, starts

    check()


def seconds_per_operation(tenants: int) -> tuple[float, Admission]:
    """Fill the queue with two requests of each tenant, and empty it again."""
    admission = Admission(1)
    admission.replace_rules([ClassRule('safe', 0, 0, 2 * tenants)])
    running = Ticket('safe', 0)
    admission.try_start(running)
    rng = random.Random(tenants)
    began_at = time.perf_counter()
    for index in range(2 * tenants):
        ticket = Ticket('safe', rng.random(), tenant=str(index % tenants))
        ticket.work = rng.choice([0.5, 1, 2])
        assert admission.enqueue(ticket)
        admission.queued_ahead_of(ticket)
    while running is not None:
        running = next(iter(admission.release(running)), None)
    return (time.perf_counter() - began_at) / tenants, admission


@then(
    'an operation on a queue of 8000 tenants takes at most {factor:d} times as long as'
    ' on one of 500'
)
def operation_time(context: Any, factor: int) -> None:
    """Guard against scans of all tenants or requests; the loads differ by 16."""
    small = min(seconds_per_operation(500)[0] for _ in range(5))
    entries = [seconds_per_operation(8000) for _ in range(3)]
    large = min(seconds for seconds, _ in entries)
    context.admission = entries[0][1]
    assert large <= factor * small, (small, large)


@then('no state is left once the queue is empty')
def no_state(context: Any) -> None:
    """Guard against state that grows with every tenant ever seen."""
    assert not context.admission.lanes
    assert not context.admission.queued_by_class
