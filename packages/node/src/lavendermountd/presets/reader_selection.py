"""Which nodes wait at the log for news.

If every node waits there, each change costs as many reads as there are nodes. With
readers, a few nodes of each zone wait, and tell the others by gossip. The others read
only now and then, in case all of these are cut off from the log.

:shapes: chosen by rendezvous hash, so that nodes with the same members choose alike.
"""

from __future__ import annotations

import zlib
from collections import Counter
from heapq import nsmallest

from lavendermount_core.models.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable


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


def _selection_key(member: Member) -> tuple[int, str]:
    return zlib.crc32(f'{member.node_id}/log-reader'.encode()), member.node_id
