"""Peer discovery through join records in the log.

:shapes: a record of the stream is the row of a ``Member``.
:errors: none propagate while the log is unavailable; the node then contacts
    the configured seeds.
"""

from __future__ import annotations

import asyncio
import logging
import random

from lavendermount_core.exceptions import (
    LogEvictedError,
    LogUnavailableError,
    RecordError,
)
from lavendermount_core.log.adapter import LogAdapter, LogBatch
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.models.records import pack, unpack
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.relays import is_relay
from lavendermountd.membership.table import MemberTable

log = logging.getLogger(__name__)

MEMBER_STREAM = 'members'
CHECK_INTERVAL_S = 2.0
ISOLATED_READ_INTERVAL_S = 5.0
# Interval at which relays rewrite their records, relative to the retention time of
# the log.
REWRITE_INTERVAL_RATIO = 0.25


class Joiner:
    """Writes the node's join record and finds its first peers.

    Relays rewrite their records before the log evicts them, so that a node that
    starts later always finds a peer.

    :param gossip: contacts the discovered peers.
    :param platform_log: log that stores the records.
    :param seeds: control addresses to try while no peer is known, for instance
        because the log is unavailable.
    :param retention_s: time after which the log evicts records.
    """

    def __init__(
        self,
        gossip: Gossip,
        platform_log: LogAdapter,
        seeds: list[str],
        retention_s: float,
    ) -> None:
        """Start with nothing read or written."""
        self.gossip = gossip
        self.table = gossip.table
        self.platform_log = platform_log
        self.seeds = seeds
        self.retention_s = retention_s
        self.offset = 0
        self.written_at: float = 0
        self.read_at: float = 0
        self.was_relay = False
        self.has_read_members = False
        self.has_asked_peers = asyncio.Event()
        self.is_log_unavailable = False

    async def rewrite(self) -> None:
        """Write this node's record again and read those of the others.

        The log came back from an older copy, which may lack them.
        """
        self.written_at = 0
        self.read_at = 0
        await self.step()

    async def run(self) -> None:
        """Join, and stay discoverable, until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + random.random()))

    async def step(self) -> None:
        """Read and write the records that are due.

        After the first write the records are read once more: nodes that start at the
        same moment read before any of them has written, and the seeds may lead only to
        members of the own region. While no peer is known, the seeds are contacted too.
        """
        try:
            await self.read_if_due()
            is_first_write = not self.written_at
            await self.write_if_due()
            if is_first_write:
                await self.read_all()
        except LogUnavailableError as error:
            log.info('join-delayed', extra={'cause': str(error)})
            self.is_log_unavailable = True
        else:
            self.is_log_unavailable = False
        if not self.table.living():
            await self.try_seeds()

    async def read_if_due(self) -> None:
        """Read the join records at the start and while no peer is known."""
        now = asyncio.get_running_loop().time()
        is_due = (
            not self.table.living() and now - self.read_at > ISOLATED_READ_INTERVAL_S
        )
        if self.read_at and not is_due:
            return
        await self.read_all()
        self.read_at = now
        self.has_read_members = True
        self.has_asked_peers.set()

    async def read_all(self) -> None:
        """Read from the last offset to the end of the stream."""
        while True:
            batch = await self.read_batch()
            if batch is None:
                continue
            for record in batch.records:
                merge_join_record(self.table, record.body)
            self.offset = batch.next_offset
            if self.offset >= batch.end:
                return

    async def read_batch(self) -> LogBatch | None:
        """Read a batch, or skip the offsets that were evicted."""
        try:
            return await self.platform_log.read(MEMBER_STREAM, self.offset)
        except LogEvictedError as error:
            self.offset = error.oldest
            return None

    async def write_if_due(self) -> None:
        """Write this node's record at the start, and rewrite it while it is a relay.

        It is rewritten when the node becomes a relay, and then at intervals.
        """
        now = asyncio.get_running_loop().time()
        is_own_relay = is_relay(self.table, self.table.own)
        age = now - self.written_at
        is_due = is_own_relay and (
            not self.was_relay or age > self.retention_s * REWRITE_INTERVAL_RATIO
        )
        self.was_relay = is_own_relay
        if self.written_at and not is_due:
            return
        await self.platform_log.append(MEMBER_STREAM, pack(self.table.own.to_row()))
        self.written_at = now

    async def try_seeds(self) -> None:
        """Gossip with the seed addresses from the settings."""
        identity = self.gossip.channels.identity
        own_address = identity.control_address_of(identity.member)
        for seed in self.seeds:
            if seed != own_address:
                await self.gossip.exchange_with(
                    _seed_member(seed, identity.member.region), 1
                )


def merge_join_record(table: MemberTable, body: bytes) -> None:
    """Merge a join record into the table.

    If its writer no longer runs, gossip finds it dead.
    """
    try:
        member = Member.checked_from_row(unpack(body))
    except RecordError as error:
        log.warning('join-record-malformed', extra={'cause': str(error)})
        return
    table.merge(member)


def _seed_member(address: str, region: str) -> Member:
    """Build an entry for an address of which only host and port are known.

    The entry gets the region of this node, so that ``host_of`` returns the host of
    the address and no gateway.
    """
    host, _, port = address.rpartition(':')
    return Member('', 0, 0, MemberStatus.ALIVE, '', region, '', host, 0, int(port))
