"""Server that accepts connections of callers.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from lavendermountd.caller.connection import READ_BYTES, CallerConnection
from lavendermountd.caller.service import CallService
from lavendermountd.http1.client import configure_socket

log = logging.getLogger(__name__)

DRAIN_IDLE_S = 2.0
BACKLOG = 1024


class CallerServer(TCPServer):
    """Accepts connections from callers and serves each in its own task.

    :param service: handles the requests.
    """

    def __init__(self, service: CallService) -> None:
        """Create the server without listening; ``run`` starts to listen."""
        super().__init__(read_chunk_size=READ_BYTES)
        self.service = service
        self.connections: set[CallerConnection] = set()
        self.backlog_tasks: set[asyncio.Task[None]] = set()
        self.listeners: list[socket.socket] = []

    def handle_stream(self, stream: IOStream, address: object) -> Awaitable[None]:
        """Register a connection.

        It counts as open before its task begins, so that a stopping node waits for it.

        :returns: serves the connection until it closes.
        """
        connection = CallerConnection(self.service, stream)
        if not self.service.intake.add(connection):
            return _refuse(stream)
        self.connections.add(connection)
        return self.serve(connection)

    async def serve(self, connection: CallerConnection) -> None:
        """Serve one connection until it closes."""
        try:
            configure_socket(connection.stream)
            await connection.run()
        finally:
            self.connections.discard(connection)
            self.service.intake.remove(connection)

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        self.listeners = bind_sockets(port, host, backlog=BACKLOG)
        self.add_sockets(self.listeners)
        try:
            await asyncio.Event().wait()
        finally:
            self.stop_listening()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue.

        Connections in the accept queue of the kernel are accepted first:
        closing the listener would reset them, and requests sent on them would
        be lost.
        """
        for listener in self.listeners:
            self.accept_pending(listener)
        self.stop()

    def accept_pending(self, listener: socket.socket) -> None:
        """Accept the connections in the accept queue of the kernel."""
        while True:
            try:
                connection, address = listener.accept()
            except OSError:
                return
            connection.setblocking(False)  # noqa: WPS425
            stream = IOStream(connection, read_chunk_size=READ_BYTES)
            task = asyncio.ensure_future(self.handle_stream(stream, address))
            self.backlog_tasks.add(task)
            task.add_done_callback(self.backlog_tasks.discard)

    def close_idle(self, idle_s: float) -> None:
        """Close the connections that were unused for some time.

        :param idle_s: minimum time without use.
        """
        for connection in tuple(self.connections):
            connection.close_if_idle(idle_s)

    def end_requests(self) -> None:
        """Answer the requests that a stopping node can't complete."""
        for connection in tuple(self.connections):
            connection.end()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in tuple(self.connections):
            with contextlib.suppress(OSError):
                connection.stream.close()


async def _refuse(stream: IOStream) -> None:
    """Close a connection for which there is no descriptor."""
    stream.close()
