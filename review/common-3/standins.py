"""Stand-ins of the platform for the scripts of this review, and a runner of nodes.

Written from PROTOCOL.md, DEPLOY.md and RULES.md with the standard library alone. All
stand-ins run in the event loop of the script; each node is a process of its own that
is started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
OUTBOUND, INBOUND, READY, CONTROL, APP = 8147, 8146, 8141, 8144, 8145
HOST = 'ficu95.example'
BOUNDS = (
    'seed_lag_s=3', 'reuse_after_s=2', 'stable_ms=3000', 'ack_ms=4000',
    'catch_up_s=4', 'drain_ms=2500', 'grace_s=6', 'loss_slack_ms=200',
    'config_apply_ms=2500', 'rollback_slack_ms=250', 'max_stretch_ms=5000',
    'retry_budget_ratio=0.2', 'budget_window_s=10', 'budget_slack=58',
    'recovery_s=15', 'probes_per_s=60',
)


class Record:
    """Writes what happens to ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')

    def now(self) -> float:
        return time.monotonic() - self.started

    def __call__(self, text: str) -> None:
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


class Message:
    def __init__(self, first: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    def header(self, name: str) -> str:
        for other, text in self.headers:
            if other.lower() == name.lower():
                return text
        return ''


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one HTTP message with a length; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = []
        for line in lines[1:]:
            name, colon, text = line.partition(':')
            if colon:
                headers.append((name, text.strip()))
        message = Message(lines[0], headers, b'')
        length = message.header('Content-Length')
        if length:
            message.body = await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return message


def encode(status: int, headers: list[tuple[str, str]], body: bytes = b'') -> bytes:
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """A listener that can be closed with all its connections, as by a crash."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def crash(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while await self.handle(reader, writer):
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader, writer) -> bool:
        raise NotImplementedError


class Store(Server):
    """The platform's store: a log with keyed topics."""

    def __init__(self, ip: str, port: int) -> None:
        super().__init__(ip, port)
        self.topics: dict[str, list[bytes]] = {}
        self.newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.changed = asyncio.Event()

    def append(self, topic: str, payload: bytes) -> dict[str, int]:
        records = self.topics.setdefault(topic, [])
        offset = len(records)
        while payload:
            size = struct.unpack('>I', payload[:4])[0]
            record, payload = payload[4:4 + size], payload[4 + size:]
            if topic.startswith('keyed.'):
                key = record[1:1 + record[0]].decode()
                value = record[1 + record[0]:]
                rows = self.newest.setdefault(topic, {})
                rows.pop(key, None)
                if value:
                    rows[key] = (value, len(records))
            records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return {'offset': offset, 'end': len(records)}

    def put(self, topic: str, key: str, value: bytes) -> None:
        record = bytes([len(key)]) + key.encode() + value
        self.append(topic, struct.pack('>I', len(record)) + record)

    async def handle(self, reader, writer) -> bool:
        message = await read_message(reader)
        if message is None:
            return False
        url = urlsplit(message.first.split(' ')[1])
        query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
        topic = query.get('topic', '')
        await asyncio.sleep(0.004)
        records = self.topics.setdefault(topic, [])
        if url.path == '/v1/log-append':
            if topic in {'keyed.op', 'keyed.servers'}:
                writer.write(encode(403, []))
                return True
            body = json.dumps(self.append(topic, message.body)).encode()
        elif url.path == '/v1/log-newest':
            items = [
                {'key': key, 'value': base64.b64encode(value).decode(), 'offset': at}
                for key, (value, at) in sorted(self.newest.get(topic, {}).items())
                if key > query.get('after', '')
            ]
            body = json.dumps(
                {'items': items, 'has_more': False, 'end': len(records)}
            ).encode()
        elif url.path == '/v1/log-read':
            start = int(query['from'])
            until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
            while len(records) <= start and time.monotonic() < until:
                try:
                    async with asyncio.timeout(until - time.monotonic()):
                        await self.changed.wait()
                except TimeoutError:
                    break
            body = struct.pack('>QQ', len(records), 0)
            body += b''.join(struct.pack('>I', len(r)) + r for r in records[start:])
        else:
            writer.write(encode(404, []))
            return True
        writer.write(encode(200, [('Content-Type', 'application/json')], body))
        return True


class Instance(Server):
    """A sound instance of a service.

    :param born_ms: what it says of its start.
    """

    def __init__(
        self, record: Record, node: Node, name: str, service: str,
        born_ms: int | None = None, slots: int = 6, work_s: float = 0.1,
    ) -> None:
        super().__init__(node.ip, APP)
        self.record, self.node = record, node
        self.name, self.service = name, service
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.slots, self.work_s = slots, work_s
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.state = 'ready'
        self.sequence = 0
        self.runs: list[tuple[float, str, str]] = []
        # Attempt id and X-Caller-Service of each request that was run.
        self.callers: list[tuple[str, str]] = []
        self.beating: asyncio.Task[None] | None = None

    def load(self) -> tuple[str, str]:
        return 'X-Server-Load', f'{self.running},{self.waiting},{self.slots},100'

    async def handle(self, reader, writer) -> bool:
        message = await read_message(reader)
        if message is None:
            return False
        method, target, _ = message.first.split(' ', 2)
        if target == '/health':
            status = 200 if self.state == 'ready' else 503
            headers = [('X-Instance-Id', self.name), self.load()]
            writer.write(encode(status, headers))
            return True
        attempt = message.header('X-Attempt-Id')
        echoed = [('X-Attempt-Id', attempt)] if attempt else []
        if message.header('X-Expect-Instance') not in {'', self.name}:
            writer.write(encode(421, [*echoed, ('X-Instance-Id', self.name)]))
            return True
        if not attempt:
            writer.write(encode(400, [('X-Not-Executed', '1')]))
            return True
        if self.waiting >= 24:
            headers = [*echoed, ('X-Not-Executed', '1'), self.load()]
            writer.write(encode(503, headers))
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs.append((self.record.now(), attempt, target))
        self.callers.append((attempt, message.header('X-Caller-Service')))
        expected = message.header('X-Expect-Instance')
        self.record(
            f'run {attempt} {method} {target} at {self.name} of {self.service} '
            f'born {self.born_ms}, expected instance {expected or "none"}, '
            f'caller {message.header("X-Caller-Service")}'
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        body = f'{self.name} {attempt} {target}\n'.encode()
        headers = [
            *echoed, ('X-Response-Seal', f'{self.name}.{self.service}.{attempt}'),
            self.load(), ('Keep-Alive', 'timeout=10'),
        ]
        writer.write(encode(200, headers, body))
        return True

    async def say(self, method: str) -> int:
        """Send a status report or the notice of leaving; return the answer's status."""
        self.sequence += 1
        body = json.dumps({
            'service': self.service, 'address': f'{self.ip}:{APP}',
            'zone': self.node.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'cold_remaining_ms': 0, 'seq_no': self.sequence,
            'born': self.born_ms,
        }).encode()
        head = (
            f'{method} /v1/instances/{self.name} HTTP/1.1\r\nHost: {self.ip}\r\n'
            f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        status = 0
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, CONTROL)
                writer.write(head.encode() + body)
                answer = await read_message(reader)
                writer.close()
                status = 0 if answer is None else int(answer.first.split(' ')[1])
        except (OSError, TimeoutError):
            status = 0
        self.record(
            f'report {method} {self.name} of {self.service} state {self.state} '
            f'seq {self.sequence} born {self.born_ms} -> {status or "no answer"}'
        )
        return status

    async def start(self, first_beat_s: float = 0) -> None:
        await self.open()
        self.record(f'instance {self.name} of {self.service} starts at {self.ip}')
        self.beating = asyncio.create_task(self.beat(first_beat_s))

    async def beat(self, first_beat_s: float) -> None:
        await asyncio.sleep(first_beat_s)
        while True:
            await self.say('PUT')
            await asyncio.sleep(1.5)

    def end(self, why: str) -> None:
        self.record(f'instance {self.name} of {self.service} {why}')
        if self.beating is not None:
            self.beating.cancel()
        self.crash()


class Node:
    """A machine and the node process on it, at a loopback address of its own."""

    def __init__(
        self, folder: Path, record: Record, number: int, ip: str, service: str,
        store: Store, zone: str = 'hn-a',
    ) -> None:
        self.folder, self.record, self.ip, self.zone = folder, record, ip, zone
        self.name = f'sidecar-{zone}-{number}'
        self.process: subprocess.Popen[bytes] | None = None
        self.settings = {
            'node_name': self.name, 'role': 'node', 'machine_class': 'sidecar',
            'serves': ['sidecar'], 'ip': ip, 'zone': zone, 'region': 'north',
            'zones': {'hn-a': 'north'},
            'listen': {
                'inbound': f'{ip}:{INBOUND}', 'outbound': f'{ip}:{OUTBOUND}',
                'readiness_addr': f'{ip}:{READY}', 'control_plane': f'{ip}:{CONTROL}',
            },
            'internal_ports': [7380, 7395], 'seeds': [], 'bootstrap': True,
            'in_tolerance': False,
            'limits': {
                'cpu_share': 0.86, 'cpu_cores': 1, 'memory_mb': 300, 'max_fds': 4100,
                'link_mbps': 1000.0, 'disk_mb': 0,
            },
            'data_dir': None, 'discovery': 'static', 'entry': 'static',
            'heartbeat_interval_ms': 1500,
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover', 'health',
                'platform',
            ],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': list(BOUNDS), 'app_addr': f'{ip}:{APP}', 'service': service,
            'platform': {
                'address': f'{store.ip}:{store.port}', 'form': 'log',
                'writes_per_s': 400, 'reads_per_s': 2000, 'parts': 8,
                'append_ms': 4.0, 'partition_mb_s': 20.0, 'read_mb_s': 80.0,
                'record_bytes': 262144, 'call_bytes': 2097152, 'keep_s': 300,
                'part_mb': 200, 'ttl_min_ms': 1000,
            },
        }

    @property
    def settings_file(self) -> Path:
        return self.folder / f'{self.name}.json'

    def write_settings(self) -> None:
        """Replace the settings file."""
        draft = self.folder / f'{self.name}.draft'
        draft.write_text(json.dumps(self.settings))
        draft.replace(self.settings_file)

    def start(self) -> None:
        self.write_settings()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['node']['run'])
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['LAVENDERMOUNT_NODE_FILE'] = str(self.settings_file)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.record(f'node {self.name} ({self.settings["service"]}) starts')

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f'node {self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await read_message(reader)
            writer.close()
        except OSError:
            return False
        return answer is not None and ' 200 ' in f'{answer.first} '


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    spec = {
        'host': HOST, 'path_prefix': f'/{name}/', 'route_type': kind,
        'timeout_ms': 1500, 'target_latency_ms': 500, 'priority': 1,
        'service': service, 'max_attempts': 2, **changes,
    }
    return {'resource_type': 'routes', 'metadata': {'name': f'r-{name}'}, 'spec': spec}


