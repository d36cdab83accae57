"""Reads and writes the preset stream for operators' commands.

:errors: ``PresetNotAcceptedError`` if a record is not accepted or not found.
:units: seconds.
"""

from __future__ import annotations

import asyncio
import time

from lavendermount_core.exceptions import (
    LogEvictedError,
    LogUnavailableError,
    PresetNotAcceptedError,
    RecordError,
)
from lavendermount_core.log.adapter import (
    LogAdapter,
    LogBatch,
    join_position,
    offset_of,
)
from lavendermount_core.log.reading import read_to_end
from lavendermount_core.models.records import Record
from lavendermount_core.presets.fold import PresetFold, apply_publish, resume_fold
from lavendermount_core.presets.records import (
    Publish,
    Switch,
    decode_record,
    encode_record,
    preset_stream,
)

APPEND_TIMEOUT_S = 15.0
RETRY_INTERVAL_S = 0.3


class PresetStream:
    """Reader and writer of the preset stream.

    :param platform_log: log that holds the stream.
    """

    def __init__(self, platform_log: LogAdapter) -> None:
        """Start with no records read."""
        self.platform_log = platform_log
        self.fold: PresetFold | None = None
        self.switches: list[tuple[int, Switch]] = []

    async def read_all(self) -> PresetFold:
        """Read to the end of the stream.

        :raises LogUnavailableError: if the log does not answer.
        :returns: the fold over all records that the log retains.
        """
        while True:
            try:
                batch = await self.read_batch()
            except LogEvictedError as error:
                self.resume_at(error.oldest)
                continue
            if batch is None:
                await self.start_era()
                continue
            fold = self.apply_batch(batch)
            if batch.next_offset >= batch.end:
                return fold

    async def read_batch(self) -> LogBatch | None:
        """Read the next records of the stream of the current era.

        :returns: ``None`` if the answer showed that another era has begun.
        """
        offset = 0 if self.fold is None else self.fold.next_offset
        name = preset_stream(self.platform_log.era)
        batch = await self.platform_log.read(name, offset)
        return batch if preset_stream(self.platform_log.era) == name else None

    async def start_era(self) -> None:
        """Continue with the stream of a new era of the log.

        The switches and presets of earlier eras are collected from what the log
        retains of them.
        """
        era = self.platform_log.era
        self.fold = resume_fold(self.fold, join_position(era, 0))
        self.switches.clear()
        for earlier in range(era):
            await self.collect_era(earlier)

    async def collect_era(self, era: int) -> None:
        """Collect the switches and the published presets of an earlier era."""
        async for batch in read_to_end(self.platform_log, preset_stream(era)):
            for record in batch.records:
                position = join_position(era, offset_of(record.offset))
                self.collect_switch(position, record.body)
                self.collect_published(record.body)

    def collect_published(self, body: bytes) -> None:
        """Add a published preset of an earlier era to the fold."""
        assert self.fold is not None
        try:
            record = decode_record(body)
        except RecordError:
            return
        if isinstance(record, Publish):
            apply_publish(self.fold, self.fold.next_offset, record)

    def apply_batch(self, batch: LogBatch) -> PresetFold:
        """Apply the records of a batch to the fold."""
        if self.fold is None:
            self.fold = PresetFold(batch.oldest)
        for record in batch.records:
            self.collect_switch(record.offset, record.body)
            self.fold.apply(record.offset, record.body)
        return self.fold

    def resume_at(self, oldest: int) -> None:
        """Continue at the oldest retained offset after records were evicted."""
        self.fold = resume_fold(self.fold, oldest)

    def collect_switch(self, offset: int, body: bytes) -> None:
        """Collect a switch for the history; ignore other records."""
        try:
            record = decode_record(body)
        except RecordError:
            return
        if isinstance(record, Switch):
            self.switches.append((offset, record))

    async def append_until_found(self, record: Record, record_id: str) -> None:
        """Append a record and retry until it is found on the log.

        An append may have succeeded although its response was lost. After each
        append, the record is therefore looked up by its identifier, and appended
        again only if it is not found. The fold ignores duplicates.

        :param record: a publish or a switch.
        :param record_id: its identifier.
        :raises PresetNotAcceptedError: if the record is not found on the log within
            ``APPEND_TIMEOUT_S``.
        """
        deadline = time.monotonic() + APPEND_TIMEOUT_S
        failure: LogUnavailableError | None = None
        while time.monotonic() < deadline:
            try:
                stream = preset_stream(self.platform_log.era)
                await self.platform_log.append(stream, encode_record(record))
            except LogUnavailableError as error:
                failure = error
            if await self.is_on_log(record_id):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise PresetNotAcceptedError(
            f'not accepted: the record was not found on the log; last error: {failure}'
        )

    async def is_on_log(self, record_id: str) -> bool:
        """Read new records and look for one by its identifier.

        :returns: whether it is on the log; ``False`` if the log can't be read.
        """
        try:
            fold = await self.read_all()
        except LogUnavailableError:
            return False
        published = any(
            entry.record_id == record_id for entry in fold.published.values()
        )
        switched = any(switch.record_id == record_id for _, switch in self.switches)
        return published or switched


def find_published(fold: PresetFold, reference: str) -> Publish:
    """Find a published preset.

    :param reference: ``NAME`` for the latest, or ``NAME@VERSION``; the start of
        a version is enough.
    :raises PresetNotAcceptedError: if no published preset matches.
    """
    name, _, version = reference.partition('@')
    matches = [
        entry
        for entry in fold.published.values()
        if entry.name == name and entry.version.startswith(version)
    ]
    if not matches:
        raise PresetNotAcceptedError(f'preset {reference} is not published')
    return max(matches, key=lambda entry: entry.time_ms)
