"""A keyed log in memory, which answers after a delay of simulated time.

:units: seconds of simulated time.
"""

from __future__ import annotations

import asyncio
from typing import Final

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import (
    FIRST_ERA,
    KeyedLog,
    KeyedRecord,
    LogBatch,
    LogRecord,
    NewestRecords,
)
from lavendermount_core.log.transfer import Transfer

ANSWER_S: Final = 0.02
# Time after which the client gives up a call without an answer.
CLIENT_TIMEOUT_S: Final = 2.0
KEY: Final = 'preset'


class StoredRecords:
    """The records of the log."""

    __slots__ = ('bodies', 'has_grown')

    def __init__(self) -> None:
        """Start empty."""
        self.bodies: list[bytes] = []
        self.has_grown = asyncio.Condition()

    async def append(self, body: bytes) -> None:
        """Append a record, and wake the reads that wait for it."""
        async with self.has_grown:
            self.bodies.append(body)
            self.has_grown.notify_all()


class SimulatedLog(KeyedLog):
    """Client of the log; every record has the same key.

    :param stored: the records.
    """

    def __init__(self, stored: StoredRecords) -> None:
        """Initialize the fields."""
        super().__init__()
        self.stored = stored
        self.era = FIRST_ERA
        # Whether nothing passes between this node and the log.
        self.is_cut = False

    async def pass_network(self) -> None:
        """Take the time of a call.

        :raises LogUnavailableError: if the node is cut off from the log.
        """
        await asyncio.sleep(ANSWER_S)
        if self.is_cut:
            await asyncio.sleep(CLIENT_TIMEOUT_S)
            raise LogUnavailableError('the log is cut off')

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record."""
        await self.pass_network()
        await self.stored.append(body)
        return len(self.stored.bodies) - 1

    async def append_keyed(self, stream: str, keyed: KeyedRecord) -> int:
        """Append a record without its key."""
        return await self.append(stream, keyed.body)

    async def newest(
        self, stream: str, transfer: Transfer | None = None
    ) -> NewestRecords:
        """Read the newest record."""
        await self.pass_network()
        bodies = self.stored.bodies
        return NewestRecords(len(bodies), {KEY: bodies[-1]} if bodies else {})

    async def end(self, stream: str) -> int:
        """Return the number of records."""
        await self.pass_network()
        return len(self.stored.bodies)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        transfer: Transfer | None = None,
    ) -> LogBatch:
        """Read the records from an offset on; wait for the next one at the end."""
        await self.pass_network()
        bodies = self.stored.bodies
        try:
            async with asyncio.timeout(wait_s), self.stored.has_grown:
                await self.stored.has_grown.wait_for(lambda: len(bodies) > offset)
        except TimeoutError:
            await self.pass_network()
            return LogBatch(0, offset, len(bodies), [])
        await self.pass_network()
        records = [
            LogRecord(offset + index, body)
            for index, body in enumerate(bodies[offset:])
        ]
        return LogBatch(0, len(bodies), len(bodies), records)

    def split_key(self, body: bytes) -> KeyedRecord:
        """Give a record its key."""
        return KeyedRecord(KEY, body)
