"""Ways to carry a request between two nodes, side by side.

:shapes: one line of figures for each way; server and client are processes.
:units: milliseconds; processor time is that of both processes.

Usage: ``python benches/transport.py``; with arguments it runs one side.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import grpc
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

sys.path.insert(0, str(Path(__file__).parent.parent))

from benches.measure import percentile, show
from lavendermount_core.exceptions import PeerLinkError
from lavendermount_testbed.processes import Ports, wait_for_port
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.frames import Answer, BodyPart

CALLS = 3000
AT_ONCE = 4
PAYLOAD = b'x' * 1000
UNARY = '/bench.Echo/Unary'
STREAM = '/bench.Echo/Stream'
HOST = '127.0.0.1'
WAYS = ('grpc-unary', 'grpc-stream', 'framed-stream')

Call = Callable[[int], Coroutine[Any, Any, None]]


async def echo_unary(request: bytes, context: object) -> bytes:
    """Answer a unary call."""
    return request


async def echo_stream(
    requests: AsyncIterator[bytes], context: object
) -> AsyncIterator[bytes]:
    """Answer each message of a stream."""
    async for request in requests:
        yield request


class FrameEcho(TCPServer):
    """Answers each frame."""

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection."""
        frames = FrameStream(stream)
        while True:
            try:
                frame = await frames.receive()
            except PeerLinkError:
                return
            assert isinstance(frame, BodyPart)
            answer = Answer(
                frame.attempt_id, 200, 'OK', [], [], len(frame.body), frame.body
            )
            frames.send(answer)


async def serve(way: str, port: int) -> None:
    """Run the server of one way."""
    if way == 'framed-stream':
        FrameEcho().listen(port, HOST)
        await asyncio.Event().wait()
    server = grpc.aio.server()
    handlers = {
        'Unary': grpc.unary_unary_rpc_method_handler(echo_unary),
        'Stream': grpc.stream_stream_rpc_method_handler(echo_stream),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler('bench.Echo', handlers),),
    )
    server.add_insecure_port(f'{HOST}:{port}')
    await server.start()
    await server.wait_for_termination()


async def drive(call: Call) -> list[float]:
    """Make calls, a few at once, and time each."""
    elapsed: list[float] = []
    numbers = iter(range(CALLS))

    async def worker() -> None:
        for number in numbers:
            begun = time.perf_counter()
            await call(number)
            elapsed.append((time.perf_counter() - begun) * 1000)
            await asyncio.sleep(0.002)

    await asyncio.gather(*(worker() for _ in range(AT_ONCE)))
    return sorted(elapsed)


async def call_unary(port: int) -> list[float]:
    """Drive unary calls."""
    channel = grpc.aio.insecure_channel(f'{HOST}:{port}')
    method = channel.unary_unary(UNARY)

    async def call(number: int) -> None:
        await method(PAYLOAD)

    return await drive(call)


async def call_stream(port: int) -> list[float]:
    """Drive one message each way on a long-lived stream."""
    channel = grpc.aio.insecure_channel(f'{HOST}:{port}')
    stream = channel.stream_stream(STREAM)()
    writing = asyncio.Lock()
    waiting: list[asyncio.Future[None]] = []

    async def read() -> None:
        async for _ in stream:
            waiting.pop(0).set_result(None)

    reader = asyncio.create_task(read())

    async def call(number: int) -> None:
        waiter = asyncio.get_running_loop().create_future()
        async with writing:
            waiting.append(waiter)
            await stream.write(PAYLOAD)
        await waiter

    elapsed = await drive(call)
    reader.cancel()
    return elapsed


async def call_framed(port: int) -> list[float]:
    """Drive frames on a tornado stream."""
    frames = FrameStream(await TCPClient().connect(HOST, port))
    waiting: dict[str, asyncio.Future[None]] = {}

    async def read() -> None:
        while True:
            frame = await frames.receive()
            assert isinstance(frame, Answer)
            waiting.pop(frame.attempt_id).set_result(None)

    reader = asyncio.create_task(read())

    async def call(number: int) -> None:
        waiter = asyncio.get_running_loop().create_future()
        waiting[str(number)] = waiter
        frames.send(BodyPart(str(number), PAYLOAD))
        await waiter

    elapsed = await drive(call)
    reader.cancel()
    return elapsed


DRIVERS = {
    'grpc-unary': call_unary,
    'grpc-stream': call_stream,
    'framed-stream': call_framed,
}


def processor_s(pid: int) -> float:
    """Read the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(') ')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def compare(way: str, port: int) -> None:
    """Measure one way."""
    server = subprocess.Popen([sys.executable, __file__, 'serve', way, str(port)])
    try:
        wait_for_port(port)
        before = processor_s(server.pid)
        begun = time.process_time()
        elapsed = asyncio.run(DRIVERS[way](port))
        used = processor_s(server.pid) - before + time.process_time() - begun
    finally:
        server.kill()
        server.wait()
    show(
        way=way,
        calls=CALLS,
        p50_ms=percentile(elapsed, 0.5),
        p99_ms=percentile(elapsed, 0.99),
        cpu_ms_per_call=used * 1000 / CALLS,
    )


def main() -> None:
    """Run one side, or compare all ways."""
    if len(sys.argv) > 1:
        asyncio.run(serve(sys.argv[2], int(sys.argv[3])))
        return
    ports = Ports()
    for way in WAYS:
        compare(way, ports.take())


if __name__ == '__main__':
    main()
