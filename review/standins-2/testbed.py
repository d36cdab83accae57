"""Stand-ins of the users' platform, written from its pages, and the project's nodes.

Machines have a loopback address each, so that the command of the deploy file can be
used as it is. The store is reached through one relay for each machine, which can be cut.

:units: seconds; times in the record count from the start of the script.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
LENGTH = struct.Struct('>I')
POSITIONS = struct.Struct('>QQ')
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2500,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2500,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 58,
    'recovery_s': 15,
    'probes_per_s': 60,
}
HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.output = path.open('w', encoding='utf-8')

    def add(self, kind: str, **fields: Any) -> None:
        now = time.monotonic() - self.started_at
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.output.write(f'{now:8.3f} {kind} {text}\n')
        self.output.flush()


class Message:
    """A request or a response as it was received."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        return self.first_line.split(' ')[0]

    @property
    def target(self) -> str:
        return self.first_line.split(' ')[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length; ``None`` at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first_line, headers, body)


def encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a message; a length is added."""
    lines = [first_line]
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as the end of a process with unread data does."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class Server:
    """Serves connections; each handler serves one request."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip = ip
        self.port = port
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.AbstractServer | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def crash(self) -> None:
        """End as a process does that crashes."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in tuple(self.writers):
            abort(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self.handle(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        raise NotImplementedError


class Store(Server):
    """The platform's store; a topic has one partition."""

    def __init__(self, ip: str, port: int) -> None:
        super().__init__(ip, port)
        self.records: dict[str, list[bytes]] = {}
        self.newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.changed = asyncio.Event()

    def append(self, topic: str, payload: bytes) -> dict[str, int]:
        records = self.records.setdefault(topic, [])
        first = len(records)
        while payload:
            (size,) = LENGTH.unpack_from(payload)
            record = payload[LENGTH.size : LENGTH.size + size]
            payload = payload[LENGTH.size + size :]
            if topic.startswith('keyed.'):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                rows = self.newest.setdefault(topic, {})
                rows.pop(key, None)
                if value:
                    rows[key] = (value, len(records))
            records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return {'offset': first, 'end': len(records)}

    def put_config(self, config: dict[str, Any]) -> None:
        """Store the newest config, as the operator does."""
        body = b'\x06config' + json.dumps(config).encode()
        self.append('keyed.op', LENGTH.pack(len(body)) + body)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await read_message(reader)
        if request is None:
            return False
        await asyncio.sleep(0.004)
        url = urlsplit(request.target)
        query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
        status, body = await self.answer(url.path, query, request.body)
        phrase = {200: 'OK', 410: 'Gone'}.get(status, 'Error')
        kind = 'application/json' if body[:1] == b'{' else 'application/octet-stream'
        headers = {'Content-Type': kind}
        writer.write(encode(f'HTTP/1.1 {status} {phrase}', headers, body))
        await writer.drain()
        return True

    async def answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = query.get('topic', '')
        records = self.records.setdefault(topic, [])
        if path == '/v1/log-append':
            if topic in {'keyed.op', 'keyed.servers'}:
                return 403, b'{}'
            return 200, json.dumps(self.append(topic, body)).encode()
        if path == '/v1/log-newest':
            after = query.get('after', '')
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (value, offset) in sorted(self.newest.get(topic, {}).items())
                if key > after
            ]
            page = {'items': items, 'has_more': False, 'end': len(records)}
            return 200, json.dumps(page).encode()
        if path != '/v1/log-read':
            return 404, b'{}'
        start = int(query['from'])
        if start > len(records):
            return 410, json.dumps({'first': 0}).encode()
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while len(records) <= start and time.monotonic() < ends_at:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ends_at - time.monotonic()):
                    await self.changed.wait()
        rows = b''.join(LENGTH.pack(len(row)) + row for row in records[start:])
        return 200, POSITIONS.pack(len(records), 0) + rows


