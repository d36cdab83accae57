"""A small deployment on loopback: nodes as processes, everything else as stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from http_io import Message, encode_request, read_message
from instance import Instance
from store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
WHOLE_RUN_S = 115
HOST = 'ficu95.example'
PORTS = {
    'readiness_addr': 8141,
    'control_plane': 8144,
    'app': 8145,
    'inbound': 8146,
    'outbound': 8147,
}
FIRST_INTERNAL_PORT = 7380
LAST_INTERNAL_PORT = 7395
STORE_PORT = 8142
STORE_NUMBER = 250
# Bounds as in the example of the page on deployment.
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
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
MEMORY_MB = 300


class CannotRunError(Exception):
    """The case could not be set up."""


def route(name: str, route_type: str, service: str, **changes: Any) -> dict[str, Any]:
    """Build a route with the prefix ``/NAME/``."""
    spec = {
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 2500,
        'target_latency_ms': 600,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        **changes,
    }
    return {'resource_type': 'routes', 'metadata': {'name': name}, 'spec': spec}


def config(version: int, routes: list[dict[str, Any]]) -> bytes:
    """Build a config with these routes and the services that they name."""
    services = sorted({each['spec']['service'] for each in routes})
    resources = [
        *routes,
        *(
            {
                'resource_type': 'services',
                'metadata': {'name': name},
                'spec': {
                    'health_path': '/health',
                    'max_connections': 220,
                    'protocol': 'h1',
                    'tls': False,
                },
            }
            for name in services
        ),
        {'resource_type': 'limits', 'metadata': {}, 'spec': LIMITS},
    ]
    return json.dumps({'version': f'r{version}', 'resources': resources}).encode()


class Machine:
    """A machine with an instance and a node."""

    def __init__(self, lab: Lab, number: int, zone: str, service: str, slots: int):
        self.lab = lab
        self.ip = lab.ip_of(number)
        self.zone = zone
        self.service = service
        self.name = f'sidecar-{zone}-{number}'
        self.outbound = (self.ip, PORTS['outbound'])
        self.instance = Instance(
            f'instance-{number}',
            service,
            zone,
            (self.ip, PORTS['app']),
            (self.ip, PORTS['control_plane']),
            slots,
            lab.record,
        )
        self.process: asyncio.subprocess.Process | None = None
        self.misses = 0
        self.is_ready = False
        self.restarts = True
        self.exits: list[tuple[float, int]] = []
        self.peak_mb = 0.0
        self.memory_kills = 0

    @property
    def settings_file(self) -> Path:
        """Settings file of the node."""
        return self.lab.folder / f'{self.name}.json'

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
        zones = self.lab.zones
        settings = {
            'node_name': self.name,
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip': self.ip,
            'zone': self.zone,
            'region': zones[self.zone],
            'zones': zones,
            'listen': {
                name: f'{self.ip}:{PORTS[name]}'
                for name in ('inbound', 'outbound', 'readiness_addr', 'control_plane')
            },
            'internal_ports': [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            'seeds': [],
            'bootstrap': True,
            'in_tolerance': False,
            'limits': {
                'cpu_share': 0.86,
                'cpu_cores': 1,
                'memory_mb': MEMORY_MB,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'static',
            'entry': 'static',
            'heartbeat_interval_ms': 1500,
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover', 'health',
                'platform',
            ],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': [f'{name}={bound}' for name, bound in BOUNDS.items()],
            'app_addr': f'{self.ip}:{PORTS["app"]}',
            'service': self.service,
            'platform': {
                'address': f'{self.lab.store.host}:{self.lab.store.port}',
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
        self.settings_file.write_text(json.dumps(settings))

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        words = deploy['roles']['node']['run'].split(' ')
        names = ('PATH', 'HOME', 'LANG')
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        environment['LAVENDERMOUNT_NODE_FILE'] = str(self.settings_file)
        with (self.lab.folder / f'{self.name}.log').open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=REPOSITORY,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.lab.record('node-start', self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the node."""
        assert self.process is not None
        self.lab.record('signal', self.name, signal.Signals(number).name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def keep_running(self) -> None:
        """Start the node again whenever it ends, as the platform does."""
        while True:
            await self.start_node()
            assert self.process is not None
            code = await self.process.wait()
            self.exits.append((time.monotonic(), code))
            self.lab.record('node-exit', self.name, f'code={code}')
            await asyncio.sleep(0.5)
            if not self.restarts:
                return

    async def enforce_memory(self) -> None:
        """Kill the node when it exceeds the memory of the machine, as the platform does."""
        page_bytes = os.sysconf('SC_PAGE_SIZE')
        while True:
            await asyncio.sleep(0.005)
            process = self.process
            if process is None or process.returncode is not None:
                continue
            try:
                fields = Path(f'/proc/{process.pid}/statm').read_text().split()
            except (OSError, IndexError):
                continue
            used_mb = int(fields[1]) * page_bytes / 2**20 if len(fields) > 1 else 0
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.lab.record('memory', self.name, f'{used_mb:.0f} MB')
                self.memory_kills += 1
                self.signal(signal.SIGKILL)
                await process.wait()

    async def ask_ready(self) -> bool:
        """Ask the node whether it is ready."""
        writer = None
        address = (self.ip, PORTS['readiness_addr'])
        headers = [('Host', f'{address[0]}:{address[1]}'), ('Connection', 'close')]
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(encode_request('GET', '/v1/ready', headers))
                answer = await read_message(reader)
            return answer is not None and answer.status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def watch_readiness(self) -> None:
        """Ask once a second; two misses in a row take the node out."""
        while True:
            if await self.ask_ready():
                self.misses = 0
                self.is_ready = True
            else:
                self.misses += 1
                if self.misses >= 2:
                    self.is_ready = False
            await asyncio.sleep(1)

    @property
    def takes_new_work(self) -> bool:
        """Whether consumers on this machine get new work from the platform.

        A node that is out gets none, unless fewer than half of its zone are in.
        """
        mates = [each for each in self.lab.machines if each.zone == self.zone]
        ready = sum(each.is_ready for each in mates)
        return self.is_ready or 2 * ready < len(mates)


class Lab:
    """The deployment of one case, and its record."""

    def __init__(self, case_file: str, zones: dict[str, str]) -> None:
        self.case_folder = Path(case_file).resolve().parent
        self.is_disturbed = os.environ.get('TROUBLE', '1') != '0'
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.subnet = find_subnet()
        self.store = Store(self.ip_of(STORE_NUMBER), STORE_PORT)
        self.machines: list[Machine] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    def ip_of(self, number: int) -> str:
        """Return the loopback address of a machine."""
        return f'{self.subnet}.{number}'

    def record(self, event: str, *words: object) -> None:
        """Add a line to the record."""
        text = ' '.join(str(word) for word in words)
        self.lines.append(f'{self.now():9.3f} {event} {text}'.rstrip())

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def add_machine(self, zone: str, service: str, slots: int = 6) -> Machine:
        """Add a machine."""
        machine = Machine(self, len(self.machines) + 1, zone, service, slots)
        self.machines.append(machine)
        return machine

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    async def start(self, first_config: bytes) -> None:
        """Start everything and wait until all nodes are ready and serve."""
        await self.store.start()
        self.store.put('keyed.op', 'config', first_config)
        for machine in self.machines:
            machine.write_settings()
            await machine.instance.start()
            self.spawn(machine.keep_running())
            self.spawn(machine.watch_readiness())
        deadline = time.monotonic() + 25
        while not all(machine.is_ready for machine in self.machines):
            if time.monotonic() > deadline:
                raise CannotRunError('the nodes did not become ready')
            await asyncio.sleep(0.1)
        # Longer than ``stable_ms``, so that all machines are in touch.
        await asyncio.sleep(4)

    async def close(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        for machine in self.machines:
            machine.restarts = False
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await machine.instance.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, verdict: str) -> None:
        """Write the record of the run."""
        text = '\n'.join([*self.lines, verdict, ''])
        (self.case_folder / 'record.txt').write_text(text)


def find_subnet() -> str:
    """Find a loopback subnet on whose addresses the ports of machines are free."""
    ports = [*PORTS.values(), STORE_PORT, 9102, *range(7380, 7396)]
    for _ in range(50):
        subnet = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        if all(is_free(f'{subnet}.1', port) for port in ports):
            return subnet
    raise CannotRunError('no subnet with free ports')


def is_free(host: str, port: int) -> bool:
    """Return whether nobody listens on an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True


class Connection:
    """A connection of a consumer to the node of its machine."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.reader: asyncio.StreamReader = None  # type: ignore[assignment]
        self.writer: asyncio.StreamWriter = None  # type: ignore[assignment]

    async def open(self) -> None:
        """Connect within the second that consumers allow."""
        async with asyncio.timeout(1):
            self.reader, self.writer = await asyncio.open_connection(
                *self.machine.outbound
            )
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def read_answer(self) -> Message | None:
        """Read the next answer; ``None`` if the connection ended without one."""
        try:
            return await read_message(self.reader)
        except OSError:
            return None

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def request_headers(
    attempt: str, deadline_ms: int, extra: list[tuple[str, str]] | None = None
) -> list[tuple[str, str]]:
    """Build the headers of a consumer's request."""
    return [
        ('Host', HOST),
        ('X-Attempt-Id', attempt),
        ('X-Deadline-Ms', str(deadline_ms)),
        *(extra or ()),
    ]


class Outcome:
    """What came of one request of a consumer."""

    def __init__(self, attempt: str, sent_at: float) -> None:
        self.attempt = attempt
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = 0
        self.cause = ''


async def ask_once(
    lab: Lab,
    machine: Machine,
    attempt: str,
    method: str,
    target: str,
    deadline_ms: int,
    body: bytes = b'',
    extra: list[tuple[str, str]] | None = None,
) -> Outcome:
    """Send a request on a new connection and wait for its answer."""
    outcome = Outcome(attempt, time.monotonic())
    connection = Connection(machine)
    lab.record('sent', machine.name, attempt, method, target, f'body={len(body)}')
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            await connection.open()
            connection.writer.write(
                encode_request(
                    method, target, request_headers(attempt, deadline_ms, extra), body
                )
            )
            answer = await connection.read_answer()
        if answer is None:
            outcome.cause = 'closed without an answer'
        else:
            outcome.status = answer.status
    except TimeoutError:
        outcome.cause = 'time limit'
    except OSError as error:
        outcome.cause = f'no connection ({type(error).__name__})'
    finally:
        connection.close()
    outcome.ended_at = time.monotonic()
    lab.record('answered', machine.name, attempt, outcome.status or outcome.cause)
    return outcome


def run_case(
    case_file: str,
    zones: dict[str, str],
    body: Callable[[Lab], Awaitable[list[str]]],
) -> None:
    """Run a case and exit with its result.

    :param body: plays the case; returns what broke the rule.
    """

    async def play() -> tuple[int, str]:
        lab = Lab(case_file, zones)
        try:
            async with asyncio.timeout(WHOLE_RUN_S):
                breaks = await body(lab)
        except (CannotRunError, TimeoutError, AssertionError) as error:
            code, verdict = COULD_NOT_RUN, f'COULD NOT RUN: {error!r}'
        else:
            code = BROKEN if breaks else HELD
            verdict = '\n'.join(
                [f'BROKEN: {text}' for text in breaks] or ['HELD: the rule was kept']
            )
        finally:
            await lab.close()
        lab.write_record(verdict)
        return code, verdict

    try:
        code, verdict = asyncio.run(play())
    except Exception as error:  # the set-up failed
        code, verdict = COULD_NOT_RUN, f'COULD NOT RUN: {error!r}'
    print(verdict)
    sys.exit(code)
