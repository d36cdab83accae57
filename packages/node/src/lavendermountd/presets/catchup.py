"""Fetches the preset in force from a peer with a newer revision.

:units: seconds.
:errors: none are raised; the next gossip round reports a newer peer again.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from lavendermount_core.exceptions import ConfigurationError, RecordError
from lavendermount_core.models.members import Member
from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.control.channels import ChannelPool, ControlCallError
from lavendermountd.control.generated import control_pb2
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.parts import PartialPreset

log = logging.getLogger(__name__)

# Time limit of the call for one part of a preset.
PART_TIMEOUT_S = 1.0
FETCH_PAUSE_S = 0.3


class NewerPeer:
    """A peer that has told a newer revision than the one in force here.

    :param member: the peer.
    :param revision: revision that it has told.
    """

    __slots__ = ('member', 'revision')

    def __init__(self, member: Member, revision: int) -> None:
        """Initialize the fields."""
        self.member = member
        self.revision = revision


class PresetCatchUp:
    """Fetches the preset from a peer whose revision is higher.

    :param holder: holder that adopts the preset.
    :param channels: gRPC channels to the peers.
    """

    def __init__(self, holder: PresetHolder, channels: ChannelPool) -> None:
        """Start with no newer peer known."""
        self.holder = holder
        self.channels = channels
        self.newer_peers: dict[str, NewerPeer] = {}
        self.is_behind = asyncio.Event()
        self.is_up_to_date = asyncio.Event()
        self.is_up_to_date.set()
        # Called after the preset of a peer was put in force.
        self.on_adopted: Callable[[control_pb2.PresetReply, Member], None]
        self.on_adopted = _ignore_adoption

    def note_revision(self, member: Member, revision: int) -> None:
        """Remember a peer if its revision is newer."""
        if revision <= self.holder.revision:
            return
        self.newer_peers[member.node_id] = NewerPeer(member, revision)
        self.is_behind.set()
        self.is_up_to_date.clear()

    async def run(self) -> None:
        """Fetch the preset whenever a peer is newer, until cancelled."""
        while True:
            await self.is_behind.wait()
            self.is_behind.clear()
            await self.catch_up()
            if not self.is_behind.is_set():
                self.is_up_to_date.set()
            await asyncio.sleep(FETCH_PAUSE_S)

    async def catch_up(self) -> None:
        """Ask one newer peer after the other, the newest first.

        A peer that does not answer is not asked again until gossip names it anew.
        """
        while True:
            peer = self.take_newest_peer()
            if peer is None:
                return
            await self.fetch(peer.member)

    def take_newest_peer(self) -> NewerPeer | None:
        """Remove and return the newest peer, if any is newer than this node."""
        revision = self.holder.revision
        newer = [peer for peer in self.newer_peers.values() if peer.revision > revision]
        if not newer:
            self.newer_peers.clear()
            return None
        newest = max(newer, key=lambda peer: peer.revision)
        return self.newer_peers.pop(newest.member.node_id)

    async def fetch(self, member: Member) -> None:
        """Request the preset in force from a peer, and adopt it."""
        partial = PartialPreset()
        started_at = time.monotonic()
        try:
            snapshot = await self.receive(member, partial)
        except (ControlCallError, RecordError) as error:
            log.info(
                'preset-fetch-failed',
                extra={
                    'peer': member.node_id,
                    'cause': str(error),
                    'received_bytes': len(partial.received),
                },
            )
            return
        if snapshot is None:
            return
        log.info(
            'preset-fetched',
            extra={
                'peer': member.node_id,
                'revision': snapshot.revision,
                'in_force': self.holder.revision,
                'bytes': len(partial.received),
                'fetch_ms': round((time.monotonic() - started_at) * MS_PER_S),
            },
        )
        if snapshot.revision > self.holder.revision:
            await self.adopt(snapshot, partial.head, member)

    async def ask_progress(self, member: Member) -> None:
        """Learn up to which position of the log a peer has read.

        What it tells counts only if the preset that it has in force is the one in force
        here; a newer one is fetched.

        :param member: the peer.
        """
        request = control_pb2.PresetRequest(part_bytes=1)
        try:
            reply = await self.channels.call_member(
                member, 'Preset', request, PART_TIMEOUT_S
            )
        except ControlCallError as error:
            log.debug(
                'progress-unknown',
                extra={'peer': member.node_id, 'cause': str(error)},
            )
            return
        if not reply.is_settled:
            return
        self.note_revision(member, reply.revision)
        if reply.revision == self.holder.revision:
            self.on_adopted(reply, member)

    async def receive(
        self, member: Member, partial: PartialPreset
    ) -> PresetSnapshot | None:
        """Receive the preset in force of a peer, part by part.

        :param member: the peer.
        :param partial: collects the parts.
        :raises ControlCallError: if a part does not arrive in time.
        :raises RecordError: if the parts are malformed.
        :returns: the preset; ``None`` if the peer knows none.
        """
        is_complete = False
        while not is_complete:
            reply = await self.channels.call_member(
                member, 'Preset', partial.next_request(), PART_TIMEOUT_S
            )
            if not reply.is_settled:
                return None
            is_complete = partial.add(reply)
        return partial.snapshot()

    async def adopt(
        self, snapshot: PresetSnapshot, head: control_pb2.PresetReply, member: Member
    ) -> None:
        """Adopt the preset of a peer, and what else the peer has read from the log.

        :param snapshot: the preset.
        :param head: the reply that completed it.
        :param member: the peer.
        """
        try:
            preset = await self.holder.prepare_if_newer(snapshot)
        except ConfigurationError as error:
            log.warning('preset-refused', extra={'findings': str(error)})
            return
        if preset is not None:
            self.holder.put_in_force(preset, member.node_id)
        self.on_adopted(head, member)


def _ignore_adoption(head: control_pb2.PresetReply, member: Member) -> None:
    """Do nothing; the node installs the real callback."""
