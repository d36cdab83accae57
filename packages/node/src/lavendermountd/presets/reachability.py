"""Whether the log answers the reads of a follower, and when it last did.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

from lavendermount_core.exceptions import LogUnavailableError

log = logging.getLogger(__name__)

INITIAL_RETRY_S = 0.2
RETRY_JITTER_RATIO = 0.5


class LogReachability:
    """Records answers and failures of the log; waits longer after each failure.

    :param max_retry_s: longest time between two attempts.
    """

    __slots__ = ('max_retry_s', 'is_reachable', 'retry_s', 'asked_at', 'answered_at')

    def __init__(self, max_retry_s: float) -> None:
        """Start without an answer of the log."""
        self.max_retry_s = max_retry_s
        self.is_reachable = False
        self.retry_s = INITIAL_RETRY_S
        self.asked_at = time.monotonic()
        self.answered_at = time.monotonic()

    def mark_asked(self) -> None:
        """Record that a read begins."""
        self.asked_at = time.monotonic()

    def mark_answered(self) -> None:
        """Record an answer and reset the backoff."""
        self.answered_at = time.monotonic()
        self.retry_s = INITIAL_RETRY_S
        if self.is_reachable:
            return
        self.is_reachable = True
        log.info('log-reachable')

    def answer_age_s(self) -> float:
        """Return the time since the last answer, or since the start without one."""
        return time.monotonic() - self.answered_at

    async def wait_before_retry(self, error: LogUnavailableError) -> None:
        """Record a failure and wait, with exponential backoff and jitter."""
        if self.is_reachable:
            waited_s = time.monotonic() - self.asked_at
            log.warning(
                'log-unreachable',
                extra={
                    'cause': str(error),
                    'waited_s': round(waited_s, 3),
                    'answer_age_s': round(self.answer_age_s(), 3),
                },
            )
        self.is_reachable = False
        await asyncio.sleep(self.retry_s * (1 + RETRY_JITTER_RATIO * random.random()))
        self.retry_s = min(self.retry_s * 2, self.max_retry_s)
