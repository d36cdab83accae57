"""The preset: everything that operators decide about traffic.

:shapes: ``PresetSchema`` is the whole TOML file.
:errors: ``ConfigurationError`` with every finding.
"""

from __future__ import annotations

from lavendermount_core.config import options as opt
from lavendermount_core.config.findings import Finding
from lavendermount_core.config.loader import load_text
from lavendermount_core.routing.policies import policy_names

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')
FIRST_MATCH = 'first-match'
LONGEST_PREFIX = 'longest-prefix'
BY_METHOD = 'by-method'
ALWAYS = 'always'
NEVER = 'never'
ALONE = 'alone'
FREE = 'free'


def _matching_modes() -> list[str]:
    return [FIRST_MATCH, LONGEST_PREFIX]


def _repeat_modes() -> list[str]:
    return [BY_METHOD, ALWAYS, NEVER]


def _isolation_modes() -> list[str]:
    return [ALONE, FREE]


class ClassOptions(opt.Schema):
    """A class of requests that share slots, queue and deadline."""

    name = opt.Text(about='Name that routes refer to.')
    priority = opt.Integer(0, 'Order in the queue; lower goes first.', high=9)
    reserved_slots = opt.Integer(
        0,
        'Slots of each target that other classes leave free.',
        'slots',
        high=1000,
    )
    queue_limit = opt.Integer(
        12,
        'Requests that may wait at one gate.',
        'requests',
        high=10000,
    )
    deadline_ms = opt.Integer(
        2000,
        'Time to answer where the caller names none.',
        'ms',
        low=1,
        high=600000,
    )


class SplitOptions(opt.Schema):
    """One part of a route that several services answer."""

    service = opt.Text(about='Service that answers.')
    weight = opt.Number(1, 'Share of the requests, against the other parts.')


class RouteOptions(opt.Schema):
    """A rule that gives a request its service, class and tenant."""

    service = opt.Text('', 'Service that answers; empty where a split says it.')
    split = opt.TableList(SplitOptions, 'Services that share the requests.')
    host = opt.Text('', 'Host header without port; empty matches any.')
    path = opt.Text('/', 'Prefix of the path.')
    methods = opt.TextList([], 'Methods that match; empty matches any.')
    class_ = opt.Text(about='Class of the request.')
    tenant = opt.Text('default', 'Tenant where no header names one.')
    tenant_header = opt.Text('', 'Header that names the tenant.')
    deadline_ms = opt.Integer(
        0,
        'Time to answer; 0 takes that of the class.',
        'ms',
        high=600000,
    )
    repeatable = opt.TextList(
        list(SAFE_METHODS),
        'Methods that may run twice without harm.',
    )
    repeat = opt.Text(
        BY_METHOD,
        'What may run twice without harm: as the methods say, all, or nothing.',
        _repeat_modes,
    )
    timeout_ms = opt.Integer(
        0,
        'Longest time to the answer, whatever the caller allows; 0 for none.',
        'ms',
        high=600000,
    )
    target_ms = opt.Integer(
        0,
        'Time within which an answer is worth most; 0 for the deadline.',
        'ms',
        high=600000,
    )
    attempts = opt.Integer(
        0,
        'Targets that may be tried for one request; 0 takes retry.attempts.',
        'targets',
        high=100,
    )


class ChoosingOptions(opt.Schema):
    """How a target is chosen."""

    policy = opt.Text('expected-time', 'Name of the policy.', policy_names)
    sample = opt.Integer(3, 'Targets compared.', 'targets', low=1, high=16)
    stale_ms = opt.Integer(
        1000,
        'Age at which a load report has lost most of its weight.',
        'ms',
        low=1,
        high=60000,
    )
    ramp_ms = opt.Integer(
        5000,
        'Time in which a new target is given more and more work.',
        'ms',
        high=600000,
    )
    zone_ms = opt.Number(1, 'One-way delay between zones.', 'ms', high=1000)
    region_ms = opt.Number(20, 'One-way delay between regions.', 'ms', high=1000)
    link_bytes_s = opt.Integer(
        400000,
        'Bytes of requests and replies that one node sends across regions.',
        'B/s',
        high=10**10,
    )
    failure_ms = opt.Number(
        1000,
        'Time a failed answer counts as.',
        'ms',
        high=60000,
    )
    slow_ms = opt.Number(
        0,
        'Time that work is held up on a VM that is slow at the moment.',
        'ms',
        high=60000,
    )
    zone_kb_ms = opt.Number(
        0,
        'Time that a kilobyte of reply between zones counts as.',
        'ms/kB',
        high=1000,
    )
    region_kb_ms = opt.Number(
        0,
        'Time that a kilobyte of reply between regions counts as.',
        'ms/kB',
        high=1000,
    )
    probe_ms = opt.Integer(
        0,
        'Age of what a target told of its VM, after which its node asks; 0 for never.',
        'ms',
        high=60000,
    )
    # A request that waits longer has more to gain elsewhere than a hop costs.
    patience_ms = opt.Integer(
        100,
        'Time a request waits at one gate while others may take it; 0 for no limit.',
        'ms',
        high=60000,
    )