class StorePath(Server):
    """The way of one machine to the store.

    While it is cut, nothing passes in either direction; what was under way goes on when
    the cut has ended.
    """

    def __init__(self, ip: str, port: int, store: Store) -> None:
        super().__init__(ip, port)
        self.store = store
        self.is_open = asyncio.Event()
        self.is_open.set()
        # Reads that wait for news at this moment, and when the last one began.
        self.waiting_since: float = 0

    def cut(self) -> None:
        self.is_open.clear()

    def heal(self) -> None:
        self.is_open.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        outward: asyncio.StreamWriter | None = None
        try:
            await self.is_open.wait()
            inward, outward = await asyncio.open_connection(
                self.store.ip, self.store.port
            )
            there = asyncio.create_task(self.copy(reader, outward, True))
            back = asyncio.create_task(self.copy(inward, writer, False))
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
            for task in (there, back):
                task.cancel()
            await asyncio.gather(there, back, return_exceptions=True)
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()
            if outward is not None:
                outward.close()

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_outward: bool,
    ) -> None:
        while True:
            data = await reader.read(65536)
            if is_outward and b'log-read' in data and b'wait_ms=' in data:
                self.waiting_since = time.monotonic()
            await self.is_open.wait()
            if not data:
                return
            writer.write(data)
            await writer.drain()


Behaviour = Callable[['Instance', Message], Awaitable[Message | None]]


