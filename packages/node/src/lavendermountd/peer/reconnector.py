"""Reconnects to nodes that did not respond, so that requests don't wait for them.

A connection that the kernel of the other node accepts proves nothing about its
process, so a node counts as reachable again only once it has replied to a ping.

:units: seconds on the node's monotonic clock.
:errors: none; a failed attempt is logged and repeated.
"""

from __future__ import annotations

import asyncio
import logging
import time
from functools import partial
from typing import TYPE_CHECKING

from lavendermount_core.exceptions import PeerLinkError
from lavendermount_core.models.members import Member

if TYPE_CHECKING:
    from lavendermountd.peer.link_pool import LinkPool

log = logging.getLogger(__name__)

RECONNECT_PAUSE_S = 0.25
# Attempts continue for this long after the last request for the node, so that it is
# reachable again when a refused caller returns.
DEMAND_LIFETIME_S = 5.0
# Longer than a failed attempt and the pause after it.
BACKOFF_EXTENSION_S = 1.5


class Reconnector:
    """Reconnects to the nodes that requests need, each in a task of its own.

    :param links: pool that gets the new links.
    """

    __slots__ = ('links', 'members', 'needed_until', 'tasks', 'first_attempts')

    def __init__(self, links: LinkPool) -> None:
        """Start without nodes."""
        self.links = links
        # Latest known incarnation of each node.
        self.members: dict[str, Member] = {}
        self.needed_until: dict[str, float] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        # Done once the first attempt for a node has ended.
        self.first_attempts: dict[str, asyncio.Event] = {}

    async def wait_for_first_attempt(self, member: Member) -> None:
        """Wait for the first attempt; return at once if that has ended already.

        The connection that has failed before may have lost a packet only.
        """
        self.need(member)
        await self.first_attempts[member.node_id].wait()

    def need(self, member: Member) -> None:
        """Reconnect to a node in the background, as a request needs it."""
        node_id = member.node_id
        self.members[node_id] = member
        self.needed_until[node_id] = time.monotonic() + DEMAND_LIFETIME_S
        if node_id in self.tasks:
            return
        self.first_attempts[node_id] = asyncio.Event()
        task = asyncio.create_task(self.run(node_id))
        # A task that is cancelled before its first step runs no ``finally``.
        task.add_done_callback(partial(self.forget, node_id))
        self.tasks[node_id] = task

    async def run(self, node_id: str) -> None:
        """Reconnect to a node until it responds or no request needs it."""
        while self.is_needed(node_id):
            if await self.try_reconnect(self.members[node_id]):
                return
            self.first_attempts[node_id].set()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def forget(self, node_id: str, task: asyncio.Task[None]) -> None:
        """Forget a node whose attempts have ended."""
        self.first_attempts.pop(node_id).set()
        self.tasks.pop(node_id)
        self.members.pop(node_id)
        self.needed_until.pop(node_id)
        if not task.cancelled() and task.exception() is not None:
            extra = {'peer': node_id, 'cause': repr(task.exception())}
            log.warning('reconnect-ended', extra=extra)

    def is_needed(self, node_id: str) -> bool:
        """Return whether requests need a node that still does not respond."""
        is_avoided = self.links.backoff.is_avoided(node_id)
        return is_avoided and self.needed_until[node_id] > time.monotonic()

    async def try_reconnect(self, member: Member) -> bool:
        """Open a link and wait for the reply to a ping.

        :returns: whether it arrived, so that the link can be used.
        """
        link = self.links.build_link(member)
        try:
            await link.open()
            await link.check()
        except PeerLinkError as error:
            link.close()
            extra = {'peer': member.node_id, 'cause': str(error)}
            log.info('reconnect-failed', extra=extra)
            self.links.backoff.extend(member.node_id, BACKOFF_EXTENSION_S)
            return False
        except asyncio.CancelledError:
            link.close()
            raise
        self.links.adopt(link)
        return True

    def stop(self) -> None:
        """End all attempts."""
        for task in tuple(self.tasks.values()):
            task.cancel()
