"""Constraints that decide which targets may be chosen for a request.

A strict constraint always binds: if no target is left, the request is refused. A
preference is dropped if no target would satisfy it. Each is a function of what the
node knows, needs no network, and excludes nothing unless the preset, the state of
the cluster or the request calls for it.

:shapes: a constraint takes a ``ConstraintContext`` and returns the predicate that
    allowed members satisfy, or ``None`` if it does not apply to the request.
:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermount_core.models.members import Member
from lavendermount_core.routing.candidates import Distance
from lavendermount_core.utils.registry import Registry
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.peer.backoff import NodeBackoff
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.request_state import RequestState

# Refused attempts in other regions cost link bandwidth, so their number per
# request is limited.
MAX_OTHER_REGION_ATTEMPTS = 1
# Each attempt sends the body over the link between regions. Under overload, more
# attempts of requests that must go to another region would fill that link.
MAX_ABROAD_ATTEMPTS = 3


class ConstraintContext:
    """What the constraints know when a target is selected for a request.

    :param state: the request and its attempts.
    :param view: loads of the targets.
    :param backoff: nodes that were recently unreachable.
    :param evacuations: zones that have been evacuated.
    :param is_same_region: whether the caller of the selection excludes other regions.
    :param now: current time.
    """

    __slots__ = ('state', 'view', 'backoff', 'evacuations', 'is_same_region', 'now')

    def __init__(
        self,
        state: RequestState,
        view: LoadView,
        backoff: NodeBackoff,
        evacuations: EvacuationTable,
        is_same_region: bool,
        now: float,
    ) -> None:
        """Initialize the fields."""
        self.state = state
        self.view = view
        self.backoff = backoff
        self.evacuations = evacuations
        self.is_same_region = is_same_region
        self.now = now

    @property
    def is_abroad(self) -> bool:
        """Whether only targets of other regions may serve the request."""
        allowed_regions = self.state.request.allowed_regions
        return (
            allowed_regions is not None
            and self.view.identity.member.region not in allowed_regions
        )


class EligibleTargets:
    """Members whose target may be chosen.

    :param members: the members, ordered by node id.
    :param excluded: names of the constraints that excluded targets, each with the
        number of targets.
    """

    __slots__ = ('members', 'excluded')

    def __init__(self, members: list[Member], excluded: list[tuple[str, int]]) -> None:
        """Initialize the fields."""
        self.members = members
        self.excluded = excluded


Predicate = Callable[[Member], bool]
Constraint = Callable[[ConstraintContext], Predicate | None]
strict_constraints: Registry[str, Constraint] = Registry('strict constraint')
preferences: Registry[str, Constraint] = Registry('preference')


def apply_constraints(
    members: list[Member], context: ConstraintContext
) -> EligibleTargets:
    """Exclude the members that a constraint does not allow.

    :param members: members with a target of the service.
    :param context: the request and what the node knows.
    """
    eligible = EligibleTargets(members, [])
    for name, constraint in strict_constraints.entries.items():
        _exclude(eligible, name, constraint(context))
    for name, preference in preferences.entries.items():
        _exclude(eligible, name, preference(context), is_preference=True)
    return eligible


def _exclude(
    eligible: EligibleTargets,
    name: str,
    predicate: Predicate | None,
    is_preference: bool = False,
) -> None:
    if predicate is None:
        return
    kept = [member for member in eligible.members if predicate(member)]
    count = len(eligible.members) - len(kept)
    if not count or (is_preference and not kept):
        return
    eligible.members = kept
    eligible.excluded.append((name, count))


@strict_constraints.register('allowed-regions')
def in_allowed_region(context: ConstraintContext) -> Predicate | None:
    """Require a region that the route and the tenant of the request allow."""
    allowed_regions = context.state.request.allowed_regions
    if allowed_regions is None:
        return None
    return lambda member: member.region in allowed_regions


@strict_constraints.register('evacuated')
def in_open_zone(context: ConstraintContext) -> Predicate | None:
    """Require a zone that has not been evacuated."""
    evacuated = context.evacuations.evacuated
    if not evacuated:
        return None
    return lambda member: member.zone not in evacuated


@strict_constraints.register('tried')
def not_tried(context: ConstraintContext) -> Predicate | None:
    """Require a target that the request has not tried."""
    tried_nodes = context.state.tried_nodes
    if not tried_nodes:
        return None
    return lambda member: member.node_id not in tried_nodes


@strict_constraints.register('other-region')
def within_region_limit(context: ConstraintContext) -> Predicate | None:
    """Exclude other regions once the request has used up its attempts there.

    A request that may not be served in the own region has more of them.
    """
    limit = MAX_ABROAD_ATTEMPTS if context.is_abroad else MAX_OTHER_REGION_ATTEMPTS
    attempt_count = len(context.state.tried_nodes_in_other_regions)
    if not context.is_same_region and attempt_count < limit:
        return None
    view = context.view
    return lambda member: view.distance_to(member) != Distance.OTHER_REGION


@strict_constraints.register('accepting')
def accepting(context: ConstraintContext) -> Predicate:
    """Require a target that accepts new requests, as far as known."""
    return context.view.is_accepting


@preferences.register('unreachable')
def reachable(context: ConstraintContext) -> Predicate:
    """Prefer nodes that were not unreachable recently."""
    backoff = context.backoff
    return lambda member: not backoff.is_avoided(member.node_id)


@preferences.register('rate-limit')
def in_time(context: ConstraintContext) -> Predicate:
    """Prefer targets whose rate limit allows a reply in time."""
    request = context.state.request
    due = request.due or request.deadline
    return lambda member: context.view.is_in_time(member, context.now, due)