class Instance(Server):
    """An instance of a service beside a node."""

    def __init__(self, machine: Machine, service: str) -> None:
        super().__init__(machine.ip, machine.app_port)
        self.machine = machine
        self.service = service
        self.slots = 6
        self.work_s = 0.05
        # Called with each request that begins to run; returns its work in seconds.
        self.on_run: Callable[[Instance, Message], float] | None = None
        # Builds the body of an answer.
        self.body_of: Callable[[Instance, Message], bytes] | None = None
        self.starts = 0
        self.id = ''
        self.born = 0
        self.sequence = 0
        self.running = 0
        self.is_up = False
        self.is_leaving = False
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a new incarnation."""
        self.starts += 1
        self.id = f'i-{self.machine.number}-{self.starts}'
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running = 0
        self.is_leaving = False
        await self.open()
        self.is_up = True
        self.beats = asyncio.create_task(self.send_reports())

    def end(self) -> None:
        """Crash."""
        self.is_up = False
        if self.beats is not None:
            self.beats.cancel()
        self.crash()

    async def send_reports(self) -> None:
        while True:
            await self.report('draining' if self.is_leaving else 'ready')
            await asyncio.sleep(1.5)

    async def report(self, state: str) -> int:
        """Send a status report; return the status of the answer, 0 without one."""
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': f'{self.ip}:{self.port}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'seq_no': self.sequence,
            'born': self.born,
        }
        body = json.dumps(fields).encode()
        return await self.tell('PUT', body)

    async def tell(self, method: str, body: bytes) -> int:
        first_line = f'{method} /v1/instances/{self.id} HTTP/1.1'
        headers = {'Host': self.ip, 'Content-Type': 'application/json'}
        try:
            async with asyncio.timeout(1):
                answer = await exchange(
                    self.ip, self.machine.control_port, first_line, headers, body
                )
        except (OSError, TimeoutError):
            return 0
        return 0 if answer is None else answer.status

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await read_message(reader)
        if request is None:
            return False
        status, headers, body = await self.respond(request)
        phrase = {200: 'OK', 503: 'Service Unavailable'}.get(status, 'Other')
        headers['X-Server-Load'] = f'{self.running},0,{self.slots},100'
        headers['Keep-Alive'] = 'timeout=10'
        writer.write(encode(f'HTTP/1.1 {status} {phrase}', headers, body))
        await writer.drain()
        return True

    async def respond(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        attempt = request.headers.get('x-attempt-id', '')
        if request.target == '/health':
            status = 503 if self.is_leaving else 200
            return status, {'X-Instance-Id': self.id}, b''
        own = {'X-Attempt-Id': attempt}
        if request.headers.get('x-expect-instance', self.id) != self.id:
            return 421, {**own, 'X-Instance-Id': self.id}, b''
        if not attempt:
            return 400, {'X-Not-Executed': '1'}, b''
        if self.running >= self.slots:
            return 503, {**own, 'X-Not-Executed': '1'}, b''
        self.running += 1
        incarnation = self.id
        self.machine.bed.record.add(
            'run',
            instance=self.id,
            service=self.service,
            attempt=attempt,
            method=request.method,
            path=request.target,
        )
        work_s = self.work_s if self.on_run is None else self.on_run(self, request)
        await asyncio.sleep(work_s)
        if self.id == incarnation and self.is_up:
            self.running -= 1
        body = f'{self.id} {attempt}\n'.encode()
        if self.body_of is not None:
            body = self.body_of(self, request)
        return 200, {**own, 'X-Response-Seal': f'seal.{self.id}.{attempt}'}, body


async def exchange(
    ip: str, port: int, first_line: str, headers: dict[str, str], body: bytes
) -> Message | None:
    """Send one request on a new connection; return the answer, if there is one."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(encode(first_line, headers, body))
        return await read_message(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


class Machine:
    """A machine with a node, an instance, consumers and a way to the store."""

    def __init__(self, bed: Bed, number: int, zone: str, region: str) -> None:
        self.bed = bed
        self.number = number
        self.name = f'sidecar-{zone}-{number}'
        self.zone = zone
        self.region = region
        self.ip = f'{bed.prefix}.{number}'
        (
            self.inbound_port,
            self.outbound_port,
            self.ready_port,
            self.control_port,
            self.app_port,
            self.path_port,
        ) = (free_port(self.ip) for _ in range(6))
        self.path = StorePath(self.ip, self.path_port, bed.store)
        self.instance: Instance | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.service = ''
        self.started_at: float = 0

    def settings(self) -> dict[str, Any]:
        zones = {machine.zone: machine.region for machine in self.bed.machines}
        return {
            'node_name': self.name,
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip': self.ip,
            'zone': self.zone,
            'region': self.region,
            'zones': zones,
            'listen': {
                'inbound': f'{self.ip}:{self.inbound_port}',
                'outbound': f'{self.ip}:{self.outbound_port}',
                'readiness_addr': f'{self.ip}:{self.ready_port}',
                'control_plane': f'{self.ip}:{self.control_port}',
            },
            'internal_ports': [7380, 7395],
            'seeds': [],
            'bootstrap': True,
            'in_tolerance': False,
            'limits': {
                'cpu_share': 0.86,
                'cpu_cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'static',
            'entry': 'static',
            'heartbeat_interval_ms': 1500,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'health',
                'platform',
            ],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': [f'{name}={figure}' for name, figure in BOUNDS.items()],
            'app_addr': f'{self.ip}:{self.app_port}',
            'service': self.service,
            'platform': {
                'address': f'{self.ip}:{self.path_port}',
                'form': 'log',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'parts': 8,
                'append_ms': 4.0,
                'partition_mb_s': 20.0,
                'read_mb_s': 80.0,
                'record_bytes': 262144,
                'call_bytes': 2097152,
                'keep_s': 300,
                'part_mb': 200,
                'ttl_min_ms': 1000,
            },
        }

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        settings_path = self.bed.folder / f'{self.name}.json'
        settings_path.write_text(json.dumps(self.settings()))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONUNBUFFERED'] = '1'
        environment['LAVENDERMOUNT_NODE_FILE'] = str(settings_path)
        with (self.bed.folder / f'{self.name}.log').open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.bed.command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.started_at = time.monotonic()
        self.bed.record.add('node-started', machine=self.name)

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.bed.record.add('signal', machine=self.name, number=number)
        self.process.send_signal(number)

    async def kill_node(self) -> None:
        """Kill the node and wait for its end."""
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                answer = await exchange(
                    self.ip,
                    self.ready_port,
                    'GET /v1/ready HTTP/1.1',
                    {'Host': self.ip},
                    b'',
                )
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def request(
        self,
        method: str,
        path: str,
        deadline_ms: int = 1500,
        body: bytes = b'',
        label: str = '',
        attempt: str = '',
    ) -> Message | None:
        """Send a consumer's request; ``None`` without an answer by its time limit."""
        attempt = attempt or f'{random.getrandbits(64):016x}'
        headers = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': str(deadline_ms),
        }
        self.bed.record.add(
            'sent', machine=self.name, attempt=attempt, method=method, path=path
        )
        answer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await exchange(
                    self.ip,
                    self.outbound_port,
                    f'{method} {path} HTTP/1.1',
                    headers,
                    body,
                )
        status = 'none' if answer is None else answer.status
        seal = '' if answer is None else answer.headers.get('x-response-seal', '')
        self.bed.record.add(
            'answer', machine=self.name, attempt=attempt, status=status, seal=seal
        )
        return answer


