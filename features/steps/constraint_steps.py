"""Steps for constraints on targets, evacuated zones and cold targets."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from builders import (
    DEALER,
    FakeClock,
    call_request,
    gate_with_target,
    load_report,
    member,
    preset_snapshot,
)
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from lavendermount_core.log.adapter import NewestRecords, join_position
from lavendermount_core.models.calls import Reason
from lavendermountd.gate.admission import Ticket
from lavendermountd.gate.attempts import Attempt
from lavendermountd.gate.cold_phase import ColdPhase
from lavendermountd.gate.rate_limit import COLD, NAMED, RateLimit
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gate.target import Target
from lavendermountd.membership.evacuations import EvacuationTable, ZoneState
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.backoff import NodeBackoff
from lavendermountd.presets.holder import compile_preset
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.outbound_attempt import decision_record
from lavendermountd.routing.request_state import Cause, RequestState
from lavendermountd.routing.target_selector import TargetSelector

PLACES = {
    'n1': ('north', 'hn-a'),
    'n2': ('north', 'hn-a'),
    'n3': ('north', 'hn-b'),
    's1': ('south', 'hcm-a'),
    's2': ('south', 'hcm-b'),
}
PREFIX = 'evacuate/'
ZONES = ('a', 'b')
EVENT_KINDS = ('write', 'lift', 'gossip', 'old gossip', 'newest', 'restore')
COLD_PER_S = 6.0
WARMUP_S = 3.0
COLD_WINDOW_S = 1
COLD_EXCESS = 1.5
COLD_SLACK = 8
SLOT_LIMIT = 8


class _Identity:
    """Identity of the deciding node."""

    member = member('self', service='', region='north', zone='hn-a')


def build_selector() -> TargetSelector:
    """Build a selector that knows a target at each of the places."""
    table = MemberTable(_Identity.member)
    for name, (region, zone) in PLACES.items():
        table.merge(member(name, DEALER, region, zone))
    return TargetSelector(
        table,
        LoadView(_Identity()),  # type: ignore[arg-type]
        TokenBucket(0, 0),
        NodeBackoff(),
        EvacuationTable(PREFIX),
    )


def eligible_names(context: Any) -> set[str]:
    """Return the names of the targets that can be chosen."""
    members = context.selector.eligible_targets(context.state).members
    return {entry.node_id for entry in members}


@given('targets in both regions')
def both_regions(context: Any) -> None:
    """Build a selector and a request that may go anywhere."""
    context.selector = build_selector()
    preset = compile_preset(preset_snapshot(1))
    context.state = RequestState(call_request(), preset)


@given('targets in both regions, of which only those of the south are allowed')
def only_south(context: Any) -> None:
    """Build a selector in the north and a request that must go to the south."""
    both_regions(context)
    context.state.request.allowed_regions = frozenset(('south',))


@then('only targets of the south can be chosen')
def south_chosen(context: Any) -> None:
    """Check the candidates and that all of them are compared."""
    assert eligible_names(context) == {'s1', 's2'}
    selection = context.selector.select(context.state)
    assert {name for name, _ in selection.decision.scores} == {'s1', 's2'}


@then('two more attempts may go there, but no fourth one')
def third_attempt_only(context: Any) -> None:
    """Try the targets of the south one after the other, as if there were more."""
    selector, state = context.selector, context.state
    for name in ('s3', 's4'):
        selector.table.merge(member(name, DEALER, 'south', 'hcm-a'))
    for name in ('s1', 's2'):
        selector.record_attempt(state, selector.table.find(name))
        assert eligible_names(context)
    selector.record_attempt(state, selector.table.find('s3'))
    assert not eligible_names(context)
    state.tried_nodes.clear()
    state.tried_nodes_in_other_regions.clear()


@when('no target of the south accepts requests')
def south_closed(context: Any) -> None:
    """Report both targets of the south as closed."""
    for name in ('s1', 's2', 's3', 's4'):
        context.selector.view.take_report(load_report(name, is_accepting=False))


@then('no target can be chosen')
def none_chosen(context: Any) -> None:
    """Check that the decision chooses none."""
    assert not eligible_names(context)
    assert context.selector.select(context.state).member is None


@when('zone hn-a is evacuated')
def evacuate_one(context: Any) -> None:
    """Apply the operator's record."""
    context.selector.evacuations.read_record(f'{PREFIX}hn-a', b'{}', 1)


