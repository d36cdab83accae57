"""Timeouts of suspected members, which may refute before they count as dead.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import logging
import time

from lavendermount_core.models.members import Member, MemberStatus
from lavendermountd.membership.table import MemberTable

log = logging.getLogger(__name__)

# Dead members stay in the table for this multiple of ``suspicion_s``.
DEAD_RETENTION_FACTOR = 100


class SuspicionTimers:
    """Timers after which suspected members are declared dead and dead ones removed.

    :param table: known members.
    :param suspicion_s: time that a suspected member has to refute.
    """

    __slots__ = ('table', 'suspicion_s', 'suspected_since', 'dead_since')

    def __init__(self, table: MemberTable, suspicion_s: float) -> None:
        """Listen to the table, so that suspicions of other nodes expire too."""
        self.table = table
        self.suspicion_s = suspicion_s
        self.suspected_since: dict[str, float] = {}
        self.dead_since: dict[str, float] = {}
        table.listeners.append(self.observe)

    def observe(self, member: Member) -> None:
        """Start or stop the timers of a member that changed."""
        if member.status == MemberStatus.SUSPECT:
            self.suspected_since.setdefault(member.node_id, time.monotonic())
        else:
            self.suspected_since.pop(member.node_id, None)
        if member.status == MemberStatus.DEAD:
            self.dead_since.setdefault(member.node_id, time.monotonic())
        else:
            self.dead_since.pop(member.node_id, None)

    def suspect(self, member: Member) -> None:
        """Suspect a member that could not be reached.

        A member that announced its departure is declared dead at once. Nothing
        happens if the entry has changed since the member was probed, for instance
        because it refuted an earlier suspicion.
        """
        known = self.table.find(member.node_id)
        if known is None or known.rank != member.rank:
            return
        if known.status == MemberStatus.LEAVING:
            self.mark_dead(known)
        if known.status != MemberStatus.ALIVE:
            return
        log.info('member-suspected', extra={'member': known.node_id})
        self.table.merge(known.with_status(MemberStatus.SUSPECT))

    def mark_dead(self, member: Member) -> None:
        """Declare a member dead."""
        log.warning('member-dead', extra={'member': member.node_id})
        self.table.merge(member.with_status(MemberStatus.DEAD))

    def expire(self) -> None:
        """Declare members dead whose time is up, and forget those long dead."""
        now = time.monotonic()
        for node_id in _older_than(self.suspected_since, now - self.suspicion_s):
            member = self.table.find(node_id)
            if member is not None:
                self.mark_dead(member)
        for node_id in _older_than(
            self.dead_since, now - self.suspicion_s * DEAD_RETENTION_FACTOR
        ):
            self.dead_since.pop(node_id)
            self.table.forget(node_id)

    def restart(self) -> None:
        """Restart the timers of all suspected members.

        After a freeze of this node, time that has passed on its own timers is no
        evidence against other members.
        """
        now = time.monotonic()
        self.suspected_since = dict.fromkeys(self.suspected_since, now)


def _older_than(times: dict[str, float], limit: float) -> list[str]:
    return [node_id for node_id, since in times.items() if since < limit]
