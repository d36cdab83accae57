"""Frames over a TCP connection.

:errors: ``PeerLinkError`` when the connection closes, ``RecordError`` when
    the peer sends data that is not a valid frame.
:source: ``tornado.iostream`` and the streaming decoder of ``msgpack``.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable

import msgpack
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from lavendermount_core.exceptions import PeerLinkError, RecordError
from lavendermount_core.models.calls import Body
from lavendermount_core.models.records import Record
from lavendermountd.fair_reading import read_available
from lavendermountd.peer.frames import (
    MAX_PART_BYTES,
    BodyPart,
    decode_frame,
    encode_frame,
)

# Limits the unsent bytes in the kernel, so that frames sent between the parts of
# a large body don't wait behind all of it.
NOTSENT_LOWAT_BYTES = 131072
MAX_FRAME_BYTES = 2097152


class FrameStream:
    """Sends and receives frames over one connection.

    :param stream: an open connection.
    """

    __slots__ = (
        'stream',
        'unpacker',
        'bytes_sent',
        'bytes_received',
        'last_received_at',
        'on_sent',
    )

    def __init__(self, stream: IOStream) -> None:
        """Take ownership of the connection and set its socket options."""
        stream.set_nodelay(True)
        stream.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NOTSENT_LOWAT,
            NOTSENT_LOWAT_BYTES,
        )
        self.stream = stream
        self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self.bytes_sent = 0
        self.bytes_received = 0
        # A frame may take long on a slow VM link, so each part of it counts.
        self.last_received_at = time.monotonic()
        # Called with each frame and its size, to meter the traffic.
        self.on_sent: Callable[[Record, int], None] | None = None

    async def receive(self) -> Record:
        """Wait for the next frame.

        :raises PeerLinkError: if the connection closes first.
        :raises RecordError: if the peer sent data that is not a valid frame.
        :returns: the frame.
        """
        while True:
            row = self.next_row()
            if row is not None:
                return decode_frame(row)
            await self.fill_buffer()

    def next_row(self) -> object | None:
        """Decode the next row from the receive buffer.

        :raises RecordError: if the bytes are not valid msgpack.
        :returns: the row, or ``None`` if more bytes are needed.
        """
        try:
            return next(self.unpacker, None)
        except (ValueError, msgpack.UnpackException) as error:
            raise RecordError(f'malformed frame: {error}') from error

    async def fill_buffer(self) -> None:
        """Read available bytes from the connection into the buffer.

        :raises PeerLinkError: if the connection is closed.
        :raises RecordError: if a frame exceeds ``MAX_FRAME_BYTES``.
        """
        try:
            chunk = await read_available(self.stream)
        except StreamClosedError as error:
            raise PeerLinkError('connection closed') from error
        self.bytes_received += len(chunk)
        self.last_received_at = time.monotonic()
        try:
            self.unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise RecordError('frame is too large') from error

    def send(self, frame: Record) -> Awaitable[None]:
        """Queue a frame for sending; frames are sent in the order of the calls.

        :param frame: an instance of a registered frame class.
        :raises PeerLinkError: if the connection is closed or its send buffer is
            full.
        :returns: an awaitable that completes when the bytes have been written
            to the socket.
        """
        encoded = encode_frame(frame)
        self.bytes_sent += len(encoded)
        if self.on_sent is not None:
            self.on_sent(frame, len(encoded))
        try:
            return self.stream.write(encoded)
        except (StreamClosedError, StreamBufferFullError) as error:
            raise PeerLinkError('connection closed or send buffer full') from error

    async def send_body(self, attempt_id: str, body: Body) -> None:
        """Send the remaining parts of a large body, buffering one at a time.

        Frames of other attempts can be sent between the parts.

        :param attempt_id: attempt that the body belongs to.
        :param body: the complete body; its first part was sent with the head
            frame.
        :raises PeerLinkError: if the connection is closed.
        """
        view = memoryview(body)
        for start in range(MAX_PART_BYTES, len(body), MAX_PART_BYTES):
            part = BodyPart(attempt_id, bytes(view[start : start + MAX_PART_BYTES]))
            try:
                await self.send(part)
            except StreamClosedError as error:
                raise PeerLinkError('connection closed') from error
            await asyncio.sleep(0)

    def close_sending(self) -> None:
        """Close the sending side, unless frames have not been written yet."""
        if self.stream.closed() or self.stream.writing():
            return
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