@when('every other zone is evacuated too')
def evacuate_others(context: Any) -> None:
    """Apply the operator's records for the other zones."""
    for zone in ('hn-b', 'hcm-a', 'hcm-b'):
        context.selector.evacuations.read_record(f'{PREFIX}{zone}', b'{}', 1)


@then('only targets of the other zones can be chosen')
def other_zones(context: Any) -> None:
    """Check the candidates."""
    assert eligible_names(context) == {'n3', 's1', 's2'}


@then('the decision record counts the targets that each constraint excluded')
def exclusions_recorded(context: Any) -> None:
    """Check the record and the counter of the metrics."""
    selection = context.selector.select(context.state)
    record = decision_record(context.state, selection, Cause.FIRST)
    assert record.excluded == [('evacuated', 2)], record.excluded
    assert context.selector.excluded_counts['evacuated'] >= 2


@when('every target has been unreachable')
def all_unreachable(context: Any) -> None:
    """Record failures of all nodes."""
    for name in PLACES:
        context.selector.backoff.note_failure(name)


@then('each of them can be chosen')
def all_eligible(context: Any) -> None:
    """Check that the preference excluded none."""
    assert eligible_names(context) == set(PLACES)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(EVENT_KINDS),
        st.sampled_from(ZONES),
        st.integers(0, 5),
    ),
    max_size=40,
)


class OperatorLog:
    """The operator's records, which a restored log loses and gets again."""

    def __init__(self) -> None:
        """Start empty, in the first era."""
        self.era = 1
        self.end = 0
        self.states: dict[str, ZoneState] = {}
        self.history: list[ZoneState] = []

    def write(self, zone: str, is_evacuated: bool) -> ZoneState:
        """Append a record and return the state that it describes."""
        position = join_position(self.era, self.end)
        self.end += 1
        state = ZoneState(zone, position, is_evacuated)
        self.states[zone] = state
        self.history.append(state)
        return state

    def restore(self, lost: int) -> None:
        """Come back in the next era without the latest records."""
        self.era += 1
        self.end = max(0, self.end - lost)

    def rewrite(self) -> list[ZoneState]:
        """Write the operator's records again, as the operator does after a loss."""
        return [
            self.write(state.zone, state.is_evacuated)
            for state in tuple(self.states.values())
        ]

    def newest(self) -> NewestRecords:
        """Return the newest records; a lifted evacuation has none."""
        present = [state for state in self.states.values() if state.is_evacuated]
        return NewestRecords(
            join_position(self.era, self.end),
            {f'{PREFIX}{state.zone}': b'{}' for state in present},
            {f'{PREFIX}{state.zone}': state.position for state in present},
        )


def play(operator_log: OperatorLog, table: EvacuationTable, event: Any) -> None:
    """Play one event of a generated history."""
    kind, zone, number = event
    if kind in {'write', 'lift'}:
        table.merge(operator_log.write(zone, kind == 'write'))
    if kind == 'gossip' and zone in operator_log.states:
        table.merge(operator_log.states[zone], 'peer')
    if kind == 'old gossip' and operator_log.history:
        table.merge(operator_log.history[number % len(operator_log.history)], 'peer')
    if kind == 'newest':
        table.read_newest(operator_log.newest())
    if kind == 'restore':
        operator_log.restore(number)
        table.read_newest(
            NewestRecords(join_position(operator_log.era, operator_log.end), {}, {})
        )
        expected = {z for z, s in operator_log.states.items() if s.is_evacuated}
        assert set(table.evacuated) == expected
        for state in operator_log.rewrite():
            table.merge(state)


