"""Claim stream of one service: batched appends and the holders of the keys.

:errors: ``LogUnavailableError`` while the log does not answer.
"""

from __future__ import annotations

import asyncio
import logging

from lavendermount_core.exceptions import (
    LogEvictedError,
    LogUnavailableError,
    RecordError,
)
from lavendermount_core.log.adapter import LogAdapter, LogBatch, era_of
from lavendermount_core.models.records import Record
from lavendermountd.claims.records import (
    Claim,
    Release,
    RestoredClaim,
    decode_claims,
    encode_claims,
)

log = logging.getLogger(__name__)

OffsetFuture = asyncio.Future[int]


class ClaimFold:
    """The claim that holds each key, derived from the records in stream order."""

    __slots__ = ('winning_claims', 'offsets', 'malformed_count')

    def __init__(self) -> None:
        """Start with no key held."""
        self.winning_claims: dict[str, Claim] = {}
        self.offsets: dict[str, int] = {}
        self.malformed_count = 0

    def apply(self, offset: int, body: bytes) -> None:
        """Apply one stored record; skip and count it if it is malformed."""
        try:
            records = decode_claims(body)
        except RecordError:
            self.malformed_count += 1
            return
        for record in records:
            self.apply_record(offset, record)

    def apply_record(self, offset: int, record: Record) -> None:
        """Apply one claim or release."""
        if isinstance(record, RestoredClaim):
            self.assign(offset, record)
        elif isinstance(record, Claim):
            self.apply_claim(offset, record)
        elif isinstance(record, Release):
            self.apply_release(record)

    def apply_claim(self, offset: int, claim: Claim) -> None:
        """Assign the key to a claim that is first or supersedes the winner."""
        winner = self.winning_claims.get(claim.key)
        if winner is not None and winner.claim_id != claim.supersedes:
            return
        self.assign(offset, claim)

    def assign(self, offset: int, claim: Claim) -> None:
        """Make a claim the one that holds its key."""
        self.winning_claims[claim.key] = claim
        self.offsets[claim.key] = offset

    def apply_release(self, release: Release) -> None:
        """Free the key if the release is for the claim that holds it."""
        winner = self.winning_claims.get(release.key)
        if winner is not None and winner.claim_id == release.claim_id:
            self.winning_claims.pop(release.key)
            self.offsets.pop(release.key)

    def drop_evicted(self, oldest_offset: int) -> None:
        """Drop the claims before the oldest offset that the log still holds."""
        evicted = [
            key for key, offset in self.offsets.items() if offset < oldest_offset
        ]
        for key in evicted:
            self.winning_claims.pop(key)
            self.offsets.pop(key)


class ClaimStream:
    """Appends claims of one service and reads which of them win.

    :param platform_log: log that stores the stream.
    :param name: name of the stream.
    """

    def __init__(self, platform_log: LogAdapter, name: str) -> None:
        """Start at the beginning of the stream."""
        self.platform_log = platform_log
        self.name = name
        self.fold = ClaimFold()
        self.lost_claims: dict[str, Claim] = {}
        self.next_offset = 0
        self.read_lock = asyncio.Lock()
        self.pending: list[tuple[Record, OffsetFuture]] = []
        self.flush_task: asyncio.Task[None] | None = None

    async def append(self, record: Record) -> int:
        """Append a record, batched with other pending ones.

        :raises LogUnavailableError: if the log did not answer; the record may
            have been appended nevertheless.
        :returns: offset of the record.
        """
        future: OffsetFuture = asyncio.get_running_loop().create_future()
        self.pending.append((record, future))
        if self.flush_task is None or self.flush_task.done():
            self.flush_task = asyncio.create_task(self.flush())
        return await future

    async def flush(self) -> None:
        """Append pending records in batches until none is left."""
        while self.pending:
            batch = self.pending
            self.pending = []
            body = encode_claims([record for record, _ in batch])
            try:
                offset = await self.platform_log.append(self.name, body)
            except LogUnavailableError as error:
                _fail_all(batch, error)
                continue
            _resolve_all(batch, offset)

    async def winning_claim_at(self, key: str, offset: int) -> Claim | None:
        """Read the stream past an offset and return the claim that holds a key.

        :param key: digest of the idempotency key.
        :param offset: the stream is read at least up to and including this offset.
        :raises LogUnavailableError: if the log did not answer.
        """
        async with self.read_lock:
            while self.next_offset <= offset:
                await self.read_batch()
        return self.fold.winning_claims.get(key)

    def restart(self) -> None:
        """Read the stream anew, because the log came back from an older copy.

        The claims known until now are kept aside: the copy may lack them.
        """
        self.lost_claims.update(self.fold.winning_claims)
        self.fold = ClaimFold()

    def lost_claim(self, key: str) -> Claim | None:
        """Return the claim that held a key before the log lost it, if any."""
        lost = self.lost_claims.get(key)
        winner = self.fold.winning_claims.get(key)
        if lost is None or (winner is not None and winner.claim_id == lost.claim_id):
            return None
        return lost

    async def read_batch(self) -> None:
        """Read and apply one batch, or skip the offsets that were evicted."""
        try:
            batch = await self.platform_log.read(self.name, self.next_offset)
        except LogEvictedError as error:
            era = era_of(error.oldest)
            if era != era_of(self.next_offset):
                self.restart()
            self.next_offset = error.oldest
            return
        self.apply(batch)

    def apply(self, batch: LogBatch) -> None:
        """Apply the records of a batch and advance the read position.

        :raises LogUnavailableError: if the batch does not advance it.
        """
        # Which claim wins must not depend on when a node reads, so claims that are
        # evicted by now are dropped before later ones are applied.
        self.fold.drop_evicted(batch.oldest)
        for record in batch.records:
            self.fold.apply(record.offset, record.body)
        if batch.next_offset <= self.next_offset:
            raise LogUnavailableError(
                f'stream {self.name} ends before the requested offset'
            )
        self.next_offset = batch.next_offset


def _resolve_all(batch: list[tuple[Record, OffsetFuture]], offset: int) -> None:
    for _, future in batch:
        if not future.done():
            future.set_result(offset)


def _fail_all(
    batch: list[tuple[Record, OffsetFuture]],
    error: LogUnavailableError,
) -> None:
    for _, future in batch:
        if not future.done():
            future.set_exception(LogUnavailableError(str(error)))
