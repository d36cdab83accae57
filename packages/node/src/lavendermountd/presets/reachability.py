"""Reads of the log that a follower waits for, and whether the log answers them.

:units: seconds on the node's monotonic clock.
:errors: ``LogUnavailableError`` if the log does not answer in time.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import AbstractAsyncContextManager, asynccontextmanager, nullcontext
from typing import Any

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import LogBatch
from lavendermount_core.log.transfer import Transfer
from lavendermountd.presets.check_pace import CheckPace
from lavendermountd.presets.poll_schedule import RESPONSE_TIMEOUT_S, PollSchedule
from lavendermountd.presets.restart import RestartRequest

log = logging.getLogger(__name__)

# Time after which a check without an answer counts as a sign of a silent log.
LATE_ANSWER_S = 0.35
# Least time between two announcements of that; regular gossip repeats it meanwhile.
SILENCE_INTERVAL_S = 2.5

ReadCall = Callable[[float, Transfer], Awaitable[LogBatch]]


class LogReachability:
    """Makes the reads of a follower and records answers and failures of the log.

    :param max_wait_s: longest time that a read may wait for news.
    """

    __slots__ = (
        'schedule',
        'check_pace',
        'restart_request',
        'is_reachable',
        'is_waiting',
        'is_lost_read_suspected',
        'is_silent',
        'on_silence',
        'announced_at',
        'failures',
        'asked_at',
        'answered_at',
        'transfer',
    )

    def __init__(self, max_wait_s: float) -> None:
        """Start without an answer of the log."""
        self.schedule = PollSchedule(max_wait_s)
        self.check_pace = CheckPace()
        self.restart_request = RestartRequest()
        self.is_reachable = False
        self.is_waiting = False
        self.is_lost_read_suspected = False
        # Whether the latest check has no answer yet or the latest read has failed.
        self.is_silent = False
        # Called when the log falls silent.
        self.on_silence: Callable[[], None] = _ignore_silence
        self.announced_at = -math.inf
        self.failures = 0
        self.asked_at = time.monotonic()
        self.answered_at = time.monotonic()
        # The answer to the latest read.
        self.transfer = Transfer()

    async def run(self, step: Coroutine[Any, Any, None]) -> None:
        """Run one step of the follower; a restart abandons it."""
        self.asked_at = time.monotonic()
        await self.restart_request.run(step)

    def restart(self) -> None:
        """Abandon the current step of the follower."""
        self.restart_request.request()

    def read_at_once(self) -> None:
        """Let the next read neither wait before it is made nor for news."""
        self.is_lost_read_suspected = True

    def suspect_lost_read(self) -> None:
        """Abandon a read that waits for news, and read at once.

        Another node knows a newer preset, so the log may never answer that read, unless
        a part of the answer has arrived.
        """
        if not self.is_waiting or self.transfer.received_bytes:
            return
        self.is_lost_read_suspected = True
        self.schedule.restart()
        log.info(
            'log-read-abandoned',
            extra={'waited_s': round(time.monotonic() - self.asked_at, 3)},
        )
        self.restart()

    async def check(self, call: Callable[[], Awaitable[int]]) -> int:
        """Ask the log for a position instead of records.

        :param call: asks.
        :raises LogUnavailableError: if there is no answer in time.
        """
        loop = asyncio.get_running_loop()
        lateness = loop.call_later(LATE_ANSWER_S, self.note_silence)
        try:
            async with self.answered_in_time(0):
                return await call()
        finally:
            lateness.cancel()

    async def read(self, call: ReadCall) -> LogBatch:
        """Read records when it is due; wait for news only while the log answers.

        :param call: makes the read, given how long it may wait for news, and notes the
            progress of the answer.
        :raises LogUnavailableError: if there is no answer in time.
        """
        return await self.read_now(call, await self.wait_until_due())

    async def read_now(self, call: ReadCall, wait_s: float) -> LogBatch:
        """Read records without waiting before.

        :param call: as for ``read``.
        :param wait_s: how long the read may wait for news.
        :raises LogUnavailableError: if there is no answer in time.
        """
        self.is_waiting = wait_s > 0
        try:
            async with self.answered_in_time(wait_s):
                batch = await call(wait_s, self.transfer)
        finally:
            self.is_waiting = False
        if batch.records:
            self.schedule.restart()
        else:
            self.schedule.reads_without_news += 1
        return batch

    async def wait_until_due(self) -> float:
        """Let time pass before the read if this node does not wait at the log.

        :returns: how long the read may wait for news.
        """
        if not self.is_reachable or self.is_lost_read_suspected:
            return 0
        left_s = self.schedule.check_interval_s()
        while not self.schedule.is_reader():
            if left_s <= 0:
                return 0
            left_s = await self.check_pace.advance(
                left_s,
                self.schedule.region_size(),
                self.schedule.longest_interval_s(),
                self.schedule.idle_factor(),
            )
        return self.schedule.wait_s()

    @asynccontextmanager
    async def answered_in_time(self, wait_s: float) -> AsyncIterator[None]:
        """Limit the silence of the log, and record its answer.

        :param wait_s: how long the log may wait for news before it answers.
        :raises LogUnavailableError: if there is no answer in time.
        """
        self.transfer = Transfer()
        try:
            async with self.limit(wait_s):
                yield
        except TimeoutError as error:
            raise LogUnavailableError('no answer to a read in time') from error
        self.is_lost_read_suspected = False
        self.mark_answered()

    def limit(self, wait_s: float) -> AbstractAsyncContextManager[None]:
        """Limit the silence of the log during a read.

        Every second read after a failure is limited only by the longer timeout of the
        log's client, because a slow log can't be told from a silent one.
        """
        if self.failures % 2:
            return nullcontext()
        return self.transfer.limit(wait_s, RESPONSE_TIMEOUT_S)

    def mark_answered(self) -> None:
        """Record an answer of the log."""
        self.answered_at = time.monotonic()
        self.failures = 0
        self.is_silent = False
        if self.is_reachable:
            return
        self.is_reachable = True
        log.info('log-reachable')

    def note_silence(self) -> None:
        """Record that the log does not answer; others may have to take over."""
        if self.is_silent:
            return
        self.is_silent = True
        log.info('log-silent', extra={'answer_age_s': round(self.answer_age_s(), 3)})
        now = time.monotonic()
        if now - self.announced_at >= SILENCE_INTERVAL_S:
            self.announced_at = now
            self.on_silence()

    def reports_silence(self) -> bool:
        """Return whether to tell other nodes that the log does not answer."""
        return self.is_silent

    def answer_age_s(self) -> float:
        """Return the time since the last answer, or since the start without one."""
        return time.monotonic() - self.answered_at

    async def wait_before_retry(self, error: LogUnavailableError) -> None:
        """Record a failure, and wait until the next attempt."""
        if self.is_reachable:
            waited_s = time.monotonic() - self.asked_at
            log.warning(
                'log-unreachable',
                extra={
                    'cause': str(error),
                    'waited_s': round(waited_s, 3),
                    'answer_age_s': round(self.answer_age_s(), 3),
                    'received_bytes': self.transfer.received_bytes,
                },
            )
        self.is_reachable = False
        self.failures += 1
        self.note_silence()
        self.schedule.restart()
        await asyncio.sleep(self.schedule.retry_s())


def _ignore_silence() -> None:
    """Do nothing; replaced when the node's components are connected."""
