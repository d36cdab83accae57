"""A fleet of nodes that share allotments over a network with faults."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest.mock import Mock

from builders import member

from lavendermount_core.config.preset import parse_preset
from lavendermount_core.models.members import MemberStatus
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.allotments.borrowing import Borrower
from lavendermountd.allotments.client import AllotmentClient
from lavendermountd.allotments.limits import zone_shares
from lavendermountd.allotments.owner import AllotmentOwner
from lavendermountd.allotments.zone_owners import ZoneOwners
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.frames import LoanAsk, LoanGrant, TokenAsk, TokenGrant
from lavendermountd.supervision.freeze import FREEZE_THRESHOLD_S

TENANT = 'alpha'
TICK_S = 0.1
# Time in which a node learns that another one died (suspicion of 3 s and gossip) or
# is back (gossip).
DEATH_LAG_S = (3.2, 5.0)
RETURN_LAG_S = (0.0, 1.5)


def limited_preset(rate_per_s: float, burst: float, tenant: str = TENANT) -> Any:
    """Build a preset with one tenant."""
    return parse_preset(
        'name = "p"\n[[class]]\nname = "c"\n[[route]]\nservice = "s"\nclass = "c"\n'
        f'[[tenant]]\nname = "{tenant}"\nkeys = ["k"]\n'
        f'rate_per_s = {rate_per_s}\nburst = {burst}\n',
        'test',
    )


class FleetNode:
    """A node that owns and takes tokens; a restart replaces its state."""

    def __init__(self, fleet: Fleet, node_id: str, zone: str) -> None:
        """Start the node."""
        self.fleet = fleet
        self.entry = member(node_id, zone=zone)
        self.demand = 0
        self.side = 0
        self.frozen_at: float | None = None
        self.inbox: list[Any] = []
        self.changes: dict[str, float] = {}
        self.start()

    def start(self) -> None:
        """Start with the members that are on record, and without tokens."""
        self.changes.clear()
        self.inbox.clear()
        table = MemberTable(member(self.entry.node_id, zone=self.entry.zone))
        for other in self.fleet.nodes.values():
            table.store(member(other.entry.node_id, zone=other.entry.zone))
        self.owner = AllotmentOwner(ZoneOwners(table, self.clock), self.clock)
        self.owner.is_ready = lambda: True
        self.client = AllotmentClient(self.owner, self.links(), self.clock)
        self.borrower = Borrower(self.owner, self.client.send_frame)
        self.client.on_loan_grant = self.borrower.on_grant
        for limits in self.fleet.limits:
            self.owner.configure(limits)

    def links(self) -> Any:
        """Build links that send over the fleet's network."""
        return Mock(
            backoff=Mock(is_avoided=lambda node_id: False),
            find_open=lambda entry: Mock(
                pending={},
                frames=Mock(
                    send=lambda frame: self.fleet.transmit(self, entry.node_id, frame)
                ),
            ),
        )

    def clock(self) -> float:
        """Return the simulated time."""
        return self.fleet.time.now

    @property
    def is_running(self) -> bool:
        """Whether the node runs now."""
        return self.frozen_at is None

    def freeze(self) -> None:
        """Stop until ``thaw``."""
        if self.is_running:
            self.frozen_at = self.clock()

    def thaw(self) -> None:
        """Go on; a long freeze is detected before a message is handled."""
        if self.frozen_at is None:
            return
        if self.clock() - self.frozen_at >= FREEZE_THRESHOLD_S:
            self.owner.reset()
            self.client.reset()
            self.borrower.reset()
            self.inbox.clear()
        self.frozen_at = None
        delayed = tuple(self.inbox)
        self.inbox.clear()
        for sender_id, frame in delayed:
            self.receive(sender_id, frame)

    def receive(self, sender_id: str, frame: Any) -> None:
        """Handle a frame as the peer server and the links do."""
        if self.frozen_at:
            self.inbox.append((sender_id, frame))
        elif isinstance(frame, TokenAsk):
            granted = self.owner.grant_all(frame.wanted)
            self.fleet.transmit(self, sender_id, TokenGrant(frame.ask_id, granted))
        elif isinstance(frame, LoanAsk):
            lent_per_s = self.owner.lend(frame.tenant, frame.rate_per_s, frame.borrower)
            self.fleet.transmit(self, sender_id, LoanGrant(frame.ask_id, lent_per_s))
        else:
            self.client.on_grant(frame)

    def observe(self, other: FleetNode) -> None:
        """Learn after a while that another node died or is back."""
        node_id = other.entry.node_id
        table = self.owner.owners.table
        is_seen = other.is_running and other.side == self.side
        status = MemberStatus.ALIVE if is_seen else MemberStatus.DEAD
        if table.members[node_id].status == status:
            self.changes.pop(node_id, None)
            return
        lag = RETURN_LAG_S if is_seen else DEATH_LAG_S
        due = self.changes.setdefault(
            node_id, self.clock() + self.fleet.draw.uniform(*lag)
        )
        if self.clock() >= due:
            table.store(member(node_id, zone=other.entry.zone, status=status))

    async def call(self) -> None:
        """Send a request that reaches a target at once if it gets a token."""
        take = await self.client.try_take(TENANT)
        if take.refusal is None:
            self.fleet.served.append(self.clock())
        else:
            self.fleet.refusals.append(take.refusal)


