"""Reads all records that a stream retains.

:errors: ``LogUnavailableError`` if the log does not answer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

from lavendermount_core.exceptions import LogEvictedError
from lavendermount_core.log.adapter import LogAdapter, LogBatch


async def read_to_end(platform_log: LogAdapter, stream: str) -> AsyncIterator[LogBatch]:
    """Read a stream from its oldest record to its end.

    :param platform_log: log that contains the stream.
    :param stream: name of the stream.
    :returns: the batches in order; records that are evicted meanwhile are skipped.
    """
    offset = 0
    while True:
        try:
            batch = await platform_log.read(stream, offset)
        except LogEvictedError as error:
            offset = error.oldest
            continue
        yield batch
        offset = batch.next_offset
        if offset >= batch.end:
            return
