"""Which nodes wait at the log for news.

If every node waits there, each change costs as many reads as there are nodes. With
readers, a few nodes of each zone wait, and tell the others by gossip. The others read
only now and then, in case all of these are cut off from the log.

:shapes: those with the most bandwidth, and among these by rendezvous hash, so that
    nodes with the same members choose alike.
"""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from collections.abc import Callable
from heapq import nsmallest
from typing import Final

from lavendermount_core.models.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable
from lavendermountd.presets.holder import PresetHolder

# Size of a preset's body from which one node of each zone reads its versions.
LARGE_BODY_CHARS: Final = 65536


class ReaderRole:
    """Decides whether a node waits at the log, and how often it checks the log if not.

    A large version that several nodes read would fill the link that the region shares.
    While one is in force, one node of each zone waits, and the others that would wait
    for small ones are standbys, which check the log often.

    :param table: known members.
    :param holder: holds the preset in force.
    :param readers_per_zone: number of nodes of each zone that wait for small versions.
    """

    __slots__ = ('table', 'holder', 'readers_per_zone', 'is_lost')

    def __init__(
        self, table: MemberTable, holder: PresetHolder, readers_per_zone: int
    ) -> None:
        """Initialize the fields."""
        self.table = table
        self.holder = holder
        self.readers_per_zone = readers_per_zone
        # Whether a member can't be reached, or does not reach the log.
        self.is_lost: Callable[[str], bool] = _never_lost

    @property
    def waiting_per_zone(self) -> int:
        """Number of nodes of each zone that wait now."""
        preset = self.holder.current
        if preset is None or len(preset.snapshot.body) < LARGE_BODY_CHARS:
            return self.readers_per_zone
        return min(self.readers_per_zone, 1)

    def is_reader(self) -> bool:
        """Return whether this node waits at the log."""
        return is_log_reader(self.table, self.waiting_per_zone)

    def is_standby(self) -> bool:
        """Return whether this node would wait at the log for small versions only."""
        return not self.is_reader() and is_log_reader(self.table, self.readers_per_zone)

    def is_sentinel(self) -> bool:
        """Return whether this node checks the log at short intervals for its region.

        One node of those that do not wait at the log does. If it has no path to the
        log, it says so, and the others check; a reader that waits can't know.
        """
        checking = [
            member
            for member in other_than_readers(self.table, self.waiting_per_zone)
            if not self.is_lost(member.node_id)
        ]
        sentinel = min(checking, key=_selection_key, default=None)
        return sentinel is not None and sentinel.node_id == self.table.own.node_id

    def reader_count(self) -> int:
        """Count the nodes of the own region that wait at the log."""
        return count_readers(self.table, self.waiting_per_zone)


def is_log_reader(table: MemberTable, readers_per_zone: int) -> bool:
    """Return whether this node waits at the log.

    A node that knows no other member of its zone does. A suspected member is replaced
    at once, as it may be dead.

    :param table: known members.
    :param readers_per_zone: number of nodes of each zone that wait.
    """
    own = table.own
    zone_members = [
        member
        for member in table.members.values()
        if member.zone == own.zone and member.status == MemberStatus.ALIVE
    ]
    readers = nsmallest(readers_per_zone, zone_members, key=_selection_key)
    return len(zone_members) <= readers_per_zone or any(
        reader.node_id == own.node_id for reader in readers
    )


def other_than_readers(table: MemberTable, readers_per_zone: int) -> list[Member]:
    """List the living members of the own region that do not wait at the log.

    :param table: known members.
    :param readers_per_zone: number of nodes of each zone that wait.
    """
    zones: dict[str, list[Member]] = defaultdict(list)
    for member in table.members.values():
        if member.region == table.own.region and member.status == MemberStatus.ALIVE:
            zones[member.zone].append(member)
    others: list[Member] = []
    for zone_members in zones.values():
        others.extend(sorted(zone_members, key=_selection_key)[readers_per_zone:])
    return others


def count_readers(table: MemberTable, readers_per_zone: int) -> int:
    """Count the nodes of the own region that wait at the log.

    :param table: known members.
    :param readers_per_zone: number of nodes of each zone that wait.
    """
    zone_sizes = Counter(
        member.zone
        for member in table.members.values()
        if member.region == table.own.region and member.status <= MemberStatus.SUSPECT
    )
    return sum(min(size, readers_per_zone) for size in zone_sizes.values()) or 1


def _never_lost(node_id: str) -> bool:
    """Count no member as lost; replaced when the node's components are connected."""
    return False


def _selection_key(member: Member) -> tuple[int, int, str]:
    digest = zlib.crc32(f'{member.node_id}/log-reader'.encode())
    return -member.link_mbps, digest, member.node_id
