"""Callers of the loss soak, which record how each of their requests ended.

They keep connections open, reuse them after up to ``MAX_IDLE_RATIO`` of the idle
timeout, and go on using them until the node closes them.

:units: seconds on the monotonic clock.
:errors: none are raised; each failure is the ending of a request.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum
from http import HTTPStatus

from lavendermount_core.utils.registry import Registry

# Ratio of the idle timeout after which a caller may still reuse a connection.
MAX_IDLE_RATIO = 0.8
# Ratio of the shortest timeout that may pass between two parts of a request.
MAX_PART_PAUSE_RATIO = 0.4
MAX_PART_PAUSE_S = 1.0
MAX_PARTS = 4
MAX_BODY_BYTES = 3000
MAX_LONG_BODY_BYTES = 1000000
MAX_PIPELINED = 4
RECONNECT_S = 0.1
REPLY_TIMEOUT_S = 10.0
DEADLINE_MS = 3000
LAG_TICK_S = 0.02
SAFE_RATIO = 0.4
# Statuses that promise that the request has not run and never will.
PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class Ending(StrEnum):
    """How a request ended."""

    ANSWERED = 'answered'
    # The connection closed after the request was sent, without a complete reply.
    CLOSED = 'closed'
    # The connection closed before the request was sent completely.
    UNSENT = 'unsent'
    # The connection stayed open without a reply.
    SILENT = 'silent'


class SentRequest:
    """One request and how it ended.

    ``idle_s`` is for how long its connection was unused, as its caller saw it,
    ``sent_at`` is when its last byte was sent, ``ended_at`` when the reply was
    complete or the connection closed.

    :param run_id: identifier by which targets count executions.
    :param node: name of the node that it was sent to.
    :param method: HTTP method.
    :param is_behind: whether it was sent behind another one that was not answered yet.
    """

    __slots__ = (
        'run_id',
        'node',
        'method',
        'is_behind',
        'pattern',
        'idle_s',
        'sent_at',
        'ended_at',
        'ending',
        'status',
        'is_matching',
    )

    def __init__(self, run_id: str, node: str, method: str, is_behind: bool) -> None:
        """Start as a request that has not been sent."""
        self.run_id = run_id
        self.node = node
        self.method = method
        self.is_behind = is_behind
        self.pattern = ''
        self.idle_s: float = 0
        self.sent_at: float = 0
        self.ended_at: float = 0
        self.ending = Ending.UNSENT
        self.status = 0
        self.is_matching = True

    def end(self, ending: Ending) -> None:
        """Record how the request ended."""
        self.ending = ending
        self.ended_at = time.monotonic()

    def end_with_reply(self, status: int, body: bytes) -> None:
        """Record a complete reply."""
        self.end(Ending.ANSWERED)
        self.status = status
        if status == HTTPStatus.OK:
            self.is_matching = json.loads(body.rstrip(b'.'))['run'] == self.run_id


class Session:
    """One connection of a caller to a node.

    :param callers: the callers that it belongs to.
    :param node: name of the node.
    :param reader: receives what the node sends.
    :param writer: sends to the node.
    """

    __slots__ = (
        'callers',
        'node',
        'reader',
        'writer',
        'pattern',
        'is_open',
        'used_at',
    )

    def __init__(
        self,
        callers: Callers,
        node: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take ownership of an open connection."""
        self.callers = callers
        self.node = node
        self.reader = reader
        self.writer = writer
        self.pattern = ''
        self.is_open = True
        self.used_at = time.monotonic()

    @property
    def goes_on(self) -> bool:
        """Whether the connection is open and the run has not ended."""
        return self.is_open and not self.callers.is_over

    def has_closed(self) -> bool:
        """Return whether the node is known to have closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    async def call(
        self, methods: Sequence[str], max_parts: int = 1, body_bytes: int = 0
    ) -> None:
        """Send requests at once and read their replies in order.

        :param methods: HTTP method of each request.
        :param max_parts: number of parts in which each is sent.
        """
        sent: list[SentRequest] = []
        for method in methods:
            request = self.callers.create_request(self.node, method, bool(sent))
            request.pattern = self.pattern
            request.idle_s = time.monotonic() - self.used_at
            sent.append(request)
            body = b'x' * body_bytes
            await self.send(request, self.encode(request, body), max_parts)
        for awaited in sent:
            if awaited.ended_at:
                continue
            if Ending.SILENT in {request.ending for request in sent}:
                awaited.end(Ending.SILENT)
                continue
            await self.read_reply(awaited)
        self.used_at = time.monotonic()

    def encode(self, request: SentRequest, body: bytes) -> bytes:
        """Encode a request."""
        lines = (
            f'{request.method} /order HTTP/1.1',
            'Host: dealer-desk',
            f'X-Run-Id: {request.run_id}',
            f'X-Deadline-Ms: {DEADLINE_MS}',
            f'Content-Length: {len(body)}',
            '',
            '',
        )
        return '\r\n'.join(lines).encode() + body

    async def send(self, request: SentRequest, payload: bytes, max_parts: int) -> None:
        """Send a request, in parts with pauses between them."""
        rng = self.callers.rng
        cuts = sorted(rng.randrange(1, len(payload)) for _ in range(1, max_parts))
        for start, end in zip((0, *cuts), (*cuts, len(payload)), strict=True):
            if start:
                await asyncio.sleep(rng.uniform(0, self.callers.max_part_pause_s))
            if self.has_closed():
                self.is_open = False
                request.end(Ending.UNSENT)
                return
            self.writer.write(payload[start:end])
        request.sent_at = time.monotonic()

    async def read_reply(self, request: SentRequest) -> None:
        """Read the reply to a request, or record why there is none."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await self.read_message(request)
        except TimeoutError:
            self.is_open = False
            request.end(Ending.SILENT)
        except (OSError, asyncio.IncompleteReadError):
            self.is_open = False
            request.end(Ending.CLOSED)

    async def read_message(self, request: SentRequest) -> None:
        """Read one reply.

        :raises OSError: if the connection is reset.
        :raises IncompleteReadError: if it closes before the reply is complete.
        """
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        status_line, *lines = head.rstrip().split('\r\n')
        fields = [line.partition(':') for line in lines]
        headers = {name.lower(): text.strip() for name, _, text in fields}
        body = await self.reader.readexactly(int(headers['content-length']))
        request.end_with_reply(int(status_line.split()[1]), body)
        if headers.get('connection') == 'close':
            self.is_open = False

    async def idle(self) -> None:
        """Leave the connection unused for a part of the idle timeout, often most of it.

        If this would send more requests than ``rate_per_s`` in total, the connection is
        left unused for longer, and is not used again.
        """
        if not self.is_open:
            return
        callers = self.callers
        idle_s = callers.rng.triangular(0, callers.max_idle_s, callers.max_idle_s)
        cycle_s = callers.connection_count / callers.rate_per_s
        if callers.rng.random() * cycle_s > callers.max_idle_s:
            idle_s = cycle_s
            self.is_open = False
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(idle_s):
                stray = await self.reader.read(1)
                self.is_open = False
                callers.stray_counts[self.node] += len(stray)


