"""Test target with configurable slots, service times and faults.

:shapes: any path replies with a JSON description of the request; ``POST
    /.control`` sets faults; it and ``GET /.control`` return the counters.
:units: milliseconds, as the names say.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import random
import sys
import time
import tomllib
from collections import Counter
from http import HTTPStatus
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from lavendermount_core.utils.digests import random_identifier
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.caller import CallerPool

ENDLESS_PART_BYTES = 16384
CONTROL_PATH = '/.control'
CRASH_EXIT_CODE = 13
RUN_COUNT_FIELDS = frozenset(('ran', 'ran_posts'))
ANNOUNCE_RETRY_S = 0.2
MAX_BODY_BYTES = 67108864


class Behaviour:
    """Service time, faults and counters; set by name through ``/.control``.

    ``factor`` multiplies the service time, and ``fail_status`` is the status that
    requests get without being run, 0 for none. With ``answer_early``, a request is
    answered once its head has arrived; with ``drop_reused``, a connection that was
    used before is closed when the next request arrives. ``asked`` counts the requests
    received, ``started`` those run, ``ran`` and ``ran_posts`` runs by ``X-Run-Id``.

    :param service_ms: mean service time of a request.
    :param is_random: whether service times are exponentially distributed
        instead of fixed.
    """

    __slots__ = (
        'service_ms',
        'is_random',
        'factor',
        'fail_status',
        'retry_after',
        'truncate',
        'endless',
        'answer_early',
        'drop_reused',
        'second_copy_ms',
        'silent',
        'ran',
        'ran_posts',
        'overlap',
        'started',
        'asked',
        'silenced_at',
    )

    def __init__(self, service_ms: float, is_random: bool) -> None:
        """Start without faults and with all counters at 0."""
        self.service_ms = service_ms
        self.is_random = is_random
        self.factor = 1.0
        self.fail_status = 0
        self.retry_after = ''
        self.truncate = False
        self.endless = False
        self.answer_early = False
        self.drop_reused = False
        self.second_copy_ms = 0
        self.silent = False
        self.ran: Counter[str] = Counter()
        self.ran_posts: Counter[str] = Counter()
        self.overlap = 0
        self.started = 0
        self.asked = 0
        self.silenced_at: float = 0

    @property
    def silence_open(self) -> bool:
        """Whether requests on connections used before ``silenced_at`` are ignored."""
        return self.silenced_at > 0

    @silence_open.setter
    def silence_open(self, enabled: bool) -> None:
        """Silence all connections used so far; a false value ends the silence."""
        self.silenced_at = time.monotonic() if enabled else 0

    def next_service_s(self) -> float:
        """Return the service time of the next request, drawn if it is random."""
        mean_s = self.service_ms * self.factor / MS_PER_S
        if not self.is_random:
            return mean_s
        return random.expovariate(1 / mean_s)


class TargetExchange(HTTPMessageDelegate):
    """One request and its reply.

    :param server: the target.
    :param connection: connection that the reply is written to.
    :param opened_at: time of the first request on the connection.
    :param is_reused: whether the connection was used before.
    """

    def __init__(
        self,
        server: TargetServer,
        connection: HTTPConnection,
        opened_at: float,
        is_reused: bool,
    ) -> None:
        """Start without a request."""
        self.opened_at = opened_at
        self.is_reused = is_reused
        self.is_started = False
        self.server = server
        self.connection = connection
        self.start_line = RequestStartLine('', '', '')
        self.headers = HTTPHeaders()
        self.body_chunks: list[bytes] = []

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the request line and the headers."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        if start_line.path == CONTROL_PATH:
            return
        behaviour = self.server.behaviour
        if behaviour.drop_reused and self.is_reused:
            self.connection.stream.close()  # type: ignore[attr-defined]
        elif behaviour.answer_early:
            self.start_response()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self.body_chunks.append(chunk)

    def finish(self) -> None:
        """Respond to the request, unless that was done early."""
        if not self.is_started:
            self.start_response()

    def start_response(self) -> None:
        """Start a task that responds to the request."""
        self.is_started = True
        task = asyncio.create_task(self.respond())
        self.server.tasks.add(task)
        task.add_done_callback(self.server.tasks.discard)

    def on_connection_close(self) -> None:
        """Ignore that the connection was closed."""

    async def respond(self) -> None:
        """Apply the faults, run the request and write the reply."""
        if self.start_line.path == CONTROL_PATH:
            self.handle_control()
            return
        if 'X-Crash' in self.headers:
            os._exit(CRASH_EXIT_CODE)
        behaviour = self.server.behaviour
        behaviour.asked += 1
        if behaviour.silent or self.opened_at < behaviour.silenced_at:
            return
        if behaviour.fail_status:
            self.write_response(behaviour.fail_status, b'failed')
            return
        if behaviour.endless:
            await self.write_without_end()
            return
        async with self.server.slots:
            self.record_run()
            await asyncio.sleep(behaviour.next_service_s())
        inner = await self.send_nested_request()
        self.write_response(HTTPStatus.OK, self.build_body(inner))
        if behaviour.second_copy_ms:
            await self.write_second_copy(behaviour.second_copy_ms, inner)

    async def write_without_end(self) -> None:
        """Write a header until the node closes the connection."""
        stream = self.connection.stream  # type: ignore[attr-defined]
        with contextlib.suppress(StreamClosedError):
            await stream.write(b'HTTP/1.1 200 OK\r\nX-Endless: ')
            while True:
                await stream.write(b'x' * ENDLESS_PART_BYTES)

    async def write_second_copy(
        self, delay_ms: float, inner: dict[str, object] | None
    ) -> None:
        """Write the reply again, late; the connection may be in use again."""
        await asyncio.sleep(delay_ms / MS_PER_S)
        body = self.build_body(inner)
        lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(body)}', *self.id_lines()]
        head = '\r\n'.join((*lines, '', '')).encode()
        with contextlib.suppress(StreamClosedError):
            await self.connection.stream.write(head + body)  # type: ignore[attr-defined]

    def id_lines(self) -> list[str]:
        """Build the header that repeats the request's identifier, if it has one."""
        request_id = self.headers.get('X-Request-Id', '')
        return [f'X-Request-Id: {request_id}'] if request_id else []

    def handle_control(self) -> None:
        """Set faults if the method is POST and respond with the counters."""
        behaviour = self.server.behaviour
        if self.start_line.method == 'POST':
            for name, setting in json.loads(b''.join(self.body_chunks)).items():
                converted = Counter(setting) if name in RUN_COUNT_FIELDS else setting
                setattr(behaviour, name, converted)
        report = {
            'ran': dict(behaviour.ran),
            'ran_posts': dict(behaviour.ran_posts),
            'started': behaviour.started,
            'asked': behaviour.asked,
            'pid': os.getpid(),
        }
        self.write_response(HTTPStatus.OK, json.dumps(report).encode())

    def record_run(self) -> None:
        """Count a run under the ``X-Run-Id`` that the caller set."""
        behaviour = self.server.behaviour
        behaviour.started += 1
        run_id = self.headers.get('X-Run-Id', '')
        if run_id:
            behaviour.ran[run_id] += 1
            if self.start_line.method == 'POST':
                behaviour.ran_posts[run_id] += 1

    async def send_nested_request(self) -> dict[str, object] | None:
        """Send a nested request to the target's own node if ``X-Hops`` asks for it.

        :returns: the reply to the nested request, or None without hops.
        """
        hops = int(self.headers.get('X-Hops', '0'))
        if not hops:
            return None
        headers = {
            'X-Hops': str(hops - 1),
            'X-Deadline-Ms': self.headers.get('X-Deadline-Ms', ''),
        }
        path = self.start_line.path
        received = await self.server.node_pool.call('GET', path, headers)
        return received.parse_json()

    def build_body(self, inner: dict[str, object] | None) -> bytes:
        """Build a body that describes the request, padded to ``X-Reply-Size``."""
        size = int(self.headers.get('X-Reply-Size', '0'))
        received = b''.join(self.body_chunks)
        fields = {
            'target': self.server.name,
            'run': self.headers.get('X-Run-Id', ''),
            'path': self.start_line.path,
            'received': len(received),
            'digest': hashlib.sha256(received).hexdigest(),
            'deadline_ms': self.headers.get('X-Deadline-Ms', ''),
            'inner': inner,
        }
        text = json.dumps(fields).encode()
        return text + b'.' * max(0, size - len(text))

    def write_response(self, status: int, body: bytes) -> None:
        """Write a reply; with ``truncate``, only one byte of the body, and close."""
        behaviour = self.server.behaviour
        headers = HTTPHeaders({'Content-Type': 'application/json'})
        headers['Content-Length'] = str(len(body))
        for line in self.id_lines():
            headers.parse_line(line)
        if behaviour.fail_status and behaviour.retry_after:
            headers['Retry-After'] = behaviour.retry_after
        start_line = ResponseStartLine('HTTP/1.1', status, 'OK')
        try:
            if behaviour.truncate and self.start_line.path != CONTROL_PATH:
                self.connection.write_headers(start_line, headers, body[:1])
                self.connection.stream.close()  # type: ignore[attr-defined]
                return
            self.connection.write_headers(start_line, headers, body)
            self.connection.finish()
        except StreamClosedError:
            return


