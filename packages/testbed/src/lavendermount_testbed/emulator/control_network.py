"""Control calls between nodes of one process, which may be lost or fall silent.

:units: seconds of simulated time; bytes as encoded, without those of the transport.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from functools import partial
from typing import Any, Final
from unittest.mock import AsyncMock, Mock

from lavendermount_core.models.members import Member
from lavendermountd.control.channels import ControlCallError, PooledChannel
from lavendermountd.control.server import ControlServicer
from lavendermountd.node import Node

IN_REGION_S: Final = 0.002
BETWEEN_REGIONS_S: Final = 0.02


class SimulatedNetwork:
    """Carries the control calls between nodes.

    :param is_refused: whether calls to lost nodes fail at once instead of never.
    :param lost_calls: share of the calls that get no answer.
    """

    def __init__(self, is_refused: bool, lost_calls: float) -> None:
        """Start without nodes."""
        self.is_refused = is_refused
        self.lost_calls = lost_calls
        self.nodes: dict[str, Node] = {}
        self.servicers: dict[str, ControlServicer] = {}
        self.lost: set[str] = set()
        self.sent: Counter[str] = Counter()

    def add(self, node: Node) -> None:
        """Let a node make and receive calls."""
        address = control_address(node)
        self.nodes[address] = node
        self.servicers[address] = ControlServicer(node)
        node.channels.open_channel = partial(SimulatedChannel, self, address)

    async def call(
        self, ends: tuple[str, str], method: str, request: Any, timeout_s: float
    ) -> Any:
        """Carry a call; see ``PooledChannel.call``.

        :param ends: addresses of the sender and of the receiver.
        :raises ControlCallError: if one of the nodes is lost, or the call is.
        """
        members = [self.nodes[address].identity.member for address in ends]
        distance, delay_s = _way(*members)
        self.sent[distance] += request.ByteSize()
        self.sent['calls'] += 1
        if not self.lost.isdisjoint(ends):
            await asyncio.sleep(delay_s if self.is_refused else timeout_s)
            raise ControlCallError('no answer')
        if self.lost_calls and random.random() < self.lost_calls:
            await asyncio.sleep(timeout_s)
            raise ControlCallError('the call was lost')
        await asyncio.sleep(delay_s)
        reply = await getattr(self.servicers[ends[1]], method)(request, Mock())
        self.sent[distance] += reply.ByteSize()
        await asyncio.sleep(delay_s)
        return reply

    def silence(self, nodes: list[Node]) -> None:
        """Let the open connections from and to some nodes never answer again."""
        silent = set(map(control_address, nodes))
        for node in self.nodes.values():
            for address, channel in node.channels.channels.items():
                assert isinstance(channel, SimulatedChannel)
                if not silent.isdisjoint((address, control_address(node))):
                    channel.is_silent = True


class SimulatedChannel(PooledChannel):
    """A connection between two simulated nodes.

    :param network: carries the calls.
    :param origin: address of the node that opens it.
    :param address: address of the other node.
    """

    __slots__ = ('network', 'ends', 'is_silent')

    def __init__(self, network: SimulatedNetwork, origin: str, address: str) -> None:
        """Connect the nodes."""
        self.channel = AsyncMock()
        self.active_calls = 0
        self.is_dropped = False
        self.replied_at = time.monotonic()
        self.network = network
        self.ends = (origin, address)
        self.is_silent = False

    async def make_call(self, method: str, request: Any, timeout_s: float) -> Any:
        """Let the network carry the call, unless the connection is silent."""
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            raise ControlCallError('the connection is silent')
        return await self.network.call(self.ends, method, request, timeout_s)


def control_address(node: Node) -> str:
    """Return the address at which a node receives control calls."""
    return node.identity.control_address_of(node.identity.member)


def _way(sender: Member, receiver: Member) -> tuple[str, float]:
    """Return the kind of the way between two nodes, and its delay."""
    if sender.region != receiver.region:
        return 'region', BETWEEN_REGIONS_S
    kind = 'zone' if sender.zone == receiver.zone else 'other-zone'
    return kind, IN_REGION_S
