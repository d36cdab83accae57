"""Relays: the few members of each region that speak for it.

:shapes: relays are the first living members of a region by digest of their
    node id, one from each zone before a second from any.
"""

from __future__ import annotations

import zlib
from heapq import nsmallest

from lavendermount_core.structure.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable

RELAYS_PER_REGION = 2


def relays_of(table: MemberTable, region: str) -> list[Member]:
    """List the relays of a region as this node sees it.

    :param table: members.
    :param region: the region.
    :returns: at most ``RELAYS`` members.
    """
    living = [
        member
        for member in table.members.values()
        if member.region == region and member.status <= MemberStatus.SUSPECT
    ]
    first_of_zone: dict[str, Member] = {}
    for candidate in living:
        first = first_of_zone.setdefault(candidate.zone, candidate)
        if _selection_key(candidate) < _selection_key(first):
            first_of_zone[candidate.zone] = candidate
    relays = sorted(first_of_zone.values(), key=_selection_key)[:RELAYS_PER_REGION]
    if len(relays) < RELAYS_PER_REGION:
        chosen_ids = {relay.node_id for relay in relays}
        remaining = [member for member in living if member.node_id not in chosen_ids]
        relays.extend(
            nsmallest(RELAYS_PER_REGION - len(relays), remaining, key=_selection_key)
        )
    return relays


def is_relay(table: MemberTable, member: Member) -> bool:
    """Whether a member is a relay of its region."""
    relays = relays_of(table, member.region)
    return any(relay.node_id == member.node_id for relay in relays)


def _selection_key(member: Member) -> tuple[int, str]:
    return zlib.crc32(member.node_id.encode()), member.node_id
