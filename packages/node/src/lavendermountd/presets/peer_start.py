"""Lets a starting node learn from other nodes while it reads the preset from the log.

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
    from lavendermount_core.models.members import Member
    from lavendermountd.node import Node

log = logging.getLogger(__name__)

# Longest time that a starting node waits for the presets of others.
PEER_TIMEOUT_S = 1.5
# Nodes of the region that are asked at first how far they have read the log, and nodes
# of any region that are asked in each later round.
FIRST_ASKS = 4
LATER_ASKS = 2
ROUND_INTERVAL_S = 0.3


class PeerStart:
    """Learns the preset in force, and how far the log has been read, from others.

    The log may have come back from an older copy, whose preset must not replace the one
    that the running nodes have in force.

    :param node: the starting node.
    :param follower: its follower.
    """

    __slots__ = ('node', 'follower', 'later_rounds')

    def __init__(self, node: Node, follower: KeyedPresetFollower) -> None:
        """Initialize the fields."""
        self.node = node
        self.follower = follower
        self.later_rounds: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Ask the other nodes, if there are any.

        If none of those asked tells a position, because they have started at the same
        time, others are asked until the follower has read the log.
        """
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                await self.node.joiner.has_asked_peers.wait()
                await self.node.catch_up.is_up_to_date.wait()
                await self.ask(self.node.gossip.living_in_region(), FIRST_ASKS)
        except TimeoutError:
            log.warning('neighbours-unanswered')
        self.later_rounds = asyncio.create_task(self.ask_in_rounds())

    async def ask_in_rounds(self) -> None:
        """Ask nodes of any region until a position is known or no longer needed."""
        while self.needs_position():
            await self.ask(self.node.table.living(), LATER_ASKS)
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def ask(self, members: list[Member], count: int) -> None:
        """Ask some nodes how far they have read, until one tells.

        :param members: nodes to choose from at random.
        :param count: how many to ask.
        """
        for member in random.sample(members, min(len(members), count)):
            if self.needs_position() and self.node.holder.current is not None:
                await self.node.catch_up.ask_progress(member)

    def needs_position(self) -> bool:
        """Return whether the follower knows no position of the log."""
        is_caught_up = self.follower.is_caught_up.is_set()
        return not is_caught_up and not self.follower.peer_position


def start_from_peers(node: Node) -> None:
    """Let the follower of a node ask other nodes before its first read of the log.

    A follower of the product's own stream reads the records of all switches instead.
    """
    if isinstance(node.follower, KeyedPresetFollower):
        node.follower.ask_peers = PeerStart(node, node.follower).run
