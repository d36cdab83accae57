"""Carries the preset in force over to the stream of a new era of the log.

The log came back from an older copy. The new era's stream begins empty, and the first
snapshot that a node appends to it settles it for all.

:units: seconds.
:errors: none are raised while the log is unavailable.
"""

from __future__ import annotations

import asyncio
import logging
import random

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import (
    LogAdapter,
    LogBatch,
    join_position,
    offset_of,
)
from lavendermount_core.log.reading import read_to_end
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import NO_REVISION, preset_stream
from lavendermountd.presets.follower import PresetFollower
from lavendermountd.presets.republisher import PresetRepublisher

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
# Time after which a node without a preset reads the stream of the previous era,
# because no other node has carried one over.
ORPHANED_AFTER_S = 5.0


class PresetCarrier:
    """Appends the preset in force to the stream of a new era if it lacks it.

    :param platform_log: log that contains the streams.
    :param follower: follower that reads the stream of the current era.
    :param republisher: appends the preset in force.
    """

    def __init__(
        self,
        platform_log: LogAdapter,
        follower: PresetFollower,
        republisher: PresetRepublisher,
    ) -> None:
        """Start without a reason to append."""
        self.platform_log = platform_log
        self.follower = follower
        self.republisher = republisher
        self.empty_since_s: float | None = None

    async def run(self) -> None:
        """Check the stream at intervals, at a different time on each node."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * (1 + random.random()))
            fold = self.follower.holder.fold
            is_current = self.follower.is_caught_up.is_set()
            if fold is not None and is_current and self.platform_log.era > 0:
                await self.check(fold)

    async def check(self, fold: PresetFold) -> None:
        """Carry the preset in force over if the stream lacks it."""
        if fold.must_carry_over:
            await self.republisher.republish(fold)
        elif fold.in_force.revision == NO_REVISION:
            await self.adopt_orphaned(fold)

    async def adopt_orphaned(self, fold: PresetFold) -> None:
        """Adopt the preset of the previous era if no node has had one for a while."""
        now = asyncio.get_running_loop().time()
        if self.empty_since_s is None:
            self.empty_since_s = now
        if now - self.empty_since_s < ORPHANED_AFTER_S:
            return
        for era in reversed(range(self.platform_log.era)):
            previous = await self.read_era(era)
            if previous.in_force.revision != NO_REVISION:
                log.warning('preset-orphaned', extra={'era': era})
                fold.in_force = previous.in_force
                fold.published.update(previous.published)
                self.follower.holder.refresh()
                return

    async def read_era(self, era: int) -> PresetFold:
        """Fold what the copy retains of the stream of an earlier era.

        :returns: the fold; without a preset if the log did not answer.
        """
        fold = PresetFold(join_position(era, 0))
        try:
            async for batch in read_to_end(self.platform_log, preset_stream(era)):
                self.apply_batch(fold, batch, era)
        except LogUnavailableError as error:
            log.info('preset-era-unread', extra={'cause': str(error)})
        return fold

    def apply_batch(self, fold: PresetFold, batch: LogBatch, era: int) -> None:
        """Apply records of an earlier era at the positions they had in that era."""
        first = join_position(era, offset_of(batch.oldest))
        if fold.next_offset < first:
            fold.restart(first)
        for record in batch.records:
            position = join_position(era, offset_of(record.offset))
            fold.apply(position, record.body)
