"""Urgent updates: rounds of gossip at once, until enough members have answered.

Members that have died just now still count as living, and what they are told is lost.
Others are told in their place.

:units: seconds.
:errors: none are raised; regular gossip tells the others later.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from typing import Final

from lavendermount_core.models.members import Member
from lavendermountd.membership.gossip import PROBE_TIMEOUT_RATIO, Gossip
from lavendermountd.membership.relays import is_relay, relays_of

# Members of other zones that the nodes of a zone together tell. They learn it from the
# log too, so these matter only if all of them are cut off from it.
ZONE_ROUNDS: Final = 3
# Nodes of a region, besides its relays, that tell another region.
REMOTE_ROUNDS: Final = 2
# Members that are tried at most for each one that must answer.
MAX_TRIES: Final = 4


class UrgentUpdates:
    """Tells other nodes of news outside the regular rounds.

    :param gossip: gossip, whose rounds carry the news.
    """

    __slots__ = ('gossip',)

    def __init__(self, gossip: Gossip) -> None:
        """Store the gossip."""
        self.gossip = gossip

    async def tell_region(self, count: int) -> None:
        """Tell members of the own region, or of any if there are no others.

        :param count: members that must answer; where traffic between zones is kept
            low, members of the own zone.
        """
        nearby, distant = self.peers()
        tries = MAX_TRIES * count
        chosen = iter(random.sample(nearby, min(tries, len(nearby))))
        others = iter(random.sample(distant, min(MAX_TRIES, len(distant))))
        await asyncio.gather(
            self.tell_one(others), *(self.tell_one(chosen) for _ in range(count))
        )

    async def tell_one(self, members: Iterator[Member]) -> None:
        """Tell one member after the other until one answers.

        :param members: members to take from; others may take from them as well.
        """
        timeout_s = self.gossip.period_s * PROBE_TIMEOUT_RATIO
        for member in members:
            if await self.gossip.exchange_with(member, timeout_s):
                return

    def peers(self) -> tuple[list[Member], list[Member]]:
        """List the members that are told, and members of other zones.

        Where traffic between zones is kept low, the nodes of a zone together tell
        about ``ZONE_ROUNDS`` members of other zones, so most nodes tell none.
        """
        gossip = self.gossip
        members = gossip.living_in_region() or gossip.table.living()
        own_zone, others = gossip.split_by_zone(members)
        if not gossip.is_zone_local or not own_zone:
            return members, []
        if random.random() < ZONE_ROUNDS / len(own_zone):
            return own_zone, others
        return own_zone, []

    async def tell_other_region(self) -> None:
        """Tell a member of another region.

        The relays do so, and about ``REMOTE_ROUNDS`` of the other nodes of a region,
        because all relays may have died just now.
        """
        gossip = self.gossip
        is_chosen = random.random() < REMOTE_ROUNDS / gossip.region_size()
        if not is_chosen and not is_relay(gossip.table, gossip.table.own):
            return
        for member in self.remote_peers():
            if await gossip.exchange_with_remote(member):
                return

    def remote_peers(self) -> list[Member]:
        """List members of the next other region to try, its relays first."""
        table = self.gossip.table
        region = self.gossip.next_region()
        relays = relays_of(table, region)
        random.shuffle(relays)
        names = {relay.node_id for relay in relays}
        others = [
            member
            for member in table.living()
            if member.region == region and member.node_id not in names
        ]
        return relays + random.sample(others, min(MAX_TRIES, len(others)))
