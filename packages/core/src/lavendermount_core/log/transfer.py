"""Progress of one answer of the log.

:units: seconds on the node's monotonic clock; bytes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lavendermount_core.utils.units import MS_PER_S


class Transfer:
    """Measures an answer, whose parts the client notes as they arrive."""

    __slots__ = ('started_at', 'first_byte_at', 'last_byte_at', 'received_bytes')

    def __init__(self) -> None:
        """Start before the first byte."""
        self.started_at = time.monotonic()
        self.first_byte_at = self.started_at
        self.last_byte_at = self.started_at
        self.received_bytes = 0

    def note_received(self, size: int) -> None:
        """Note that a part has arrived.

        :param size: its length.
        """
        now = time.monotonic()
        if not self.received_bytes:
            self.first_byte_at = now
        self.last_byte_at = now
        self.received_bytes += size

    @asynccontextmanager
    async def limit(self, wait_s: float) -> AsyncIterator[None]:
        """Limit the time until the answer is complete.

        :param wait_s: longest time that the answer may take.
        :raises TimeoutError: if it takes longer.
        """
        async with asyncio.timeout(wait_s):
            yield

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
