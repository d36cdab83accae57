"""Steps that check how a stopping node closes the connections of callers."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock, patch

from behave import then
from builders import (
    FakeClock,
    call_request,
    gate_with_target,
    gate_without_target,
)
from connection_builders import captured_records
from tornado.iostream import IOStream

from lavendermount_core.models.calls import CallReply
from lavendermountd.caller import connection as connection_module
from lavendermountd.caller.connection import CallerConnection
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate.admission import Ticket
from lavendermountd.gate.attempts import Attempt
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import (
    MIN_DISPUTED_INTERVAL_S,
    ReportedState,
    TargetReport,
)
from lavendermountd.gate.target import TargetState
from lavendermountd.gate.target_client import TargetAnswer
from lavendermountd.gate.target_lifecycle import TargetLifecycle
from lavendermountd.gate.target_monitor import TargetMonitor
from lavendermountd.http1.messages import WireReply
from lavendermountd.http1.request_parser import RequestLimits

# Time between two reports of a target.
REPORT_INTERVAL_S = 0.6
REQUEST = b'POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'


def idle_connection(client_end: socket.socket | None = None) -> CallerConnection:
    """Build a connection of a caller that has not sent a request.

    :param client_end: socket that gets connected to it; by default there is none.
    """
    service = Mock(
        limits=RequestLimits(16384, 65536),
        idle_timeout_s=60,
        header_timeout_s=60,
        is_stopping=True,
    )
    stream = Mock() if client_end is None else IOStream(client_end)
    return CallerConnection(service, stream)


@then('a request that crosses the close of its connection leaves a warning')
def crossing_request(context: Any) -> None:
    """Send a request right after the node has decided to close the connection."""
    _check_discard_warning(is_closed_at_once=False)


@then('it leaves the warning also if its caller closes the connection at once')
def crossing_request_closed(context: Any) -> None:
    """Send a request, and close the connection when the node closes its end."""
    _check_discard_warning(is_closed_at_once=True)


def _check_discard_warning(is_closed_at_once: bool) -> None:
    with captured_records(connection_module.__name__) as records:
        asyncio.run(_cross_the_close(is_closed_at_once))
    warning = next(each for each in records if each.getMessage() == 'request-discarded')
    assert warning.__dict__['bytes'] == len(REQUEST)
    assert warning.__dict__['cause'] == 'stopping'


async def _cross_the_close(is_closed_at_once: bool) -> None:
    caller_end, node_end = socket.socketpair()
    connection = idle_connection(node_end)
    task = asyncio.create_task(connection.run())
    await asyncio.sleep(0.05)
    connection.close_if_idle(0)
    caller_end.sendall(REQUEST)
    if is_closed_at_once:
        caller_end.shutdown(socket.SHUT_WR)
    started_at = time.monotonic()
    await task
    assert time.monotonic() - started_at < 5
    caller_end.close()


def report_of(
    started_at_ms: int, sequence: int, state: str = ReportedState.READY
) -> TargetReport:
    """Build a report of a target that keeps its instance name over its starts."""
    return TargetReport('s', '127.0.0.1', 1, 2, 'i-1', state, started_at_ms, sequence)


def confirm_ready(lifecycle: TargetLifecycle) -> None:
    """Send the two reports, one after the other, that make an unknown target ready."""
    lifecycle.handle_report(report_of(1000, 1))
    time.sleep(REPORT_INTERVAL_S)
    lifecycle.handle_report(report_of(1000, 2))


@then(
    'a target that started again under its name stays up '
    'when its old departure is repeated'
)
def repeated_departure(context: Any) -> None:
    """Let a target depart, start again, and repeat the report of its departure."""
    gate, lifecycle = gate_without_target(1)
    confirm_ready(lifecycle)
    lifecycle.handle_report(report_of(1000, 3, ReportedState.DRAINING))
    assert gate.target.state == TargetState.DRAINING
    lifecycle.handle_report(report_of(2000, 1))
    assert gate.target.state == TargetState.UP
    lifecycle.handle_report(report_of(1000, 4, ReportedState.STOPPED))
    assert gate.target.state == TargetState.UP
    lifecycle.handle_report(report_of(2000, 2, ReportedState.DRAINING))
    assert gate.target.state == TargetState.DRAINING


@then('a target that leaves without its name is drained, also the second time')
def nameless_departures(context: Any) -> None:
    """Let two starts with names report that they leave, without these names."""
    gate, lifecycle = gate_without_target(1)
    lifecycle.needs_confirmation = False
    for name in ('i-1', 'i-2'):
        lifecycle.handle_report(TargetReport('s', '127.0.0.1', 1, 2, name))
        assert gate.target.state == TargetState.UP, name
        lifecycle.handle_report(
            TargetReport('s', '127.0.0.1', 1, 2, '', ReportedState.DRAINING)
        )
        assert gate.target.state == TargetState.DRAINING, name


@then('a report with a later start time resets the averages of the target')
def later_start(context: Any) -> None:
    """Report a later start of a target that was not seen to be down."""
    gate, lifecycle = gate_without_target(1)
    confirm_ready(lifecycle)
    gate.target.observe(50, is_failure=True)
    starts = gate.target.start_number
    lifecycle.handle_report(report_of(2000, 1))
    assert gate.target.start_number == starts + 1
    assert gate.target.failure_ratio == 0


class LeavingClient:
    """Client of a target that says in its answer that it leaves, and names a limit."""

    def __init__(self, gate: Gate, while_running: Callable[[], None]) -> None:
        """Store what happens while the target works on a request."""
        self.gate = gate
        self.while_running = while_running

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Answer as the start to which the request was sent."""
        attempt.target_start_number = self.gate.target.start_number
        self.while_running()
        metadata = ReplyMetadata(limit_per_s=1, is_leaving=True)
        return TargetAnswer(CallReply(200, 'OK', [], b''), metadata)

    def close_idle(self) -> None:
        """Do nothing; there are no connections."""


