"""Counts the bytes that a node sends to other nodes, by kind and distance.

Traffic between zones and regions costs money; the counts show which kind of message
causes it.

:units: bytes of messages, without the overhead of TCP and HTTP/2.
"""

from __future__ import annotations

from collections import defaultdict
from types import MappingProxyType

from lavendermount_core.models.members import Member
from lavendermount_core.models.records import Record
from lavendermount_core.routing.candidates import Distance, distance_between
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.frames import (
    Answer,
    BodyPart,
    Cancel,
    CrashSuspicion,
    Dispatch,
    LoanAsk,
    LoanGrant,
    OutcomeQuery,
    Ping,
    Pong,
    Refused,
    TokenAsk,
    TokenGrant,
)

GOSSIP = 'gossip'
OTHER = 'other'
ALLOTMENT = 'allotment'
KIND_BY_FRAME = MappingProxyType(
    {
        Dispatch: 'request',
        BodyPart: 'body',
        Answer: 'reply',
        Refused: 'refusal',
        Cancel: 'cancel',
        OutcomeQuery: 'outcome-query',
        Ping: 'ping',
        Pong: 'load-report',
        CrashSuspicion: 'crash-suspicion',
        TokenAsk: ALLOTMENT,
        TokenGrant: ALLOTMENT,
        LoanAsk: ALLOTMENT,
        LoanGrant: ALLOTMENT,
    }
)
DISTANCE_LABELS = MappingProxyType(
    {
        Distance.SAME_VM: 'same-vm',
        Distance.SAME_ZONE: 'same-zone',
        Distance.SAME_REGION: 'same-region',
        Distance.OTHER_REGION: 'other-region',
    }
)


class TrafficMeter:
    """Counts of sent bytes.

    :param table: members, by which the place of a peer is found.
    """

    __slots__ = ('table', 'sent')

    def __init__(self, table: MemberTable) -> None:
        """Start without traffic."""
        self.table = table
        self.sent: dict[tuple[str, Distance], int] = defaultdict(int)

    def distance_to(self, member: Member) -> Distance:
        """Return the network distance from this node to a member."""
        return distance_between(self.table.own, member)

    def distance_to_host(self, host: str) -> Distance:
        """Return the distance to the node with an address.

        The address is that of a connection from the node; an unknown one counts as in
        the same zone.
        """
        for member in self.table.members.values():
            if member.host == host:
                return self.distance_to(member)
        return Distance.SAME_ZONE

    def add_frame(self, frame: Record, size: int, distance: Distance) -> None:
        """Count a frame of a peer connection."""
        self.sent[KIND_BY_FRAME.get(type(frame), OTHER), distance] += size

    def add_gossip(self, member: Member, size: int) -> None:
        """Count a gossip round, sent or answered."""
        self.sent[GOSSIP, self.distance_to(member)] += size
