"""Random sequences of what a caller may do on one connection, checked against h11.

:source: ``h11`` parses what the caller sends, as the reference for the requests that a
    node may pass on, and what the node answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import sys
import termios
from itertools import pairwise

import h11
from connection_builders import echo_body, echo_service
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.iostream import IOStream

from lavendermount_core.models.calls import CallRequest
from lavendermountd.caller.connection import CallerConnection

OK = 200
MALFORMED = 400
MAX_WORK_MS = 12
PAUSE_S = 0.004
# Time after which a connection that should have ended counts as stuck.
STUCK_S = 5.0
READ_BYTES = 65536
# Turns of the event loop in which nothing must happen before a connection is at rest.
QUIET_TURNS = 4
UPGRADE = 'Connection: Upgrade\r\nUpgrade: h2c\r\n'
EXPECT = 'Expect: 100-continue\r\n'
CLOSE = 'Connection: close\r\n'
# What follows the last request: nothing, bytes that are no request, or a part of one.
TAILS = (b'', b'', b'', b'\x00\x01 / HTTP/1.1\r\n\r\n', b'POST /part HTTP/1.1\r\nHo')

REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(('GET', 'POST')),
        st.sampled_from((b'', b'x' * 30, b'y' * 3000)),
        st.booleans(),
        st.sampled_from(('', '', '', '', UPGRADE, EXPECT, CLOSE)),
        st.integers(0, MAX_WORK_MS),
    ),
    min_size=1,
    max_size=20,
)


class Sequence:
    """What a caller sends, in which pieces, and what happens meanwhile.

    :param requests: method, body, whether it is chunked, further headers and the time
        that the target takes in milliseconds, of each request.
    :param tail: bytes behind the last request.
    :param cuts: places at which the bytes are split.
    :param stop_after: number of pieces after which the node stops; -1 if it doesn't.
    :param leaves: whether the caller closes the connection behind the last piece.
    """

    def __init__(
        self,
        requests: list[tuple[str, bytes, bool, str, int]],
        tail: bytes,
        cuts: list[int],
        stop_after: int,
        leaves: bool,
    ) -> None:
        """Encode the requests and split their bytes."""
        self.works_ms = [drawn[-1] for drawn in requests]
        self.payload = b''.join(
            _encode(number, *drawn[:4]) for number, drawn in enumerate(requests)
        )
        self.payload += tail
        size = len(self.payload)
        places = sorted({0, size, *(cut % (size + 1) for cut in cuts)})
        self.pieces = [self.payload[start:end] for start, end in pairwise(places)]
        self.stop_after = stop_after
        self.leaves = leaves

    def work_s(self, request: CallRequest) -> float:
        """Return how long the target takes for a request."""
        return self.works_ms[int(request.path.lstrip('/'))] / 1000


class Expected:
    """What h11 reads from the bytes of a sequence.

    :param payload: the bytes.
    """

    def __init__(self, payload: bytes) -> None:
        """Parse the bytes up to the end, an error, or a request that closes."""
        self.requests: list[tuple[str, str, bytes]] = []
        self.is_malformed = False
        self.closes = False
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(payload)
        with contextlib.suppress(h11.RemoteProtocolError):
            self.is_malformed = True
            while self.take_request(connection):
                pass
            self.is_malformed = False

    def take_request(self, connection: h11.Connection) -> bool:
        """Take the next request; return whether another one may follow."""
        request, body = None, b''
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        self.requests.append((request.method.decode(), request.target.decode(), body))
        connection.send(h11.Response(status_code=OK, headers=[('Content-Length', '0')]))
        connection.send(h11.EndOfMessage())
        if connection.our_state is h11.MUST_CLOSE:
            self.closes = True
            return False
        connection.start_next_cycle()
        return True


class Outcome:
    """What the caller received, and what the node passed on.

    :param received: all bytes that the caller received.
    :param passed_on: the requests that the node passed on.
    :param has_ended: whether the node closed the connection.
    """

    def __init__(
        self, received: bytes, passed_on: list[CallRequest], has_ended: bool
    ) -> None:
        """Parse the replies."""
        self.passed_on = passed_on
        self.has_ended = has_ended
        self.replies: list[tuple[int, bytes, bool]] = []
        rest = received
        while rest:
            rest = self.take_reply(rest)

    def take_reply(self, received: bytes) -> bytes:
        """Parse one reply; return the bytes behind it."""
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
        connection.send(h11.EndOfMessage())
        connection.receive_data(received)
        response, body = None, b''
        while True:
            event = connection.next_event()
            assert event is not h11.NEED_DATA, f'a reply is not complete: {received!r}'
            if isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
        assert response is not None
        # Names of headers are in lower case.
        is_last = (b'connection', b'close') in list(response.headers)
        self.replies.append((response.status_code, body, is_last))
        return bytes(connection.trailing_data[0])


async def play(sequence: Sequence) -> Outcome:
    """Send a sequence to a connection of a node, and read until it ends.

    A node that is stopping closes it once it is idle. Without a reason to close, the
    caller closes it once all bytes were read and nothing is owed.
    """
    service = echo_service(sequence.work_s)
    caller_end, node_end = socket.socketpair()
    caller_end.setblocking(False)
    connection = CallerConnection(service, IOStream(node_end))
    serving = asyncio.create_task(connection.run())
    received = bytearray()
    reading = asyncio.create_task(_read_all(caller_end, received))
    loop = asyncio.get_running_loop()
    for number, piece in enumerate(sequence.pieces):
        if number == sequence.stop_after:
            service.is_stopping = True
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(caller_end, piece)
        await asyncio.sleep(PAUSE_S if number % 3 == 0 else 0)
    if not sequence.leaves:
        async with asyncio.timeout(STUCK_S):
            await _wait_for_end(connection, reading, (caller_end, node_end))
    has_ended = reading.done()
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    caller_end.close()
    await asyncio.wait_for(serving, STUCK_S)
    if service.active_tasks:
        await asyncio.wait(set(service.active_tasks), timeout=STUCK_S)
    answered = b'' if sequence.leaves else bytes(received)
    return Outcome(answered, service.router.received, has_ended)


async def _wait_for_end(
    connection: CallerConnection,
    reading: asyncio.Task[None],
    sockets: tuple[socket.socket, ...],
) -> None:
    """Wait until the connection ends, or owes nothing and all bytes were read."""
    turns = 0
    while not reading.done() and turns < QUIET_TURNS:
        await asyncio.sleep(PAUSE_S / 8)
        state = connection.state
        is_at_rest = state.is_accepting and not state.owes_replies
        turns = turns + 1 if is_at_rest and not any(map(_unread, sockets)) else 0
        if turns and connection.service.is_stopping:
            connection.close_if_idle(0)


def _unread(end: socket.socket) -> int:
    """Return how many bytes wait in the receive buffer of a socket."""
    if end.fileno() < 0:
        return 0
    size = fcntl.ioctl(end, termios.FIONREAD, bytes(4))
    return int.from_bytes(size, sys.byteorder)


async def _read_all(caller_end: socket.socket, received: bytearray) -> None:
    """Read until the node closes."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionError):
        while chunk := await loop.sock_recv(caller_end, READ_BYTES):
            received += chunk


