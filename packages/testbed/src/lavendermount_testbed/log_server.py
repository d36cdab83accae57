"""In-memory HTTP server that replaces the platform's append-only log in tests.

:shapes: ``POST /streams/S`` appends, ``GET /streams/S?offset=&wait_ms=``
    reads, ``POST /control`` sets faults and evicts records; it and
    ``GET /control`` return counters.
:units: milliseconds and seconds, as the names say.
"""

from __future__ import annotations

import asyncio
import json
import time

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from lavendermount_core.models.records import pack
from lavendermount_core.utils.units import MS_PER_S

MAX_BATCH_RECORDS = 500
GONE = 410
UNAVAILABLE = 503
POLL_INTERVAL_S = 0.05


class Stream:
    """One append-only stream of records; offsets start at 0."""

    __slots__ = ('records', 'append_times', 'oldest', 'appended')

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.append_times: list[float] = []
        self.oldest = 0
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.oldest + len(self.records)

    def copy(self) -> Stream:
        """Return a copy, from which the log can come back."""
        copied = Stream()
        copied.records = list(self.records)
        copied.append_times = list(self.append_times)
        copied.oldest = self.oldest
        return copied

    def append(self, body: bytes) -> int:
        """Append a record, wake waiting readers and return its offset."""
        self.records.append(body)
        self.append_times.append(time.monotonic())
        self.appended.set()
        self.appended = asyncio.Event()
        return self.end - 1

    def evict_below(self, offset: int) -> None:
        """Remove the records below an offset."""
        count = max(0, min(offset, self.end) - self.oldest)
        self.records = self.records[count:]
        self.append_times = self.append_times[count:]
        self.oldest += count

    def evict_before(self, before: float) -> None:
        """Remove the records appended before a time of the monotonic clock."""
        count = 0
        while count < len(self.append_times) and self.append_times[count] < before:
            count += 1
        self.evict_below(self.oldest + count)

    def read(self, offset: int) -> bytes:
        """Encode a batch of at most ``MAX_BATCH_RECORDS`` records from an offset on."""
        first = max(0, offset - self.oldest)
        bodies = self.records[first : first + MAX_BATCH_RECORDS]
        rows = [
            [self.oldest + first + index, body] for index, body in enumerate(bodies)
        ]
        next_offset = offset + len(rows)
        return pack([self.oldest, next_offset, self.end, rows])


# Longer than any client waits for a response.
SILENCE_S = 3600


class Faults:
    """Faults that are injected now; set by name through ``/control``.

    :param outage: every request is answered with status 503.
    :param slow_ms: delay before each request is handled.
    :param lose_answers: number of appends that succeed but whose connection is
        closed without a response.
    :param lose_claims: the same, for streams of claims only.
    :param retention_s: age at which records are evicted.
    :param silent: requests that arrive are never answered; those that already wait
        for a record are.
    """

    __slots__ = (
        'outage',
        'slow_ms',
        'lose_answers',
        'lose_claims',
        'retention_s',
        'silent',
    )

    def __init__(self) -> None:
        """Start without faults."""
        self.outage = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.lose_claims = 0
        self.retention_s = float('inf')
        self.silent = False

    def should_fail_response(self, name: str) -> bool:
        """Whether to drop the response to an append that succeeded.

        Counts the fault down.
        """
        if self.lose_claims and name.startswith('claims.'):
            self.lose_claims -= 1
            return True
        if not self.lose_answers:
            return False
        self.lose_answers -= 1
        return True


class LogState:
    """The streams, the injected faults, the era and the number of appends."""

    __slots__ = ('streams', 'copied_streams', 'era', 'faults', 'appends')

    def __init__(self) -> None:
        """Start without streams or faults."""
        self.streams: dict[str, Stream] = {}
        self.copied_streams: dict[str, Stream] = {}
        self.era = 0
        self.faults = Faults()
        self.appends = 0

    def take_copy(self) -> None:
        """Copy all streams."""
        self.copied_streams = {
            name: stream.copy() for name, stream in self.streams.items()
        }

    def restore_copy(self) -> None:
        """Come back from the copy in the next era; later records are lost."""
        self.streams = self.copied_streams
        self.era += 1

    def get_stream(self, name: str) -> Stream:
        """Get or create a stream and evict its expired records."""
        stream = self.streams.setdefault(name, Stream())
        stream.evict_before(time.monotonic() - self.faults.retention_s)
        return stream


