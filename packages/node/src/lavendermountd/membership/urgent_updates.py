"""Urgent updates: rounds of gossip at once, until enough members have answered.

Members that have died just now still count as living, and what they are told is lost.
Others are told in their place.

:units: seconds.
:errors: none are raised; regular gossip tells the others later.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from itertools import filterfalse, islice
from typing import Final

from lavendermount_core.models.members import Member
from lavendermountd.membership.gossip import PROBE_TIMEOUT_RATIO, Gossip
from lavendermountd.membership.relays import is_relay, relays_of
from lavendermountd.membership.staggered import call_until_answered

# Members of other zones that the nodes of a zone together tell. They learn it from the
# log too, so these matter only if all of them are cut off from it.
ZONE_ROUNDS: Final = 3
# Nodes of a region, besides its relays, that tell another region.
REMOTE_ROUNDS: Final = 2
# Members that are tried at most for each one that must answer.
MAX_TRIES: Final = 4
# Members that are tried at most in each direction of the ring.
MAX_NEIGHBOURS: Final = 16

MemberTest = Callable[[Member], bool]


def is_never_informed(member: Member) -> bool:
    """Return that a member does not have the news."""
    return False


class UrgentUpdates:
    """Tells other nodes of news outside the regular rounds.

    :param gossip: gossip, whose rounds carry the news.
    """

    __slots__ = ('gossip',)

    def __init__(self, gossip: Gossip) -> None:
        """Store the gossip."""
        self.gossip = gossip

    async def tell_region(
        self, count: int, is_informed: MemberTest = is_never_informed
    ) -> None:
        """Tell members of the own region, or of any if there are no others.

        :param count: members that must answer; where traffic between zones is kept
            low, members of the own zone.
        :param is_informed: whether a member is known to have the news.
        """
        nearby, distant = (
            list(filterfalse(is_informed, members)) for members in self.peers()
        )
        tries = MAX_TRIES * count
        chosen = iter(random.sample(nearby, min(tries, len(nearby))))
        others = iter(random.sample(distant, min(MAX_TRIES, len(distant))))
        await asyncio.gather(
            call_until_answered(others, self.tell),
            *(call_until_answered(chosen, self.tell) for _ in range(count)),
        )

    async def tell_neighbours(self, is_informed: MemberTest) -> None:
        """Tell the next living member of the ring in each direction.

        :param is_informed: whether a member is known to have the news.
        """
        ring = self.gossip.ring
        await asyncio.gather(
            call_until_answered(_until_informed(ring.after(), is_informed), self.tell),
            call_until_answered(_until_informed(ring.before(), is_informed), self.tell),
        )

    async def tell(self, member: Member) -> bool:
        """Exchange a round with a member; return whether it answered."""
        if member.region != self.gossip.table.own.region:
            return await self.gossip.exchange_with_remote(member)
        timeout_s = self.gossip.period_s * PROBE_TIMEOUT_RATIO
        return await self.gossip.exchange_with(member, timeout_s)

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


def _until_informed(
    members: Iterator[Member], is_informed: MemberTest
) -> Iterator[Member]:
    """Iterate over a few members, up to the first that has the news already."""
    for member in islice(members, MAX_NEIGHBOURS):
        if is_informed(member):
            return
        yield member
