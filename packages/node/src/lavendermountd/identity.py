"""Identity of the node.

:units: milliseconds since the epoch for incarnations.
"""

from __future__ import annotations

import time

from lavendermount_core.config.node import NodeSchema
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.utils.units import NS_PER_MS


class Identity:
    """The node's own entry in the member table.

    :param settings: the node's settings.
    """

    __slots__ = ('settings', 'member', 'gateways')

    def __init__(self, settings: NodeSchema) -> None:
        """Start a new incarnation, numbered by the current time."""
        listen = settings.listen
        self.settings = settings
        self.gateways = {entry.region: entry.host for entry in settings.gateway}
        self.member = Member(
            settings.node_id,
            time.time_ns() // NS_PER_MS,
            0,
            MemberStatus.ALIVE,
            '',
            settings.region,
            settings.zone,
            listen.host,
            listen.peer_port,
            listen.control_port,
            settings.link_mbps,
        )

    @property
    def node_id(self) -> str:
        """Name of the node."""
        return self.member.node_id

    @property
    def incarnation(self) -> int:
        """Start time of the process, in milliseconds since the epoch.

        It is higher if an earlier process of this node had a clock that was ahead.
        """
        return self.member.incarnation

    def host_of(self, member: Member) -> str:
        """Return the IP address by which this node reaches a member.

        A member of another region is reached through the gateway to it, if the
        settings name one.
        """
        if member.region == self.member.region:
            return member.host
        return self.gateways.get(member.region, member.host)

    def control_address_of(self, member: Member) -> str:
        """Return the control address of a member in the form that gRPC takes."""
        return f'{self.host_of(member)}:{member.control_port}'
