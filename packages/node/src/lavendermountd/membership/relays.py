"""Selection of relays: the few members that gossip for their region.

:shapes: relays are the members of a region, alive or suspected, with the lowest
    digests of their node ids, one from each zone before a second from any.
"""

from __future__ import annotations

import zlib
from heapq import nsmallest

from lavendermount_core.models.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable

RELAYS_PER_REGION = 2


def relays_of(table: MemberTable, region: str) -> list[Member]:
    """List the relays of a region as this node sees it.

    :param table: known members.
    :param region: name of the region.
    :returns: at most ``RELAYS_PER_REGION`` members.
    """
    eligible = [
        member
        for member in table.members.values()
        if member.region == region and member.status <= MemberStatus.SUSPECT
    ]
    lowest_by_zone: dict[str, Member] = {}
    for candidate in eligible:
        lowest = lowest_by_zone.setdefault(candidate.zone, candidate)
        if _selection_key(candidate) < _selection_key(lowest):
            lowest_by_zone[candidate.zone] = candidate
    relays = sorted(lowest_by_zone.values(), key=_selection_key)[:RELAYS_PER_REGION]
    if len(relays) < RELAYS_PER_REGION:
        chosen_ids = {relay.node_id for relay in relays}
        remaining = [member for member in eligible if member.node_id not in chosen_ids]
        relays.extend(
            nsmallest(RELAYS_PER_REGION - len(relays), remaining, key=_selection_key)
        )
    return relays


def is_relay(table: MemberTable, member: Member) -> bool:
    """Return whether a member is a relay of its region."""
    relays = relays_of(table, member.region)
    return any(relay.node_id == member.node_id for relay in relays)


def _selection_key(member: Member) -> tuple[int, str]:
    return zlib.crc32(member.node_id.encode()), member.node_id