class Bed:
    """A small deployment."""

    def __init__(self, folder_of_case: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.record = Record(folder_of_case / 'record.txt')
        self.prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        with (ROOT / 'deploy' / 'system.toml').open('rb') as source:
            self.command = tomllib.load(source)['roles']['node']['run'].split()
        store_ip = f'{self.prefix}.250'
        self.store = Store(store_ip, free_port(store_ip))
        self.machines: list[Machine] = []

    def add_machine(
        self, service: str, zone: str = 'hn-a', region: str = 'north'
    ) -> Machine:
        machine = Machine(self, len(self.machines) + 1, zone, region)
        machine.service = service
        machine.instance = Instance(machine, service)
        self.machines.append(machine)
        return machine

    async def start(self, config: dict[str, Any]) -> None:
        """Start everything, and wait until all nodes are ready."""
        await self.store.open()
        self.put_config(config)
        for machine in self.machines:
            await machine.path.open()
            assert machine.instance is not None
            await machine.instance.start()
            await machine.start_node()
        await self.wait_until_ready(self.machines)

    async def wait_until_ready(
        self, machines: list[Machine], limit_s: float = 25
    ) -> None:
        """Wait until nodes are ready.

        :raises CannotRun: if they are not in time.
        """
        ends_at = time.monotonic() + limit_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > ends_at:
                    raise CannotRun(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    def put_config(self, config: dict[str, Any]) -> float:
        """Store a config; return the time of the acknowledgement."""
        self.store.put_config(config)
        self.record.add('config-acknowledged', version=config['version'])
        return time.monotonic()

    async def stop(self) -> None:
        """End all processes, and remove what they wrote."""
        for machine in self.machines:
            await machine.kill_node()
            if machine.instance is not None:
                machine.instance.end()
            machine.path.crash()
        self.store.crash()
        if os.environ.get('KEEP'):
            print(f'logs are kept in {self.folder}')
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(ip: str) -> int:
    """Return a port of an address that nobody listens on."""
    while True:
        port = random.randint(21000, 31900)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port


def route(
    name: str, prefix: str, route_type: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Build a route of a config."""
    spec = {
        'host': HOST,
        'path_prefix': prefix,
        'route_type': route_type,
        'timeout_ms': 1500,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        **changes,
    }
    return {'resource_type': 'routes', 'metadata': {'name': name}, 'spec': spec}


def config(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Build a config."""
    resources = list(routes)
    for name in services:
        spec = {
            'health_path': '/health',
            'max_connections': 220,
            'protocol': 'h1',
            'tls': False,
        }
        resources.append(
            {'resource_type': 'services', 'metadata': {'name': name}, 'spec': spec}
        )
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    resources.append({'resource_type': 'limits', 'metadata': {}, 'spec': limits})
    return {'version': f'r{version}', 'resources': resources}


def play(
    folder: Path, case: Callable[[Bed], Awaitable[bool]], limit_s: float = 115
) -> None:
    """Play a case and exit with the code that tells whether the rule held.

    :param case: returns whether the rule held.
    """
    sys.exit(asyncio.run(_play(folder, case, limit_s)))


async def _play(
    folder: Path, case: Callable[[Bed], Awaitable[bool]], limit_s: float
) -> int:
    bed = Bed(folder)
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    result = FAILED_TO_RUN
    try:
        async with asyncio.timeout(limit_s):
            result = HELD if await case(bed) else BROKEN
    except (CannotRun, TimeoutError, OSError) as error:
        bed.record.add('cannot-run', cause=repr(error))
        print(f'the case could not run: {error!r}')
    except asyncio.CancelledError:
        bed.record.add('cannot-run', cause='it was ended')
    finally:
        await bed.stop()
    bed.record.add('result', code=result)
    print(('the rule held', 'the rule was broken', 'the case could not run')[result])
    return result
