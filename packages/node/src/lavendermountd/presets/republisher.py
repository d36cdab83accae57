"""Republishes the preset in force before the log evicts its record.

:units: seconds.
:errors: none are raised while the log is unavailable.
"""

from __future__ import annotations

import asyncio
import logging
import random

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import LogAdapter
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import (
    NO_REVISION,
    encode_record,
    preset_stream,
)
from lavendermountd.presets.follower import PresetFollower

log = logging.getLogger(__name__)

# Shortest and longest wait, relative to the retention time of the log.
MIN_WAIT_RATIO = 0.2
MAX_WAIT_RATIO = 0.4


class PresetRepublisher:
    """Appends snapshots of the preset in force before they are evicted.

    Every node waits for a random time. The first to finish appends a snapshot; the
    others then find that there is a new one and only start another wait.

    :param platform_log: log that contains the stream.
    :param follower: follower that reads the stream.
    :param retention_s: time after which the log evicts records.
    """

    def __init__(
        self,
        platform_log: LogAdapter,
        follower: PresetFollower,
        retention_s: float,
    ) -> None:
        """Store the dependencies and the retention time."""
        self.platform_log = platform_log
        self.follower = follower
        self.retention_s = retention_s

    async def run(self) -> None:
        """Republish the preset repeatedly until cancelled."""
        while True:
            fold = self.follower.holder.fold
            seen_offset = None if fold is None else fold.snapshot_offset
            ratio = random.uniform(MIN_WAIT_RATIO, MAX_WAIT_RATIO)
            await asyncio.sleep(self.retention_s * ratio)
            await self.republish_if_unchanged(seen_offset)

    async def republish_if_unchanged(self, seen_offset: int | None) -> None:
        """Append a snapshot unless a new one was appended during the wait.

        Does nothing while the fold is not settled, no preset is in force or the
        log is unreachable.

        :param seen_offset: offset of the last snapshot before the wait.
        """
        fold = self.follower.holder.fold
        if fold is None or not fold.is_settled:
            return
        if fold.in_force.revision == NO_REVISION or fold.snapshot_offset != seen_offset:
            return
        if not self.follower.reachability.is_reachable:
            return
        await self.republish(fold)

    async def republish(self, fold: PresetFold) -> None:
        """Append a snapshot of the preset in force, and all published presets."""
        records = [fold.snapshot(), *fold.published.values()]
        stream = preset_stream(self.platform_log.era)
        try:
            for record in records:
                await self.platform_log.append(stream, encode_record(record))
        except LogUnavailableError as error:
            log.info('preset-republish-failed', extra={'cause': str(error)})
            return
        log.info('preset-kept', extra={'revision': fold.in_force.revision})
