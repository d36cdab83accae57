"""Follows the preset in force where the log stores it as the newest record of a key.

:units: seconds.
:errors: none are raised; the node continues with the preset that it has while
    the log is unavailable, and skips records that cannot be decoded.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from functools import partial

from lavendermount_core.exceptions import (
    ConfigurationError,
    LogEvictedError,
    LogUnavailableError,
    RecordError,
)
from lavendermount_core.log.adapter import (
    FIRST_ERA,
    UNKNOWN_ERA,
    KeyedLog,
    KeyedRecord,
    LogBatch,
    era_of,
)
from lavendermount_core.log.transfer import Transfer
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.presets.decoders import PresetDecoder
from lavendermountd.presets.holder import PresetHolder, PresetStage
from lavendermountd.presets.reachability import LogReachability
from lavendermountd.presets.refusals import LOG, RefusedPreset

log = logging.getLogger(__name__)

LONG_POLL_S = 28.0
UNKNOWN_OFFSET = -1
# How long a starting node waits for the presets of others before it reads the log.
PEER_HEAD_START_S = 0.5
# How long it does so if the log has come back from an older copy.
RESTORED_HEAD_START_S = 2.0
# How long one that has the preset of a peer waits for its position of the log.
POSITION_WAIT_S = 3.0
POSITION_CHECK_S = 0.1
# Longest time for which a node leaves news to the readers of the log.
PEER_LEAD_S = 0.8
# Time for which the sentinel does.
SENTINEL_LEAD_S = 0.4
# Changes in quick succession are coalesced into one read.
COALESCE_S = 0.4


class KeyedPresetFollower:
    """Reads the newest record of a key at the start, and then each change.

    A node that knows the preset of a peer, and up to which position the peer has read
    the log, continues there instead: the nodes of a region share a link to the log, and
    many of them may start at the same time. Records of evacuated zones in the same
    stream are passed on.

    :param keyed_log: log that contains the records.
    :param holder: holder that adopts each preset newer than its own.
    :param stream: name of the keyed stream.
    :param key: key of the preset record.
    :param decode: decoder of the record.
    :param evacuations: adopts the evacuations that the stream also holds.
    """

    def __init__(
        self,
        keyed_log: KeyedLog,
        holder: PresetHolder,
        stream: str,
        key: str,
        decode: PresetDecoder,
        evacuations: EvacuationTable,
    ) -> None:
        """Create a follower that has not read any records."""
        self.keyed_log = keyed_log
        self.holder = holder
        self.stream = stream
        self.key = key
        self.decode = decode
        self.evacuations = evacuations
        self.offset = UNKNOWN_OFFSET
        # Position that a peer told while the own one is not known; 0 without one.
        self.peer_position = 0
        self.reachability = LogReachability(LONG_POLL_S)
        self.is_caught_up = asyncio.Event()
        self.asking: asyncio.Task[None] | None = None
        self.asked_at = time.monotonic()
        self.ask_peers: Callable[[], Awaitable[None]] = _ask_nobody
        self.ask_other_regions: Callable[[], Awaitable[None]] = _ask_nobody

    @property
    def is_latest_refused(self) -> bool:
        """Whether the latest record of the key holds no valid preset."""
        return LOG in self.holder.refusals.by_source

    def restart(self) -> None:
        """Read again at once, and abandon a read that is waiting.

        What was read before may be out of date, or the log may have come back from
        an older copy; positions of an earlier era count as evicted.
        """
        self.is_caught_up.clear()
        self.reachability.restart()

    def applied_position(self) -> int:
        """Return the position below which all records of the stream are applied.

        :returns: the position; 0 if the stream has not been read, or if its latest
            preset was refused: another node may accept it.
        """
        if self.is_latest_refused or not self.is_caught_up.is_set():
            return 0
        return max(0, self.offset)

    def skip_to(self, position: int) -> None:
        """Skip records that are contained in what a peer has told.

        :param position: position below which the peer has applied all records.
        """
        if not self.is_current_era(position):
            return
        if self.offset != UNKNOWN_OFFSET:
            if position >= self.offset:
                # A peer with the same preset in force has read the refused record too.
                self.holder.refusals.end(LOG)
            self.offset = max(self.offset, position)
        elif position > self.peer_position:
            self.peer_position = position
            self.reachability.restart()

    async def run(self) -> None:
        """Follow the record until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Read once; after an eviction, start again from the newest record."""
        try:
            await self.reachability.run(self.read())
        except LogEvictedError as error:
            self.reachability.mark_answered()
            log.info('presets-evicted', extra={'oldest': error.oldest})
            self.offset = UNKNOWN_OFFSET
            self.peer_position = 0
            self.is_caught_up.clear()
        except LogUnavailableError as error:
            await self.reachability.wait_before_retry(error)

    async def read(self) -> None:
        """Read the newest record if no position is known, otherwise new records."""
        if self.offset == UNKNOWN_OFFSET:
            await self.start_from_peer()
        if self.offset == UNKNOWN_OFFSET:
            await self.read_newest()
        else:
            await self.read_changes()

    async def start_from_peer(self) -> None:
        """Take the position of a peer whose preset is in force here, if one told it.

        The peers have a short time to tell it before the log is read, and more if one
        has told its preset. If one tells it during that read, the read is abandoned.
        """
        if self.asking is None:
            self.asked_at = time.monotonic()
            self.asking = asyncio.ensure_future(self.ask_peers())
            await asyncio.wait({self.asking}, timeout=PEER_HEAD_START_S)
        while self.may_learn_position():
            await asyncio.sleep(POSITION_CHECK_S)
        if not self.peer_position or not self.is_current_era(self.peer_position):
            return
        self.offset = self.peer_position
        # The peer has read to the end, and others tell what is newer.
        self.is_caught_up.set()
        log.info('log-position-taken', extra={'position': self.offset})

    def may_learn_position(self) -> bool:
        """Return whether a peer that told its preset may still tell its position."""
        waited_s = time.monotonic() - self.asked_at
        return (
            self.holder.current is not None
            and not self.peer_position
            and waited_s < POSITION_WAIT_S
        )

    def is_current_era(self, position: int) -> bool:
        """Return whether the log may be in the era of a position."""
        return self.keyed_log.era in {UNKNOWN_ERA, era_of(position)}

    async def read_newest(self) -> None:
        """Read the newest record of each key."""
        transfer = Transfer()
        newest = await self.keyed_log.newest(self.stream, transfer)
        self.reachability.mark_answered()
        self.evacuations.read_newest(newest)
        body = newest.bodies.get(self.key)
        await self.wait_for_peers()
        async with self.reachability.restart_request.applying:
            if body is not None:
                await self.adopt_if_newer(body, transfer)
            self.offset = newest.end
        self.is_caught_up.set()

    async def wait_for_peers(self) -> None:
        """Let peers tell their preset first if the log came back from an older copy.

        They have a short time; the record may be older than what they have in force.
        """
        if self.keyed_log.era <= FIRST_ERA or self.asking is None:
            return
        left_s = self.asked_at + RESTORED_HEAD_START_S - time.monotonic()
        await asyncio.wait({self.asking}, timeout=max(0, left_s))

    async def read_changes(self) -> None:
        """Read new records, and wait for them if all earlier ones were read.

        Of several new records of the key, only the last valid one is adopted.
        """
        if not self.is_caught_up.is_set():
            self.reachability.read_at_once()
        wait_s = await self.reachability.wait_until_due()
        is_reader = self.reachability.schedule.is_reader()
        if not is_reader and not await self.is_behind():
            return
        batch = await self.reachability.read_now(
            lambda limit_s, transfer: self.keyed_log.read(
                self.stream, self.offset, limit_s, transfer
            ),
            wait_s,
        )
        bodies = self.read_batch(batch, self.offset)
        async with self.reachability.restart_request.applying:
            await self.adopt_last_valid(bodies)
            # Peers take the position for one up to which all is applied.
            self.offset = max(self.offset, batch.next_offset)
        if self.offset >= batch.end:
            self.is_caught_up.set()
        if bodies:
            await asyncio.sleep(COALESCE_S)

    async def is_behind(self) -> bool:
        """Return whether the log has records that no other node tells in time.

        Reading the end of the log first keeps the link of the region free: the readers
        of the log are about to tell what is new, unless all of them are lost.
        """
        end = await self.reachability.check(partial(self.keyed_log.end, self.stream))
        if end > self.offset and self.is_caught_up.is_set():
            await asyncio.sleep(self.lead_s())
            if end > self.offset:
                await self.ask_other_regions()
        if end > self.offset:
            return True
        self.is_caught_up.set()
        return False

    def lead_s(self) -> float:
        """Return how long this node leaves news to the readers of the log."""
        if self.reachability.schedule.is_sentinel():
            return SENTINEL_LEAD_S
        lead_s = PEER_LEAD_S / self.reachability.check_pace.factor
        return random.uniform(0, lead_s)

    def read_batch(self, batch: LogBatch, known_offset: int) -> list[bytes]:
        """Pass on the records of zones, and return those of the preset.

        :param batch: the records that were read.
        :param known_offset: offset below which a peer told all records meanwhile.
        :returns: bodies of the preset's records.
        """
        bodies = []
        for record in batch.records:
            keyed = self.try_split_key(record.body)
            if keyed is None or record.offset < known_offset:
                continue
            if keyed.key == self.key:
                bodies.append(keyed.body)
            else:
                self.evacuations.read_record(keyed.key, keyed.body, record.offset)
        return bodies

    def try_split_key(self, body: bytes) -> KeyedRecord | None:
        """Split a record into key and body; log and skip malformed records."""
        try:
            return self.keyed_log.split_key(body)
        except RecordError as error:
            log.warning('preset-record-malformed', extra={'cause': str(error)})
            return None

    async def adopt_last_valid(self, bodies: list[bytes]) -> None:
        """Put the last valid preset of some records in force if it is newer.

        :param bodies: the records in their order.
        """
        refusals = self.holder.refusals.by_source
        latest: RefusedPreset | None = None
        for body in reversed(bodies):
            await self.adopt_if_newer(body, self.reachability.transfer)
            if not self.is_latest_refused:
                break
            latest = latest or refusals[LOG]
        if latest is not None:
            # Another node may accept it.
            refusals[LOG] = latest

    async def adopt_if_newer(self, body: bytes, transfer: Transfer) -> None:
        """Put the preset of a record in force if it is valid and newer.

        :param body: the record.
        :param transfer: the answer that contained it.
        """
        started_at = time.monotonic()
        try:
            preset = await self.holder.prepare(self.decode(body))
        except ConfigurationError as error:
            self.holder.refusals.add(LOG, error)
            return
        self.holder.refusals.end(LOG)
        self.holder.on_stage(PresetStage.RECEIVE, transfer.elapsed_s)
        log.info(
            'preset-received',
            extra={
                'revision': preset.revision,
                'in_force': self.holder.revision,
                'decode_ms': round((time.monotonic() - started_at) * MS_PER_S),
                **transfer.describe(),
            },
        )
        self.holder.put_in_force(preset)


async def _ask_nobody() -> None:
    """Do nothing; the node installs the real callback."""
