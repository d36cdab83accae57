"""The living members in an order on which all nodes agree.

Each member tells its neighbours in both directions. A member that has news and goes on
until one answers thereby tells every living member, whatever is drawn at random.

:shapes: ordered by region, then by zone, then by a digest of the name, so that few
    neighbours are in different zones.
:source: hybrid dissemination over a ring and random links (Voulgaris and van Steen,
    Middleware 2007).
"""

from __future__ import annotations

import zlib
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from lavendermount_core.models.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable

RingKey = tuple[str, str, int, str]


class MemberRing:
    """Ring of the members that are not dead.

    :param table: known members.
    """

    __slots__ = ('table', 'keys', 'key_by_node')

    def __init__(self, table: MemberTable) -> None:
        """Place the members of the table, and follow its changes."""
        self.table = table
        self.keys: list[RingKey] = []
        self.key_by_node: dict[str, RingKey] = {}
        table.listeners.append(self.observe)
        table.forget_listeners.append(self.remove)
        for member in table.members.values():
            self.observe(member)

    def observe(self, member: Member) -> None:
        """Place a member that has changed; a dead one has no place."""
        key = _ring_key(member)
        is_living = member.status != MemberStatus.DEAD
        if is_living and self.key_by_node.get(member.node_id) == key:
            return
        self.remove(member.node_id)
        if is_living:
            self.key_by_node[member.node_id] = key
            insort(self.keys, key)

    def remove(self, node_id: str) -> None:
        """Remove a member, if it has a place."""
        key = self.key_by_node.pop(node_id, None)
        if key is not None:
            self.keys.pop(bisect_left(self.keys, key))

    def after(self) -> Iterator[Member]:
        """Iterate over the other members from the next one on."""
        position = self.own_position()
        return self.members_at(range(position + 1, position + len(self.keys)))

    def before(self) -> Iterator[Member]:
        """Iterate over the other members from the previous one backwards."""
        position = self.own_position()
        return self.members_at(range(position - 1, position - len(self.keys), -1))

    def own_position(self) -> int:
        """Return the position of this node."""
        return bisect_left(self.keys, _ring_key(self.table.own))

    def members_at(self, positions: Iterable[int]) -> Iterator[Member]:
        """Iterate over the members at some positions, which wrap around."""
        keys = list(self.keys)
        for position in positions:
            member = self.table.find(keys[position % len(keys)][-1])
            if member is not None:
                yield member


def _ring_key(member: Member) -> RingKey:
    digest = zlib.crc32(f'{member.node_id}/ring'.encode())
    return member.region, member.zone, digest, member.node_id
