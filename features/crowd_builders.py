"""Builders of crowds: callers that send at once, and stay open without an end.

:units: seconds; bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from lavendermount_core.utils.registry import Registry

# Longest time in which a crowd sends, and time for which it then stays open.
SEND_S: Final = 10
STAY_S: Final = 1
HEAD_BYTES: Final = 16_000
MEDIUM_BODY_BYTES: Final = 262_144
LARGE_BODY_BYTES: Final = 1_000_000
CHUNK_BYTES: Final = 4096

Payload = Callable[[], bytes]
payloads: Registry[str, Payload] = Registry('payload of a crowd')


class Crowd:
    """Connections that each send the same, and are closed together.

    :param port: port that they connect to.
    :param payload: what each of them sends.
    """

    def __init__(self, port: int, payload: bytes) -> None:
        """Start without connections."""
        self.port = port
        self.payload = memoryview(payload)
        self.connections: list[socket.socket] = []

    async def send(self, count: int) -> None:
        """Connect and send, and stay open for a while."""
        sending = [asyncio.create_task(self.send_one()) for _ in range(count)]
        _, unsent = await asyncio.wait(sending, timeout=SEND_S)
        for task in unsent:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await asyncio.sleep(STAY_S)

    async def send_one(self) -> None:
        """Connect and send what the node takes."""
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)  # noqa: WPS425
        self.connections.append(connection)
        with contextlib.suppress(ConnectionError):
            await loop.sock_connect(connection, ('127.0.0.1', self.port))
            await loop.sock_sendall(connection, self.payload)

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()


def count_descriptors(process: Any) -> int:
    """Count the open descriptors of a process."""
    return len(list(Path(f'/proc/{process.popen.pid}/fd').iterdir()))


@payloads.register('nothing')
def nothing() -> bytes:
    """Build a request that has not begun."""
    return b''


@payloads.register('a head of short lines without its end')
def short_lines() -> bytes:
    """Build a head of lines of six bytes."""
    lines = b''.join(b'%03x:\r\n' % (number % 4096) for number in range(2600))
    return b'POST /order HTTP/1.1\r\nHost: shop\r\n' + lines[:HEAD_BYTES]


@payloads.register('a whole head of short lines')
def whole_short_lines() -> bytes:
    """Build a request with a head of lines of six bytes."""
    return short_lines().rpartition(b'\r\n')[0] + b'\r\nContent-Length: 0\r\n\r\n'


@payloads.register('a head of short lines and a body without its last byte')
def short_lines_and_body() -> bytes:
    """Build a request of a large head and a small body."""
    head = short_lines().rpartition(b'\r\n')[0]
    return head + b'\r\nContent-Length: 5\r\n\r\nfour'


@payloads.register('a body of 16 kB in chunks of 1 byte without its end')
def small_body_in_bytes() -> bytes:
    """Build a small body in the smallest chunks."""
    return _chunked(1, HEAD_BYTES)


@payloads.register('a body of 256 kB without its last byte')
def medium_body() -> bytes:
    """Build a body by length."""
    return _by_length(MEDIUM_BODY_BYTES)


@payloads.register('a body of 1 MB without its last byte')
def large_body() -> bytes:
    """Build a large body by length."""
    return _by_length(LARGE_BODY_BYTES)


@payloads.register('a body of 1 MB in chunks of 4 kB without its end')
def large_body_in_chunks() -> bytes:
    """Build a large body in chunks."""
    return _chunked(CHUNK_BYTES, LARGE_BODY_BYTES)


@payloads.register('a body of 1 MB in chunks of 1 byte without its end')
def large_body_in_bytes() -> bytes:
    """Build a large body in the smallest chunks."""
    return _chunked(1, LARGE_BODY_BYTES)


def _by_length(size: int) -> bytes:
    head = f'POST /order HTTP/1.1\r\nHost: shop\r\nContent-Length: {size}\r\n\r\n'
    return head.encode() + b'b' * (size - 1)


def _chunked(chunk_bytes: int, size: int) -> bytes:
    head = b'POST /order HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'c' * chunk_bytes)
    return head + chunk * (size // chunk_bytes)
