"""Steps that check what a stopping node does with its last requests."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any
from unittest.mock import Mock

from behave import then
from connection_builders import HEAD_END, echo_service, encode_order
from tornado.netutil import bind_sockets

from lavendermountd.caller.server import CallerServer
from lavendermountd.caller.service import CallService
from lavendermountd.shutdown import GracefulShutdown

HOST = '127.0.0.1'
WORK_S = 0.1
DRAIN_S = 2.0
READ_BYTES = 65536
QUEUED = 5


def stopping_node(service: CallService) -> Mock:
    """Build a node without peers that listens for callers."""
    server = CallerServer(service)
    server.listeners = bind_sockets(0, HOST)
    server.add_sockets(server.listeners)
    gate = Mock(admission=Mock(in_flight=0, queued=0))
    return Mock(
        service=service,
        caller_server=server,
        peer_server=Mock(sessions=set()),
        gate=gate,
        router=Mock(),
    )


@then(
    'orders that wait in the accept queue are answered '
    'before the node has finished its work'
)
def accept_queue_answered(context: Any) -> None:
    """Connect and send orders while the event loop is busy, then finish the work."""
    callers = asyncio.run(_finish_with_queued(echo_service(WORK_S)))
    for caller in callers:
        assert read_until_end(caller).startswith(b'HTTP/1.1 200'), callers


async def _finish_with_queued(service: CallService) -> list[socket.socket]:
    node = stopping_node(service)
    address = node.caller_server.listeners[0].getsockname()
    callers = [socket.create_connection(address) for _ in range(QUEUED)]
    for caller in callers:
        caller.sendall(encode_order('/order'))
    service.is_stopping = True
    await GracefulShutdown(node).finish_work(time.monotonic() + DRAIN_S)
    return callers


def read_until_end(caller: socket.socket) -> bytes:
    """Read what a node sent before it closed the connection."""
    caller.settimeout(DRAIN_S)
    received = b''
    try:
        while HEAD_END not in received:
            chunk = caller.recv(READ_BYTES)
            if not chunk:
                break
            received += chunk
    except ConnectionError:
        return received
    finally:
        caller.close()
    return received
