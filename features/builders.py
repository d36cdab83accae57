"""Builders of test data: presets, deployments, requests and load reports."""

from __future__ import annotations

import random
from typing import Any

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.models.calls import CallClass, CallRequest
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_testbed.deployment import (
    Deployment,
    DeploymentSettings,
    Placement,
    TargetProfile,
)
from lavendermount_testbed.emulator.gate_load import Flow
from lavendermountd.dialects.native import NativeDialect
from lavendermountd.gate.admission import ClassRule
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gate.suspects import SuspectTable
from lavendermountd.gate.target_lifecycle import TargetLifecycle
from lavendermountd.identity import Identity
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.frames import CrashSuspicion
from lavendermountd.presets.holder import InForcePreset, compile_preset

DEALER = 'dealer-desk'
DOCS = 'field-docs'
SUSPICION_MS = 60000
ZONES = {'north': ('hn-a', 'hn-b'), 'south': ('hcm-a', 'hcm-b')}

NODE_SETTINGS = (
    'node_id = "n"\nregion = "r"\nzone = "z"\n[listen]\ncaller_port = 1\n'
    'admin_port = 2\npeer_port = 3\ncontrol_port = 4\n[log]\nurl = "http://x"\n'
)


class FakeClock:
    """A monotonic clock that tests advance."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the current time."""
        return self.now


def preset_text(name: str = 'ordinary', **changes: str) -> str:
    """Build a preset that routes the two example services.

    :param name: name of the preset.
    :param changes: additional tables by name, each as lines of TOML.
    """
    tables = ''.join(f'[{key}]\n{lines}\n' for key, lines in changes.items())
    return f"""name = "{name}"
{tables}
[[class]]
name = "dealer"
priority = 0
reserved_slots = 2
deadline_ms = 5000

[[class]]
name = "lookup"
priority = 5
queue_limit = 4
deadline_ms = 3000

[[route]]
service = "{DOCS}"
host = "field-docs"
class = "dealer"

[[route]]
service = "{DEALER}"
path = "/prices"
class = "lookup"

[[route]]
service = "{DEALER}"
path = "/"
class = "dealer"
tenant_header = "X-Tenant"
"""


class DeploymentBuilder:
    """Builds a deployment step by step."""

    def __init__(self) -> None:
        """Start without nodes, with default settings and fast targets."""
        self.settings = DeploymentSettings()
        self.target_profile = TargetProfile(6, 5)
        self.placements: list[tuple[str, Placement]] = []

    def with_nodes(
        self, count: int, region: str = 'north', service: str = DEALER
    ) -> DeploymentBuilder:
        """Add nodes to a region, spread over its zones in turn."""
        for number in range(count):
            zones = ZONES[region]
            placement = Placement(service, region, zones[number % len(zones)])
            self.placements.append((f'{region}-{service}-{number}', placement))
        return self

    def build(self) -> Deployment:
        """Create the deployment and its instances; only the log is running."""
        deployment = Deployment(self.settings, self.target_profile)
        for name, placement in self.placements:
            deployment.add(name, placement)
        return deployment


def call_request(
    method: str = 'GET',
    path: str = '/stock',
    body: bytes = b'',
    call_class: str = 'dealer',
    key: str = '',
) -> CallRequest:
    """Build a request with its class, as a node passes it to the router."""
    headers = [('Idempotency-Key', key)] if key else []
    is_repeatable = method == 'GET'
    classified = CallClass(DEALER, 'default', call_class, is_repeatable)
    return CallRequest('0' * 16, method, path, headers, body, classified, 0)


def suspect_many(
    table: SuspectTable, name: str, count: int, victims: list[str]
) -> set[str]:
    """Suspect requests of having crashed the same targets; return their fingerprints.

    :param name: beginning of the fingerprints.
    """
    fingerprints = {f'{name}-{number}' for number in range(count)}
    for fingerprint in fingerprints:
        table.merge(CrashSuspicion(fingerprint, victims, SUSPICION_MS))
    return fingerprints


