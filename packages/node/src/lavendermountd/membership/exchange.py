"""Building and merging of gossip rounds.

:shapes: a round is a ``GossipRound`` message.
:units: milliseconds for ages.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from lavendermount_core.exceptions import RecordError
from lavendermount_core.log.adapter import UNKNOWN_ERA
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.presets.records import NO_REVISION
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.control.generated import control_pb2
from lavendermountd.control.messages import (
    load_message,
    load_record,
    member_message,
    member_record,
    suspicion_message,
    suspicion_record,
    zone_message,
    zone_record,
)
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.suspicion_rotation import SuspicionRotation
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.table import MemberTable
from lavendermountd.membership.updates import BUCKETS, MAX_BUCKET_MEMBERS, UpdateQueue
from lavendermountd.routing.budgets import MeasuringBudget, TokenBucket
from lavendermountd.routing.load_view import LoadView, ReportedLoad

log = logging.getLogger(__name__)

LOADS_PER_ROUND = 8
DISTANT_LOADS_PER_ROUND = 3
# Suspicions that a node which has just started gets at once.
SUSPICIONS_AT_START = 1000
REMOTE_SUSPICIONS_AT_START = 100
MAX_LOAD_AGE_S = 5.0
ESTIMATED_MEMBER_BYTES = 100
# Bucket number on the wire that marks the digest of all members; one above the
# last bucket.
COMBINED_DIGEST_BUCKET = BUCKETS


class GossipExchange:
    """Builds the gossip rounds that this node sends and merges received ones.

    :param table: known members.
    :param view: load reports of the targets.
    :param gate: gate of this node.
    :param budget: byte budget for gossip and load reports.
    :param evacuations: states of the zones, which every round carries.
    """

    def __init__(
        self,
        table: MemberTable,
        view: LoadView,
        gate: Gate,
        budget: MeasuringBudget,
        evacuations: EvacuationTable,
    ) -> None:
        """Start tracking changes of the members."""
        self.table = table
        self.view = view
        self.gate = gate
        self.budget = budget
        self.evacuations = evacuations
        self.updates = UpdateQueue(table)
        self.rotation = SuspicionRotation(gate.suspects)
        # Whether this node has not learned the suspicions of the others yet.
        self.wants_suspicions = True
        # Whether this node can tell all of them to one that starts.
        self.has_all_suspicions = False
        self.is_remote_out_of_sync = False
        # Whether traffic to other zones is kept low.
        self.is_zone_local = False
        self.revision: Callable[[], int] = _no_revision
        self.on_revision: Callable[[Member, int], None] = _ignore_revision
        # Incarnation, and the highest revision that it has told, by node.
        self.told_revisions: dict[str, tuple[int, int]] = {}
        table.forget_listeners.append(self.forget)
        self.log_era: Callable[[], int] = _no_era
        self.on_log_era: Callable[[int], None] = _ignore_era
        self.is_log_silent: Callable[[], bool] = _has_no_log
        # Called with each sender and whether the log does not answer it.
        self.on_log_state: Callable[[str, bool], None] = _ignore_log_state

    def build(self, receiver: Member | None) -> control_pb2.GossipRound:
        """Build a round.

        It always includes the entry of a receiver that this node does not consider
        alive, so that the receiver can refute it.

        :param receiver: member that the round is for, as this node knows it.
        """
        token_bucket = self.token_bucket_for(receiver)
        token_bucket.refill()
        message = self.minimal_round(receiver)
        if token_bucket.tokens <= 0:
            return message
        message.members.extend(map(member_message, self.updates.next_updates()))
        if self.is_remote(receiver):
            self.add_remote_digests(message)
            return message
        message.loads.extend(self.recent_loads())
        digests = self.updates.digests(self.updates.next_buckets())
        for number, digest in digests.items():
            message.digests.add(bucket=number, digest=digest)
        return message

    def add_remote_digests(self, message: control_pb2.GossipRound) -> None:
        """Add one digest of all members, or one per bucket if that digest differed."""
        if not self.is_remote_out_of_sync:
            digest = self.updates.combined_digest()
            message.digests.add(bucket=COMBINED_DIGEST_BUCKET, digest=digest)
            return
        digests = self.updates.digests(list(range(BUCKETS)))
        for number, digest in digests.items():
            message.digests.add(bucket=number, digest=digest)

    def minimal_round(self, receiver: Member | None) -> control_pb2.GossipRound:
        """Build a round of the mandatory parts, regardless of the budget."""
        suspicions = self.rotation.next_round()
        message = control_pb2.GossipRound(
            sender=member_message(self.table.own),
            revision=self.revision(),
            log_era=max(0, self.log_era()),
            loads=[load_message(self.gate.load(), 0)],
            suspicions=map(suspicion_message, suspicions),
            zones=map(zone_message, self.evacuations.states.values()),
            is_log_silent=self.is_log_silent(),
            wants_suspicions=self.wants_suspicions,
        )
        if receiver is not None and receiver.status != MemberStatus.ALIVE:
            message.members.append(member_message(receiver))
        return message

    def recent_loads(self) -> list[control_pb2.AgedLoad]:
        """Return the most recent load reports that this node holds.

        That of its own target may be among them. Where traffic to other zones is kept
        low, few reports come from there; some of them are always included, so that
        they spread in the zone.
        """
        now = time.monotonic()
        fresh = sorted(
            (
                reported
                for reported in self.view.loads.values()
                if now - reported.reported_at < MAX_LOAD_AGE_S
            ),
            key=lambda reported: reported.reported_at,
        )
        chosen = fresh[-LOADS_PER_ROUND:]
        if self.is_zone_local:
            distant = [reported for reported in fresh if self.is_distant(reported)]
            chosen = chosen[DISTANT_LOADS_PER_ROUND:]
            chosen.extend(distant[-DISTANT_LOADS_PER_ROUND:])
        return [
            load_message(reported.report, (now - reported.reported_at) * MS_PER_S)
            for reported in chosen
        ]

    def is_distant(self, reported: ReportedLoad) -> bool:
        """Return whether a load report is of a target in another zone."""
        member = self.table.find(reported.report.node_id)
        return member is not None and member.zone != self.table.own.zone

    def merge(self, message: control_pb2.GossipRound) -> list[Member]:
        """Merge a received round.

        :param message: round from another node.
        :raises RecordError: if the entry of the sender is malformed.
        :returns: members of the buckets whose digests differ from the sender's.
        """
        sender = member_record(message.sender)
        self.table.merge(sender)
        for entry in message.members:
            self.take_member(entry)
        for aged in message.loads:
            self.take_load(aged)
        for suspicion in message.suspicions:
            self.gate.suspects.merge(suspicion_record(suspicion))
        if message.has_all_suspicions:
            self.wants_suspicions = False
        for zone in message.zones:
            self.evacuations.merge(zone_record(zone), sender.node_id)
        self.on_log_state(sender.node_id, message.is_log_silent)
        if message.log_era > max(0, self.log_era()):
            self.on_log_era(message.log_era)
        told = (sender.incarnation, message.revision)
        known = self.told_revisions.get(sender.node_id, told)
        self.told_revisions[sender.node_id] = max(known, told)
        if message.revision > self.revision():
            self.on_revision(sender, message.revision)
        return self.differing_members(message)

    def is_informed(self, member: Member) -> bool:
        """Return whether a member has told that it has the revision of this node."""
        told = self.told_revisions.get(member.node_id)
        return told is not None and told >= (member.incarnation, self.revision())

    def forget(self, node_id: str) -> None:
        """Forget what a member has told."""
        self.told_revisions.pop(node_id, None)

    def take_member(self, entry: control_pb2.Member) -> None:
        """Merge a member of a round; log and skip a malformed one."""
        try:
            self.table.merge(member_record(entry))
        except RecordError as error:
            log.warning('member-malformed', extra={'cause': str(error)})

    def take_load(self, aged: control_pb2.AgedLoad) -> None:
        """Take a load report of a round; log and skip a malformed one."""
        try:
            report = load_record(aged)
        except RecordError as error:
            log.warning('load-report-malformed', extra={'cause': str(error)})
            return
        self.view.take_report(report, aged.age_ms)

    def differing_members(self, message: control_pb2.GossipRound) -> list[Member]:
        """List the members of buckets whose digests differ between the nodes."""
        received_digests = {entry.bucket: entry.digest for entry in message.digests}
        combined_digest = received_digests.pop(COMBINED_DIGEST_BUCKET, None)
        if combined_digest is not None:
            self.is_remote_out_of_sync = (
                combined_digest != self.updates.combined_digest()
            )
        local_digests = self.updates.digests(list(received_digests))
        members: list[Member] = []
        for bucket, digest in received_digests.items():
            if local_digests[bucket] != digest:
                members.extend(self.updates.bucket_members(bucket)[:MAX_BUCKET_MEMBERS])
        return members

    def answer(self, message: control_pb2.GossipRound) -> control_pb2.GossipRound:
        """Merge a round and build the reply to it.

        :raises RecordError: if the entry of the sender is malformed.
        """
        differing = self.merge(message)
        known = self.table.find(message.sender.node_id)
        answer = self.build(known)
        limit = self.members_within_budget(known)
        answer.members.extend(map(member_message, differing[:limit]))
        if message.wants_suspicions:
            self.add_all_suspicions(answer, known)
        return answer

    def add_all_suspicions(
        self, answer: control_pb2.GossipRound, receiver: Member | None
    ) -> None:
        """Tell a node that has just started all suspicions, up to a limit.

        A node that has not learned them itself says so, because others may know more.
        """
        is_remote = self.is_remote(receiver)
        limit = REMOTE_SUSPICIONS_AT_START if is_remote else SUSPICIONS_AT_START
        suspicions = self.rotation.describe_most(limit)
        answer.ClearField('suspicions')
        answer.suspicions.extend(map(suspicion_message, suspicions))
        answer.has_all_suspicions = self.has_all_suspicions

    def members_within_budget(self, receiver: Member | None) -> int:
        """Return the number of members that can be sent within the budget.

        When regions reconnect, they have many updates for each other: the budget
        of the link between them spreads these over several rounds.
        """
        token_bucket = self.token_bucket_for(receiver)
        token_bucket.refill()
        return max(0, int(token_bucket.tokens / ESTIMATED_MEMBER_BYTES))

    def is_remote(self, receiver: Member | None) -> bool:
        """Return whether a member is in another region."""
        return receiver is not None and receiver.region != self.table.own.region

    def token_bucket_for(self, receiver: Member | None) -> TokenBucket:
        """Return the token bucket that traffic to a member is charged to."""
        return self.budget.paid if self.is_remote(receiver) else self.budget.local


def _no_revision() -> int:
    return NO_REVISION


def _no_era() -> int:
    return UNKNOWN_ERA


def _has_no_log() -> bool:
    return False


def _ignore_log_state(node_id: str, is_silent: bool) -> None:
    """Ignore the state; replaced when the node's components are connected."""


def _ignore_era(era: int) -> None:
    """Ignore the era; replaced when the node's components are connected."""


def _ignore_revision(sender: Member, revision: int) -> None:
    """Ignore the revision; replaced when the node's components are connected."""
