"""Applies what a peer has read from the log, besides the preset."""

from __future__ import annotations

import time

from lavendermount_core.models.members import Member
from lavendermountd.control.generated import control_pb2
from lavendermountd.control.messages import zone_record
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.presets.follower import PresetFollower
from lavendermountd.presets.keyed_follower import KeyedPresetFollower


class PeerProgress:
    """Skips the records of the log that a peer's preset already contains.

    Otherwise each node would read a preset from the log after it has fetched it from a
    peer.

    :param follower: follower of this node.
    :param evacuations: states of the zones, which the same stream may hold.
    """

    __slots__ = ('follower', 'evacuations')

    def __init__(
        self,
        follower: PresetFollower | KeyedPresetFollower,
        evacuations: EvacuationTable,
    ) -> None:
        """Initialize the fields."""
        self.follower = follower
        self.evacuations = evacuations

    def apply(self, reply: control_pb2.PresetReply, peer: Member) -> None:
        """Continue where the peer is.

        :param reply: reply of the peer, whose preset was put in force.
        :param peer: the peer.
        """
        for zone in reply.zones:
            self.evacuations.merge(zone_record(zone), peer.node_id)
        self.follower.reachability.check_pace.told_at = time.monotonic()
        self.follower.skip_to(reply.log_position)
        self.follower.reachability.suspect_lost_read()
