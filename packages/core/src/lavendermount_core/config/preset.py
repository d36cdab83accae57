"""Schema of presets, which define how traffic is routed and limited.

:shapes: ``PresetSchema`` describes the whole TOML file.
:errors: ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

from functools import lru_cache

from lavendermount_core.config import options as opt
from lavendermount_core.config.findings import Finding
from lavendermount_core.config.loader import load_text
from lavendermount_core.config.text_rules import (
    CONTROL_CHARACTER_MESSAGE,
    HEALTH_PATH_MESSAGE,
    has_control_character,
    is_health_path,
)
from lavendermount_core.routing.policies import policy_names
from lavendermount_core.utils.units import (
    DEFAULT_MAX_BODY_BYTES,
    MAX_BODY_BYTES,
    MAX_TIME_LIMIT_MS,
)

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')
FIRST_MATCH = 'first-match'
LONGEST_PREFIX = 'longest-prefix'
BY_METHOD = 'by-method'
ALWAYS = 'always'
NEVER = 'never'
ALONE = 'alone'
FREE = 'free'
PRIORITY_ORDER = 'priority'
COST_ORDER = 'cost'
MAX_SPLIT_WEIGHT = 10**15


def _matching_modes() -> list[str]:
    return [FIRST_MATCH, LONGEST_PREFIX]


def _repeat_modes() -> list[str]:
    return [BY_METHOD, ALWAYS, NEVER]


def _isolation_modes() -> list[str]:
    return [ALONE, FREE]


def _queue_orders() -> list[str]:
    return [PRIORITY_ORDER, COST_ORDER]


class ClassOptions(opt.Schema):
    """Request class with its own priority, reserved slots, queue and deadline."""

    name = opt.Text(about='Name by which routes refer to the class.')
    priority = opt.Integer(
        0, 'Priority in the queue; lower values are served first.', high=9
    )
    reserved_slots = opt.Integer(
        0,
        'Slots of each target that are reserved for this class.',
        'slots',
        high=1000,
    )
    queue_limit = opt.Integer(
        12,
        'Maximum number of requests of the class that wait at one gate.',
        'requests',
        high=10000,
    )
    deadline_ms = opt.Integer(
        2000,
        'Deadline of requests for which the caller specifies none.',
        'ms',
        low=1,
        high=MAX_TIME_LIMIT_MS,
    )


class SplitOptions(opt.Schema):
    """One of the services that share the requests of a route."""

    service = opt.Text(about='Service that handles this share of the requests.')
    weight = opt.Number(
        1,
        'Weight relative to the other services of the split.',
        high=MAX_SPLIT_WEIGHT,
    )


class RouteOptions(opt.Schema):
    """Rule that assigns a service, class and tenant to matching requests."""

    service = opt.Text(
        '', 'Service that handles the requests; empty if a split is configured.'
    )
    split = opt.TableList(
        SplitOptions, 'Services among which the requests are split by weight.'
    )
    host = opt.Text('', 'Host header without the port; empty matches any host.')
    path = opt.Text('/', 'Prefix that the path must have.')
    methods = opt.TextList([], 'HTTP methods that match; empty matches any method.')
    class_ = opt.Text(about='Class of the request.')
    tenant = opt.Text('default', 'Tenant of requests without the tenant header.')
    tenant_header = opt.Text('', 'Header that contains the name of the tenant.')
    deadline_ms = opt.Integer(
        0,
        'Deadline of requests if the caller sets none; 0 uses that of the class.',
        'ms',
        high=MAX_TIME_LIMIT_MS,
    )
    repeatable = opt.TextList(
        list(SAFE_METHODS),
        'HTTP methods that are idempotent on this route.',
    )
    repeat = opt.Text(
        BY_METHOD,
        'Which requests are idempotent: by method, always, or never.',
        _repeat_modes,
    )
    timeout_ms = opt.Integer(
        0,
        'Upper limit of the deadline, even if the caller allows more; 0 for none.',
        'ms',
        high=MAX_TIME_LIMIT_MS,
    )
    target_ms = opt.Integer(
        0,
        'Preferred response time; 0 uses the deadline.',
        'ms',
        high=MAX_TIME_LIMIT_MS,
    )
    attempts = opt.Integer(
        0,
        'Maximum number of targets tried per request; 0 uses retry.attempts.',
        'targets',
        high=100,
    )
    allowed_regions = opt.TextList(
        [], 'Regions whose targets may serve the requests; empty allows all regions.'
    )
    public = opt.Flag('Whether requests need no key, although the preset has tenants.')
    closed = opt.Flag('Whether all requests are refused as not run; needs no service.')


class TenantOptions(opt.Schema):
    """Customer, its keys and what it may use."""

    name = opt.Text(about='Name that targets and metrics get.')
    keys = opt.SecretList([], 'Keys that identify its requests.')
    priority = opt.Integer(
        0,
        'Priority of its requests, instead of that of their class; lower values are '
        'served first.',
        high=9,
    )
    rate_per_s = opt.Number(
        0,
        'Requests a second that all nodes together accept; 0 for no limit.',
        'requests/s',
        high=10**6,
    )
    burst = opt.Number(
        0,
        'Requests that may follow each other at once, in addition to the rate.',
        'requests',
        high=10**6,
    )
    allowed_regions = opt.TextList(
        [], 'Regions whose targets may serve the requests; empty allows all regions.'
    )


class OverloadOptions(opt.Schema):
    """What waits or is refused when a target has too little room."""

    order = opt.Text(
        PRIORITY_ORDER,
        'Order of the queue: by priority and deadline, or by the cost of delay.',
        _queue_orders,
    )


class ChoosingOptions(opt.Schema):
    """Selection of the target for a request."""

    policy = opt.Text(
        'expected-time', 'Name of the load balancing policy.', policy_names
    )
    sample = opt.Integer(
        3,
        'Number of targets of the own region, chosen at random, that are compared for '
        'each request; fewer of other regions may be added.',
        'targets',
        low=1,
        high=16,
    )
    stale_ms = opt.Integer(
        1000,
        'Age at which the weight of a load report has decayed to 1/e.',
        'ms',
        low=1,
        high=60000,
    )
    ramp_ms = opt.Integer(
        5000,
        'Time over which a new target ramps up to its full share of requests.',
        'ms',
        high=600000,
    )
    zone_ms = opt.Number(1, 'One-way delay between zones.', 'ms', high=1000)
    region_ms = opt.Number(20, 'One-way delay between regions.', 'ms', high=1000)
    link_bytes_s = opt.Integer(
        400000,
        'Bandwidth that one node may use for requests and replies across regions.',
        'B/s',
        high=10**10,
    )
    failure_ms = opt.Number(
        1000,
        'Time penalty of a failed reply.',
        'ms',
        high=60000,
    )
    slow_ms = opt.Number(
        0,
        'Expected delay of a request on a VM that is temporarily slow.',
        'ms',
        high=60000,
    )
    zone_kb_ms = opt.Number(
        0,
        'Time penalty for each kilobyte of a reply between zones.',
        'ms/kB',
        high=1000,
    )
    region_kb_ms = opt.Number(
        0,
        'Time penalty for each kilobyte of a reply between regions.',
        'ms/kB',
        high=1000,
    )
    zone_cost_ratio = opt.Number(
        0,
        'Share of the time left until a reply is due that must be saved for a request '
        'to leave its availability zone; if set, targets of the own zone are compared '
        'first, and gossip stays in the zone.',
        'share',
        high=1,
    )
    probe_ms = opt.Integer(
        0,
        'Age of a load report after which the node probes its target; 0 for never.',
        'ms',
        high=60000,
    )
    # After a longer wait, another target saves more time than the extra hop costs.
    patience_ms = opt.Integer(
        100,
        'Maximum wait at one gate if another target could take the request; '
        '0 for no limit.',
        'ms',
        high=60000,
    )


class RetryOptions(opt.Schema):
    """Retry limits."""

    share = opt.Number(
        0.1, 'Retries added to the retry budget by each request.', 'share', high=1
    )
    burst = opt.Integer(
        10,
        'Maximum number of retries in the budget, in addition to one and to the part '
        'of shared_burst.',
        'retries',
        high=1000,
    )
    attempts = opt.Integer(
        3, 'Maximum number of attempts per request that reach a target.', low=1, high=10
    )
    redirect_share = opt.Number(
        0,
        'Further gates that each request may be sent to after one has refused it, on '
        'average; 0 for no limit besides attempts.',
        'share',
        high=10,
    )
    shared_per_s = opt.Number(
        0,
        'Additional retries per second, divided equally among all nodes; none for a '
        'node that knows no other.',
        'retries/s',
        high=10**6,
    )
    shared_burst = opt.Number(
        0,
        'Additional size of the budget, divided equally among all nodes; none for a '
        'node that knows no other.',
        'retries',
        high=10**6,
    )


class HedgeOptions(opt.Schema):
    """Hedging of idempotent requests: when a second copy is sent."""

    share = opt.Number(
        0.05, 'Hedges added to the hedge budget by each request.', 'share', high=1
    )
    burst = opt.Integer(
        5, 'Maximum number of hedges in the budget.', 'hedges', high=1000
    )
    quantile = opt.Number(
        0.95,
        'Latency quantile after which a hedge is sent.',
        'quantile',
        high=1,
    )
    floor_ms = opt.Number(5, 'Minimum wait before a hedge is sent.', 'ms', high=60000)
    margin_ms = opt.Number(
        0,
        'Safety margin for routes with target_ms: a hedge is sent so that its reply, '
        'at the median response time, arrives this long before target_ms; 0 uses '
        'the quantile.',
        'ms',
        high=60000,
    )


class BudgetOptions(opt.Schema):
    """Bandwidth that a node may use for measuring members and targets."""

    local_bytes_s = opt.Integer(
        6000,
        'Bandwidth within the region.',
        'B/s',
        high=10**9,
    )
    paid_bytes_s = opt.Integer(
        500,
        'Bandwidth across regions.',
        'B/s',
        high=10**9,
    )
    burst_s = opt.Number(
        10, 'Unused budget that may accumulate, in seconds.', 's', high=600
    )


class SuspectOptions(opt.Schema):
    """Handling of requests that were in flight when a target crashed."""

    isolation = opt.Text(
        ALONE,
        'How a request runs after a target crashed with it in flight: alone, or '
        'without isolation.',
        _isolation_modes,
    )
    victims = opt.Integer(
        2,
        'Number of crashed targets after which a request is refused.',
        'targets',
        low=1,
        high=100,
    )


class ServiceOptions(opt.Schema):
    """Settings of a service."""

    name = opt.Text(about='Name by which routes refer to the service.')
    health_path = opt.Text('', 'Path of the health check; empty for none.')
    connections = opt.Integer(
        0,
        'Maximum number of connections to one target; 0 uses limits.connections.',
        'connections',
        high=100000,
    )
    warmup_ms = opt.Integer(
        0,
        'Time for which a target that has just started is cold, unless it says '
        'otherwise; 0 if targets are never cold.',
        'ms',
        high=MAX_TIME_LIMIT_MS,
    )
    cold_per_s = opt.Number(
        0,
        'Requests a second that a cold target may get; 0 for no limit.',
        'requests/s',
        high=10**6,
    )

    def check_consistency(self, location: str) -> list[Finding]:
        """Check that the path can be sent in a request."""
        if is_health_path(self.health_path):
            return []
        return [Finding(f'{location}.health_path', HEALTH_PATH_MESSAGE)]


class LimitOptions(opt.Schema):
    """Limits that protect the node and its target."""

    header_bytes = opt.Integer(
        65536,
        'Maximum size of the request line and headers.',
        'bytes',
        low=1,
        high=1024**2,
    )
    header_ms = opt.Integer(
        60000,
        'Timeout for receiving the request line and headers.',
        'ms',
        low=1,
        high=MAX_TIME_LIMIT_MS,
    )
    idle_ms = opt.Integer(
        300000,
        'Time after which an idle connection of a caller is closed.',
        'ms',
        low=1,
        high=MAX_TIME_LIMIT_MS,
    )

    body_bytes = opt.Integer(
        16 * 1024 * 1024,
        'Maximum size of the body of a request.',
        'bytes',
        high=MAX_BODY_BYTES,
    )
    reply_bytes = opt.Integer(
        DEFAULT_MAX_BODY_BYTES,
        'Maximum size of the body of a reply of a target.',
        'bytes',
        low=1024,
        high=MAX_BODY_BYTES,
    )
    connections = opt.Integer(
        200,
        'Maximum number of connections to one target.',
        'connections',
        low=1,
        high=10000,
    )
    silent_ms = opt.Integer(
        300,
        'Time without data after which a connection in use is closed if it seems '
        'broken; longer for slow targets.',
        'ms',
        low=10,
        high=60000,
    )


class PresetSchema(opt.Schema):
    """A preset."""

    name = opt.Text(about='Name of the preset.')
    about = opt.Text('', 'Short description for operators.')
    routeless = opt.Flag('Whether the preset may have no route, and so match nothing.')
    matching = opt.Text(
        FIRST_MATCH,
        'Which route is used if several match.',
        _matching_modes,
    )
    class_ = opt.TableList(ClassOptions, 'Request classes.')
    service = opt.TableList(ServiceOptions, 'Settings of services; optional.')
    route = opt.TableList(RouteOptions, 'Routing rules.')
    tenant = opt.TableList(TenantOptions, 'Customers and their keys; optional.')
    overload = opt.Table(OverloadOptions, 'Handling of too little room.')
    choosing = opt.Table(ChoosingOptions, 'Selection of targets.')
    retry = opt.Table(RetryOptions, 'Retry limits.')
    hedge = opt.Table(HedgeOptions, 'Hedging of idempotent requests.')
    budget = opt.Table(BudgetOptions, 'Bandwidth for measuring members and targets.')
    suspects = opt.Table(SuspectOptions, 'Handling of requests that crash targets.')
    limits = opt.Table(LimitOptions, 'Limits that protect the node and its target.')

    def check_consistency(self, location: str) -> list[Finding]:
        """Check classes and routes.

        Class and tenant names must be unique, every route needs a defined class
        and a service unless it is closed, there must be at least one route unless the
        preset may have none, and a key identifies one tenant.
        """
        names = [entry.name for entry in self.class_]
        findings = _repeated_names(names, f'{location}class')
        findings.extend(self.check_routes(set(names), f'{location}route'))
        findings.extend(self.check_tenants(location))
        if not self.route and not self.routeless:
            findings.append(
                Finding(f'{location}route', 'at least one route is required'),
            )
        return findings

    def check_routes(self, names: set[str], location: str) -> list[Finding]:
        """Check that each route has a class, and a service unless it is closed."""
        unknown_classes = []
        missing_services = []
        for index, route in enumerate(self.route):
            # Thousands of routes are checked in one step, hence without descriptors.
            checked = route.checked
            if checked['class_'] not in names:
                message = f'class {route.class_!r} is not defined'
                unknown_classes.append(Finding(f'{location}[{index}].class', message))
            has_service = checked['service'] or any(part.weight for part in route.split)
            if not has_service and not checked['closed']:
                message = 'is required unless a split has a weight above 0'
                missing_services.append(
                    Finding(f'{location}[{index}].service', message)
                )
        return unknown_classes + missing_services

    def check_tenants(self, location: str) -> list[Finding]:
        """Check that names are unique and that a key identifies one tenant.

        Targets get the names in a header, so they must not contain control characters.
        The findings do not contain keys.
        """
        names = [tenant.name for tenant in self.tenant]
        findings = _repeated_names(names, f'{location}tenant')
        findings.extend(
            Finding(f'{location}tenant[{index}].name', CONTROL_CHARACTER_MESSAGE)
            for index, name in enumerate(names)
            if has_control_character(name)
        )
        return findings + self.check_keys(location)

    def check_keys(self, location: str) -> list[Finding]:
        """Check that each key identifies one tenant."""
        findings = []
        holders: dict[str, str] = {'': 'nobody, because it is empty'}
        for index, tenant in enumerate(self.tenant):
            for number, key in enumerate(tenant.keys):
                holder = holders.setdefault(key, tenant.name)
                if holder != tenant.name:
                    where = f'{location}tenant[{index}].keys[{number}]'
                    findings.append(Finding(where, f'is a key of {holder}'))
        return findings


def _repeated_names(names: list[str], place: str) -> list[Finding]:
    return [
        Finding(f'{place}[{index}].name', f'{name!r} is used more than once')
        for index, name in enumerate(names)
        if name in names[:index]
    ]


@lru_cache(maxsize=1)
def parse_preset(text: str, source: str) -> PresetSchema:
    """Parse and validate a preset.

    The latest result is kept: a preset that was checked is then put in force.

    :param text: TOML, or a JSON object.
    :param source: name used in findings.
    :raises ConfigurationError: with all findings.
    :returns: the preset.
    """
    return load_text(PresetSchema, text, source)
