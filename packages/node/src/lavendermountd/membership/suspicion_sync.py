"""Learns the crash suspicions of the other nodes before a node serves callers.

A node that has just started would otherwise run a request on its target that all others
refuse.

:units: seconds.
:errors: none are raised; regular gossip tells a node later what it did not learn.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from lavendermount_core.models.members import Member
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.staggered import call_until_answered

log = logging.getLogger(__name__)

# Longest time to learn once the members are known.
SYNC_TIMEOUT_S: Final = 1.0
# Nodes of the own region and of others that are asked at most.
REGION_ASKS: Final = 32
REMOTE_ASKS: Final = 4
MEMBERS_CHECK_S: Final = 0.05
# Time after which a node that learned them from nobody has them from regular gossip.
GOSSIP_TIME_S: Final = 30.0


class SuspicionSync:
    """Asks other nodes for their suspicions at the start.

    Many nodes may start at the same time, so an answer counts only if the other node
    has learned them itself.

    :param gossip: exchanges the rounds that carry the suspicions.
    :param knows_members: returns whether the members are known.
    """

    __slots__ = ('gossip', 'knows_members', 'answered')

    def __init__(self, gossip: Gossip, knows_members: Callable[[], bool]) -> None:
        """Start with nothing learned."""
        self.gossip = gossip
        self.knows_members = knows_members
        # Members that have answered.
        self.answered: set[str] = set()

    async def run(self) -> None:
        """Learn once, then wait until cancelled."""
        while not self.knows_members():
            await asyncio.sleep(MEMBERS_CHECK_S)
        has_learned = await self.learn()
        exchange = self.gossip.exchange
        exchange.wants_suspicions = False
        exchange.has_all_suspicions = has_learned
        log.info('suspicions-learned', extra={'is_complete': has_learned})
        await asyncio.sleep(GOSSIP_TIME_S)
        exchange.has_all_suspicions = True
        await asyncio.Event().wait()

    async def learn(self) -> bool:
        """Ask other nodes until one has told all its suspicions.

        :returns: whether all are known: one has, or all members have answered that they
            have just started.
        """
        members = self.members_to_ask()
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                await call_until_answered(iter(members), self.ask)
        except TimeoutError:
            log.info('suspicions-unanswered', extra={'asked': len(members)})
        if not self.gossip.exchange.wants_suspicions:
            return True
        living = {member.node_id for member in self.gossip.table.living()}
        return living <= self.answered

    def members_to_ask(self) -> list[Member]:
        """List members in random order, those of the own region first."""
        nearby = self.gossip.living_in_region()
        region = self.gossip.table.own.region
        distant = [
            member for member in self.gossip.table.living() if member.region != region
        ]
        chosen = random.sample(nearby, min(REGION_ASKS, len(nearby)))
        return chosen + random.sample(distant, min(REMOTE_ASKS, len(distant)))

    async def ask(self, member: Member) -> bool:
        """Exchange a round with a member.

        :returns: whether all suspicions have been told, by this member or another.
        """
        if self.gossip.exchange.wants_suspicions:
            has_answered = await self.gossip.exchange_with(member, SYNC_TIMEOUT_S)
            self.answered.update({member.node_id} if has_answered else ())
        return not self.gossip.exchange.wants_suspicions