class LogHandler(RequestHandler):
    """Base class of the handlers, with access to the log's state."""

    def initialize(self, state: LogState) -> None:
        """Store the state; called by tornado for each request."""
        self.state = state

    async def apply_faults(self) -> bool:
        """Apply the silence, the delay and the outage.

        :returns: whether an outage ends the request, with status 503.
        """
        faults = self.state.faults
        if faults.silent:
            await asyncio.sleep(SILENCE_S)
        self.set_header('Log-Era', str(self.state.era))
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / MS_PER_S)
        if faults.outage:
            self.set_status(UNAVAILABLE)
        return faults.outage


class StreamHandler(LogHandler):
    """Appends to and reads from a stream."""

    async def post(self, name: str) -> None:
        """Append the request body as a record and return its offset."""
        if await self.apply_faults():
            return
        self.state.appends += 1
        offset = self.state.get_stream(name).append(self.request.body)
        if self.state.faults.should_fail_response(name):
            self.drop_connection()
            return
        self.write(str(offset))

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.stream.close()
        self._finished = True

    async def get(self, name: str) -> None:
        """Read from an offset; at the end, wait up to ``wait_ms`` for a record."""
        if await self.apply_faults():
            return
        offset = int(self.get_argument('offset'))
        wait_s = int(self.get_argument('wait_ms', '0')) / MS_PER_S
        await self.wait_for_record(name, offset, wait_s)
        if self.state.faults.outage:
            self.set_status(UNAVAILABLE)
            return
        stream = self.state.get_stream(name)
        if not stream.oldest <= offset <= stream.end:
            self.set_status(GONE)
            self.write(str(stream.oldest))
            return
        self.write(stream.read(offset))

    async def wait_for_record(self, name: str, offset: int, wait_s: float) -> None:
        """Wait for a record at the offset, until an outage or the timeout."""
        deadline = time.monotonic() + wait_s
        while not self.state.faults.outage and time.monotonic() < deadline:
            stream = self.state.get_stream(name)
            if stream.end > offset:
                return
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await stream.appended.wait()
            except TimeoutError:
                stream.evict_before(time.monotonic() - self.state.faults.retention_s)


class ControlHandler(LogHandler):
    """Sets faults, evicts records and reports counters."""

    def post(self) -> None:
        """Set the faults and evict the records named in a JSON object.

        ``evict`` maps a stream to its new oldest offset; ``copy`` and ``restore``
        keep a copy of all streams and come back from it; any other key is a field
        of :class:`Faults`.
        """
        payload = json.loads(self.request.body)
        if payload.pop('copy', False):
            self.state.take_copy()
        if payload.pop('restore', False):
            self.state.restore_copy()
        evict = payload.pop('evict', {})
        for name, offset in evict.items():
            self.state.get_stream(name).evict_below(offset)
        for name, setting in payload.items():
            setattr(self.state.faults, name, setting)
        self.get()

    def get(self) -> None:
        """Return the number of appends and the end offset of each stream."""
        ends = {name: stream.end for name, stream in self.state.streams.items()}
        self.write({'appends': self.state.appends, 'ends': ends})


def build_application(state: LogState) -> Application:
    """Build the HTTP application that serves a state."""
    arguments = {'state': state}
    return Application(
        [
            ('/streams/([^/]+)', StreamHandler, arguments),
            ('/control', ControlHandler, arguments),
        ],
        log_function=_log_nothing,
    )


async def serve_log(host: str, port: int) -> None:
    """Serve until cancelled.

    :param host: IP address to listen on.
    :param port: port to listen on.
    """
    server = HTTPServer(build_application(LogState()))
    server.listen(port, address=host)
    await asyncio.Event().wait()


def _log_nothing(request: RequestHandler) -> None:
    """Disable the access log."""