@then(
    'such an answer of the current start closes the gate, '
    'and one of an earlier start does not'
)
def leaving_answer(context: Any) -> None:
    """Answer once without, and once with a new start of the target meanwhile."""
    for is_restarted in (False, True):
        gate = asyncio.run(_answer_leaving(is_restarted))
        state = TargetState.UP if is_restarted else TargetState.DRAINING
        assert gate.target.state == state, (is_restarted, gate.target.state)
        assert gate.queue.rate_limit.is_active != is_restarted


async def _answer_leaving(is_restarted: bool) -> Gate:
    gate, lifecycle = gate_without_target(1)
    gate.on_leaving = lifecycle.handle_leaving_answer
    confirm_ready(lifecycle)

    def restart() -> None:
        if is_restarted:
            lifecycle.handle_report(report_of(2000, 1))

    gate.client = LeavingClient(gate, restart)
    request = call_request()
    request.deadline = time.monotonic() + 5
    await gate.execute(Attempt('a-1', request, 'f'))
    return gate


@then('a request that waits for a slot gets one when the number of slots rises')
def slots_rise(context: Any) -> None:
    """Fill all slots, let one more request wait, and add a slot."""
    asyncio.run(_raise_slots())


async def _raise_slots() -> None:
    queue = gate_with_target(1).queue
    queue.set_slots(1)
    deadline = asyncio.get_running_loop().time() + 5
    assert await queue.acquire_slot(Ticket('c', deadline, False, 0)) is None
    waiting = asyncio.create_task(queue.acquire_slot(Ticket('c', deadline, False, 0)))
    await asyncio.sleep(0)
    assert not waiting.done()
    queue.set_slots(2)
    async with asyncio.timeout(1):
        assert await waiting is None


def report_beside_health(gap_s: float, status: int) -> str:
    """Report twice to a node that has just started, with health checks between.

    :param gap_s: time between the reports.
    :param status: status of the health checks.
    :returns: state of the target.
    """
    clock = FakeClock()
    gate, lifecycle = gate_without_target(1)
    lifecycle.set_target_address(report_of(0, 0))
    monitor = TargetMonitor(gate, needs_health=True)
    with patch('lavendermountd.gate.reports.time', clock):
        lifecycle.handle_report(report_of(1000, 1))
        monitor.handle_health_reply(WireReply(status, '', [], b'', True))
        clock.now += gap_s
        lifecycle.handle_report(report_of(1000, 2))
    return gate.target.state


@then(
    'late reports confirm a target that a restarted node does not know '
    'only if health checks do not contradict them'
)
def late_reports_disputed(context: Any) -> None:
    """Let two reports arrive late, while the target is leaving and while it is not."""
    assert report_beside_health(1.5, 200) == TargetState.UP
    assert report_beside_health(1.5, 503) != TargetState.UP


@then('reports that go on for longer than one can be late outweigh its health checks')
def long_reports_outweigh(context: Any) -> None:
    """Report for longer than a report can be late."""
    assert report_beside_health(MIN_DISPUTED_INTERVAL_S, 503) == TargetState.UP