class TargetServer(HTTPServerConnectionDelegate):
    """HTTP server of a test target.

    :param name: name in the replies.
    :param slots: requests that it handles at once.
    :param behaviour: service time, faults and counters.
    :param node_port: caller port of its own node, for nested requests.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        behaviour: Behaviour,
        node_port: int,
    ) -> None:
        """Start with all slots free and no connection."""
        self.node_pool = CallerPool(node_port)
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self.behaviour = behaviour
        self.tasks: set[asyncio.Task[None]] = set()
        self.opened_at: dict[object, float] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Create the exchange of a request; called by tornado."""
        is_reused = server_conn in self.opened_at
        opened_at = self.opened_at.setdefault(server_conn, time.monotonic())
        return TargetExchange(self, request_conn, opened_at, is_reused)


async def run_target(settings_file: Path) -> None:
    """Announce a target to its node and run it until cancelled.

    :param settings_file: TOML with ``name``, ``service``, ``port``,
        ``slots`` and ``service_ms``; optional are ``is_random``,
        ``node_port`` and ``announce_url``.
    """
    settings = tomllib.loads(settings_file.read_text())
    behaviour = Behaviour(settings['service_ms'], settings.get('is_random', False))
    target = TargetServer(
        settings['name'],
        settings['slots'],
        behaviour,
        settings.get('node_port', 0),
    )
    server = HTTPServer(
        target,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=MAX_BODY_BYTES,
    )
    server.listen(settings['port'], address='127.0.0.1')
    if settings.get('announce_url'):
        await _announce(settings)
    await asyncio.Event().wait()


async def _announce(settings: dict[str, object]) -> None:
    body = json.dumps(
        {
            'service': settings['service'],
            'port': settings['port'],
            'slots': settings['slots'],
            'instance': random_identifier(),
        },
    )
    url = str(settings['announce_url'])
    while True:
        request = HTTPRequest(url, method='POST', body=body, request_timeout=1)
        try:
            await AsyncHTTPClient().fetch(request)
        except OSError as error:
            sys.stderr.write(f'event=announce-failed cause="{error}"\n')
        except Exception as error:  # noqa: BLE001
            sys.stderr.write(f'event=announce-refused cause="{error}"\n')
        else:
            return
        await asyncio.sleep(ANNOUNCE_RETRY_S)
