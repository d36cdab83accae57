"""Cluster members: the nodes as other nodes know them.

:shapes: one member per node; a node serves at most one target.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any, Self

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.records import Record
from lavendermount_core.utils.addresses import is_ip_address

# Members travel in messages with 64-bit counters.
COUNTER_BITS = 62
MAX_COUNTER = 1 << COUNTER_BITS
MAX_PORT = 65535


class MemberStatus(IntEnum):
    """Liveness of a member; at equal incarnation and version the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(Record):
    """A node and the target that it serves.

    :param node_id: name of the node, unique among running nodes.
    :param incarnation: start time of the node's process, in milliseconds since
        the epoch; distinguishes a restarted node from its earlier process.
    :param version: number that increases with every change that the node makes
        to its own entry, such as refuting a suspicion.
    :param status: a ``MemberStatus``.
    :param service: service of the target; empty without a target.
    :param region: region of the VM.
    :param zone: availability zone of the VM.
    :param host: IP address of the VM.
    :param peer_port: TCP port for requests from other nodes.
    :param control_port: TCP port for gossip and operators.
    :param link_mbps: bandwidth of the VM's link in Mbit/s; 0 if it is not known.
    """

    __slots__ = (
        'node_id',
        'incarnation',
        'version',
        'status',
        'service',
        'region',
        'zone',
        'host',
        'peer_port',
        'control_port',
        'link_mbps',
    )

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        version: int,
        status: int,
        service: str,
        region: str,
        zone: str,
        host: str,
        peer_port: int,
        control_port: int,
        link_mbps: int = 0,
    ) -> None:
        """Initialize the fields."""
        self.node_id = node_id
        self.incarnation = incarnation
        self.version = version
        self.status = status
        self.service = service
        self.region = region
        self.zone = zone
        self.host = host
        self.peer_port = peer_port
        self.control_port = control_port
        self.link_mbps = link_mbps

    @classmethod
    def checked_from_row(cls, row: Any) -> Self:
        """Build a member from an untrusted row.

        :raises RecordError: if the row is malformed, a number is out of range, or no
            node can be reached by it.
        """
        member = super().checked_from_row(row)
        if not member.node_id or not is_ip_address(member.host):
            raise RecordError('Member: the name or the IP address is missing')
        counters = (member.incarnation, member.version, member.link_mbps)
        ports = (member.peer_port, member.control_port)
        if not all(0 <= counter <= MAX_COUNTER for counter in counters):
            raise RecordError('Member: a counter or the bandwidth is out of range')
        if not all(0 <= port <= MAX_PORT for port in ports):
            raise RecordError('Member: a port is out of range')
        if member.status not in tuple(MemberStatus):
            raise RecordError(f'Member: unknown status {member.status}')
        return member

    @property
    def is_available(self) -> bool:
        """Whether new requests may be sent to the member."""
        return self.status <= MemberStatus.SUSPECT and bool(self.service)

    def supersedes(self, other: Member) -> bool:
        """Return whether this entry is newer than another of the same node.

        A higher incarnation wins, then a higher version, then the worse
        status.

        :param other: the entry known so far.
        """
        return self.rank > other.rank

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key that orders entries of the same node by recency."""
        return self.incarnation, self.version, self.status

    def with_status(self, status: MemberStatus) -> Member:
        """Return a copy with another status."""
        copy = Member.from_row(self.to_row())
        copy.status = int(status)
        return copy
