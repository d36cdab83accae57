"""Gossip between nodes: failure detection, membership and load reports.

:units: seconds on the node's monotonic clock; bytes on the wire.
:errors: none propagate; a member that does not answer is suspected.

Each round probes one member of the node's own region. A few relays of each
region also exchange rounds with a relay of another region, over the paid link
between the regions.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.control.channels import ChannelPool, ControlCallError
from lavendermountd.control.generated import control_pb2
from lavendermountd.membership.exchange import GossipExchange
from lavendermountd.membership.relays import is_relay, relays_of
from lavendermountd.membership.ring import MemberRing
from lavendermountd.membership.staggered import call_until_answered
from lavendermountd.membership.suspicion import SuspicionTimers
from lavendermountd.traffic_meter import TrafficMeter

log = logging.getLogger(__name__)

INDIRECT_PROBES = 2
RECENT_CHANGE_ROUNDS = 3
PRIMARY_RELAY_IDLE_ROUNDS = 10
SECONDARY_RELAY_IDLE_ROUNDS = 40
PERIOD_JITTER_RATIO = 0.1
DEAD_PROBE_PROBABILITY = 0.1
RPC_OVERHEAD_BYTES = 150
PROBE_TIMEOUT_RATIO = 0.5
# Members of other zones that all nodes of a zone together probe in each round.
ZONE_ROUNDS = 1
REMOTE_TIMEOUT_S = 1.0
# Members that are tried at most in place of one that does not answer.
MAX_REPLACEMENTS = 8


class Gossip:
    """Runs the gossip rounds.

    Each round probes one member of the own region; some rounds also go to another
    region.

    :param exchange: builds and merges rounds.
    :param channels: gRPC channels to the other nodes.
    :param timers: timeouts of suspected members.
    :param period_s: time between rounds.
    """

    def __init__(
        self,
        exchange: GossipExchange,
        channels: ChannelPool,
        timers: SuspicionTimers,
        period_s: float,
    ) -> None:
        """Start with an empty probe order."""
        self.exchange = exchange
        self.table = exchange.table
        self.channels = channels
        self.timers = timers
        self.period_s = period_s
        self.ring = MemberRing(self.table)
        # Probes through others of members that did not answer.
        self.checks: set[asyncio.Task[None]] = set()
        self.probe_order: list[str] = []
        self.round_count = 0
        self.region_turn = 0
        self.meter = TrafficMeter(self.table)
        # Whether traffic to other zones is kept low.
        self.is_zone_local = False
        # Called with the name of each member that did not answer.
        self.on_unanswered: Callable[[str], None] = _ignore_member

    async def run(self) -> None:
        """Gossip until cancelled."""
        while True:
            jitter = random.uniform(1 - PERIOD_JITTER_RATIO, 1 + PERIOD_JITTER_RATIO)
            await asyncio.sleep(self.period_s * jitter)
            await self.round()

    async def round(self) -> None:
        """Probe a member, gossip with another region, and expire suspicions."""
        self.round_count += 1
        self.timers.expire()
        member = self.next_member()
        if member is not None:
            await self.probe(member)
        remote = self.next_remote_relay()
        if remote is not None:
            await self.exchange_with_remote(remote)

    def next_member(self) -> Member | None:
        """Return the next member of the own region in a shuffled order.

        Occasionally a dead member is probed, so that the end of a network
        partition is detected.
        """
        dead = self.dead_in_region()
        if dead and random.random() < DEAD_PROBE_PROBABILITY:
            return random.choice(dead)
        if not self.probe_order:
            self.probe_order = [member.node_id for member in self.probed_members()]
            random.shuffle(self.probe_order)
        while self.probe_order:
            member = self.table.find(self.probe_order.pop())
            if member is not None and member.status != MemberStatus.DEAD:
                return member
        return None

    def probed_members(self) -> list[Member]:
        """List the members that this node probes in its next rounds.

        These are the others of the own region. Where traffic between zones is kept
        low, they are those of the own zone and a few others, so that the nodes of a
        zone together probe ``ZONE_ROUNDS`` members of other zones in each round. While
        one of these is suspected, as many are probed as in the own zone.
        """
        members = self.living_in_region()
        if not self.is_zone_local:
            return members
        own_zone, others = self.split_by_zone(members)
        count = ZONE_ROUNDS
        if any(member.status == MemberStatus.SUSPECT for member in others):
            count = max(count, len(own_zone))
        return own_zone + random.sample(others, min(count, len(others)))

    def split_by_zone(self, members: list[Member]) -> tuple[list[Member], list[Member]]:
        """Split members into those of the own zone and the others."""
        zone = self.table.own.zone
        own_zone = [member for member in members if member.zone == zone]
        others = [member for member in members if member.zone != zone]
        return own_zone, others

    def living_in_region(self) -> list[Member]:
        """List the other members of the own region that are not dead."""
        region = self.table.own.region
        return [member for member in self.table.living() if member.region == region]

    def region_size(self) -> int:
        """Count the members of the own region that are not dead, and this node."""
        return len(self.living_in_region()) + 1

    def dead_in_region(self) -> list[Member]:
        """List the dead members of the own region that the table still holds."""
        region = self.table.own.region
        return [
            member
            for member in self.table.members.values()
            if member.status == MemberStatus.DEAD and member.region == region
        ]

    async def probe(self, member: Member) -> None:
        """Probe a member; if it does not answer, exchange the round with another.

        Each round then brings the news of a living member, and the next one is not
        delayed.
        """
        timeout_s = self.period_s * PROBE_TIMEOUT_RATIO
        if await self.exchange_with(member, timeout_s):
            return
        check = asyncio.create_task(self.check_unanswered(member))
        self.checks.add(check)
        check.add_done_callback(self.checks.discard)
        others = [other for other in self.probed_members() if other is not member]
        chosen = random.sample(others, min(MAX_REPLACEMENTS, len(others)))
        await call_until_answered(
            iter(chosen), lambda other: self.exchange_with(other, timeout_s)
        )

    async def check_unanswered(self, member: Member) -> None:
        """Probe a member that did not answer through others; suspect it if that fails.

        A dead member is not probed again.
        """
        if member.status == MemberStatus.DEAD:
            return
        if await self.probe_indirectly(member):
            return
        self.timers.suspect(member)

    async def exchange_with(self, member: Member, timeout_s: float) -> bool:
        """Exchange one round with a member.

        :returns: whether it answered.
        """
        message = self.exchange.build(member)
        self.charge(member, message.ByteSize())
        try:
            answer = await self.channels.call_member(
                member, 'Gossip', message, timeout_s
            )
            self.exchange.merge(answer)
        except (ControlCallError, RecordError) as error:
            log.debug(
                'gossip-unanswered',
                extra={'peer': member.node_id, 'cause': str(error)},
            )
            self.on_unanswered(member.node_id)
            return False
        return True

    async def probe_indirectly(self, member: Member) -> bool:
        """Ask a few other members to probe a member.

        :returns: whether any of them reached it.
        """
        candidates = [
            candidate
            for candidate in self.living_in_region()
            if candidate.node_id != member.node_id
        ]
        intermediaries = random.sample(
            candidates, min(INDIRECT_PROBES, len(candidates))
        )
        answers = await asyncio.gather(
            *(
                self.request_probe(intermediary, member)
                for intermediary in intermediaries
            ),
        )
        return any(answers)

    async def request_probe(self, intermediary: Member, member: Member) -> bool:
        """Ask a member whether it reaches another one."""
        timeout_s = self.period_s * PROBE_TIMEOUT_RATIO
        request = control_pb2.ProbeRequest(
            address=self.channels.identity.control_address_of(member),
            timeout_ms=int(timeout_s * MS_PER_S),
        )
        self.charge(intermediary, request.ByteSize())
        try:
            answer = await self.channels.call_member(
                intermediary, 'Probe', request, 2 * timeout_s
            )
        except ControlCallError as error:
            log.debug(
                'probe-unanswered',
                extra={'peer': intermediary.node_id, 'cause': str(error)},
            )
            return False
        return bool(answer.is_alive)

    def next_remote_relay(self) -> Member | None:
        """Pick a relay of another region if a round there is due."""
        return self.pick_remote_relay() if self.is_remote_gossip_due() else None

    def pick_remote_relay(self) -> Member | None:
        """Pick a relay of another region, if this node is a relay itself."""
        if not is_relay(self.table, self.table.own):
            return None
        relays = relays_of(self.table, self.next_region())
        return random.choice(relays) if relays else None

    def is_remote_gossip_due(self) -> bool:
        """Return whether to gossip over the paid link in this round.

        Every round is due shortly after a change of the members and while the
        member tables of the regions differ; otherwise one in
        ``remote_gossip_interval()`` is.
        """
        exchange = self.exchange
        unchanged_s = time.monotonic() - exchange.updates.changed_at
        if (
            exchange.is_remote_out_of_sync
            or unchanged_s < RECENT_CHANGE_ROUNDS * self.period_s
        ):
            return True
        return self.round_count % self.remote_gossip_interval() == 0

    def remote_gossip_interval(self) -> int:
        """Return the number of rounds from one over the paid link to the next."""
        own = self.table.own
        relays = relays_of(self.table, own.region)
        is_primary = bool(relays) and relays[0].node_id == own.node_id
        return PRIMARY_RELAY_IDLE_ROUNDS if is_primary else SECONDARY_RELAY_IDLE_ROUNDS

    async def exchange_with_remote(self, member: Member) -> bool:
        """Exchange a round with another region if the paid budget allows it.

        A missing reply doesn't raise a suspicion: the link may be cut.

        :returns: whether the member answered.
        """
        size = 2 * RPC_OVERHEAD_BYTES
        if not self.exchange.budget.try_spend('gossip-connect', size, is_paid=True):
            return False
        return await self.exchange_with(member, REMOTE_TIMEOUT_S)

    def next_region(self) -> str:
        """Return the next other region in turn; empty if there is none."""
        own = self.table.own
        regions = sorted({peer.region for peer in self.table.living()} - {own.region})
        if not regions:
            return ''
        self.region_turn += 1
        return regions[self.region_turn % len(regions)]

    def charge(self, member: Member, size: int) -> None:
        """Charge the bytes of a message that this node sends to the budget."""
        is_paid = member.region != self.table.own.region
        self.exchange.budget.charge('gossip', size + RPC_OVERHEAD_BYTES, is_paid)
        self.meter.add_gossip(member, size + RPC_OVERHEAD_BYTES)

    async def exchange_with_all(self, members: list[Member]) -> None:
        """Exchange rounds with some members at once, for urgent updates."""
        await asyncio.gather(
            *(self.exchange_with(member, self.period_s) for member in members),
        )


def _ignore_member(node_id: str) -> None:
    """Do nothing; the node installs the real callback."""
