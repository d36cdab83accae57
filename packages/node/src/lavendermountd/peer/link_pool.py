"""Pool of links to the gates of other nodes, opened on demand.

:errors: ``PeerLinkError`` for a node that can't be reached.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
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
from lavendermountd.peer.reconnector import Reconnector
from lavendermountd.traffic_meter import TrafficMeter

log = logging.getLogger(__name__)


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
        # Connection attempts in progress, by node and incarnation.
        self.opening: dict[tuple[str, int], asyncio.Task[PeerLink]] = {}
        self.backoff = NodeBackoff()
        # Incarnation of each node at its last failure.
        self.failed_incarnations: dict[str, int] = {}
        self.reconnector = Reconnector(self)
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

        All callers that wait for a node share one connection attempt.

        :param member: the node of the gate.
        :raises PeerLinkError: if the node can't be reached.
        :returns: an open link to this incarnation of the node.
        """
        link = self.find_open(member)
        if link is not None:
            return link
        key = (member.node_id, member.incarnation)
        opening = self.opening.get(key)
        if opening is None:
            opening = asyncio.create_task(self.open(member))
            self.opening[key] = opening
            opening.add_done_callback(partial(self.finish_opening, key))
        return await asyncio.shield(opening)

    def finish_opening(
        self, key: tuple[str, int], opening: asyncio.Task[PeerLink]
    ) -> None:
        """Forget a connection attempt, also one that nobody waits for any more."""
        self.opening.pop(key)
        if not opening.cancelled() and opening.exception() is not None:
            log.info('link-not-opened', extra={'cause': str(opening.exception())})

    async def get_responsive(self, member: Member) -> PeerLink:
        """Return a link like ``get``, but none to a node that lately didn't respond.

        Such a node is reconnected to in the background. All callers wait for the first
        attempt of that, and none for later ones.

        :param member: the node of the gate.
        :raises PeerLinkError: if the node can't be reached; at once if it could not be
            reconnected to either.
        """
        if self.backoff.is_avoided(member.node_id):
            await self.reconnector.wait_for_first_attempt(member)
        if self.backoff.is_avoided(member.node_id):
            raise PeerLinkError(f'node {member.node_id} does not respond')
        return await self.get(member)

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
        link = self.build_link(member)
        try:
            await link.open()
        except PeerLinkError:
            self.note_failure(member)
            raise
        self.links[member.node_id] = link
        return link

    def note_failure(self, member: Member) -> None:
        """Avoid a node that did not respond."""
        self.failed_incarnations[member.node_id] = member.incarnation
        self.backoff.note_failure(member.node_id)

    def end_backoff_if_restarted(self, member: Member) -> None:
        """Stop avoiding a node once a new incarnation of it is known."""
        failed = self.failed_incarnations.get(member.node_id)
        if failed is not None and failed != member.incarnation:
            self.failed_incarnations.pop(member.node_id)
            self.backoff.note_success(member.node_id)

    def adopt(self, link: PeerLink) -> None:
        """Use a link whose node has responded.

        It replaces one that no request waits on, as that may be half open.
        """
        current = self.find_open(link.member)
        if current is not None and current.pending:
            link.close()
            return
        self.drop(link.member.node_id)
        self.links[link.member.node_id] = link

    def build_link(self, member: Member) -> PeerLink:
        """Build a link that is not open yet."""
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
        """Close every link; requests that wait for a new one still get it."""
        self.reconnector.stop()
        for node_id in tuple(self.links):
            self.drop(node_id)
