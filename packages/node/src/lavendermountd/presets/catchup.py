"""Fetches presets from peers with a newer revision, and puts them in force.

:units: seconds.
:errors: none are raised; the next gossip round reports a newer peer again.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any

from lavendermount_core.exceptions import ConfigurationError, RecordError
from lavendermount_core.models.members import Member
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.control.channels import ChannelPool, ControlCallError
from lavendermountd.control.generated import control_pb2
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.parts import PartialPreset
from lavendermountd.presets.refusals import PEER
from lavendermountd.presets.relay import PresetRelay, ReceivedPreset

log = logging.getLogger(__name__)

# Time limit of the call for one part of a preset.
PART_TIMEOUT_S = 1.0
FETCH_PAUSE_S = 0.1
# Time without an answer after which the next peer is asked as well.
NEXT_PEER_S = 0.25
# Peers that are asked for their first part at the same time.
MAX_ASKED = 8
# Times that a peer is asked without an answer, until it tells its revision anew.
TRIES_PER_PEER = 2
# Time after which a preset that was refused is fetched again.
REFUSED_PAUSE_S = 30.0


class NewerPeer:
    """A peer that has told a newer revision than the one in force here.

    :param member: the peer.
    :param revision: revision that it has told.
    """

    __slots__ = ('member', 'revision', 'told_at', 'tries')

    def __init__(self, member: Member, revision: int) -> None:
        """Initialize the fields; it has told the revision just now."""
        self.member = member
        self.revision = revision
        self.told_at = time.monotonic()
        self.tries = 0


class PresetTransfer:
    """A preset that a peer is sending part by part.

    :param peer: the peer.
    """

    __slots__ = ('peer', 'partial', 'started_at', 'is_complete')

    def __init__(self, peer: NewerPeer) -> None:
        """Start without a part."""
        self.peer = peer
        self.partial = PartialPreset()
        self.started_at = time.monotonic()
        self.is_complete = False


class PendingRequests:
    """Requests for the first part of a preset, of which one answer is enough."""

    __slots__ = ('peers',)

    def __init__(self) -> None:
        """Start without requests."""
        self.peers: dict[asyncio.Task[PresetTransfer | None], NewerPeer] = {}

    def add(
        self, peer: NewerPeer, request: Coroutine[Any, Any, PresetTransfer | None]
    ) -> None:
        """Make a request to a peer."""
        self.peers[asyncio.create_task(request)] = peer

    async def first_answer(self) -> PresetTransfer | None:
        """Wait for an answer, at most until the next peer is to be asked."""
        done, _ = await asyncio.wait(
            self.peers, timeout=NEXT_PEER_S, return_when=asyncio.FIRST_COMPLETED
        )
        for finished in done:
            self.peers.pop(finished)
        return next(filter(None, (task.result() for task in done)), None)

    def cancel(self) -> list[NewerPeer]:
        """Cancel the requests that are left, and return their peers."""
        for task in self.peers:
            task.cancel()
        return list(self.peers.values())


class PresetCatchUp:
    """Fetches the preset from a peer whose revision is higher.

    The next one is fetched and passed on while the one before is being prepared.

    :param holder: holder that adopts the preset.
    :param channels: gRPC channels to the peers.
    """

    def __init__(self, holder: PresetHolder, channels: ChannelPool) -> None:
        """Start with no newer peer known."""
        self.holder = holder
        self.relay = PresetRelay(holder)
        self.channels = channels
        self.newer_peers: dict[str, NewerPeer] = {}
        self.is_behind = asyncio.Event()
        self.has_received = asyncio.Event()
        self.is_up_to_date = asyncio.Event()
        self.is_up_to_date.set()
        # Called after the preset of a peer was put in force.
        self.on_adopted: Callable[[control_pb2.PresetReply, Member], None]
        self.on_adopted = _ignore_adoption

    def note_revision(self, member: Member, revision: int) -> None:
        """Remember a peer if its revision is newer, and was not refused lately."""
        if not self.is_wanted(revision):
            return
        self.newer_peers[member.node_id] = NewerPeer(member, revision)
        self.is_behind.set()
        self.is_up_to_date.clear()

    def is_wanted(self, revision: int) -> bool:
        """Return whether a preset is newer, and was not refused lately.

        One that was refused would be fetched and refused in each round of gossip.
        """
        if revision <= self.relay.revision:
            return False
        refused = self.holder.refusals.by_source.get(PEER)
        if refused is None or refused.revision != revision:
            return True
        return refused.age_s > REFUSED_PAUSE_S

    async def run(self) -> None:
        """Fetch newer presets and put them in force, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.adopt_received())
            await self.fetch_newer()

    async def fetch_newer(self) -> None:
        """Fetch the preset whenever a peer is newer, until cancelled."""
        while True:
            await self.is_behind.wait()
            self.is_behind.clear()
            await self.catch_up()
            self.note_progress()
            await asyncio.sleep(FETCH_PAUSE_S)

    async def adopt_received(self) -> None:
        """Put what was received in force, until cancelled.

        Of several presets only the newest is prepared.
        """
        while True:
            await self.has_received.wait()
            self.has_received.clear()
            received = self.relay.pending
            if received is not None:
                await self.adopt(received)
                self.relay.drop(received)
            self.note_progress()

    def note_progress(self) -> None:
        """Note whether nothing newer than the preset in force is known any more."""
        if not self.is_behind.is_set() and self.relay.pending is None:
            self.is_up_to_date.set()

    async def catch_up(self) -> None:
        """Fetch presets until no peer that answers has a newer one.

        A peer that has not answered ``TRIES_PER_PEER`` times is not asked again until
        gossip names it anew.
        """
        while True:
            transfer = await self.begin_transfer()
            if transfer is None:
                return
            await self.complete(transfer)

    async def begin_transfer(self) -> PresetTransfer | None:
        """Ask newer peers for the first part of their preset, the newest first.

        While none answers, the next one is asked as well, also if it has told its
        revision only now.

        :returns: the transfer from the first that answered, if any did.
        """
        requests = PendingRequests()
        try:
            return await self.wait_for_first_part(requests)
        finally:
            for peer in requests.cancel():
                self.newer_peers.setdefault(peer.member.node_id, peer)

    async def wait_for_first_part(
        self, requests: PendingRequests
    ) -> PresetTransfer | None:
        """Ask one peer after the other until one answers; see ``begin_transfer``."""
        while True:
            has_place = len(requests.peers) < MAX_ASKED
            peer = self.take_newest_peer() if has_place else None
            if peer is not None:
                requests.add(peer, self.request_first_part(peer))
            if not requests.peers:
                return None
            transfer = await requests.first_answer()
            if transfer is not None:
                return transfer

    def take_newest_peer(self) -> NewerPeer | None:
        """Remove and return the next peer to ask: the newest not yet asked first."""
        newer = [
            peer for peer in self.newer_peers.values() if self.is_wanted(peer.revision)
        ]
        if not newer:
            self.newer_peers.clear()
            return None
        newest = max(newer, key=lambda peer: (-peer.tries, peer.revision))
        return self.newer_peers.pop(newest.member.node_id)

    async def request_first_part(self, peer: NewerPeer) -> PresetTransfer | None:
        """Ask a peer for the first part of its preset.

        :returns: the transfer; ``None`` if there is no answer, or no preset.
        """
        transfer = PresetTransfer(peer)
        try:
            has_part = await self.receive_part(transfer)
        except (ControlCallError, RecordError) as error:
            self.report_failure(transfer, error)
            peer.tries += 1
            if peer.tries < TRIES_PER_PEER:
                self.newer_peers.setdefault(peer.member.node_id, peer)
            return None
        return transfer if has_part else None

    async def complete(self, transfer: PresetTransfer) -> None:
        """Receive the parts that are left, and take the preset to be put in force."""
        member = transfer.peer.member
        partial = transfer.partial
        try:
            while not transfer.is_complete:
                if not await self.receive_part(transfer):
                    return
            snapshot = partial.snapshot()
        except (ControlCallError, RecordError) as error:
            self.report_failure(transfer, error)
            return
        started_at = transfer.started_at
        log.info(
            'preset-fetched',
            extra={
                'peer': member.node_id,
                'revision': snapshot.revision,
                'in_force': self.holder.revision,
                'bytes': len(partial.received),
                'waited_ms': round((started_at - transfer.peer.told_at) * MS_PER_S),
                'fetch_ms': round((time.monotonic() - started_at) * MS_PER_S),
            },
        )
        received = ReceivedPreset(
            snapshot, partial.head, bytes(partial.received), member
        )
        self.relay.receive(received)
        self.has_received.set()

    async def receive_part(self, transfer: PresetTransfer) -> bool:
        """Receive the next part.

        :raises ControlCallError: if it does not arrive in time.
        :raises RecordError: if it is malformed.
        :returns: whether the peer has a preset.
        """
        reply = await self.channels.call_member(
            transfer.peer.member,
            'Preset',
            transfer.partial.next_request(),
            PART_TIMEOUT_S,
        )
        if reply.is_settled:
            transfer.is_complete = transfer.partial.add(reply)
        return bool(reply.is_settled)

    def report_failure(self, transfer: PresetTransfer, error: Exception) -> None:
        """Log that a preset could not be fetched."""
        log.info(
            'preset-fetch-failed',
            extra={
                'peer': transfer.peer.member.node_id,
                'cause': str(error),
                'received_bytes': len(transfer.partial.received),
            },
        )

    async def ask_progress(
        self, member: Member, timeout_s: float = PART_TIMEOUT_S
    ) -> bool:
        """Learn up to which position of the log a peer has read.

        What it tells counts only if the preset that it has in force is the one in force
        here; a newer one is fetched.

        :param member: the peer.
        :param timeout_s: time within which it must answer.
        :returns: whether it did, and has a preset.
        """
        request = control_pb2.PresetRequest(part_bytes=1)
        try:
            reply = await self.channels.call_member(
                member, 'Preset', request, timeout_s
            )
        except ControlCallError as error:
            log.debug(
                'progress-unknown',
                extra={'peer': member.node_id, 'cause': str(error)},
            )
            return False
        if not reply.is_settled:
            return False
        self.note_revision(member, reply.revision)
        if reply.revision == self.holder.revision:
            self.on_adopted(reply, member)
        return True

    async def adopt(self, received: ReceivedPreset) -> None:
        """Put a preset in force, and apply what else its peer has read from the log.

        :param received: the preset.
        """
        try:
            preset = await self.holder.prepare_if_newer(received.snapshot)
        except ConfigurationError as error:
            refusals = self.holder.refusals
            refusals.add(PEER, error, received.snapshot.revision)
            return
        if preset is not None:
            self.holder.put_in_force(preset, received.peer.node_id)
        self.on_adopted(received.reply, received.peer)


def _ignore_adoption(head: control_pb2.PresetReply, member: Member) -> None:
    """Do nothing; the node installs the real callback."""
