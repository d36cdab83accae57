"""Progress of one answer of the log, and its time limits.

A time limit on a whole answer would discard what has arrived, and the same bytes would
be asked for again. The limits here are therefore those of a silence: each part that
arrives extends them.

:units: seconds on the node's monotonic clock; bytes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lavendermount_core.utils.deadlines import Deadline, deadline_in
from lavendermount_core.utils.units import MS_PER_S


class SilenceLimit:
    """Time limit that each part of an answer extends.

    :param deadline: the running time limit.
    :param silence_s: longest time without a byte.
    """

    __slots__ = ('deadline', 'silence_s')

    def __init__(self, deadline: Deadline, silence_s: float) -> None:
        """Initialize the fields."""
        self.deadline = deadline
        self.silence_s = silence_s

    def extend(self) -> None:
        """Start the silence anew, unless it was too long already."""
        self.deadline.move(asyncio.get_running_loop().time() + self.silence_s)


class Transfer:
    """Measures an answer, whose parts the client notes as they arrive."""

    __slots__ = (
        'started_at',
        'first_byte_at',
        'last_byte_at',
        'received_bytes',
        'limits',
    )

    def __init__(self) -> None:
        """Start before the first byte."""
        self.started_at = time.monotonic()
        self.first_byte_at = self.started_at
        self.last_byte_at = self.started_at
        self.received_bytes = 0
        self.limits: list[SilenceLimit] = []

    def note_received(self, size: int) -> None:
        """Note that a part has arrived, and extend the limits.

        :param size: its length.
        """
        now = time.monotonic()
        if not self.received_bytes:
            self.first_byte_at = now
        self.last_byte_at = now
        self.received_bytes += size
        for limit in self.limits:
            limit.extend()

    @asynccontextmanager
    async def limit(self, wait_s: float, silence_s: float) -> AsyncIterator[None]:
        """Limit the time without a byte of the answer.

        :param wait_s: how much longer the first byte may take.
        :param silence_s: longest time without a byte.
        :raises TimeoutError: if it takes longer.
        """
        async with deadline_in(wait_s + silence_s) as deadline:
            limit = SilenceLimit(deadline, silence_s)
            self.limits.append(limit)
            try:
                yield
            finally:
                self.limits.remove(limit)

    @property
    def elapsed_s(self) -> float:
        """Time from the first byte to the last."""
        return self.last_byte_at - self.first_byte_at

    def describe(self) -> dict[str, object]:
        """Describe the transfer for the log."""
        return {
            'bytes': self.received_bytes,
            'waited_ms': round((self.first_byte_at - self.started_at) * MS_PER_S),
            'transfer_ms': round(self.elapsed_s * MS_PER_S),
        }
