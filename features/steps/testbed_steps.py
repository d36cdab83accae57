"""Steps that check the testbed itself."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

from behave import then

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
