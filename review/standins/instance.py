"""Stand-in of an application instance beside a node."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import time
from collections.abc import Callable

from http_io import Message, encode_request, encode_response, read_message

BEAT_S = 1.5
QUEUE = 24
IDLE_S = 10


class Run:
    """One request at which an instance began to work."""

    def __init__(self, attempt: str, instance: str, began: float, request: Message):
        self.attempt = attempt
        self.instance = instance
        self.began = began
        self.ended: float | None = None
        self.outcome = 'working'
        self.request = request


class Instance:
    """Serves requests in a number of slots and reports its state to its node.

    ``work_s`` tells how long a request takes. ``sheds`` and ``crashes`` tell whether a
    request is rejected unrun, or crashes the instance.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        control: tuple[str, int],
        slots: int,
        record: Callable[..., None],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.slots = slots
        self.record = record
        self.starts = 0
        self.instance_id = ''
        self.born = 0
        self.seq_no = 0
        self.state = 'ready'
        self.is_up = False
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs: list[Run] = []
        self.work_s: Callable[[Message], float] = lambda request: 0.1
        self.sheds: Callable[[Message], bool] = lambda request: False
        self.crashes: Callable[[Message], bool] = lambda request: False
        self.down_s = 3.0
        self.server: asyncio.AbstractServer | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.background: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine) -> None:  # noqa: ANN001
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def start(self) -> None:
        """Start a new incarnation with an id of its own."""
        self.starts += 1
        digest = hashlib.sha256(f'{self.name}/{self.starts}'.encode()).hexdigest()
        self.instance_id = f'i-{digest[:8]}'
        self.born = time.time_ns() // 1_000_000
        self.seq_no = 0
        self.state = 'ready'
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.is_up = True
        self.record('instance-start', self.name, self.instance_id)
        self.spawn(self.beat_while(self.instance_id))

    async def beat_while(self, instance_id: str) -> None:
        """Report the state for as long as this incarnation runs."""
        while self.is_up and self.instance_id == instance_id:
            await self.report()
            await asyncio.sleep(BEAT_S)

    async def report(self) -> int:
        """Send one status report; returns the status of the answer, 0 without one."""
        self.seq_no += 1
        body = {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'seq_no': self.seq_no,
            'born': self.born,
        }
        return await self.call('PUT', body)

    async def call(self, method: str, body: dict[str, object]) -> int:
        """Call the control address of the node."""
        target = f'/v1/instances/{self.instance_id}'
        headers = [
            ('Host', f'{self.control[0]}:{self.control[1]}'),
            ('Content-Type', 'application/json'),
            ('Connection', 'close'),
        ]
        payload = encode_request(method, target, headers, json.dumps(body).encode())
        writer = None
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.control)
                writer.write(payload)
                answer = await read_message(reader)
            return answer.status if answer else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    def load(self) -> str:
        """Return running, waiting, slots and the slowness of the machine."""
        return f'{self.running},{self.waiting},{self.slots},100'

    async def crash(self) -> None:
        """End at once; the instance is back as a new incarnation after a while."""
        if not self.is_up:
            return
        self.is_up = False
        self.record('instance-crash', self.name, self.instance_id)
        assert self.server is not None
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        for task in tuple(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()
        self.spawn(self.come_back())

    async def come_back(self) -> None:
        """Start again after the time that a crash takes."""
        await asyncio.sleep(self.down_s)
        await self.start()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    request = await read_message(reader)
                if request is None:
                    return
                await self.answer(request, reader, writer)
                await writer.drain()
        except (OSError, TimeoutError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        if request.target == '/health':
            is_well = self.state == 'ready'
            headers = [
                ('X-Instance-Id', self.instance_id),
                ('X-Server-Load', self.load()),
            ]
            writer.write(encode_response(200 if is_well else 503, headers))
            return
        attempt = request.header('X-Attempt-Id')
        expected = request.header('X-Expect-Instance')
        if expected not in {'', self.instance_id}:
            self.record('misdirected', self.name, attempt)
            headers = [('X-Instance-Id', self.instance_id), ('X-Not-Executed', '1')]
            writer.write(encode_response(421, headers))
            return
        if not attempt:
            writer.write(encode_response(400, [('X-Not-Executed', '1')]))
            return
        if self.waiting >= QUEUE or self.sheds(request):
            self.record('shed', self.name, attempt)
            headers = [
                ('X-Attempt-Id', attempt),
                ('X-Not-Executed', '1'),
                ('X-Server-Load', self.load()),
            ]
            writer.write(encode_response(503, headers))
            return
        writer.write(await self.run(request, attempt, reader))

    async def run(
        self, request: Message, attempt: str, reader: asyncio.StreamReader
    ) -> bytes:
        """Run a request in a slot; drop it when its connection closes."""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        run = Run(attempt, self.instance_id, time.monotonic(), request)
        self.runs.append(run)
        self.record(
            'run', self.name, attempt, request.method, request.target,
            f'body={len(request.body)}',
        )
        self.running += 1
        try:
            if self.crashes(request):
                run.outcome = 'crashed'
                await self.crash()
                raise ConnectionError('crashed')
            until = run.began + self.work_s(request)
            while time.monotonic() < until:
                await asyncio.sleep(min(0.01, max(0, until - time.monotonic())))
                if reader.at_eof() or reader.exception() is not None:
                    run.outcome = 'cut'
                    raise ConnectionError('the connection closed')
            run.outcome = 'ok'
        except asyncio.CancelledError:
            run.outcome = 'lost in a crash'
            raise
        finally:
            run.ended = time.monotonic()
            self.running -= 1
            self.free.release()
            self.record('run-ends', self.name, attempt, run.outcome)
        body = f'answer of {self.instance_id} to {attempt}\n'.encode()
        headers = [
            ('X-Attempt-Id', attempt),
            ('X-Response-Seal', f'seal-{attempt}'),
            ('X-Server-Load', self.load()),
            ('Keep-Alive', f'timeout={IDLE_S}'),
        ]
        return encode_response(200, headers, body)

    async def stop(self) -> None:
        """End for good."""
        self.is_up = False
        for task in (*self.background, *self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
