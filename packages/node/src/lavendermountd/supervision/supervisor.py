"""Supervisors restart their children when those fail.

:errors: ``SupervisionError`` when a child fails too often; the parent
    supervisor then restarts the whole branch, and the root ends the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from itertools import filterfalse

from lavendermount_core.exceptions import LavendermountError

log = logging.getLogger(__name__)

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 2
# Failures of a child within ``RESTART_WINDOW_S`` after which the supervisor fails;
# the last of them is not followed by a restart.
FAILURE_LIMIT = 8
RESTART_WINDOW_S = 60.0
# Time that cancelled tasks have to clean up.
END_TIMEOUT_S = 2.0

TaskFunction = Callable[[], Awaitable[None]]


class SupervisionError(LavendermountError):
    """A child failed more often than its supervisor allows."""

    exit_code = 70


class Child:
    """One supervised task.

    :param name: name in logs and metrics.
    :param run: runs until cancelled; returning counts as a failure.
    """

    __slots__ = ('name', 'run')

    def __init__(self, name: str, run: TaskFunction) -> None:
        """Initialize the fields."""
        self.name = name
        self.run = run


class Supervisor:
    """Runs each child in a task of its own and restarts it when it fails.

    :param name: name in logs and metrics.
    :param children: children to run, started in order.
    :param on_restart: called with the child's path each time it ends, also if it is
        not restarted.
    """

    def __init__(
        self,
        name: str,
        children: Sequence[Child],
        on_restart: Callable[[str], None],
    ) -> None:
        """Store the children; none is started yet."""
        self.name = name
        self.children = tuple(children)
        self.on_restart = on_restart
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Run all children until cancelled or until one fails too often.

        :raises SupervisionError: if a child fails too often.
        """
        supervision_tasks = [
            asyncio.create_task(self.supervise_child(child), name=f'keep-{child.name}')
            for child in self.children
        ]
        try:
            await asyncio.gather(*supervision_tasks)
        finally:
            await end_tasks(supervision_tasks)

    async def supervise_child(self, child: Child) -> None:
        """Run one child and restart it with backoff whenever it ends.

        :param child: child to run.
        :raises SupervisionError: if it fails too often.
        """
        failures: deque[float] = deque(maxlen=FAILURE_LIMIT)
        while True:
            await self.run_once(child)
            failures.append(time.monotonic())
            self.check_restarts(child, failures)
            await asyncio.sleep(_backoff_s(failures))

    async def run_once(self, child: Child) -> None:
        """Run one child until it ends, and log the cause."""
        path = f'{self.name}/{child.name}'
        task = asyncio.ensure_future(child.run())
        self.tasks[child.name] = task
        try:
            await asyncio.wait({task})
        finally:
            await end_tasks([task])
        failure = None if task.cancelled() else task.exception()
        log.error(
            'task-restarted',
            exc_info=failure,
            extra={'task': path, 'cause': repr(failure)},
        )
        self.on_restart(path)

    def check_restarts(self, child: Child, failures: deque[float]) -> None:
        """Raise an error if a child failed too often recently."""
        if len(failures) < FAILURE_LIMIT:
            return
        if failures[-1] - failures[0] < RESTART_WINDOW_S:
            raise SupervisionError(
                f'{self.name}/{child.name} failed {FAILURE_LIMIT} times '
                f'within {RESTART_WINDOW_S:g} s',
            )


def _backoff_s(failures: deque[float]) -> float:
    recent = sum(
        1 for failed_at in failures if failures[-1] - failed_at < RESTART_WINDOW_S
    )
    backoff_s = INITIAL_BACKOFF_S * float(BACKOFF_FACTOR) ** (recent - 1)
    return min(backoff_s, MAX_BACKOFF_S)


async def end_tasks(tasks: Sequence[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until all have ended.

    Each is cancelled once, and the wait continues if the waiting task is cancelled
    again: a second cancellation would interrupt the cleanup of a task. Tasks that don't
    end within ``END_TIMEOUT_S`` are left.
    """
    for task in tasks:
        task.cancel()
    ends_at = time.monotonic() + END_TIMEOUT_S
    pending = set(tasks)
    while pending and time.monotonic() < ends_at:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pending, timeout=ends_at - time.monotonic())
        pending = set(filterfalse(asyncio.Task.done, tasks))
    if pending:
        log.error('tasks-not-ended', extra={'count': len(pending)})
