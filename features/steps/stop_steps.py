"""Steps that check how a stopping node closes the connections of callers."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import Any
from unittest.mock import Mock, patch

from behave import then
from builders import FakeClock
from tornado.iostream import IOStream

from lavendermountd.caller import connection as connection_module
from lavendermountd.caller.connection import CallerConnection
from lavendermountd.http1.request_parser import RequestLimits

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


@then(
    'a connection used every {gap:g} s stays open for {kept:g} s without use, '
    'and is closed after {closed:g} s'
)
def regular_use(context: Any, gap: float, kept: float, closed: float) -> None:
    """Use a connection at intervals, then stop the node."""
    clock = FakeClock()
    with (
        patch.object(connection_module, 'time', clock),
        patch.object(CallerConnection, 'process_chunk'),
    ):
        connection = idle_connection()
        for _ in range(4):
            clock.now += gap
            connection.take_chunk(REQUEST)
        clock.now += kept
        connection.close_if_idle(1)
        assert not connection.is_closing
        clock.now += closed - kept
        connection.close_if_idle(1)
        assert connection.is_closing


@then('a request that crosses the close of its connection leaves a warning')
def crossing_request(context: Any) -> None:
    """Send a request right after the node has decided to close the connection."""
    handler = logging.Handler()
    records: list[logging.LogRecord] = []
    handler.emit = records.append  # type: ignore[method-assign]
    connection_module.log.addHandler(handler)
    try:
        asyncio.run(_cross_the_close())
    finally:
        connection_module.log.removeHandler(handler)
    warning = next(each for each in records if each.getMessage() == 'request-discarded')
    assert warning.__dict__['bytes'] == len(REQUEST)


async def _cross_the_close() -> None:
    caller_end, node_end = socket.socketpair()
    connection = idle_connection(node_end)
    task = asyncio.create_task(connection.run())
    await asyncio.sleep(0.05)
    connection.close_if_idle(0)
    caller_end.sendall(REQUEST)
    started_at = time.monotonic()
    await task
    assert time.monotonic() - started_at < 5
    caller_end.close()
