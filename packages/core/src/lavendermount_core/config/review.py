"""Reviews a valid preset for entries and limits that can have no effect.

:shapes: a reviewer yields a key path, what is wrong there and what is expected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from lavendermount_core.config.findings import (
    SEVERITY_ERROR,
    SEVERITY_WARNING,
    Finding,
    ReviewFinding,
)
from lavendermount_core.config.preset import (
    LONGEST_PREFIX,
    PresetSchema,
    RouteOptions,
)
from lavendermount_core.utils.registry import Registry

Warnings = Iterator[tuple[str, str, str]]
Reviewer = Callable[[PresetSchema], Warnings]
reviewers: Registry[str, Reviewer] = Registry('reviewer')

# Findings about many tenants name this many of them.
NAMED_TENANTS = 5


def review_preset(schema: PresetSchema, source: str) -> list[ReviewFinding]:
    """Run all reviewers on a valid preset.

    :param schema: the preset.
    :param source: name used in findings.
    :returns: the warnings; none contains a key of a tenant.
    """
    return [
        ReviewFinding(SEVERITY_WARNING, f'{source}: {place}', message, expected)
        for name in reviewers.names()
        for place, message, expected in reviewers.find(name)(schema)
    ]


def as_errors(findings: Iterable[Finding]) -> list[ReviewFinding]:
    """Convert validation errors; their messages say what is expected."""
    return [
        ReviewFinding(SEVERITY_ERROR, finding.location, finding.message)
        for finding in findings
    ]


@reviewers.register('covered-route')
def find_covered_routes(schema: PresetSchema) -> Warnings:
    """Find routes all of whose requests are matched by routes before them."""
    is_before = _is_before if schema.matching == LONGEST_PREFIX else _is_wider
    for index, route in enumerate(schema.route):
        wider = {
            number: earlier
            for number, earlier in enumerate(schema.route[:index])
            if is_before(earlier, route)
        }
        # A route without methods is covered only by another one without.
        covering = [
            {
                number
                for number, earlier in wider.items()
                if _has_method(earlier, method)
            }
            for method in route.methods or ['']
        ]
        if all(covering):
            firsts = sorted({min(numbers) for numbers in covering})
            names = ', '.join(f'route[{number}]' for number in firsts)
            yield (
                f'route[{index}]',
                f'never matches: all of its requests match {names}',
                'a narrower route before it, or another order',
            )


@reviewers.register('unmatchable-route')
def find_unmatchable_routes(schema: PresetSchema) -> Warnings:
    """Find hosts and paths that no request can have."""
    for index, route in enumerate(schema.route):
        if ':' in route.host:
            yield f'route[{index}].host', 'never matches', 'a host without a port'
        if '?' in route.path:
            yield f'route[{index}].path', 'never matches', 'a path without a query'


@reviewers.register('unused-class')
def find_unused_classes(schema: PresetSchema) -> Warnings:
    """Find classes without a route."""
    used = {route.class_ for route in schema.route}
    for index, entry in enumerate(schema.class_):
        if entry.name not in used:
            yield f'class[{index}]', f'no route has class {entry.name!r}', 'a route'


@reviewers.register('unused-service')
def find_unused_services(schema: PresetSchema) -> Warnings:
    """Find service entries that no route and no split names."""
    used = {route.service for route in schema.route}
    used.update(part.service for route in schema.route for part in route.split)
    for index, entry in enumerate(schema.service):
        if entry.name not in used:
            yield f'service[{index}]', f'no route names {entry.name!r}', 'a route'


@reviewers.register('tenant-without-keys')
def find_tenants_without_keys(schema: PresetSchema) -> Warnings:
    """Find tenants without keys while others have keys."""
    if not any(tenant.keys for tenant in schema.tenant):
        return
    for index, tenant in enumerate(schema.tenant):
        if not tenant.keys:
            message = f'no request can belong to tenant {tenant.name!r}'
            yield f'tenant[{index}].keys', message, 'a key, as other tenants have'


@reviewers.register('public-without-tenants')
def find_needless_public(schema: PresetSchema) -> Warnings:
    """Find public routes of presets without tenants."""
    if schema.tenant:
        return
    for index, route in enumerate(schema.route):
        if route.public:
            message = 'has no effect, because the preset has no tenants'
            yield f'route[{index}].public', message, 'a tenant, or false'


@reviewers.register('timeout-below-target')
def find_timeouts_below_target(schema: PresetSchema) -> Warnings:
    """Find routes whose timeout ends before their preferred response time."""
    for index, route in enumerate(schema.route):
        if 0 < route.timeout_ms < route.target_ms:
            message = f'{route.timeout_ms} ms ends before target_ms'
            expected = f'at least {route.target_ms} ms'
            yield f'route[{index}].timeout_ms', message, expected


@reviewers.register('deadline-above-timeout')
def find_deadlines_above_timeout(schema: PresetSchema) -> Warnings:
    """Find default deadlines that the timeout of a route always replaces."""
    deadlines = {entry.name: entry.deadline_ms for entry in schema.class_}
    for index, route in enumerate(schema.route):
        deadline_ms = route.deadline_ms or deadlines[route.class_]
        owner = 'the route' if route.deadline_ms else f'class {route.class_!r}'
        if 0 < route.timeout_ms < deadline_ms:
            yield (
                f'route[{index}].timeout_ms',
                f'the deadline of {owner}, {deadline_ms} ms, never applies',
                f'a deadline of at most {route.timeout_ms} ms',
            )


@reviewers.register('reserved-slots')
def find_excess_reservations(schema: PresetSchema) -> Warnings:
    """Find reservations above the number of connections to one target.

    The preset does not hold the slots of targets; connections bound them.
    """
    reserved = sum(entry.reserved_slots for entry in schema.class_)
    limits = {'limits.connections': schema.limits.connections}
    for index, service in enumerate(schema.service):
        if service.connections:
            limits[f'service[{index}].connections'] = service.connections
    for place, limit in limits.items():
        if reserved > limit:
            message = f'classes reserve {reserved} slots of each target, of {limit}'
            yield place, message, f'at most {limit} reserved slots'


@reviewers.register('burst-below-one')
def find_small_bursts(schema: PresetSchema) -> Warnings:
    """Find rates whose burst holds no whole request."""
    for index, tenant in enumerate(schema.tenant):
        if tenant.rate_per_s and tenant.burst < 1:
            message = f'{tenant.burst:g} holds no whole request'
            yield f'tenant[{index}].burst', message, 'at least 1 with a rate'
    if schema.hedge.share and schema.hedge.burst < 1:
        yield 'hedge.burst', 'no hedge is ever sent', 'at least 1 with a share'


@reviewers.register('burst-without-rate')
def find_bursts_without_rate(schema: PresetSchema) -> Warnings:
    """Find tenants that have a burst but no limit."""
    for index, tenant in enumerate(schema.tenant):
        if tenant.burst and not tenant.rate_per_s:
            message = 'has no effect, because rate_per_s is 0 (no limit)'
            yield f'tenant[{index}].burst', message, 'a rate, or no burst'


@reviewers.register('attempts-above-retry')
def find_excess_attempts(schema: PresetSchema) -> Warnings:
    """Find routes that try more targets than the general limit."""
    limit = schema.retry.attempts
    for index, route in enumerate(schema.route):
        if route.attempts > limit:
            message = f'{route.attempts} overrides retry.attempts, which is {limit}'
            yield f'route[{index}].attempts', message, f'at most {limit}'


@reviewers.register('disjoint-regions')
def find_disjoint_regions(schema: PresetSchema) -> Warnings:
    """Find routes that no region may serve for some tenants."""
    for index, route in enumerate(schema.route):
        names = [
            tenant.name
            for tenant in schema.tenant
            if route.allowed_regions
            and tenant.allowed_regions
            and set(route.allowed_regions).isdisjoint(tenant.allowed_regions)
        ]
        if names:
            message = f'no region is left for tenants {_join_names(names)}'
            yield f'route[{index}].allowed_regions', message, 'a region in common'


@reviewers.register('cold-without-warmup')
def find_cold_without_warmup(schema: PresetSchema) -> Warnings:
    """Find limits for cold targets of services whose targets are never cold."""
    for index, service in enumerate(schema.service):
        if service.cold_per_s and not service.warmup_ms:
            message = 'applies only to targets that say they are cold'
            yield f'service[{index}].cold_per_s', message, 'warmup_ms above 0'


def _is_wider(first: RouteOptions, second: RouteOptions) -> bool:
    is_same_host = first.host.lower() in {'', second.host.lower()}
    return is_same_host and second.path.startswith(first.path)


def _is_before(first: RouteOptions, second: RouteOptions) -> bool:
    # With the longest prefix, only the order of equal prefixes of a host counts.
    is_same_host = first.host.lower() == second.host.lower()
    return is_same_host and first.path == second.path


def _has_method(route: RouteOptions, method: str) -> bool:
    return not route.methods or method in route.methods


def _join_names(names: list[str]) -> str:
    listed = ', '.join(names[:NAMED_TENANTS])
    rest = len(names) - NAMED_TENANTS
    return f'{listed} and {rest} more' if rest > 0 else listed
