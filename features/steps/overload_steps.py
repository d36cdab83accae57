"""Steps that play overload against the queue of a gate."""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any
from unittest.mock import MagicMock

from behave import then, when
from builders import (
    OVERLOAD_RULES,
    call_request,
    gate_without_target,
    mixed_flows,
    preset_text,
)
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_testbed.emulator.gate_load import (
    Flow,
    GateLoad,
)
from lavendermount_testbed.simulated_time import START_S
from lavendermountd.gate.admission import Admission, ClassRule
from lavendermountd.gate.cost_order import CostOrder
from lavendermountd.gate.delay_cost import RequestTimes, RunTime, RunTimes, delay_cost
from lavendermountd.gate.fair_queue import FairQueue
from lavendermountd.gate.target import Target
from lavendermountd.gate.ticket import Ticket
from lavendermountd.gate.ticket_builder import TicketBuilder
from lavendermountd.presets.applier import PresetApplier
from lavendermountd.presets.holder import compile_preset

PRIORITY = 'priority'


@when(
    'one of 4 tenants sends 7.5 times its usual load and retries at once,'
    ' with the order "{order}"'
)
def play_greedy(context: Any, order: str) -> None:
    """Play 3/s of three tenants and 45/s (instead of 6/s) of one, where 16/s can be served."""
    context.others = [Flow('safe', 3, tenant=f't{index}') for index in range(3)]
    context.greedy = Flow('safe', 45, tenant='greedy', is_impatient=True)
    rules = [ClassRule('safe', 0, 0, 12)]
    context.play = GateLoad(rules, [*context.others, context.greedy], order).run(60)


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
    context.play = GateLoad([ClassRule('safe', 2, 0, 12)], flows, PRIORITY).run(60)


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


def seconds_per_operation(
    tenants: int, has_cost_order: bool
) -> tuple[float, Admission]:
    """Fill the queue with two requests of each tenant, and empty it again."""
    admission = Admission(1)
    if has_cost_order:
        admission.cost_order = CostOrder(admission.priority_of, RunTimes(), Target())
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
        if admission.cost_order is not None:
            admission.cost_order.too_late(admission.lanes, ticket)
    while running is not None:
        running = next(iter(admission.release(running)), None)
    return (time.perf_counter() - began_at) / tenants, admission


@then(
    'an operation on a queue of 8000 tenants takes at most {factor:d} times as long as'
    ' on one of 500'
)
def operation_time(context: Any, factor: int) -> None:
    """Guard against scans of all tenants or requests; the loads differ by 16."""
    for has_cost_order in (False, True):
        small = min(seconds_per_operation(500, has_cost_order)[0] for _ in range(5))
        entries = [seconds_per_operation(8000, has_cost_order) for _ in range(3)]
        large = min(seconds for seconds, _ in entries)
        context.admission = entries[0][1]
        assert large <= factor * small, (small, large)


@then('no state is left once the queue is empty')
def no_state(context: Any) -> None:
    """Guard against state that grows with every tenant ever seen."""
    assert not context.admission.lanes
    assert not context.admission.queued_by_class


@when('the load of deployment one is played at {factors} times its usual rates')
def play_factors(context: Any, factors: str) -> None:
    """Play each factor with three seeds in the order by cost."""
    context.plays = {
        (int(factor), seed): GateLoad(
            OVERLOAD_RULES, mixed_flows(int(factor)), seed=seed
        ).run(60)
        for factor in factors.split(',')
        for seed in (1, 2, 3)
    }


@then('goodput at {factor:d} times is at least {share:g} of the best')
def no_collapse(context: Any, factor: int, share: float) -> None:
    """Guard against slots that work on answers which come too late."""
    for seed in (1, 2, 3):
        goodputs = {
            key[0]: play.goodput(5, 60)
            for key, play in context.plays.items()
            if key[1] == seed
        }
        assert goodputs[factor] >= share * max(goodputs.values()), goodputs


@then('each class gets at least 1 in {starts:d} of the starts at 3 and 10 times')
def no_starvation(context: Any, starts: int) -> None:
    """Guard against a class that is never served while others overload a target."""
    for (factor, _), play in context.plays.items():
        counts = Counter(flow.call_class for flow in play.starts)
        least = min(counts[rule.name] for rule in OVERLOAD_RULES)
        assert factor < 3 or least >= len(play.starts) / starts, (factor, counts)


