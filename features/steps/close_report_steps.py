"""Steps that check what a node reports about connections and its event loop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import Any
from unittest.mock import Mock, patch

from behave import then
from connection_builders import (
    captured_records,
    connected_caller,
    echo_service,
    encode_order,
)

from lavendermountd.caller.connection import CallerConnection
from lavendermountd.caller.exchange import CallExchange
from lavendermountd.caller.service import CallService
from lavendermountd.supervision.freeze import (
    STALL_THRESHOLD_S,
    TICK_INTERVAL_S,
    FreezeGuard,
)

LOGGER = 'lavendermountd'
WORK_S = 5.0


def unanswered(records: list[logging.LogRecord]) -> list[tuple[str, bool]]:
    """Return the causes of warnings of unanswered requests, and whether they ran."""
    return [
        (record.__dict__['cause'], record.__dict__['is_passed_on'])
        for record in records
        if record.getMessage() == 'request-unanswered'
    ]


@then(
    "an error of a connection's task, and the end of the process, "
    'name the requests that they cut'
)
def cut_requests(context: Any) -> None:
    """Let the task of a connection fail, and cancel all tasks."""
    for is_failing, cause in ((True, 'failure'), (False, 'process-end')):
        service = echo_service(WORK_S)
        with (
            captured_records(LOGGER) as records,
            contextlib.suppress(asyncio.CancelledError),
        ):
            asyncio.run(_cut(service, is_failing))
        assert unanswered(records) == [(cause, True)], records
        service.metrics.count_closed_connection.assert_called_once_with(cause, 1)
        messages = [record.getMessage() for record in records]
        assert ('connection-failed' in messages) == is_failing


async def _cut(service: CallService, is_failing: bool) -> None:
    async with connected_caller(service) as (caller, connection):
        await caller.send(encode_order('/'))
        if is_failing:
            failing = Mock(feed_data=Mock(side_effect=AssertionError))
            connection.state.parser.parser = failing
            await caller.send(b'G')
            return
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0)


@then('a caller that leaves is counted and leaves no such warning')
def caller_leaves(context: Any) -> None:
    """Close the connection while a request runs."""
    service = echo_service(WORK_S)
    with captured_records(LOGGER) as records:
        asyncio.run(_leave(service))
    assert not unanswered(records)
    service.metrics.count_closed_connection.assert_called_once_with('caller', 1)


async def _leave(service: CallService) -> None:
    async with connected_caller(service) as (caller, _):
        await caller.send(encode_order('/', method='GET'))


@then(
    'a caller that leaves while it waits to send a body is no failure of its connection'
)
def leave_before_body(context: Any) -> None:
    """Close the stream before its caller is prompted for the body."""
    asyncio.run(_leave_before_body())


async def _leave_before_body() -> None:
    async with connected_caller(echo_service(WORK_S)) as (caller, connection):
        head = encode_order('/1', b'body', 'Expect: 100-continue\r\n')[:-4]
        await caller.send(encode_order('/0', method='GET') + head)
        connection.stream.close()
        connection.state.exchanges.clear()
        connection.prompt_for_body()


@then('a caller that leaves as its connection is being closed is no failure of it')
def leave_during_close(context: Any) -> None:
    """Close the stream while the last reply is written."""
    with captured_records(LOGGER) as records:
        asyncio.run(_leave_during_close())
    messages = [record.getMessage() for record in records]
    assert 'connection-failed' not in messages, messages


async def _leave_during_close() -> None:
    async with connected_caller(echo_service()) as (caller, connection):
        write_reply = connection.write_reply

        async def write_and_leave(exchange: CallExchange) -> None:
            await write_reply(exchange)
            connection.stream.close()

        with patch.object(CallerConnection, 'write_reply', side_effect=write_and_leave):
            await caller.send(encode_order('/', headers='Connection: close\r\n'))
            await asyncio.sleep(0.1)


@then('a tick that is late is logged with its lag, and each lag is counted')
def busy_loop(context: Any) -> None:
    """Keep the event loop busy for a part of its run."""
    guard = FreezeGuard()
    guard.on_lag = Mock()
    busy_s = TICK_INTERVAL_S + 2 * STALL_THRESHOLD_S
    with captured_records(LOGGER) as records:
        asyncio.run(_run_busy(guard, busy_s))
    lags = [record.__dict__['lag_ms'] for record in records]
    assert len(lags) == 1, lags
    assert lags[0] >= 1000 * STALL_THRESHOLD_S
    assert guard.on_lag.call_count > 1


async def _run_busy(guard: FreezeGuard, busy_s: float) -> None:
    task = asyncio.create_task(guard.run())
    await asyncio.sleep(0)
    time.sleep(busy_s)  # noqa: ASYNC251
    await asyncio.sleep(2 * TICK_INTERVAL_S)
    task.cancel()