Pattern = Callable[[Session], Awaitable[None]]
patterns: Registry[str, Pattern] = Registry('pattern')


@patterns.register('kept')
async def use_repeatedly(session: Session) -> None:
    """Send one request after another."""
    while session.goes_on:
        is_safe = session.callers.rng.random() < SAFE_RATIO
        await session.call(['GET' if is_safe else 'POST'])
        await session.idle()


@patterns.register('parts')
async def send_in_parts(session: Session) -> None:
    """Send orders with a body, whose heads and bodies arrive in parts."""
    while session.goes_on:
        rng = session.callers.rng
        limit = rng.choice((MAX_BODY_BYTES, MAX_LONG_BODY_BYTES))
        await session.call(['POST'], MAX_PARTS, rng.randrange(limit))
        await session.idle()


@patterns.register('pipelined')
async def send_without_waiting(session: Session) -> None:
    """Send safe requests before the first one has been answered."""
    while session.goes_on:
        count = session.callers.rng.randint(2, MAX_PIPELINED)
        await session.call(['GET' for _ in range(count)])
        await session.idle()


@patterns.register('new')
async def use_once(session: Session) -> None:
    """Send one order on a new connection."""
    await session.call(['POST'])
    session.writer.close()
    await asyncio.sleep(session.callers.max_idle_s)


