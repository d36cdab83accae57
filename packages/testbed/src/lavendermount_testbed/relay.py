"""TCP relay that simulates the link between regions.

It adds delay, limits the bandwidth, aborts connections and drops bytes.

:shapes: a relay listens on several ports of its own IP address and forwards
    each to the same port of another address.
:units: milliseconds and megabits per second, as the names say.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
import tomllib
from collections import deque
from functools import partial
from pathlib import Path

from lavendermount_core.utils.units import MS_PER_S

CHUNK_BYTES = 16384
RECEIVE_BUFFER_BYTES = 65536
MAX_QUEUE_S = 0.05
BITS_PER_BYTE = 8
MEGA = 1_000_000


class Link:
    """Settings, faults and counters that all connections of a relay share.

    The attributes are set by name through the control port. While ``is_cut``
    is set, connections are aborted: they are closed at once and unsent bytes are
    discarded. While ``is_silent`` is set, their bytes are dropped;
    ``silence_open`` drops those of the connections that are open when it is set.

    :param delay_ms: one-way delay.
    :param mbit: bandwidth in each direction.
    """

    __slots__ = (
        'delay_s',
        'bytes_s',
        'is_cut',
        'is_silent',
        'silenced_at',
        'free_at',
        'carried',
    )

    def __init__(self, delay_ms: float, mbit: float) -> None:
        """Start without faults."""
        self.delay_s = delay_ms / MS_PER_S
        self.bytes_s = mbit * MEGA / BITS_PER_BYTE
        self.is_cut = False
        self.is_silent = False
        self.silenced_at: float = 0
        self.free_at: dict[str, float] = {'up': 0, 'down': 0}
        self.carried = 0

    async def wait_for_queue_space(self, direction: str) -> None:
        """Wait until the queue of a direction takes at most ``MAX_QUEUE_S`` to send."""
        while self.free_at[direction] - time.monotonic() > MAX_QUEUE_S:
            await asyncio.sleep(MAX_QUEUE_S / 2)

    @property
    def silence_open(self) -> bool:
        """Whether connections opened before ``silenced_at`` are silenced."""
        return self.silenced_at > 0

    @silence_open.setter
    def silence_open(self, enabled: bool) -> None:
        """Silence all connections open now; a false value ends the silence."""
        self.silenced_at = time.monotonic() if enabled else 0

    def schedule_arrival(self, direction: str, size: int) -> float:
        """Queue bytes for sending and return when they arrive.

        They are sent after all bytes queued earlier in the same direction.
        """
        now = time.monotonic()
        self.carried += size
        begin = max(now, self.free_at[direction])
        self.free_at[direction] = begin + size / self.bytes_s
        return self.free_at[direction] + self.delay_s


class Pipe:
    """One direction of a connection.

    :param link: link that the connection crosses.
    :param direction: ``up`` towards the remote side, ``down`` back.
    """

    def __init__(self, link: Link, direction: str) -> None:
        """Start with an empty queue."""
        self.link = link
        self.direction = direction
        self.opened_at = time.monotonic()
        self.queue: deque[tuple[float, bytes]] = deque()
        self.has_data = asyncio.Event()

    async def enqueue_chunks(self, reader: asyncio.StreamReader) -> None:
        """Read chunks and queue them with their arrival times until the end."""
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            if self.is_silent():
                if not chunk:
                    return
                continue
            await self.link.wait_for_queue_space(self.direction)
            arrival = self.link.schedule_arrival(self.direction, len(chunk))
            self.queue.append((arrival, chunk))
            self.has_data.set()
            if not chunk:
                return

    def is_silent(self) -> bool:
        """Whether the bytes of this connection are dropped."""
        return self.link.is_silent or self.opened_at < self.link.silenced_at

    async def deliver_chunks(self, writer: asyncio.StreamWriter) -> None:
        """Write each queued chunk at its arrival time until the end."""
        while True:
            while not self.queue:
                self.has_data.clear()
                await self.has_data.wait()
            arrival, chunk = self.queue.popleft()
            await asyncio.sleep(max(0, arrival - time.monotonic()))
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()


class Relay:
    """Forwards connections over a simulated link.

    :param link: the link.
    :param forward_host: IP address that connections are forwarded to.
    """

    def __init__(self, link: Link, forward_host: str) -> None:
        """Start without connections."""
        self.link = link
        self.forward_host = forward_host
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve_port(self, host: str, port: int) -> asyncio.Server:
        """Listen on a port and forward its connections."""
        accept = partial(self.forward, port)
        listener = socket.create_server((host, port))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return await asyncio.start_server(accept, sock=listener, limit=CHUNK_BYTES)

    async def forward(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection until either side closes it, then abort both ends.

        It is aborted at once if the link is cut or the remote side can't be reached.
        """
        if self.link.is_cut:
            writer.transport.abort()
            return
        await asyncio.sleep(self.link.delay_s)
        try:
            remote_reader, remote_writer = await asyncio.open_connection(
                self.forward_host,
                port,
                limit=CHUNK_BYTES,
            )
            _limit_receive_buffer(remote_writer)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, remote_writer}
        up = Pipe(self.link, 'up')
        down = Pipe(self.link, 'down')
        tasks = [
            asyncio.create_task(up.enqueue_chunks(reader)),
            asyncio.create_task(up.deliver_chunks(remote_writer)),
            asyncio.create_task(down.enqueue_chunks(remote_reader)),
            asyncio.create_task(down.deliver_chunks(writer)),
        ]
        await asyncio.wait(
            (tasks[1], tasks[3]),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for endpoint in (writer, remote_writer):
            self.writers.discard(endpoint)
            endpoint.transport.abort()

    async def control(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Set link attributes from one line of JSON and reply with counters."""
        line = await reader.readline()
        for name, setting in json.loads(line or b'{}').items():
            setattr(self.link, name, setting)
        if self.link.is_cut:
            self.abort_all()
        state = {'carried': self.link.carried, 'connections': len(self.writers) // 2}
        writer.write(f'{json.dumps(state)}\n'.encode())
        await writer.drain()
        writer.close()

    def abort_all(self) -> None:
        """Abort every connection."""
        for writer in tuple(self.writers):
            writer.transport.abort()


def _limit_receive_buffer(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


async def run_relay(settings_file: Path) -> None:
    """Run a relay until cancelled.

    :param settings_file: TOML with ``host``, ``ports``, ``forward_host``,
        ``delay_ms``, ``mbit`` and ``control_port``.
    """
    settings = tomllib.loads(settings_file.read_text())
    link = Link(settings['delay_ms'], settings['mbit'])
    relay = Relay(link, settings['forward_host'])
    for port in settings['ports']:
        await relay.serve_port(settings['host'], port)
    await asyncio.start_server(
        relay.control,
        settings['host'],
        settings['control_port'],
    )
    await asyncio.Event().wait()
