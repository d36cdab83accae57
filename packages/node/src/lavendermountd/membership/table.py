"""All known members, indexed by node and by service.

:shapes: one ``Member`` per node; lists are ordered by node id.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermount_core.models.members import Member, MemberStatus

Listener = Callable[[Member], None]


class MemberTable:
    """Members as this node knows them.

    :param own: entry of this node.
    """

    __slots__ = (
        'own',
        'members',
        'by_service',
        'listeners',
        'forget_listeners',
    )

    def __init__(self, own: Member) -> None:
        """Start with only the own entry."""
        self.own = own
        self.members: dict[str, Member] = {}
        self.by_service: dict[str, list[Member]] = {}
        self.listeners: list[Listener] = []
        self.forget_listeners: list[Callable[[str], None]] = []
        self.store(own)

    def find(self, node_id: str) -> Member | None:
        """Find a member by its node id."""
        return self.members.get(node_id)

    def members_of(self, service: str) -> list[Member]:
        """List the members with a target of a service, except dead ones."""
        return self.by_service.get(service, [])

    def living(self) -> list[Member]:
        """List all members that are not dead, except this node."""
        return [
            member
            for member in self.members.values()
            if member.status != MemberStatus.DEAD and member.node_id != self.own.node_id
        ]

    def merge(self, member: Member) -> bool:
        """Merge what another node reports about a member.

        Reports about this node are not adopted: if they are wrong, the node
        refutes them with a newer version of its own entry.

        :param member: the member as another node knows it.
        :returns: whether the table changed.
        """
        if member.node_id == self.own.node_id:
            return self.refute(member)
        known = self.members.get(member.node_id)
        if known is not None and not member.supersedes(known):
            return False
        self.store(member)
        return True

    def refute(self, report: Member) -> bool:
        """Refute what others report about this node, if it is wrong.

        An incarnation above the own one is that of a former process whose
        clock was ahead; this process takes the one after it.
        """
        own = self.own
        if report.incarnation > own.incarnation:
            own.incarnation = report.incarnation + 1
            self.store(own)
            return True
        if report.incarnation != own.incarnation or not report.supersedes(own):
            return False
        own.version = report.version + 1
        self.store(own)
        return True

    def change_own(self, service: str, status: MemberStatus) -> None:
        """Change the own entry and increment its version."""
        own = self.own
        self.remove_from_service(own)
        own.service = service
        own.status = int(status)
        own.version += 1
        self.store(own)

    def store(self, member: Member) -> None:
        """Store a member and notify the listeners."""
        known = self.members.get(member.node_id)
        if known is not None:
            self.remove_from_service(known)
        self.members[member.node_id] = member
        if member.service and member.status != MemberStatus.DEAD:
            self.add_to_service(member)
        for listener in self.listeners:
            listener(member)

    def add_to_service(self, member: Member) -> None:
        """Add a member to the index of its service."""
        listed = self.by_service.setdefault(member.service, [])
        listed.append(member)
        listed.sort(key=_node_id)

    def remove_from_service(self, member: Member) -> None:
        """Remove a member from the index of its service."""
        listed = self.by_service.get(member.service, [])
        remaining = [entry for entry in listed if entry.node_id != member.node_id]
        self.by_service[member.service] = remaining

    def forget(self, node_id: str) -> None:
        """Remove a member that has been dead for long, and notify the listeners."""
        known = self.members.pop(node_id, None)
        if known is None:
            return
        self.remove_from_service(known)
        for listener in self.forget_listeners:
            listener(node_id)


def _node_id(member: Member) -> str:
    return member.node_id
