"""Steps that check what a stopping node does with its last requests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from behave import then
from connection_builders import (
    NOT_PASSED_ON,
    SocketRouter,
    echo_service,
    encode_order,
)
from tornado.netutil import bind_sockets

from lavendermountd import process
from lavendermountd.caller.server import CallerServer
from lavendermountd.caller.service import CallService
from lavendermountd.shutdown import GracefulShutdown
from lavendermountd.supervision.supervisor import SupervisionError

HOST = '127.0.0.1'
WORK_S = 0.1
DRAIN_S = 2.0
READ_BYTES = 65536
QUEUED = 5
LONG_WORK_S = 5.0
SHORT_DRAIN_S = 0.4


def stopping_node(service: CallService) -> Mock:
    """Build a node without peers that listens for callers."""
    server = CallerServer(service)
    server.listeners = bind_sockets(0, HOST)
    server.add_sockets(server.listeners)
    return Mock(
        service=service,
        caller_server=server,
        peer_server=Mock(sessions=set(), close_after_replies=AsyncMock()),
        gate=Mock(admission=Mock(in_flight=0, queued=0)),
        router=Mock(),
        settings=Mock(drain_s=DRAIN_S, listen_s=WORK_S),
        period_s=WORK_S,
        gossip_nearby=AsyncMock(),
        recorder=Mock(flush=AsyncMock()),
        channels=Mock(close=AsyncMock()),
        stop_requested=asyncio.Event(),
    )


@then(
    'orders that wait in the accept queue are answered '
    'before the node has finished its work'
)
def accept_queue_answered(context: Any) -> None:
    """Connect and send orders while the event loop is busy, then finish the work."""
    orders = [encode_order('/order') for _ in range(QUEUED)]
    for reply in finish_work_with(orders, WORK_S, DRAIN_S):
        assert reply.startswith(b'HTTP/1.1 200'), reply


@then('a request that a target runs at the end of the drain is answered as unknown')
def running_unknown(context: Any) -> None:
    """End a node while a target runs an order."""
    replies = finish_work_with([encode_order('/order')], LONG_WORK_S, SHORT_DRAIN_S)
    assert b'X-Outcome: unknown' in replies[0], replies


@then(
    'one that was not passed on, and one without its whole body, are refused as not run'
)
def waiting_not_run(context: Any) -> None:
    """End a node while orders wait, one of them for the rest of its body."""
    orders = [encode_order(NOT_PASSED_ON), encode_order('/order', b'xx')[:-1]]
    replies = finish_work_with(orders, LONG_WORK_S, SHORT_DRAIN_S)
    for status, reply in zip((b'503', b'408'), replies, strict=True):
        assert b'X-Outcome: not-run' in reply, reply
        assert reply.startswith(b'HTTP/1.1 ' + status), reply


@then(
    'an order that arrives while the event loop is busy until after that end '
    'is refused as not run'
)
def busy_end_answered(context: Any) -> None:
    """Send the rest of an order, and keep the event loop busy until the drain is over."""
    order = encode_order(NOT_PASSED_ON)
    service = echo_service(LONG_WORK_S)
    reply = asyncio.run(
        _finish_while_busy(service, order[:1], lambda caller: caller.sendall(order[1:]))
    )
    assert b'X-Outcome: not-run' in reply, reply


@then('a reply that arrives while the event loop is busy then is passed on')
def late_reply(context: Any) -> None:
    """Let a target answer, and keep the event loop busy until the drain is over."""
    service = echo_service()
    router = SocketRouter()
    service.router = router
    with router.target_end as target:
        reply = asyncio.run(
            _finish_while_busy(
                service, encode_order('/order'), lambda caller: target.sendall(b'x')
            )
        )
    assert reply.startswith(b'HTTP/1.1 200'), reply


async def _finish_while_busy(
    service: CallService, sent: bytes, send_late: Callable[[socket.socket], object]
) -> bytes:
    """Let a stopping node finish its work; keep its event loop busy until the end.

    :param sent: what a caller sends before that.
    :param send_late: sends what arrives while the event loop is busy.
    :returns: what the caller received.
    """
    node = stopping_node(service)
    caller = socket.create_connection(node.caller_server.listeners[0].getsockname())
    caller.sendall(sent)

    def send_and_block() -> None:
        send_late(caller)
        time.sleep(2 * SHORT_DRAIN_S)

    asyncio.get_running_loop().call_later(SHORT_DRAIN_S / 2, send_and_block)
    service.is_stopping = True
    await GracefulShutdown(node).finish_work(time.monotonic() + SHORT_DRAIN_S)
    return read_until_end(caller)


@then('requests in progress are answered when the tasks of a node fail too often')
def failure_answers(context: Any) -> None:
    """Let the supervisor tree of a node fail while an order runs."""
    callers: list[socket.socket] = []
    try:
        asyncio.run(_fail_with_order(callers))
    except SupervisionError:
        assert read_until_end(callers[0]).startswith(b'HTTP/1.1 200')
        return
    raise AssertionError('the failure was not raised')


async def _fail_with_order(callers: list[socket.socket]) -> None:
    service = echo_service(LONG_WORK_S / 10)
    # The router of this node has neither attempts nor queues.
    service.router.stops_at = 0
    node = stopping_node(service)
    callers.append(
        socket.create_connection(node.caller_server.listeners[0].getsockname())
    )
    callers[0].sendall(encode_order('/order'))

    async def fail_later() -> None:
        await asyncio.sleep(WORK_S)
        raise SupervisionError('a task failed too often')

    tree = Mock(root=Mock(return_value=Mock(run=fail_later)))
    with (
        patch.object(process, 'Node', return_value=node),
        patch.object(process, 'NodeTree', return_value=tree),
        patch.object(process, 'limit_exit') as limit_exit,
    ):
        try:
            await process.run_process(Mock(), Mock())
        finally:
            assert limit_exit.call_args.args[-1] == SupervisionError.exit_code


def finish_work_with(orders: list[bytes], work_s: float, drain_s: float) -> list[bytes]:
    """Let a stopping node finish its work and end.

    :param orders: bytes that wait in its accept queue, each on a connection.
    :param work_s: time that its target takes.
    :param drain_s: time that it has.
    :returns: what each caller received until the end.
    """
    callers = asyncio.run(_finish_work(orders, echo_service(work_s), drain_s))
    return [read_until_end(caller) for caller in callers]


async def _finish_work(
    orders: list[bytes], service: CallService, drain_s: float
) -> list[socket.socket]:
    node = stopping_node(service)
    address = node.caller_server.listeners[0].getsockname()
    callers = [socket.create_connection(address) for _ in orders]
    for caller, order in zip(callers, orders, strict=True):
        caller.sendall(order)
    service.is_stopping = True
    await GracefulShutdown(node).finish_work(time.monotonic() + drain_s)
    return callers


def read_until_end(caller: socket.socket) -> bytes:
    """Read what a node sent before its end of the connection was closed."""
    caller.settimeout(DRAIN_S)
    received = b''
    with caller, contextlib.suppress(ConnectionError):
        while chunk := caller.recv(READ_BYTES):
            received += chunk
    return received
