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


class RouteOptions(opt.Schema):
    """A rule that gives a request its service, class and tenant."""

    service = opt.Text(about='Service that answers.')
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


class RetryOptions(opt.Schema):
    """When a request is tried again."""

    share = opt.Number(0.1, 'Retries earned by each request.', 'share', high=1)
    burst = opt.Integer(10, 'Retries that may be saved up.', 'retries', high=1000)
    attempts = opt.Integer(3, 'Attempts for one request.', low=1, high=10)


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


class LimitOptions(opt.Schema):
    """Sizes and counts that protect the node and its target."""

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
    class_ = opt.TableList(ClassOptions, 'Classes of requests.')
    route = opt.TableList(RouteOptions, 'Rules, first match wins.')
    choosing = opt.Table(ChoosingOptions, 'Choosing a target.')
    retry = opt.Table(RetryOptions, 'Retries.')
    hedge = opt.Table(HedgeOptions, 'Hedges.')
    budget = opt.Table(BudgetOptions, 'Cost of measuring.')
    limits = opt.Table(LimitOptions, 'Sizes and counts.')

    def check_whole(self, place: str) -> list[Finding]:
        """Check that names are unique and every route's class exists."""
        names = [entry.name for entry in self.class_]
        findings = [
            Finding(f'{place}class[{index}].name', f'{name!r} stands twice')
            for index, name in enumerate(names)
            if name in names[:index]
        ]
        findings.extend(
            Finding(
                f'{place}route[{index}].class',
                f'class {route.class_!r} is not defined',
            )
            for index, route in enumerate(self.route)
            if route.class_ not in names
        )
        if not self.route:
            findings.append(
                Finding(f'{place}route', 'at least one route is required'),
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
