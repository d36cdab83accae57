"""Starting, freezing and ending the processes of a test or bench.

:units: seconds.
:errors: ``TimeoutError`` when a process does not answer in time.
"""

from __future__ import annotations

import contextlib
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
FIRST_PORT = 21000
LAST_PORT = 32000
PORT_STRIDE = 397


class PortAllocator:
    """Hands out ports that nobody listens on."""

    __slots__ = ('next_port',)

    def __init__(self) -> None:
        """Start at a port that differs between processes."""
        span = LAST_PORT - FIRST_PORT
        self.next_port = FIRST_PORT + (os.getpid() * PORT_STRIDE) % span

    def allocate(self) -> int:
        """Take the next free port."""
        while True:
            self.next_port += 1
            if self.next_port >= LAST_PORT:
                self.next_port = FIRST_PORT
            if _is_free(self.next_port):
                return self.next_port


class Process:
    """One child process.

    :param name: name of its files.
    :param arguments: command line after the interpreter.
    :param folder: where its output goes.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Start it."""
        self.name = name
        self.arguments = arguments
        self.output = folder / f'{name}.log'
        self.popen = self.spawn()

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start the command line."""
        with self.output.open('ab') as output:
            return subprocess.Popen(  # noqa: S603
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    def restart(self) -> None:
        """Start the same command line again."""
        self.popen = self.spawn()

    def freeze(self) -> None:
        """Stop it from running, unaware."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run again."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it at once."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> int:
        """Ask it to stop and wait for it.

        :returns: its exit code.
        """
        self.popen.terminate()
        return self.wait()

    def wait(self) -> int:
        """Wait until it ends by itself.

        :returns: its exit code.
        """
        return self.popen.wait(STOP_TIMEOUT_S)

    def text(self) -> str:
        """Read its output so far."""
        return self.output.read_text(errors='replace')


class Workbench:
    """The processes and files of one test or bench."""

    def __init__(self) -> None:
        """Make a folder for files."""
        self.folder = Path(tempfile.mkdtemp(prefix='lavendermount-'))
        self.ports = PortAllocator()
        self.processes: dict[str, Process] = {}

    def start(self, name: str, arguments: list[str]) -> Process:
        """Start a process."""
        process = Process(name, arguments, self.folder)
        self.processes[name] = process
        return process

    def write_file(self, name: str, text: str) -> Path:
        """Write a file."""
        path = self.folder / name
        path.write_text(text)
        return path

    def close(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.popen.kill()
        for ended in self.processes.values():
            ended.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for_port(port: int, host: str = '127.0.0.1') -> None:
    """Wait until somebody listens on a port.

    :raises TimeoutError: if nobody does in time.
    """
    wait_until(lambda: not _is_free(port, host), f'port {port} listens')


def wait_until(
    condition: object, subject: str, limit_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    :param condition: called without arguments.
    :param subject: what is waited for, for the error.
    :raises TimeoutError: if it does not hold in time.
    """
    assert callable(condition)
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'{subject}: not within {limit_s:g} s')
        time.sleep(POLL_INTERVAL_S)


def _is_free(port: int, host: str = '127.0.0.1') -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) != 0
