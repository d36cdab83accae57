"""Comparison of transports for requests between two nodes.

:shapes: one line of figures per transport; server and client are two processes.
:units: milliseconds; CPU time is the sum of both processes.

Usage: ``python benches/transport.py``. With the arguments ``serve TRANSPORT
PORT``, which it passes to its own server process, it runs only the server.
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

from benches.measure import percentile, print_figures
from lavendermount_core.exceptions import PeerLinkError
from lavendermount_testbed.processes import reserved_block, wait_for_port
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.frames import Answer, BodyPart

CALL_COUNT = 3000
CONCURRENCY = 4
PAYLOAD = b'x' * 1000
UNARY_METHOD = '/bench.Echo/Unary'
STREAM_METHOD = '/bench.Echo/Stream'
HOST = '127.0.0.1'
TRANSPORTS = ('grpc-unary', 'grpc-stream', 'framed-stream')

SendCall = Callable[[int], Coroutine[Any, Any, None]]


async def echo_unary(request: bytes, context: object) -> bytes:
    """Echo a unary call."""
    return request


async def echo_stream(
    requests: AsyncIterator[bytes], context: object
) -> AsyncIterator[bytes]:
    """Echo each message of a stream."""
    async for request in requests:
        yield request


class FrameEcho(TCPServer):
    """Server that answers each frame with the same body."""

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


async def serve(transport: str, port: int) -> None:
    """Run the server of a transport."""
    if transport == 'framed-stream':
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


async def run_calls(call: SendCall) -> list[float]:
    """Make calls, ``CONCURRENCY`` at once, and return the sorted durations."""
    elapsed: list[float] = []
    numbers = iter(range(CALL_COUNT))

    async def worker() -> None:
        for number in numbers:
            started_at = time.perf_counter()
            await call(number)
            elapsed.append((time.perf_counter() - started_at) * 1000)
            await asyncio.sleep(0.002)

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    return sorted(elapsed)


async def call_unary(port: int) -> list[float]:
    """Measure gRPC unary calls."""
    channel = grpc.aio.insecure_channel(f'{HOST}:{port}')
    method = channel.unary_unary(UNARY_METHOD)

    async def call(number: int) -> None:
        await method(PAYLOAD)

    return await run_calls(call)


async def call_stream(port: int) -> list[float]:
    """Measure calls that share one bidirectional gRPC stream."""
    channel = grpc.aio.insecure_channel(f'{HOST}:{port}')
    stream = channel.stream_stream(STREAM_METHOD)()
    write_lock = asyncio.Lock()
    pending: list[asyncio.Future[None]] = []

    async def read() -> None:
        async for _ in stream:
            pending.pop(0).set_result(None)

    reader = asyncio.create_task(read())

    async def call(number: int) -> None:
        waiter = asyncio.get_running_loop().create_future()
        async with write_lock:
            pending.append(waiter)
            await stream.write(PAYLOAD)
        await waiter

    elapsed = await run_calls(call)
    reader.cancel()
    return elapsed


async def call_framed(port: int) -> list[float]:
    """Measure frames on a tornado stream."""
    frames = FrameStream(await TCPClient().connect(HOST, port))
    pending: dict[str, asyncio.Future[None]] = {}

    async def read() -> None:
        while True:
            frame = await frames.receive()
            assert isinstance(frame, Answer)
            pending.pop(frame.attempt_id).set_result(None)

    reader = asyncio.create_task(read())

    async def call(number: int) -> None:
        waiter = asyncio.get_running_loop().create_future()
        pending[str(number)] = waiter
        frames.send(BodyPart(str(number), PAYLOAD))
        await waiter

    elapsed = await run_calls(call)
    reader.cancel()
    return elapsed


DRIVERS = {
    'grpc-unary': call_unary,
    'grpc-stream': call_stream,
    'framed-stream': call_framed,
}


def cpu_time_s(pid: int) -> float:
    """Read the user and system CPU time that a process has used.

    Assumes 100 clock ticks per second.
    """
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(') ')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure_transport(transport: str, port: int) -> None:
    """Measure one transport and print its figures."""
    server = subprocess.Popen([sys.executable, __file__, 'serve', transport, str(port)])
    try:
        wait_for_port(port)
        before = cpu_time_s(server.pid)
        started_at = time.process_time()
        elapsed = asyncio.run(DRIVERS[transport](port))
        cpu_s = cpu_time_s(server.pid) - before + time.process_time() - started_at
    finally:
        server.kill()
        server.wait()
    print_figures(
        way=transport,
        calls=CALL_COUNT,
        p50_ms=percentile(elapsed, 0.5),
        p99_ms=percentile(elapsed, 0.99),
        cpu_ms_per_call=cpu_s * 1000 / CALL_COUNT,
    )


def main() -> None:
    """Run the server if there are arguments, or measure all transports."""
    if len(sys.argv) > 1:
        asyncio.run(serve(sys.argv[2], int(sys.argv[3])))
        return
    ports = reserved_block()
    for transport in TRANSPORTS:
        measure_transport(transport, ports.allocate())


if __name__ == '__main__':
    main()
