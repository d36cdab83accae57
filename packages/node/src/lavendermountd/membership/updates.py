"""Selection of the member updates that go into the next gossip rounds.

:shapes: an update is sent a number of times that grows with the logarithm of
    the number of members; digests of buckets detect updates that were missed.
"""

from __future__ import annotations

import math
import time
import zlib
from functools import reduce
from operator import xor

from lavendermount_core.models.members import Member
from lavendermountd.membership.table import MemberTable

BUCKETS = 32
BUCKETS_PER_ROUND = 4
UPDATES_PER_ROUND = 16
MAX_BUCKET_MEMBERS = 64
RETRANSMIT_FACTOR = 3
CHECKSUM_BITS = 32


class UpdateQueue:
    """Member updates that still have to be sent.

    :param table: table whose changes are sent.
    """

    __slots__ = (
        'table',
        'transmission_counts',
        'next_bucket',
        'changed_at',
        'bucket_digests',
        'member_digests',
    )

    def __init__(self, table: MemberTable) -> None:
        """Compute the digests of all members and listen for changes of the table."""
        self.table = table
        self.transmission_counts: dict[str, int] = {}
        self.next_bucket = 0
        self.changed_at = time.monotonic()
        self.bucket_digests = [0 for _ in range(BUCKETS)]
        self.member_digests: dict[str, int] = {}
        table.listeners.append(self.add)
        table.forget_listeners.append(self.forget)
        for member in table.members.values():
            self.update_digest(member.node_id, _digest(member))

    def add(self, member: Member) -> None:
        """Queue a member for the next rounds."""
        self.transmission_counts[member.node_id] = 0
        self.update_digest(member.node_id, _digest(member))
        self.changed_at = time.monotonic()

    def next_updates(self) -> list[Member]:
        """Return the updates for one round and count them as sent.

        At most ``UPDATES_PER_ROUND`` are returned, those sent least often first.
        """
        limit = self.transmission_limit()
        chosen = sorted(
            self.transmission_counts, key=self.transmission_counts.__getitem__
        )[:UPDATES_PER_ROUND]
        members = []
        for node_id in chosen:
            self.transmission_counts[node_id] += 1
            if self.transmission_counts[node_id] >= limit:
                self.transmission_counts.pop(node_id)
            member = self.table.find(node_id)
            if member is not None:
                members.append(member)
        return members

    def transmission_limit(self) -> int:
        """Return the number of rounds in which each update is sent."""
        size = len(self.table.members) + 1
        return RETRANSMIT_FACTOR * math.ceil(math.log2(size + 1))

    def next_buckets(self) -> list[int]:
        """Return the buckets whose digests go into the next round, in rotation."""
        first = self.next_bucket
        self.next_bucket = (first + BUCKETS_PER_ROUND) % BUCKETS
        return list(range(first, first + BUCKETS_PER_ROUND))

    def bucket_members(self, bucket: int) -> list[Member]:
        """List the members of a bucket."""
        return [
            member
            for member in self.table.members.values()
            if bucket_of(member.node_id) == bucket
        ]

    def combined_digest(self) -> int:
        """Return one digest of all members."""
        return reduce(xor, self.bucket_digests)

    def digests(self, buckets: list[int]) -> dict[int, int]:
        """Return the digests of some buckets.

        :param buckets: numbers of the buckets.
        :returns: digest by bucket; two nodes get the same digest if they hold the same
            entries in the bucket.
        """
        return {bucket: self.bucket_digests[bucket] for bucket in buckets}

    def update_digest(self, node_id: str, digest: int) -> None:
        """Replace the digest that a member contributes to its bucket.

        :param digest: of the current entry of the member; 0 if it is forgotten.
        """
        previous = self.member_digests.pop(node_id, 0)
        self.bucket_digests[bucket_of(node_id)] ^= previous ^ digest
        if digest:
            self.member_digests[node_id] = digest

    def forget(self, node_id: str) -> None:
        """Drop a member that the table has removed."""
        self.transmission_counts.pop(node_id, None)
        self.update_digest(node_id, 0)


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node."""
    return zlib.crc32(node_id.encode()) % BUCKETS


def _digest(member: Member) -> int:
    text = f'{member.node_id}/{member.rank}'.encode()
    return (zlib.crc32(text) << CHECKSUM_BITS) | zlib.adler32(text)