class RetryOptions(opt.Schema):
    """When a request is tried again."""

    share = opt.Number(0.1, 'Retries earned by each request.', 'share', high=1)
    burst = opt.Integer(10, 'Retries that may be saved up.', 'retries', high=1000)
    attempts = opt.Integer(3, 'Attempts for one request.', low=1, high=10)
    shared_per_s = opt.Number(
        0,
        'Retries a second that all nodes share in equal parts.',
        'retries/s',
        high=10**6,
    )
    shared_burst = opt.Number(
        0,
        'Retries saved up that all nodes share in equal parts.',
        'retries',
        high=10**6,
    )


class HedgeOptions(opt.Schema):
    """When a second copy of repeatable work is sent."""

    share = opt.Number(0.05, 'Hedges earned by each request.', 'share', high=1)
    burst = opt.Integer(5, 'Hedges that may be saved up.', 'hedges', high=1000)
    quantile = opt.Number(
        0.95,
        'Quantile of answer times after which a hedge is sent.',
        'quantile',
        high=1,
    )
    floor_ms = opt.Number(5, 'Shortest wait before a hedge.', 'ms', high=60000)
    margin_ms = opt.Number(
        0,
        'Time before the latest moment at which a hedge can still be in time, '
        'where the route names such a time.',
        'ms',
        high=60000,
    )


class BudgetOptions(opt.Schema):
    """What measuring targets and members may cost one node."""

    local_bytes_s = opt.Integer(
        6000,
        'Bytes a second within the region.',
        'B/s',
        high=10**9,
    )
    paid_bytes_s = opt.Integer(
        500,
        'Bytes a second across regions.',
        'B/s',
        high=10**9,
    )
    burst_s = opt.Number(10, 'Seconds of budget saved up.', 's', high=600)


class SuspectOptions(opt.Schema):
    """Requests that were in flight when their target died."""

    isolation = opt.Text(
        ALONE,
        'How a request runs after one target died of it.',
        _isolation_modes,
    )
    victims = opt.Integer(
        2,
        'Targets that may die before a request is refused.',
        'targets',
        low=1,
        high=100,
    )


class ServiceOptions(opt.Schema):
    """What is known of a service beforehand."""

    name = opt.Text(about='Name that routes refer to.')
    health_path = opt.Text('', 'Path that tells of health; empty for none.')
    connections = opt.Integer(
        0,
        'Connections to one target; 0 takes limits.connections.',
        'connections',
        high=100000,
    )


class LimitOptions(opt.Schema):
    """Sizes and counts that protect the node and its target."""

    header_bytes = opt.Integer(
        65536,
        'Largest head of a request.',
        'bytes',
        low=1024,
        high=1024**2,
    )
    header_ms = opt.Integer(
        60000,
        'Time a caller may take to send the head of a request.',
        'ms',
        low=1,
        high=600000,
    )
    idle_ms = opt.Integer(
        300000,
        'Time a connection of a caller may stay idle.',
        'ms',
        low=1,
        high=3600000,
    )

    body_bytes = opt.Integer(
        16 * 1024 * 1024,
        'Largest body of a request or reply.',
        'bytes',
        low=1024,
        high=1024**3,
    )
    connections = opt.Integer(
        200,
        'Connections to one target.',
        'connections',
        low=1,
        high=10000,
    )
    silent_ms = opt.Integer(
        300,
        'Silence after which a connection between nodes is tested.',
        'ms',
        low=10,
        high=60000,
    )


class PresetSchema(opt.Schema):
    """A whole preset."""

    name = opt.Text(about='Name of the preset.')
    about = opt.Text('', 'A sentence for operators.')
    matching = opt.Text(
        FIRST_MATCH,
        'Which route wins where several match.',
        _matching_modes,
    )
    class_ = opt.TableList(ClassOptions, 'Classes of requests.')
    service = opt.TableList(ServiceOptions, 'Services, where known beforehand.')
    route = opt.TableList(RouteOptions, 'Rules that requests are matched with.')
    choosing = opt.Table(ChoosingOptions, 'Choosing a target.')
    retry = opt.Table(RetryOptions, 'Retries.')
    hedge = opt.Table(HedgeOptions, 'Hedges.')
    budget = opt.Table(BudgetOptions, 'Cost of measuring.')
    suspects = opt.Table(SuspectOptions, 'Requests that crash targets.')
    limits = opt.Table(LimitOptions, 'Sizes and counts.')

    def check_whole(self, location: str) -> list[Finding]:
        """Check that names are unique and every route's class exists."""
        names = [entry.name for entry in self.class_]
        findings = [
            Finding(f'{location}class[{index}].name', f'{name!r} stands twice')
            for index, name in enumerate(names)
            if name in names[:index]
        ]
        findings.extend(
            Finding(
                f'{location}route[{index}].class',
                f'class {route.class_!r} is not defined',
            )
            for index, route in enumerate(self.route)
            if route.class_ not in names
        )
        findings.extend(
            Finding(
                f'{location}route[{index}].service',
                'is required unless a split has a part with weight',
            )
            for index, route in enumerate(self.route)
            if not route.service and not any(part.weight for part in route.split)
        )
        if not self.route:
            findings.append(
                Finding(f'{location}route', 'at least one route is required'),
            )
        return findings


def parse_preset(text: str, source: str) -> PresetSchema:
    """Parse and validate a preset as a whole.

    :param text: TOML source.
    :param source: name for findings.
    :raises ConfigurationError: with every finding.
    :returns: the preset.
    """
    return load_text(PresetSchema, text, source)
