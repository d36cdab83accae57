"""Steps that check that the process of a stopped node exits."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from typing import Any

from behave import then

from lavendermountd.supervision.supervisor import Child, Supervisor

CLEANUP_S = 0.05
EXIT_TIMEOUT_S = 0.2
EXIT_CODE = 70
MAX_RUN_S = 10.0
# A worker thread that never ends keeps an interpreter from exiting.
BLOCKED_PROCESS = f"""
import threading
from lavendermountd.exit_limit import limit_exit
threading.Thread(target=threading.Event().wait).start()
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


@then('a process that does not exit by itself ends in time with its exit code')
def process_ends(context: Any) -> None:
    """Run a process with a thread that never ends."""
    started_at = time.monotonic()
    process = subprocess.run(
        [sys.executable, '-c', BLOCKED_PROCESS], check=False, timeout=MAX_RUN_S
    )
    assert process.returncode == EXIT_CODE, process.returncode
    assert time.monotonic() - started_at >= EXIT_TIMEOUT_S
