"""Lets a starting node learn from other nodes before it reads the preset from the log.

:units: seconds.
:errors: none are raised; a node that learns nothing reads the log.
"""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from lavendermountd.presets.keyed_follower import KeyedPresetFollower

if TYPE_CHECKING:
    from lavendermountd.node import Node

log = logging.getLogger(__name__)

# Longest time that a starting node waits for what other nodes know.
PEER_TIMEOUT_S = 1.5
# Nodes of the region that are asked how far they have read the log. Some of them may
# have started at the same time, and know no position either.
MAX_PROGRESS_ASKS = 6


class PeerStart:
    """Learns the preset in force, and how far the log has been read, from others.

    The log may have come back from an older copy, whose preset must not replace the one
    that the running nodes have in force.

    :param node: the starting node.
    :param follower: its follower.
    """

    __slots__ = ('node', 'follower')

    def __init__(self, node: Node, follower: KeyedPresetFollower) -> None:
        """Initialize the fields."""
        self.node = node
        self.follower = follower

    async def run(self) -> None:
        """Ask the other nodes, if there are any."""
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                await self.node.joiner.has_asked_peers.wait()
                await self.node.catch_up.is_up_to_date.wait()
                await self.ask_progress()
        except TimeoutError:
            log.warning('neighbours-unanswered')

    async def ask_progress(self) -> None:
        """Ask nodes of the region how far they have read, until one tells.

        The node that the preset was fetched from may have started itself just now.
        """
        living = self.node.gossip.living_in_region()
        count = min(len(living), MAX_PROGRESS_ASKS)
        for member in random.sample(living, count):
            if self.follower.peer_position or self.node.holder.current is None:
                return
            await self.node.catch_up.ask_progress(member)


def start_from_peers(node: Node) -> None:
    """Let the follower of a node ask other nodes before its first read of the log.

    A follower of the product's own stream reads the records of all switches instead.
    """
    if isinstance(node.follower, KeyedPresetFollower):
        node.follower.ask_peers = PeerStart(node, node.follower).run
