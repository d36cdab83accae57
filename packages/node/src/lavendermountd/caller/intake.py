"""Bounds what the connections of all callers hold before their requests are complete.

Each connection takes memory and a descriptor, also if it sends nothing, and more for a
request that is not complete. When there is too little left, those are shed that have
held most for longest without a finished request: an ordinary request is complete soon.
No connection is shed while its request is in progress.

:units: bytes; seconds on the node's monotonic clock.
:errors: none are raised.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from heapq import nlargest
from itertools import islice
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lavendermountd.caller.connection import CallerConnection
    from lavendermountd.http1.request_parser import RequestLimits
    from lavendermountd.memory import BodyBuffer

log = logging.getLogger(__name__)

# What a connection takes with nothing in it.
CONNECTION_BYTES: Final = 16384
# Memory for connections, in addition to the budget for bodies and as a part of it.
CAPACITY_DIVISOR: Final = 4
MAX_CAPACITY_BYTES: Final = 33_554_432
# Part of the descriptors that is kept for other nodes, the target and the log.
RESERVED_DIVISOR: Final = 4
MAX_RESERVED: Final = 1024
# Part of the connections that are shed together, so that not each newcomer searches.
BATCH_DIVISOR: Final = 32
# Time without data after which an upload is shed for one that has no room.
STALLED_S: Final = 1.0


class Intake:
    """Counts what connections hold, and chooses those that are shed.

    :param limits: hold the memory budget of the node.
    """

    __slots__ = ('limits', 'counted', 'held_bytes', 'max_descriptors', 'parsing')

    def __init__(self, limits: RequestLimits) -> None:
        """Start without connections."""
        self.limits = limits
        # Bytes that are counted for each connection.
        self.counted: dict[CallerConnection, int] = {}
        self.held_bytes = 0
        # Descriptors that the node may open; 0 for the limit of the process.
        self.max_descriptors = 0
        # Held while data of a request in many parts is processed.
        self.parsing = asyncio.Lock()

    @property
    def capacity_bytes(self) -> int:
        """Bytes that all connections together may hold."""
        part = self.limits.memory.capacity_bytes // CAPACITY_DIVISOR
        return min(part, MAX_CAPACITY_BYTES)

    @property
    def max_connections(self) -> int:
        """Number of connections for which there are descriptors."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self.max_descriptors:
            descriptors = min(descriptors, self.max_descriptors)
        return descriptors - min(descriptors // RESERVED_DIVISOR, MAX_RESERVED)

    def add(self, connection: CallerConnection) -> bool:
        """Count a connection; others may close for it.

        :returns: whether there is a descriptor for it.
        """
        excess = len(self.counted) + 1 - self.max_connections
        if excess > 0:
            # Those that wait for their callers to close are not needed any more.
            ended = (each for each in self.counted if each.state.is_finished)
            chosen = list(islice(ended, excess)) or self.choose(excess)
            self.report(chosen, 'descriptors')
            for closed in chosen:
                closed.stream.close()
                self.remove(closed)
            if len(chosen) < excess:
                return False
        self.counted[connection] = 0
        self.update(connection)
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Count a connection no longer."""
        self.held_bytes -= self.counted.pop(connection, 0)

    def update(self, connection: CallerConnection) -> None:
        """Count what a connection holds now; others are shed if that is too much."""
        if connection not in self.counted:
            return
        self.count(connection)
        if self.held_bytes > self.capacity_bytes:
            chosen = self.choose(1 + len(self.counted) // BATCH_DIVISOR)
            self.report(chosen, 'memory')
            self.shed(chosen)

    def count(self, connection: CallerConnection) -> None:
        """Count what a connection holds; one that is about to close holds nothing."""
        size = CONNECTION_BYTES + _incomplete_bytes(connection)
        if not connection.state.is_accepting:
            size = 0
        self.held_bytes += size - self.counted[connection]
        self.counted[connection] = size

    def make_room(self, upload: BodyBuffer | None) -> None:
        """Shed uploads that have stalled for one without room.

        :param upload: the one without room; ``None`` if there is none.
        """
        missing_bytes = 0 if upload is None else upload.missing_bytes
        now = time.monotonic()
        stalled = [
            each
            for each in self.counted
            if _upload_bytes(each)
            and each.state.is_sheddable
            and each.state.used_at < now - STALLED_S
        ]
        stalled.sort(key=lambda each: _weight(each, now), reverse=True)
        chosen = []
        for connection in stalled:
            if missing_bytes <= 0:
                break
            chosen.append(connection)
            missing_bytes -= _upload_bytes(connection)
        self.report(chosen, 'memory for bodies')
        self.shed(chosen)

    def shed(self, connections: list[CallerConnection]) -> None:
        """Refuse incomplete requests and close idle connections."""
        for connection in connections:
            connection.shed()
            self.count(connection)

    def choose(self, count: int) -> list[CallerConnection]:
        """Choose the connections that are shed first."""
        now = time.monotonic()
        able = [each for each in self.counted if each.state.is_sheddable]
        return nlargest(count, able, key=lambda each: _weight(each, now))

    def report(self, connections: list[CallerConnection], resource_name: str) -> None:
        """Log connections that are shed."""
        if not connections:
            return
        log.warning(
            'connections-shed',
            extra={
                'count': len(connections),
                'resource': resource_name,
                'open': len(self.counted),
                'held_bytes': self.held_bytes,
            },
        )


def _incomplete_bytes(connection: CallerConnection) -> int:
    """Return what a request that is not complete takes, besides a large body."""
    parser = connection.state.parser
    head_bytes = parser.head.held_bytes + len(parser.target)
    # The parser itself holds a line that has no end yet.
    return max(head_bytes, parser.head_received_size) + len(parser.small_body)


def _upload_bytes(connection: CallerConnection) -> int:
    """Return the share of the memory that a large body has taken."""
    upload = connection.state.parser.large_body
    return 0 if upload is None else upload.share.size


def _weight(connection: CallerConnection, now: float) -> float:
    """Return what is held, times how long no request has been finished."""
    held_bytes = (
        CONNECTION_BYTES + _incomplete_bytes(connection) + _upload_bytes(connection)
    )
    return held_bytes * (now - connection.state.finished_at)
