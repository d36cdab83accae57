"""Reads from connections that leave the event loop to other tasks in between.

A read of data that has arrived already ends at once, without a pass of the event loop.
A sender that never pauses would keep the loop to itself: no other request would be
served, and no time limit would pass.

:units: bytes.
:source: ``tornado.iostream``.
"""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream

READ_BYTES = 65536


async def read_available(stream: IOStream) -> bytes:
    """Wait for data and return what has arrived, at most ``READ_BYTES``.

    :raises StreamClosedError: if the connection closes first.
    """
    return await finish_read(begin_read(stream))


def begin_read(stream: IOStream, max_bytes: int = READ_BYTES) -> asyncio.Future[bytes]:
    """Begin to read; ``finish_read`` waits for the data.

    :param max_bytes: most that is read.
    :raises StreamClosedError: if the connection is closed.
    """
    return asyncio.ensure_future(stream.read_bytes(max_bytes, partial=True))


async def finish_read(pending: asyncio.Future[bytes]) -> bytes:
    """Wait for the data of a read; let other tasks run if it has arrived already.

    :raises StreamClosedError: if the connection closes first.
    """
    if pending.done():
        await asyncio.sleep(0)
    return await pending
