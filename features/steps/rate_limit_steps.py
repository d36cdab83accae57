"""Steps for targets that name a rate limit."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from builders import FakeClock, load_report, member
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from lavendermount_core.models.calls import Refusal
from lavendermountd.gate.admission import Ticket
from lavendermountd.gate.queue import SlotQueue
from lavendermountd.gate.rate_limit import RateLimit
from lavendermountd.gate.target import Target
from lavendermountd.routing.load_view import LoadView

WINDOW_S = 4
EXCESS = 1.5
SLACK = 5
ARRIVALS = 12
SLOTS = 6

EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('arrivals'), st.integers(1, 30)),
        st.tuples(st.just('pause'), st.floats(0.01, 20)),
        st.tuples(st.just('restart'), st.just(0)),
    ),
    max_size=40,
)


@then(
    'on generated histories of arrivals, pauses and restarts no {window:d} s hold more'
    ' than 1.5 times the limit and {slack:d} requests'
)
def windows_hold(context: Any, window: int, slack: int) -> None:
    """Start all that a limit allows; a restart forgets the tokens, not the limit."""
    assert (window, slack) == (WINDOW_S, SLACK)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @generated(st.floats(0.5, 50), EVENTS)
    def holds(limit_per_s: float, events: list[Any]) -> None:
        clock = FakeClock()
        with patch('lavendermountd.gate.rate_limit.time', clock):
            started = start_all(limit_per_s, events, clock)
        allowed = EXCESS * limit_per_s * WINDOW_S + SLACK
        for first in started:
            held = sum(first <= at < first + WINDOW_S for at in started)
            assert held <= allowed, (held, allowed)

    holds()


def start_all(limit_per_s: float, events: list[Any], clock: FakeClock) -> list[float]:
    """Play events and return the times at which requests started."""
    started: list[float] = []
    limit = RateLimit()
    limit.change(limit_per_s)
    for kind, amount in events:
        if kind == 'pause':
            clock.now += amount
        if kind == 'restart':
            limit = RateLimit()
            limit.change(limit_per_s)
        if kind == 'arrivals':
            for _ in range(amount):
                clock.now += 0.02
                if limit.has_token():
                    limit.take()
                    started.append(clock.now)
    return started


@given('a queue whose target names a limit of {limit_per_s:g} requests a second')
def limited_queue(context: Any, limit_per_s: float) -> None:
    """Store the limit; the queue is built in the event loop that uses it."""
    context.limit_per_s = limit_per_s


def build_queue(limit_per_s: float) -> SlotQueue:
    """Build a queue with free slots in front of a target that names a limit."""
    target = Target()
    target.slots = SLOTS
    target.service_ms = 10
    queue = SlotQueue(target)
    queue.set_slots(SLOTS)
    queue.change_limit(limit_per_s)
    return queue


async def arrive(queue: SlotQueue, deadline: float) -> tuple[float, Refusal | None]:
    """Ask for a slot; return the time that it took, and the refusal if any."""
    arrived_at = time.monotonic()
    ticket = Ticket('dealer', deadline)
    refusal = await queue.acquire_slot(ticket)
    elapsed_s = time.monotonic() - arrived_at
    if refusal is None:
        queue.release_slot(ticket, is_sent=True)
    return elapsed_s, refusal


@when('requests that are due in {due_s:g} s arrive at once')
def arrive_at_once(context: Any, due_s: float) -> None:
    """Let more requests arrive than the limit allows in that time."""

    async def arrive_all() -> list[tuple[float, Refusal | None]]:
        queue = build_queue(context.limit_per_s)
        deadline = time.monotonic() + due_s
        return await asyncio.gather(*(arrive(queue, deadline) for _ in range(ARRIVALS)))

    context.arrivals = asyncio.run(arrive_all())


@then('{low:d} or {high:d} of them start within {seconds:g} s, as the limit allows')
def started_in_time(context: Any, low: int, high: int, seconds: float) -> None:
    """Count the requests that got a slot."""
    times = [elapsed_s for elapsed_s, refusal in context.arrivals if refusal is None]
    assert low <= len(times) <= high, times
    assert max(times) <= seconds, times


@then(
    'the others are refused within {seconds:g} s, and told to come back after the'
    ' queue is empty'
)
def refused_at_once(context: Any, seconds: float) -> None:
    """Check the time of each refusal and its advice."""
    refused = [entry for entry in context.arrivals if entry[1] is not None]
    assert refused
    queued_s = (ARRIVALS - len(refused)) / context.limit_per_s
    for elapsed_s, refusal in refused:
        assert elapsed_s < seconds, elapsed_s
        assert refusal.is_not_run
        assert refusal.retry_after_s >= queued_s, (refusal.retry_after_s, queued_s)


@when('{count:d} requests that are due in {due_s:g} s arrive at once')
def arrive_some(context: Any, count: int, due_s: float) -> None:
    """Store how many requests arrive; they do once the limit is about to change."""
    context.arriving = (count, due_s)


@when('the limit is lifted')
def lift_limit(context: Any) -> None:
    """Let the requests arrive, and lift the limit 0.2 s later."""
    count, due_s = context.arriving

    async def lift_later() -> list[float]:
        queue = build_queue(context.limit_per_s)
        deadline = time.monotonic() + due_s
        waiting = [asyncio.create_task(arrive(queue, deadline)) for _ in range(count)]
        await asyncio.sleep(0.2)
        assert not any(task.done() for task in waiting)
        queue.change_limit(None)
        return [elapsed_s for elapsed_s, _ in await asyncio.gather(*waiting)]

    context.waited = asyncio.run(lift_later())


@then('all of them start within {seconds:g} s')
def started_after_lift(context: Any, seconds: float) -> None:
    """Check the time from the lift of the limit."""
    assert max(context.waited) < 0.2 + seconds, context.waited


@then(
    'a request goes to the target that its limit would not make late, if there is one'
)
def chosen_last(context: Any) -> None:
    """Compare limits that allow the request now, in time, and too late."""
    view = LoadView(_Identity())
    for sequence, (wait_ms, is_expected) in enumerate(
        ((0, True), (400, True), (1500, False)), 1
    ):
        view.take_report(
            load_report('a', sequence, limit_per_s=2, limit_wait_ms=wait_ms)
        )
        now = time.monotonic()
        assert view.is_in_time(member('a'), now, now + 1) == is_expected, wait_ms
    assert view.is_in_time(member('b'), time.monotonic(), time.monotonic() + 1)


class _Identity:
    """Identity of the deciding node."""

    member = member('self')