def load_report(node_id: str, sequence: int = 1, **changes: object) -> LoadReport:
    """Build the load report of an idle target.

    :param changes: fields that differ.
    """
    report = LoadReport(node_id, 1, sequence, 0, 0, 6, 5, 0, 60000, is_accepting=True)
    for name, value in changes.items():
        setattr(report, name, value)
    return report


def member(
    node_id: str,
    service: str = DEALER,
    region: str = 'north',
    zone: str = 'hn-a',
    **changes: object,
) -> Member:
    """Build a member that is alive.

    :param changes: fields that differ.
    """
    new_member = Member(
        node_id,
        1,
        0,
        MemberStatus.ALIVE,
        service,
        region,
        zone,
        '127.0.0.1',
        1,
        2,
    )
    for name, value in changes.items():
        setattr(new_member, name, value)
    return new_member


def gate_without_target(incarnation: int) -> tuple[Gate, TargetLifecycle]:
    """Build the gate of a node that has no target yet, and its target lifecycle.

    :param incarnation: incarnation of the node.
    """
    settings = load_text(NodeSchema, NODE_SETTINGS, 'test')
    identity = Identity(settings)
    identity.member.incarnation = incarnation
    gate = Gate(identity, NativeDialect())
    table = MemberTable(identity.member)
    return gate, TargetLifecycle(
        gate, table, _ignore_load_change, needs_confirmation=True
    )


def _ignore_load_change() -> None:
    """Replace the callback that sends the target's load to other nodes; does nothing."""


def preset_snapshot(revision: int) -> PresetSnapshot:
    """Build a snapshot with the preset ``ordinary`` in force.

    :param revision: revision of the preset.
    """
    return PresetSnapshot(
        revision, revision + 1, 'ordinary', str(revision), preset_text()
    )


def ready_preset(revision: int) -> InForcePreset:
    """Build the preset ``ordinary``, ready to be put in force.

    :param revision: revision of the preset.
    """
    return compile_preset(preset_snapshot(revision))


def large_preset_snapshot(revision: int, routes: int) -> PresetSnapshot:
    """Build a snapshot of a preset with many routes of different hosts.

    :param revision: revision of the preset.
    :param routes: number of routes besides those of the preset ``ordinary``.
    """
    hosts = random.Random(routes)
    added = ''.join(
        f'[[route]]\nservice = "{DOCS}"\nclass = "dealer"\n'
        f'host = "{hosts.getrandbits(48):012x}.example"\n'
        for _ in range(routes)
    )
    return PresetSnapshot(
        revision, revision + 1, 'ordinary', str(revision), preset_text() + added
    )


def gate_with_target(port: int) -> Gate:
    """Build a gate whose target is up and has free slots.

    :param port: port of the target on the loopback interface.
    """
    settings = load_text(NodeSchema, NODE_SETTINGS, 'test')
    gate = Gate(Identity(settings), NativeDialect())
    gate.target.apply_ready_report(TargetReport('s', '127.0.0.1', port, 6, 'i'))
    gate.admission.slots = 6
    return gate


# Classes of deployment one; their load at factor 1 keeps 0.82 of 4 slots busy.
OVERLOAD_RULES = [
    ClassRule('nested', 0, 0, 24),
    ClassRule('safe', 0, 0, 24),
    ClassRule('unsafe', 1, 0, 24),
    ClassRule('long', 2, 0, 24),
]


def mixed_flows(factor: float = 1, **options: Any) -> list[Flow]:
    """Build the load of deployment one.

    :param factor: factor on its usual rates.
    """
    return [
        Flow('nested', 6 * factor, work_s=0.052, due_s=0.165, **options),
        Flow('safe', 5 * factor, work_s=0.25, due_s=0.55, **options),
        Flow(
            'unsafe',
            3 * factor,
            work_s=0.27,
            due_s=0.668,
            is_repeatable=False,
            **options,
        ),
        Flow('long', 1.7 * factor, work_s=0.52, due_s=2.621, **options),
    ]
