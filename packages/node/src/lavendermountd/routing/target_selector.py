"""Selection of a target from the node's current view of the cluster.

:units: milliseconds in candidates.
"""

from __future__ import annotations

import random
import time
from collections import defaultdict

from lavendermount_core.models.members import Member
from lavendermount_core.routing.candidates import DecisionInputs, Distance, Tuning
from lavendermount_core.routing.policies import decide
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.backoff import NodeBackoff
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.constraints import (
    ConstraintContext,
    EligibleTargets,
    apply_constraints,
)
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.request_state import RequestState, Selection

SEED_BITS = 48
# Weight of a new reply in the moving average of reply sizes.
REPLY_SIZE_WEIGHT = 0.05
BYTES_PER_KB = 1000


class TargetSelector:
    """Selects the target of each attempt and keeps the statistics for this.

    :param table: members of the cluster.
    :param view: loads of the targets.
    :param link_bucket: budget in bytes for requests and replies between
        regions.
    :param backoff: nodes that were recently unreachable.
    :param evacuations: zones that have been evacuated.
    """

    __slots__ = (
        'table',
        'view',
        'link_bucket',
        'backoff',
        'evacuations',
        'excluded_counts',
        'seed_generator',
        'decision_counts',
        'mean_reply_kb',
    )

    def __init__(
        self,
        table: MemberTable,
        view: LoadView,
        link_bucket: TokenBucket,
        backoff: NodeBackoff,
        evacuations: EvacuationTable,
    ) -> None:
        """Seed the random number generator from the operating system."""
        self.table = table
        self.view = view
        self.link_bucket = link_bucket
        self.backoff = backoff
        self.evacuations = evacuations
        # Targets that each constraint has excluded, over all selections.
        self.excluded_counts: dict[str, int] = defaultdict(int)
        self.seed_generator = random.Random()
        self.decision_counts: dict[str, int] = defaultdict(int)
        self.mean_reply_kb: dict[str, float] = defaultdict(float)

    def select(self, state: RequestState, is_same_region: bool = False) -> Selection:
        """Select a target for the next attempt.

        :param state: the request; the targets that it tried are excluded.
        :param is_same_region: whether to exclude other regions.
        :returns: the decision with its inputs.
        """
        service = state.request.call_class.service
        context = self.context_of(state, is_same_region)
        eligible = apply_constraints(self.table.members_of(service), context)
        candidates = [
            self.view.candidate(member, context.now) for member in eligible.members
        ]
        self.decision_counts[service] += 1
        inputs = DecisionInputs(
            state.preset.schema.choosing.policy,
            _tuning_for(state, context.now),
            self.seed_generator.getrandbits(SEED_BITS),
            self.decision_counts[service],
            self.is_link_allowed(state),
            candidates,
            round(self.mean_reply_kb[state.class_key], 1),
            context.is_abroad,
        )
        decision = decide(inputs)
        for name, count in eligible.excluded:
            self.excluded_counts[name] += count
        member = self.table.find(decision.chosen)
        return Selection(inputs, decision, member, eligible.excluded)

    def eligible_targets(
        self, state: RequestState, is_same_region: bool = False
    ) -> EligibleTargets:
        """Return the members whose target may be chosen, ordered by node id.

        :param state: the request.
        :param is_same_region: whether to exclude other regions.
        """
        members = self.table.members_of(state.request.call_class.service)
        return apply_constraints(members, self.context_of(state, is_same_region))

    def context_of(
        self, state: RequestState, is_same_region: bool = False
    ) -> ConstraintContext:
        """Collect what the constraints know about a request and the cluster."""
        return ConstraintContext(
            state,
            self.view,
            self.backoff,
            self.evacuations,
            is_same_region,
            time.monotonic(),
        )

    def record_reply_size(self, state: RequestState, size: int) -> None:
        """Update the average reply size of the request's class.

        :param state: the request.
        :param size: size of the reply in bytes.
        """
        average = self.mean_reply_kb[state.class_key]
        weight = REPLY_SIZE_WEIGHT if average else 1
        self.mean_reply_kb[state.class_key] += weight * (size / BYTES_PER_KB - average)

    def record_attempt(self, state: RequestState, member: Member) -> None:
        """Record that a target is being tried for a request."""
        state.tried_nodes.add(member.node_id)
        if self.is_in_other_region(member):
            state.tried_nodes_in_other_regions.add(member.node_id)

    def is_in_other_region(self, member: Member) -> bool:
        """Return whether a target is in another region."""
        return self.view.distance_to(member) == Distance.OTHER_REGION

    def charge_link(self, member: Member, size: int) -> None:
        """Charge a request or reply to the budget if it crossed regions.

        :param member: node at the other end.
        :param size: bytes.
        """
        if self.is_in_other_region(member):
            self.link_bucket.refill()
            self.link_bucket.tokens -= size
            self.link_bucket.spent += size

    def is_link_allowed(self, state: RequestState) -> bool:
        """Return whether the budget between regions covers the request's body."""
        self.link_bucket.refill()
        return self.link_bucket.tokens > len(state.request.body)


def _tuning_for(state: RequestState, now: float) -> Tuning:
    """Return the policy parameters, with the cost of leaving the zone if it has one.

    Time that is left is of no use to the caller, so the less of it there is, the less
    must be saved.
    """
    ratio = state.preset.schema.choosing.zone_cost_ratio
    if not ratio:
        return state.preset.tuning
    left_s = max(0, (state.request.due or state.request.deadline) - now)
    return state.preset.tuning.with_zone_cost(round(ratio * left_s * MS_PER_S, 1))