@then(
    'on generated histories of records, gossip and logs restored from an older copy,'
    ' the newest record of a zone holds'
)
def newest_holds(context: Any) -> None:
    """Play histories and compare the table with the operator's records."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @generated(EVENTS)
    def holds(events: list[Any]) -> None:
        operator_log = OperatorLog()
        table = EvacuationTable(PREFIX)
        for event in events:
            play(operator_log, table, event)
            expected = {z for z, s in operator_log.states.items() if s.is_evacuated}
            assert set(table.evacuated) == expected, (event, table.states)

    holds()


@given('a gate with one slot, one running request and one that waits')
def gate_with_waiting(context: Any) -> None:
    """Prepare the scenario; it is played in one event loop."""
    context.gate_results = asyncio.run(play_evacuation())


async def play_evacuation() -> dict[str, Any]:
    """Evacuate the zone of a gate and open it again; return what happened."""
    gate = gate_with_target(1)
    gate.target.service_ms = 10
    gate.target.cold_phase.configure(COLD_PER_S, WARMUP_S)
    gate.admission.slots = 1
    queue = gate.queue
    deadline = time.monotonic() + 30
    running = Ticket('dealer', deadline)
    assert await queue.acquire_slot(running) is None
    waiting = asyncio.create_task(queue.acquire_slot(Ticket('dealer', deadline)))
    await asyncio.sleep(0)
    gate.limits.set_evacuated(is_evacuated=True)
    outcomes: dict[str, Any] = {'waiting': await waiting}
    queue.release_slot(running, is_sent=True)
    attempt = Attempt('a-1', call_request(), 'f')
    attempt.request.deadline = deadline
    outcomes['next'] = gate.refusal_before_queue(attempt)
    outcomes['unsent'] = (await gate.run(attempt)).failure()
    outcomes['is_accepting'] = gate.load().is_accepting
    gate.limits.set_evacuated(is_evacuated=False)
    gate.admission.slots = 100
    outcomes['cold'] = await start_many(gate)
    gate.target.record_cold(0)
    gate.limits.apply_cold_phase()
    outcomes['warm'] = await start_many(gate)
    return outcomes


async def start_many(gate: Any) -> int:
    """Return how many of 50 requests get a slot at once."""
    started = 0
    for _ in range(50):
        ticket = Ticket('dealer', time.monotonic() + 30)
        started += gate.queue.try_start(ticket)
    return started


@when('the zone of the gate is evacuated')
@when('the zone of the gate is opened again')
def nothing_to_do(context: Any) -> None:
    """Do nothing; the whole scenario has been played in one event loop."""


@then('the waiting request is refused as not run, and the running one ends')
def waiting_refused(context: Any) -> None:
    """Check the refusal of the request that waited."""
    refusal = context.gate_results['waiting']
    assert refusal.reason == Reason.EVACUATED
    assert refusal.is_not_run


@then('the next request is refused as not run')
def next_refused(context: Any) -> None:
    """Check the refusal, and that other nodes are told."""
    refusal = context.gate_results['next']
    assert refusal.reason == Reason.EVACUATED
    assert refusal.is_not_run
    assert not context.gate_results['is_accepting']


@then('a request that got its slot before is not sent')
def unsent(context: Any) -> None:
    """Check the outcome of a request that was about to be sent."""
    assert context.gate_results['unsent'].is_not_run


@then('the gate lets through no more than a cold target may get')
def cold_limit_holds(context: Any) -> None:
    """Check that a target that may be cold gets no burst."""
    assert context.gate_results['cold'] <= 1


@then('it lets through all once its target says that it is warm')
def warm_gets_all(context: Any) -> None:
    """Check that the limit is lifted."""
    assert context.gate_results['warm'] == 50


COLD_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('arrivals'), st.integers(1, 60)),
        st.tuples(st.just('pause'), st.floats(0.01, 4)),
        st.tuples(st.just('turns cold'), st.floats(0.1, 4)),
        st.tuples(st.just('late report'), st.just(0)),
        st.tuples(st.just('restart'), st.just(0)),
    ),
    max_size=40,
)


class ColdTarget:
    """A target that is cold at times, behind a gate that restarts."""

    def __init__(self, clock: FakeClock) -> None:
        """Start cold, with a new gate."""
        self.clock = clock
        self.cold_until = clock.now + WARMUP_S
        self.sent: list[tuple[float, bool]] = []
        self.restart()

    def restart(self) -> None:
        """Begin with a gate that knows nothing but the service's values."""
        self.phase = ColdPhase()
        self.phase.configure(COLD_PER_S, WARMUP_S)
        self.phase.begin()
        self.limit = RateLimit()
        self.limit.change(self.phase.limit_per_s, COLD)

    def turn_cold(self, remaining_s: float) -> None:
        """Turn cold; the next health answer, before any arrival, says so."""
        self.cold_until = max(self.cold_until, self.clock.now + remaining_s)
        self.phase.replace(self.cold_until - self.clock.now)

    def arrive(self, count: int) -> None:
        """Send what the limit allows of some requests, and note who was cold."""
        for _ in range(count):
            self.clock.now += 0.01
            if self.phase.limit_per_s != self.limit.limit_of(COLD):
                self.limit.change(self.phase.limit_per_s, COLD)
            if self.limit.has_token():
                self.limit.take()
                is_cold = self.clock.now < self.cold_until
                self.sent.append((self.clock.now, is_cold))

    def play(self, kind: str, amount: float) -> None:
        """Play one event."""
        if kind == 'pause':
            self.clock.now += amount
        if kind == 'turns cold':
            self.turn_cold(amount)
        if kind == 'late report':
            self.phase.extend(0)
        if kind == 'restart':
            self.restart()
            self.phase.extend(max(0, self.cold_until - self.clock.now))
        if kind == 'arrivals':
            self.arrive(int(amount))


