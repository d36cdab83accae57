"""Members: the nodes of the system as others know them.

:shapes: one member a node; at most one target beside it.
"""

from __future__ import annotations

from enum import IntEnum

from lavendermount_core.structure.records import Record


class MemberStatus(IntEnum):
    """How alive a member is believed to be; later values win a tie."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(Record):
    """One node and the target beside it.

    :param node_id: name of the node, unique among living nodes.
    :param incarnation: start of the node's process, in milliseconds since the
        epoch; a restarted node can't be taken for its former self.
    :param version: grows with every change the node makes to its own entry,
        such as refuting a suspicion.
    :param status: a ``MemberStatus``.
    :param service: service of the target; empty without a target.
    :param region: region of the VM.
    :param zone: availability zone of the VM.
    :param host: IP number of the VM.
    :param peer_port: TCP port for requests from other nodes.
    :param control_port: TCP port for gossip and operators.
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
    ) -> None:
        """Keep the fields as given."""
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

    @property
    def is_available(self) -> bool:
        """Whether new work may be sent to the member."""
        return self.status <= MemberStatus.SUSPECT and bool(self.service)

    def supersedes(self, other: Member) -> bool:
        """Whether this knowledge is newer than the other.

        A higher incarnation wins, then a higher version, then the worse
        status.

        :param other: what is known so far of the same node.
        """
        return self.rank > other.rank

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of knowledge about the same node."""
        return self.incarnation, self.version, self.status

    def with_status(self, status: MemberStatus) -> Member:
        """Copy the member with another status."""
        copy = Member.from_row(self.to_row())
        copy.status = int(status)
        return copy
