"""Pool of links to the gates of other nodes, opened on demand.

:errors: ``PeerLinkError`` for a node that can't be reached.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from functools import partial

from lavendermount_core.exceptions import PeerLinkError
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member
from lavendermount_core.models.records import Record
from lavendermountd.identity import Identity
from lavendermountd.memory import MemoryBudget
from lavendermountd.peer.backoff import NodeBackoff
from lavendermountd.peer.frames import CrashSuspicion
from lavendermountd.peer.link import PeerLink
from lavendermountd.traffic_meter import TrafficMeter


class LinkPool:
    """Holds at most one link for each gate.

    :param identity: provides the addresses of members.
    :param on_load: called with each load report.
    :param on_suspect: called with each crash suspicion.
    """

    def __init__(
        self,
        identity: Identity,
        on_load: Callable[[LoadReport], object],
        on_suspect: Callable[[CrashSuspicion], object],
    ) -> None:
        """Start with no open link."""
        self.identity = identity
        self.on_load = on_load
        self.on_suspect = on_suspect
        self.links: dict[str, PeerLink] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.backoff = NodeBackoff()
        self.memory: MemoryBudget | None = None
        self.silence_timeout_s = 0.3
        self.on_ping_sent: Callable[[Member, int], None] | None = None
        self.meter: TrafficMeter | None = None
        self.on_grant: Callable[[Record], None] | None = None

    def on_load_report(self, report: LoadReport) -> None:
        """Pass a load report on and end the backoff of its node, which is reachable."""
        self.backoff.note_success(report.node_id)
        self.on_load(report)

    async def get(self, member: Member) -> PeerLink:
        """Return the open link to a gate, or open one.

        :param member: the node of the gate.
        :raises PeerLinkError: if the node can't be reached.
        :returns: an open link to this incarnation of the node.
        """
        link = self.find_open(member)
        if link is not None:
            return link
        lock = self.locks.setdefault(member.node_id, asyncio.Lock())
        async with lock:
            return self.find_open(member) or await self.open(member)

    def find_open(self, member: Member) -> PeerLink | None:
        """Return the open link to this incarnation of a node, if there is one."""
        link = self.links.get(member.node_id)
        if link is None or not link.is_open:
            return None
        if link.member.incarnation != member.incarnation:
            return None
        return link

    async def open(self, member: Member) -> PeerLink:
        """Open a link that replaces a closed or outdated one."""
        self.drop(member.node_id)
        link = PeerLink(
            member,
            self.identity.host_of(member),
            self.on_load_report,
            self.on_suspect,
            self.silence_timeout_s,
            self.memory,
        )
        link.on_ping_sent = self.on_ping_sent
        link.on_grant = self.on_grant
        if self.meter is not None:
            distance = self.meter.distance_to(member)
            link.on_sent = partial(self.meter.add_frame, distance=distance)
        try:
            await link.open()
        except PeerLinkError:
            self.backoff.note_failure(member.node_id)
            raise
        self.links[member.node_id] = link
        return link

    def drop(self, node_id: str) -> None:
        """Close and remove the link to a node, if there is one."""
        link = self.links.pop(node_id, None)
        if link is not None:
            link.close()

    def broadcast(self, frame: Record) -> None:
        """Send a frame on every open link."""
        for link in tuple(self.links.values()):
            if link.is_open:
                with contextlib.suppress(PeerLinkError):
                    link.frames.send(frame)

    def close_all(self) -> None:
        """Close every link."""
        for node_id in tuple(self.links):
            self.drop(node_id)