@then('no refusal comes later than the time at which the request had to start')
def early_refusals(context: Any) -> None:
    """Guard against requests that wait although they can't be answered in time.

    In the first second, no request of some classes has ended yet, and their run times
    are unknown.
    """
    for played in all_refusals(context):
        flow = played.flow
        assert played.refusal.is_not_run
        if played.refused_at < START_S + 1:
            continue
        assert played.waited_s <= flow.due_s - flow.work_s / 2, vars(flow)


def all_refusals(context: Any) -> list[Any]:
    """List the refusals of all plays."""
    plays = context.plays.values()
    return [played for play in plays for played in play.refusals]


@then('displaced requests are told when to come back')
def displaced_told(context: Any) -> None:
    """Guard against a displaced request that is lost or gets no advice."""
    displaced = [
        played
        for played in all_refusals(context)
        if 'took its place' in played.refusal.detail
    ]
    assert displaced
    assert all(played.retry_after_s > 0 for played in displaced)


@then('callers are told to come back the costliest first, and not all at once')
def spread_returns(context: Any) -> None:
    """Guard against a herd that returns in the same tenth of a second."""
    for (factor, _), play in context.plays.items():
        if factor < 3:
            continue
        advice = {rule.name: [] for rule in OVERLOAD_RULES}
        returns: Counter[int] = Counter()
        for played in play.refusals:
            advice[played.flow.call_class].append(played.retry_after_s)
            returns[int((played.refused_at + played.retry_after_s) * 10)] += 1
        means = [sum(times) / len(times) for times in advice.values()]
        assert means == sorted(means), means
        assert max(returns.values()) <= 4 * len(play.refusals) / 600, returns


@when('a peak of 10 times the usual load lasts from second 10 to second 20')
def play_peak(context: Any) -> None:
    """Play it with callers that return when they are told to."""
    usual = mixed_flows(1, is_returning=True)
    peak = mixed_flows(9, begins_s=10.0, ends_s=20.0, is_returning=True)
    context.usual = usual
    context.play = GateLoad(OVERLOAD_RULES, [*usual, *peak]).run(60)


@then('{seconds:d} s after the peak each class is served as before it')
def recovered(context: Any, seconds: int) -> None:
    """Guard against a backlog or a herd that outlasts the peak."""
    for flow in context.usual:
        before = context.play.share(flow, 0, 10)
        after = context.play.share(flow, 20 + seconds, 60)
        assert after >= 0.9 * before, (flow.name, before, after)


@then('the cost of delay rises with what callers lose and falls with the work')
def cost_rises(context: Any) -> None:
    """Guard against a factor of the cost that has no or the opposite effect."""
    usual = cost(priority=1)
    assert cost(priority=2) < usual < cost(priority=0)
    assert cost(is_repeatable=False) > usual
    assert cost(due=12) < usual < cost(due=10.4)
    assert cost(due=10.1) < cost(due=10.4)
    assert cost(run_time=RunTime(0.4)) < usual < cost(run_time=RunTime(0.1))
    assert cost(run_time=RunTime(0.25, 0.2)) > usual


def cost(
    priority: int = 1,
    due: float = 11,
    is_repeatable: bool = True,
    run_time: RunTime | None = None,
) -> float:
    """Compute the cost of delay at second 10."""
    times = RequestTimes(due, 20, is_repeatable)
    usual = RunTime(0.25)
    return delay_cost(priority, times, due, run_time or usual, 10).per_slot_s


@then('a preset with the order "{order}" orders the queue of the gate by it')
def order_applied(context: Any, order: str) -> None:
    """Guard against an option that has no effect, or stays after a new preset."""
    gate, _ = gate_without_target(1)
    applier = PresetApplier(MagicMock(gate=gate))
    for text in (preset_text(overload=f'order = "{order}"'), preset_text()):
        applier.apply_to_gate(
            compile_preset(PresetSnapshot(1, 2, 'ordinary', '1', text))
        )
        assert (gate.queue.cost_order is not None) == ('overload' in text)


@then('of the four orders only "{order}" serves every class and does not collapse')
def orders_compared(context: Any, order: str) -> None:
    """Guard against a change that makes the rejected orders the better ones."""
    useful: dict[str, float] = {}
    served: dict[str, float] = {}
    for name in ('priority', 'slack', 'plain-cost', 'cost'):
        play = GateLoad(OVERLOAD_RULES, mixed_flows(10), name, seed=7).run(60)
        useful[name] = play.goodput(5, 60)
        counts = Counter(flow.call_class for flow in play.starts)
        least = min(counts[rule.name] for rule in OVERLOAD_RULES)
        served[name] = least / len(play.starts)
    assert useful[order] >= 0.9 * max(useful.values()), useful
    fair = [name for name, share in served.items() if share * 20 >= 1]
    assert fair == [order], served