def check(sequence: Sequence) -> None:
    """Play a sequence and compare its outcome with what h11 expects."""
    expected = Expected(sequence.payload)
    outcome = asyncio.run(play(sequence))
    passed_on = [(each.method, each.path, each.body) for each in outcome.passed_on]
    assert passed_on == expected.requests[: len(passed_on)], 'other requests ran'
    if sequence.leaves:
        return
    answered = [(OK, echo_body(path, body)) for _, path, body in expected.requests][
        : len(passed_on)
    ]
    replies = [(status, body) for status, body, _ in outcome.replies]
    assert replies[: len(answered)] == answered, 'a reply is missing or another one'
    refusals = [status for status, _ in replies[len(answered) :]]
    is_whole = len(passed_on) == len(expected.requests)
    is_refused = is_whole and expected.is_malformed and sequence.stop_after < 0
    assert refusals in ([], [MALFORMED]), refusals
    assert not is_refused or refusals == [MALFORMED], 'malformed bytes are not refused'
    assert not refusals or expected.is_malformed, refusals
    last = [is_last for _, _, is_last in outcome.replies]
    assert True not in last[:-1], 'a reply follows one that closes the connection'
    if sequence.stop_after < 0:
        assert is_whole, 'a request was not passed on'
        assert outcome.has_ended == (expected.closes or expected.is_malformed)
    if outcome.has_ended and last:
        assert last[-1], 'the connection closes without a word'


def _encode(
    number: int, method: str, body: bytes, is_chunked: bool, headers: str
) -> bytes:
    head = f'{method} /{number} HTTP/1.1\r\nHost: x\r\n{headers}'
    if not is_chunked:
        return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body
    middle = len(body) // 2
    chunks = b''.join(
        f'{len(part):x}\r\n'.encode() + part + b'\r\n'
        for part in (body[:middle], body[middle:])
        if part
    )
    return f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode() + chunks + b'0\r\n\r\n'


def search(count: int, *, is_random: bool = False) -> None:
    """Play generated sequences.

    :param count: number of sequences.
    :param is_random: whether each run draws others.
    """

    @settings(max_examples=count, derandomize=not is_random, deadline=None)
    @given(
        REQUESTS,
        st.sampled_from(TAILS),
        st.lists(st.integers(0, 70_000), max_size=12),
        st.integers(-6, 8),
        st.sampled_from((False, False, False, True)),
    )
    def run(
        requests: list[tuple[str, bytes, bool, str, int]],
        tail: bytes,
        cuts: list[int],
        stop_after: int,
        leaves: bool,
    ) -> None:
        check(Sequence(requests, tail, cuts, max(stop_after, -1), leaves))

    run()


if __name__ == '__main__':
    search(int(sys.argv[1]), is_random=True)
