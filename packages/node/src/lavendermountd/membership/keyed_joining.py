"""Peer discovery through a log stream with one record per node.

:shapes: a record's key is the node's id, its body the row of a ``Member``.
:errors: none propagate while the log is unavailable; the node then learns of
    others only through their gossip.
"""

from __future__ import annotations

import asyncio
import logging
import random

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import KeyedLog, KeyedRecord
from lavendermount_core.models.records import pack
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.joining import merge_join_record
from lavendermountd.membership.urgent_updates import UrgentUpdates

log = logging.getLogger(__name__)

INITIAL_RETRY_S = 0.3
MAX_RETRY_S = 3.0
CHECK_INTERVAL_S = 2.0
ISOLATED_READ_INTERVAL_S = 5.0
ANNOUNCE_FANOUT = 4


class KeyedJoiner:
    """Reads the records of the other nodes and writes that of this node.

    When two nodes start at the same time and find no other, the one that writes
    later then reads the record of the other; so at least one of them knows the other.

    :param gossip: contacts the discovered peers.
    :param keyed_log: log that stores the records.
    :param stream: name of the stream of records.
    """

    def __init__(self, gossip: Gossip, keyed_log: KeyedLog, stream: str) -> None:
        """Start with nothing read or written."""
        self.stream = stream
        self.gossip = gossip
        self.table = gossip.table
        self.keyed_log = keyed_log
        self.written_incarnation = 0
        self.read_at: float = 0
        self.retry_s = INITIAL_RETRY_S
        self.has_read_members = False
        self.has_asked_peers = asyncio.Event()
        self.is_log_unavailable = False
        self.is_due = asyncio.Event()

    async def rewrite(self) -> None:
        """Write this node's record again and read those of the others.

        The log came back from an older copy, which may lack them.
        """
        self.written_incarnation = 0
        self.read_at = 0
        self.is_due.set()

    async def run(self) -> None:
        """Join, and read again while no peer is known, until cancelled."""
        while True:
            try:
                await self.step()
            except LogUnavailableError as error:
                log.info('join-delayed', extra={'cause': str(error)})
                self.is_log_unavailable = True
                await asyncio.sleep(self.retry_s * (0.5 + random.random()))
                self.retry_s = min(self.retry_s * 2, MAX_RETRY_S)
            else:
                self.is_log_unavailable = False
                self.retry_s = INITIAL_RETRY_S
                await self.wait_until_due()

    async def wait_until_due(self) -> None:
        """Wait for the next check, or for a request to write and read again."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self.is_due.wait()
        except TimeoutError:
            return
        self.is_due.clear()

    async def step(self) -> None:
        """Read the records of the others, and write that of this node if it is due.

        The others are read at the start, and at intervals while no peer is known.
        The record is written if this incarnation is not stored yet. It comes second,
        because callers wait until the members are known, and a slow log takes long
        for each call. A node that found no peer then reads again: another one may
        have started at the same time and written before it.
        """
        await self.read_if_due()
        has_written = await self.write_if_due()
        if has_written and not self.table.living():
            await self.read_members()

    async def write_if_due(self) -> bool:
        """Write this node's record unless this incarnation is stored.

        :returns: whether it was written.
        """
        own = self.table.own
        incarnation = own.incarnation
        if self.written_incarnation == incarnation:
            return False
        keyed = KeyedRecord(own.node_id, pack(own.to_row()))
        await self.keyed_log.append_keyed(self.stream, keyed)
        self.written_incarnation = incarnation
        return True

    async def read_if_due(self) -> None:
        """Read the members at the start, and at intervals while no peer is known."""
        now = asyncio.get_running_loop().time()
        is_due = (
            not self.table.living() and now - self.read_at > ISOLATED_READ_INTERVAL_S
        )
        if is_due or not self.read_at:
            await self.read_members()

    async def read_members(self) -> None:
        """Read all member records, and announce this node to some of the members."""
        newest = await self.keyed_log.newest(self.stream)
        self.read_at = asyncio.get_running_loop().time()
        for body in newest.bodies.values():
            merge_join_record(self.table, body)
        self.has_read_members = True
        log.info('members-read', extra={'members': len(self.table.members)})
        # The members that were read may not know this node yet.
        await UrgentUpdates(self.gossip).tell_region(ANNOUNCE_FANOUT)
        self.has_asked_peers.set()
