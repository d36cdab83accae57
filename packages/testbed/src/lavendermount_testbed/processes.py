"""Starts, suspends and stops the processes of a test or benchmark.

:units: seconds.
:errors: ``TimeoutError`` if a condition does not hold in time,
    ``subprocess.TimeoutExpired`` if a process does not exit in time.
"""

from __future__ import annotations

import contextlib
import functools
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.03
# Below the ports from which the kernel opens outgoing connections.
PORT_RANGE_START = 21000
PORT_RANGE_END = 32000
PORTS_PER_BLOCK = 500


class PortBlock:
    """Consecutive ports that no other test process uses.

    The process listens on the first port of the block for as long as it lives;
    a process that can't bind that port takes another block.
    """

    __slots__ = ('guard', 'first', 'next_port')

    def __init__(self, guard: socket.socket) -> None:
        """Start after the port of the guard.

        :param guard: socket that listens on the first port.
        """
        self.guard = guard
        self.first: int = guard.getsockname()[1]
        self.next_port = self.first

    def allocate(self, size: int = 1) -> int:
        """Return the first of some consecutive ports that nobody listens on.

        The ports are used in turn; at the end of the block, the first ones again.

        :param size: number of ports.
        """
        while True:
            first: int = self.next_port + 1
            if first + size > self.first + PORTS_PER_BLOCK:
                first = self.first + 1
            self.next_port = first + size - 1
            if all(map(_is_free, range(first, first + size))):
                return first


@functools.cache
def reserved_block() -> PortBlock:
    """Reserve a block of ports for this process.

    :raises OSError: if all blocks are reserved.
    """
    starts = range(PORT_RANGE_START, PORT_RANGE_END, PORTS_PER_BLOCK)
    offset = os.getpid() % len(starts)
    for start in (*starts[offset:], *starts[:offset]):
        with contextlib.suppress(OSError):
            return PortBlock(socket.create_server(('127.0.0.1', start)))
    raise OSError('another test process uses each block of ports')


class Process:
    """One child process that runs the Python interpreter.

    :param name: name of the process and of its output file.
    :param arguments: command line after the interpreter.
    :param folder: folder of the output file.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Start the process."""
        self.name = name
        self.arguments = arguments
        self.output = folder / f'{name}.log'
        self.popen = self.spawn()

    def spawn(self) -> subprocess.Popen[bytes]:
        """Run the command line and append its output to the output file."""
        with self.output.open('ab') as output:
            return subprocess.Popen(  # noqa: S603
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None

    def restart(self) -> None:
        """Run the same command line in a new process."""
        self.popen = self.spawn()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, which it can't catch."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> int:
        """Send SIGTERM and wait until the process exits.

        :returns: exit code.
        """
        self.popen.terminate()
        return self.wait()

    def wait(self) -> int:
        """Wait until the process exits.

        :returns: exit code.
        """
        return self.popen.wait(STOP_TIMEOUT_S)

    def read_output(self) -> str:
        """Read the output written so far, of all runs of the process."""
        return self.output.read_text(errors='replace')


class ProcessManager:
    """The processes, ports and files of one test or benchmark."""

    def __init__(self) -> None:
        """Create a temporary folder for files."""
        self.folder = Path(tempfile.mkdtemp(prefix='lavendermount-'))
        self.ports = reserved_block()
        self.processes: dict[str, Process] = {}

    def start(self, name: str, arguments: list[str]) -> Process:
        """Start a process and register it to be killed on close."""
        process = Process(name, arguments, self.folder)
        self.processes[name] = process
        return process

    def write_file(self, name: str, text: str) -> Path:
        """Write a file into the temporary folder."""
        path = self.folder / name
        path.write_text(text)
        return path

    def close(self) -> None:
        """Kill every process started here and delete the temporary folder."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.popen.kill()
        for ended in self.processes.values():
            ended.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for_port(port: int, host: str = '127.0.0.1') -> None:
    """Wait until a process listens on a port.

    :raises TimeoutError: if none does in time.
    """
    wait_until(lambda: not _is_free(port, host), f'a process listens on port {port}')


def wait_until(
    condition: object, description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    :param condition: function without parameters that is polled.
    :param description: description of the condition, for the error message.
    :param timeout_s: timeout.
    :raises TimeoutError: if it does not hold in time.
    """
    assert callable(condition)
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'timeout after {timeout_s:g} s, waiting for: {description}'
            )
        time.sleep(POLL_INTERVAL_S)


def _is_free(port: int, host: str = '127.0.0.1') -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) != 0
