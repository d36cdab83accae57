"""Builders of targets and nodes that go on while the event loop of a test is busy."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial
from typing import BinaryIO
from unittest.mock import Mock

from builders import DEALER, call_request, gate_with_target, member, preset_snapshot
from tornado.netutil import bind_sockets

from lavendermount_core.models.calls import CallRequest
from lavendermount_core.models.members import Member
from lavendermountd.gate.attempts import Attempt
from lavendermountd.gate.gate import Gate
from lavendermountd.peer.link_pool import LinkPool
from lavendermountd.peer.server import PeerServer
from lavendermountd.presets.holder import compile_preset
from lavendermountd.routing.request_state import RequestState
from lavendermountd.routing.sender import Sender
from lavendermountd.supervision.freeze import FreezeGuard

HEAD_END_LINE = b'\r\n'
# Time after which the limits pass that the tests set.
LIMIT_S = 1.0
# By how much a stall outlasts such a limit.
EXCESS_S = 0.05
REPLY_BODY = b'done'
# More connections than a listener with a backlog of 0 holds.
BACKLOG_FILLERS = 8

Serve = Callable[[socket.socket], None]


def encode_reply(body: bytes, headers: str = '') -> bytes:
    """Encode a successful reply of a target."""
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{headers}\r\n'
    return head.encode() + body


class HeldReplies:
    """A target that holds its replies back until a test allows them.

    :param reply_body: body of each reply.
    """

    def __init__(self, reply_body: bytes = REPLY_BODY) -> None:
        """Start without requests."""
        self.reply_body = reply_body
        self.request_sizes: list[int] = []
        self.received = threading.Event()
        self.may_reply = threading.Event()
        self.replied = threading.Event()

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of a connection, each once that is allowed."""
        with connection.makefile('rb') as stream:
            for body in iter(partial(read_request, stream), None):
                self.request_sizes.append(len(body))
                self.received.set()
                self.may_reply.wait()
                connection.sendall(encode_reply(self.reply_body))
                self.replied.set()

    async def wait_until_received(self) -> None:
        """Wait until the target has received a request."""
        await asyncio.to_thread(self.received.wait)

    def reply_while_busy(self, limit_at: float) -> None:
        """Let the replies arrive while the event loop is busy, until a limit passes.

        :param limit_at: time at which the limit passes.
        """
        self.may_reply.set()
        self.replied.wait()
        block_until(limit_at)

    async def reply_when_received(self, limit_at: float) -> None:
        """Do so as soon as the target has received the request."""
        await self.wait_until_received()
        self.reply_while_busy(limit_at)


def block_until(limit_at: float) -> None:
    """Keep the event loop busy until shortly after a time."""
    time.sleep(max(0, limit_at - time.monotonic()) + EXCESS_S)


def read_request(stream: BinaryIO) -> bytes | None:
    """Read a request and return its body; ``None`` at the end of the connection."""
    size = 0
    for line in iter(stream.readline, HEAD_END_LINE):
        if not line:
            return None
        name, _, text = line.partition(b':')
        if name.lower() == b'content-length':
            size = int(text)
    return stream.read(size)


@contextlib.contextmanager
def threaded_target(serve: Serve) -> Iterator[int]:
    """Run a target whose connections have a thread each; return its port."""

    def serve_one(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            serve(connection)

    def accept() -> None:
        with contextlib.suppress(OSError):
            for connection, _ in iter(listener.accept, None):
                threading.Thread(target=serve_one, args=(connection,)).start()

    with socket.create_server(('127.0.0.1', 0)) as listener:
        accepting = threading.Thread(target=accept)
        accepting.start()
        try:
            yield listener.getsockname()[1]
        finally:
            # Ends the call of ``accept``, which closing the socket does not.
            listener.shutdown(socket.SHUT_RDWR)
            accepting.join()


class ThreadedNode:
    """The gate of a node and its peer server, in a thread and event loop of their own.

    :param target_port: port of the target.
    """

    def __init__(self, target_port: int) -> None:
        """Create the gate when the thread starts."""
        self.target_port = target_port
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.server: PeerServer = None  # type: ignore[assignment]

    async def listen(self) -> Member:
        """Accept links; return the node as a member."""
        gate = gate_for(self.target_port)
        self.server = PeerServer(gate, FreezeGuard())
        listeners = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(listeners)
        return member(
            gate.identity.node_id,
            peer_port=listeners[0].getsockname()[1],
            incarnation=gate.identity.incarnation,
        )

    def call(self, function: Callable[[], object]) -> None:
        """Call a function in the thread of the node."""
        self.loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        """Close all connections, and let the thread end."""
        asyncio.run_coroutine_threadsafe(self.close(), self.loop).result()
        self.call(self.loop.stop)

    async def close(self) -> None:
        """Close all connections."""
        self.server.stop()
        self.server.close_all()
        self.server.gate.client.close_idle()
        await asyncio.sleep(0)


@contextlib.contextmanager
def threaded_node(serve: Serve) -> Iterator[tuple[ThreadedNode, Member]]:
    """Run a node whose target serves connections with a function."""
    with threaded_target(serve) as port:
        node = ThreadedNode(port)
        node.thread.start()
        listening = asyncio.run_coroutine_threadsafe(node.listen(), node.loop)
        try:
            yield node, listening.result()
        finally:
            node.stop()
            node.thread.join()


@contextlib.contextmanager
def unreachable_node() -> Iterator[Member]:
    """Build a member to which connections hang, as they do behind a partition."""
    with contextlib.ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(BACKLOG_FILLERS):
            filler = sockets.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield member('unreachable', peer_port=address[1])


def gate_for(port: int) -> Gate:
    """Build a gate whose target serves the example service."""
    gate = gate_with_target(port)
    gate.target.service = DEALER
    return gate


@contextlib.asynccontextmanager
async def connected_sender() -> AsyncIterator[Sender]:
    """Build the sender of a node without a target; close its links afterwards."""
    gate = gate_with_target(1)
    gate.identity.member.node_id = 'origin'
    links = LinkPool(gate.identity, Mock(), Mock())
    try:
        yield Sender(gate, links)
    finally:
        links.close_all()


def order(deadline_s: float, body: bytes = b'') -> CallRequest:
    """Build an order that must be answered within a time."""
    return _within(deadline_s, call_request('POST', '/order', body))


def lookup(deadline_s: float) -> CallRequest:
    """Build a lookup that must be answered within a time."""
    return _within(deadline_s, call_request())


def _within(deadline_s: float, request: CallRequest) -> CallRequest:
    request.deadline = time.monotonic() + deadline_s
    return request


def attempt_of(request: CallRequest, number: int = 1) -> Attempt:
    """Build an attempt of a request."""
    return Attempt(f'a-{number}', request, 'f')


def state_of(request: CallRequest) -> RequestState:
    """Build the state of a request that is routed."""
    return RequestState(request, compile_preset(preset_snapshot(1)))
