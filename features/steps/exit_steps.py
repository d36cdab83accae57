"""Steps that check that the process of a stopped node exits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import then
from deployment_steps import instance_of

from lavendermount_testbed.processes import wait_until
from lavendermountd.supervision import supervisor as supervisor_module
from lavendermountd.supervision.supervisor import Child, Supervisor

CLEANUP_S = 0.05
EXIT_TIMEOUT_S = 0.2
EXIT_CODE = 70
MAX_RUN_S = 10.0
SIGNAL_INTERVAL_S = 0.002
# A worker thread that never ends keeps an interpreter from exiting.
BLOCKED_PROCESS = f"""
import threading
from lavendermountd.exit_limit import limit_exit
threading.Thread(target=threading.Event().wait).start()
limit_exit({EXIT_TIMEOUT_S}, {EXIT_CODE})
"""

# The pipe of the log is full, and the thread that writes to it holds its lock.
UNREAD_PROCESS = f"""
import logging
import threading
from lavendermountd.exit_limit import limit_exit
logging.basicConfig(level=logging.INFO)
full = 'x' * 1000000
threading.Thread(target=logging.info, args=(full,)).start()
limit_exit({EXIT_TIMEOUT_S}, {EXIT_CODE})
"""


@then('supervisors that are cancelled more than once let their children clean up')
def children_clean_up(context: Any) -> None:
    """Cancel two levels of supervisors twice while their child cleans up."""
    ended: list[str] = []

    async def child() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(CLEANUP_S)
            ended.append('child')

    async def stop() -> None:
        branch = Supervisor('branch', [Child('child', child)], lambda path: None)
        root = Supervisor('root', [Child('branch', branch.run)], lambda path: None)
        task = asyncio.create_task(root.run())
        await asyncio.sleep(CLEANUP_S)
        task.cancel()
        await asyncio.sleep(CLEANUP_S / 2)
        task.cancel()
        await asyncio.wait({task})

    asyncio.run(stop())
    assert ended == ['child'], ended


@then('a supervisor ends although a child ignores its cancellation')
def stuck_child(context: Any) -> None:
    """Cancel a supervisor whose child goes on."""

    async def child() -> None:
        for _ in range(2):
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(MAX_RUN_S)

    async def stop() -> None:
        supervisor = Supervisor('root', [Child('child', child)], lambda path: None)
        task = asyncio.create_task(supervisor.run())
        await asyncio.sleep(CLEANUP_S)
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=MAX_RUN_S)
        assert done

    with patch.object(supervisor_module, 'END_TIMEOUT_S', CLEANUP_S):
        asyncio.run(stop())


@then('a process that does not exit by itself ends in time with its exit code')
def process_ends(context: Any) -> None:
    """Run a process with a thread that never ends."""
    started_at = time.monotonic()
    process = subprocess.run(
        [sys.executable, '-c', BLOCKED_PROCESS], check=False, timeout=MAX_RUN_S
    )
    assert process.returncode == EXIT_CODE, process.returncode
    assert time.monotonic() - started_at >= EXIT_TIMEOUT_S


@then('a SIGHUP while a node reads its settings does not end it')
def hangup_at_start(context: Any) -> None:
    """Restart a node with a pipe as its settings file, and signal before writing it."""
    instance = instance_of(context, 1)
    deployment = context.deployment
    assert instance.node.terminate() == 0
    path = Path(instance.node.arguments[-1])
    path.unlink()
    os.mkfifo(path)
    instance.node.restart()
    # Opening blocks until the node opens the other end.
    with path.open('w') as pipe:
        instance.node.popen.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
        pipe.write(deployment.node_settings(instance))
    wait_until(instance.is_ready, 'the node is ready')


@then('signals that go on until a stopping node has exited do not change its exit code')
def signals_at_exit(context: Any) -> None:
    """Send signals to a stopping node until it is gone."""
    process = instance_of(context, 1).node
    while process.is_running:
        for signum in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            process.popen.send_signal(signum)
        time.sleep(SIGNAL_INTERVAL_S)
    assert process.popen.returncode == 0, process.popen.returncode


@then('it does so although nobody reads its log')
def process_ends_unread(context: Any) -> None:
    """Run such a process with a full pipe as its log."""
    process = subprocess.Popen(
        [sys.executable, '-c', UNREAD_PROCESS], stderr=subprocess.PIPE
    )
    with process:
        assert process.wait(MAX_RUN_S) == EXIT_CODE, process.returncode