@then(
    'on generated histories of arrivals, starts, reports and restarts of the gate, no'
    ' second holds more than 1.5 times the cold rate and {slack:d} requests'
)
def seconds_hold(context: Any, slack: int) -> None:
    """Count the requests that reached a cold target in each second."""
    assert slack == COLD_SLACK
    allowed = COLD_EXCESS * COLD_PER_S * COLD_WINDOW_S + COLD_SLACK

    @settings(max_examples=300, deadline=None, derandomize=True)
    @generated(COLD_EVENTS)
    def holds(events: list[Any]) -> None:
        clock = FakeClock()
        with (
            patch('lavendermountd.gate.rate_limit.time', clock),
            patch('lavendermountd.gate.cold_phase.time', clock),
        ):
            target = ColdTarget(clock)
            for kind, amount in events:
                target.play(kind, amount)
        cold_at = [at for at, is_cold in target.sent if is_cold]
        for first in cold_at:
            held = sum(first <= at < first + COLD_WINDOW_S for at in cold_at)
            assert held <= allowed, (held, allowed)

    holds()


@given('a target that says in a health answer that it stays cold for {seconds:d} s')
def cold_target(context: Any, seconds: int) -> None:
    """Apply the health answer."""
    context.target = Target()
    context.target.cold_phase.configure(COLD_PER_S, WARMUP_S)
    context.target.apply_ready_report(TargetReport('s', 'h', 1, 6, 'i', cold_ms=0))
    context.target.record_cold(seconds * 1000)


@when('a report from before says that it is warm')
def late_report(context: Any) -> None:
    """Apply the report of the same start."""
    report = TargetReport('s', 'h', 1, 6, 'i', sequence=2, cold_ms=0)
    context.target.apply_ready_report(report)


@when('it says in a health answer that it is warm')
def health_says_warm(context: Any) -> None:
    """Apply the health answer."""
    context.target.record_cold(0)


@then('the target is still cold')
def still_cold(context: Any) -> None:
    """Check the limit."""
    assert context.target.cold_phase.limit_per_s == COLD_PER_S


@then('the target is warm')
def is_warm(context: Any) -> None:
    """Check that there is no limit."""
    assert context.target.cold_phase.limit_per_s is None


@given('a target that is cold and names a limit')
def two_limits(context: Any) -> None:
    """Apply both limits."""
    context.limit = RateLimit()
    context.limit.change(COLD_PER_S, COLD)
    context.limit.change(2, NAMED)


@then('the lower limit binds, and each of them stays when the other ends')
def limits_independent(context: Any) -> None:
    """End the limits one after the other."""
    assert context.limit.limit_per_s == 2
    context.limit.change(None, NAMED)
    assert context.limit.limit_per_s == COLD_PER_S
    context.limit.change(SLOT_LIMIT, NAMED)
    context.limit.change(None, COLD)
    assert context.limit.limit_per_s == SLOT_LIMIT
    context.limit.change(None, NAMED)
    assert not context.limit.is_active