class Fleet:
    """Nodes, the network between them, and the requests that they served."""

    def __init__(
        self, time: SimulatedTime, zones: int, per_zone: int, limits: Any, seed: int
    ) -> None:
        """Start all nodes."""
        self.time = time
        self.zones = zones
        self.draw = random.Random(seed)
        self.limits = [zone_shares(limits, zones)]
        self.served: list[float] = []
        self.refusals: list[Any] = []
        self.frames: list[tuple[str, str, Any]] = []
        self.loss: float = 0
        self.delay_s: float = 0.0005
        self.nodes: dict[str, FleetNode] = {}
        for number in range(zones * per_zone):
            node = FleetNode(self, f'n{number}', f'z{number % zones}')
            self.nodes[node.entry.node_id] = node
        for node in self.nodes.values():
            node.start()

    def transmit(self, sender: FleetNode, node_id: str, frame: Any) -> None:
        """Deliver a frame later, unless it is lost."""
        receiver = self.nodes[node_id]
        self.frames.append((sender.entry.zone, receiver.entry.zone, frame))
        if sender.side != receiver.side or self.draw.random() < self.loss:
            return
        self.time.loop.call_later(
            self.draw.uniform(0.5, 1) * self.delay_s,
            receiver.receive,
            sender.entry.node_id,
            frame,
        )

    async def run(self, seconds: float) -> None:
        """Let the callers of all nodes send requests for a time."""
        calls = set()
        for tick in range(round(seconds / TICK_S)):
            running = [node for node in self.nodes.values() if node.is_running]
            if tick % 5 == 0:
                self.observe_members(running)
            for node in running:
                calls.update(
                    asyncio.create_task(node.call()) for _ in range(node.demand)
                )
            await asyncio.sleep(TICK_S)
        await asyncio.gather(*calls)

    def observe_members(self, running: list[FleetNode]) -> None:
        """Let nodes learn of each other."""
        for node in running:
            for other in self.nodes.values():
                if other is not node:
                    node.observe(other)

    def apply(self, name: str, number: int, amount: int) -> None:
        """Bring about a fault or change the demand.

        :param name: name of the event, for which there is a method.
        :param number: chooses nodes.
        :param amount: size of the demand or of the delay.
        """
        getattr(self, name)(number, amount)

    def chosen(self, number: int, all_every: int) -> list[FleetNode]:
        """Choose all nodes if a number is divisible, otherwise one of them."""
        nodes = list(self.nodes.values())
        if number % all_every == 0:
            return nodes
        return [nodes[number % len(nodes)]]

    def demand(self, number: int, amount: int) -> None:
        """Send this many requests to each of some nodes in each tick."""
        chosen = self.chosen(number, 3)
        for node in self.nodes.values():
            node.demand = amount if node in chosen else 0

    def partition(self, number: int, amount: int) -> None:
        """Split the nodes by the bits of a number."""
        for index, node in enumerate(self.nodes.values()):
            node.side = (number >> index) & 1

    def heal(self, number: int, amount: int) -> None:
        """End the partition."""
        self.partition(0, amount)

    def network(self, number: int, amount: int) -> None:
        """Change loss and delay."""
        self.loss = number % 4 / 10
        self.delay_s = (0.0005, 0.02, 0.08, 0.3)[amount % 4]

    def freeze(self, number: int, amount: int) -> None:
        """Freeze one node, or all."""
        for node in self.chosen(number, 7):
            node.freeze()

    def thaw(self, number: int, amount: int) -> None:
        """Let all frozen nodes go on."""
        for node in self.nodes.values():
            node.thaw()

    def kill(self, number: int, amount: int) -> None:
        """Kill one node, or all, and start them anew at once."""
        self.restart(self.chosen(number, 5))

    def restart(self, nodes: list[FleetNode]) -> None:
        """Kill nodes and start them anew at once."""
        for node in nodes:
            node.client.reset()
            node.frozen_at = None
            node.start()

    def most_in_window(self, window_s: float) -> int:
        """Return the largest number of requests served in any window."""
        times = sorted(self.served)
        first, most = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most