def config(version: int, routes: list[dict], services: list[str]) -> bytes:
    resources = list(routes)
    for name in services:
        spec = {
            'health_path': '/health', 'max_connections': 220, 'protocol': 'h1',
            'tls': False,
        }
        resources.append(
            {'resource_type': 'services', 'metadata': {'name': name}, 'spec': spec}
        )
    limits = {
        'max_header_bytes': 16384, 'max_body_bytes': 67108864,
        'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
    }
    resources.append({'resource_type': 'limits', 'metadata': {}, 'spec': limits})
    return json.dumps({'version': f'r{version}', 'resources': resources}).encode()


class Client:
    """Sends single requests to a node, each on a new connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        # Status (0 without an answer), seal and body by attempt id.
        self.answers: dict[str, tuple[int, str, bytes]] = {}
        self.sent: dict[str, tuple[float, str, str]] = {}

    async def send(
        self, node: Node, method: str, path: str, body: bytes = b'',
        limit_s: float = 1.5, leave_s: float | None = None,
    ) -> int:
        attempt = uuid.uuid4().hex[:16]
        self.sent[attempt] = (self.record.now(), method, path)
        self.record(f'send {attempt} {method} {path} to {node.name}')
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n'
            f'X-Deadline-Ms: {int(limit_s * 1000)}\r\n'
        )
        if body or method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        answer = None
        try:
            async with asyncio.timeout(leave_s or limit_s + 0.5):
                reader, writer = await asyncio.open_connection(node.ip, OUTBOUND)
                writer.write(head.encode() + b'\r\n' + body)
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            answer = None
        status = 0 if answer is None else int(answer.first.split(' ')[1])
        seal = '' if answer is None else answer.header('X-Response-Seal')
        self.answers[attempt] = (status, seal, b'' if answer is None else answer.body)
        self.record(f'answer {attempt} {status or "none"} seal {seal or "none"}')
        return status


class Deployment:
    """A store, nodes and their instances."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review3-'))
        self.record = Record(folder)
        # Loopback addresses that no other run uses at the same time.
        block = f'127.{random.randrange(2, 250)}.{random.randrange(1, 250)}'
        self.addresses = (f'{block}.{number}' for number in range(1, 250))
        store_ip = next(self.addresses)
        self.store = Store(store_ip, 8142)
        self.nodes: list[Node] = []
        self.instances: list[Instance] = []

    def add_node(self, service: str) -> Node:
        ip = next(self.addresses)
        node = Node(
            self.folder, self.record, len(self.nodes) + 1, ip, service, self.store
        )
        self.nodes.append(node)
        return node

    def add_instance(self, node: Node, name: str, service: str, **options) -> Instance:
        instance = Instance(self.record, node, name, service, **options)
        self.instances.append(instance)
        return instance

    async def wait_ready(self, timeout_s: float = 25) -> None:
        until = time.monotonic() + timeout_s
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f'node {node.name} is not ready in time')
                await asyncio.sleep(0.1)
        self.record('all nodes are ready')

    def end(self) -> None:
        for instance in self.instances:
            if instance.beating is not None:
                instance.beating.cancel()
            instance.crash()
        self.store.crash()
        for node in self.nodes:
            node.kill()


class CannotRun(Exception):
    """The case could not be played."""


def main(play, folder: Path) -> None:
    """Play a case and exit with 0 (rule held), 1 (broken) or 2 (couldn't run)."""
    async def run() -> int:
        deployment = Deployment(folder)
        record = deployment.record
        record(f'TROUBLE={int(TROUBLE)}')
        try:
            async with asyncio.timeout(110):
                await deployment.store.open()
                broken = await play(deployment)
        except (CannotRun, OSError, TimeoutError) as error:
            record(f'could not run: {error!r}')
            return 2
        finally:
            deployment.end()
        for line in broken:
            record(f'BROKEN {line}')
        record(f'result: {"broken" if broken else "held"}')
        return 1 if broken else 0

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = asyncio.run(run())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
