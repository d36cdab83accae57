"""Steps that check the testbed itself."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from pathlib import Path
from typing import Any

from behave import then

from lavendermount_testbed.caller import CallerPool

PORT_COUNT = 400
EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
# Prints the reserved ports, and keeps them reserved until its input ends.
RESERVE_PORTS = f"""
import os
os.getpid = lambda: 1
from lavendermount_testbed.processes import reserved_block
block = reserved_block()
print(*[block.allocate() for _ in range({PORT_COUNT})], flush=True)
input()
"""


@then('two processes reserve different ports that the kernel gives to nobody else')
def different_ports(context: Any) -> None:
    """Reserve ports in two processes that would begin at the same block."""
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    processes = [
        subprocess.Popen(
            [sys.executable, '-c', RESERVE_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    ports = [int(port) for each in processes for port in each.stdout.readline().split()]
    for each in processes:
        each.communicate('\n')
    assert len(set(ports)) == 2 * PORT_COUNT, len(set(ports))
    assert max(ports) < first_ephemeral, max(ports)


@then(
    'after a node has closed all kept connections, the next requests get their replies'
)
def use_after_close(context: Any) -> None:
    """Keep two connections, close them at the node's end, and send more requests."""
    asyncio.run(_use_after_close())


async def _use_after_close() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b'\r\n\r\n'):
                await asyncio.sleep(0.05)
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    pool = CallerPool(server.sockets[0].getsockname()[1])
    for _ in range(2):
        kept = await asyncio.gather(*(pool.call('GET', '/', {}) for _ in range(2)))
        assert [reply.status for reply in kept] == [200, 200]
        await asyncio.sleep(0.05)
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.05)
    assert len(writers) == 4
    server.close()
