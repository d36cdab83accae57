"""Follows the preset stream of the log.

:errors: none are raised while the log is unavailable; the node continues with
    the preset that it has.
"""

from __future__ import annotations

import asyncio
import logging

from lavendermount_core.exceptions import LogEvictedError, LogUnavailableError
from lavendermount_core.log.adapter import (
    LogAdapter,
    LogBatch,
    era_of,
)
from lavendermount_core.presets.fold import PresetFold, resume_fold
from lavendermount_core.presets.records import preset_stream
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.reachability import LogReachability

log = logging.getLogger(__name__)

LONG_POLL_S = 8.0


class PresetFollower:
    """Reads the preset stream and applies its records to the fold.

    :param platform_log: log that contains the stream.
    :param holder: holder of the fold.
    """

    def __init__(self, platform_log: LogAdapter, holder: PresetHolder) -> None:
        """Create a follower that has not read any records."""
        self.platform_log = platform_log
        self.holder = holder
        self.reachability = LogReachability(LONG_POLL_S)
        self.is_caught_up = asyncio.Event()

    def restart(self) -> None:
        """Read to the end of the stream again before it counts as caught up.

        A read that is waiting is abandoned.
        """
        self.is_caught_up.clear()
        self.reachability.restart()

    def applied_position(self) -> int:
        """Return 0: a position means nothing to other nodes without the switches."""
        return 0

    def skip_to(self, position: int) -> None:
        """Skip nothing: each switch of the stream must be evaluated."""

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Read once; wait for new records at the end of the stream."""
        try:
            await self.reachability.run(self.read())
        except LogEvictedError as error:
            self.skip_evicted(error.oldest)
        except LogUnavailableError as error:
            await self.reachability.wait_before_retry(error)

    async def read(self) -> None:
        """Read the next records of the stream of the current era."""
        era = self.platform_log.era
        fold = self.holder.fold
        offset = 0 if fold is None else fold.next_offset
        is_caught_up = self.is_caught_up.is_set()
        batch = await self.reachability.read(
            lambda wait_s, transfer: self.platform_log.read(
                preset_stream(era), offset, wait_s if is_caught_up else 0, transfer
            )
        )
        if preset_stream(self.platform_log.era) != preset_stream(era):
            self.skip_evicted(batch.oldest)
            return
        self.apply(batch)

    def skip_evicted(self, oldest: int) -> None:
        """Resume at the oldest retained record.

        In a later era of the log, that is the beginning of the era's own stream.

        :param oldest: oldest position that the log retains.
        """
        self.reachability.mark_answered()
        fold = self.holder.fold
        if fold is None or era_of(oldest) != era_of(fold.next_offset):
            self.is_caught_up.clear()
        log.info('presets-evicted', extra={'oldest': oldest})
        self.holder.fold = resume_fold(fold, oldest)

    def apply(self, batch: LogBatch) -> None:
        """Apply the records of a batch and update the preset in force.

        After a start, no preset is put in force before the end of the stream is
        reached, so that the node never uses one that has already been replaced.
        """
        if self.holder.fold is None:
            self.holder.fold = PresetFold(batch.oldest)
        fold = self.holder.fold
        for record in batch.records:
            fold.apply(record.offset, record.body)
        fold.next_offset = max(fold.next_offset, batch.next_offset)
        if fold.next_offset >= batch.end:
            self.is_caught_up.set()
        if self.is_caught_up.is_set() and fold.is_settled:
            self.holder.refresh()
