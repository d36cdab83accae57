"""Steps for connections whose other end sends without a pause."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Coroutine
from typing import Any
from unittest.mock import MagicMock, Mock

from behave import then
from connection_builders import echo_service
from tornado.iostream import StreamClosedError

from lavendermount_core.exceptions import PeerLinkError
from lavendermountd.caller.connection import CallerConnection
from lavendermountd.http1.client import ExchangeError, HttpConnection
from lavendermountd.peer.frame_stream import FrameStream

PART_COUNT = 200
PART = b'x' * 4096


class EagerStream(MagicMock):
    """A stream on which data has always arrived, until it closes."""

    def start(self, head: bytes) -> None:
        """Begin with a head that endless parts follow."""
        self.parts = [head, *itertools.repeat(PART, PART_COUNT)]
        self.closed = Mock(return_value=False)
        self.writing = Mock(return_value=False)
        self.socket.recv = Mock(side_effect=BlockingIOError)
        self.error = None

    def read_bytes(self, size: int, partial: bool) -> asyncio.Future[bytes]:
        """Return a part that has arrived."""
        if not self.parts:
            raise StreamClosedError
        arrived: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        arrived.set_result(self.parts.pop(0))
        return arrived


async def count_passes(reading: Coroutine[Any, Any, Any]) -> int:
    """Count the passes of the event loop while a connection is read to its end."""
    passes = 0
    task = asyncio.ensure_future(reading)
    while not task.done():
        await asyncio.sleep(0)
        passes += 1
    return passes


async def read_target(stream: EagerStream) -> None:
    """Read the reply of a target."""
    stream.start(b'HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n')
    with contextlib.suppress(ExchangeError):
        await HttpConnection(stream, 10000000).exchange(b'GET / HTTP/1.1\r\n\r\n')


async def read_caller(stream: EagerStream) -> None:
    """Read the request of a caller."""
    stream.start(b'POST / HTTP/1.1\r\nContent-Length: 10000000\r\n\r\n')
    connection = CallerConnection(echo_service(0), stream)
    await connection.read_requests()


async def read_peer(stream: EagerStream) -> None:
    """Read a frame of another node: bytes of 10 MB."""
    stream.start(b'\xc6\x00\x98\x96\x80')
    with contextlib.suppress(PeerLinkError):
        await FrameStream(stream).receive()


READERS = {'target': read_target, 'caller': read_caller, 'peer': read_peer}


@then('a {sender} that sends without a pause leaves the event loop to other tasks')
def leaves_loop(context: Any, sender: str) -> None:
    """Compare the passes of the event loop with the parts that were read."""
    stream = EagerStream()
    passes = asyncio.run(count_passes(READERS[sender](stream)))
    assert not stream.parts
    assert passes >= PART_COUNT, passes