class Callers:
    """All callers of a run, and the requests that they sent.

    :param ports: caller port of each node, by name.
    :param connections: connections to each node.
    :param seed: seed of the callers.
    """

    def __init__(self, ports: dict[str, int], connections: int, seed: int) -> None:
        """Start without requests."""
        self.ports = ports
        self.connection_count = connections * len(ports)
        self.seed = seed
        self.rng = random.Random(seed)
        self.timeout_s: float = 1
        self.rate_per_s: float = 160
        self.is_over = False
        self.requests: list[SentRequest] = []
        self.stray_counts = dict.fromkeys(ports, 0)
        # When each late tick of the callers' event loop was due, and when it came.
        self.lags: list[tuple[float, float]] = []

    @property
    def max_idle_s(self) -> float:
        """Maximum time for which a connection is unused before it is used again."""
        return self.timeout_s * MAX_IDLE_RATIO

    @property
    def max_part_pause_s(self) -> float:
        """Maximum time between two parts of a request."""
        return min(self.timeout_s * MAX_PART_PAUSE_RATIO, MAX_PART_PAUSE_S)

    @property
    def late_s(self) -> float:
        """Time for which the callers themselves were late, in the whole run."""
        return sum(late_until - due_at for due_at, late_until in self.lags)

    def create_request(self, node: str, method: str, is_behind: bool) -> SentRequest:
        """Create the record of a request that is about to be sent."""
        run_id = f'{self.seed}-{len(self.requests)}'
        request = SentRequest(run_id, node, method, is_behind)
        self.requests.append(request)
        return request

    def lag_between(self, start: float, end: float) -> float:
        """Return for how long the callers themselves were late in a period."""
        overlaps = (
            min(late_until, end) - max(due_at, start)
            for due_at, late_until in self.lags
        )
        return sum(overlap for overlap in overlaps if overlap > 0)

    async def run(self) -> None:
        """Use all connections until ``is_over``, and wait for the last replies."""
        watch = asyncio.create_task(self.watch_lag())
        per_node = self.connection_count // len(self.ports)
        names = patterns.names()
        # Half of the connections are kept, the others follow all patterns in turn.
        mix = [
            'kept' if index % 2 else names[index // 2 % len(names)]
            for index in range(per_node)
        ]
        await asyncio.gather(
            *(self.run_caller(node, name) for node in self.ports for name in mix)
        )
        watch.cancel()

    async def run_caller(self, node: str, pattern: str) -> None:
        """Open one connection after another to a node."""
        await asyncio.sleep(self.rng.random())
        while not self.is_over:
            try:
                streams = await asyncio.open_connection('127.0.0.1', self.ports[node])
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            session = Session(self, node, *streams)
            session.pattern = pattern
            await patterns.find(pattern)(session)
            session.writer.close()

    async def watch_lag(self) -> None:
        """Record when the callers' own event loop is late."""
        while True:
            due_at = time.monotonic() + LAG_TICK_S
            await asyncio.sleep(LAG_TICK_S)
            now = time.monotonic()
            if now > due_at + LAG_TICK_S:
                self.lags.append((due_at, now))
