"""Scenarios of the emulator: a TOML file, checked as settings are.

:units: as the names say; shares from 0 to 1.
:errors: ``ConfigurationError`` with every finding.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import tomli_w

from lavendermount_core.config import options as opt
from lavendermount_core.config.findings import Finding
from lavendermount_core.config.loader import load_file
from lavendermount_core.config.preset import ALWAYS, FREE, NEVER, parse_preset
from lavendermount_core.presets.records import InForce

BURST = 'burst'
CRASH = 'crash'
SLOW = 'slow'


def fault_kinds() -> list[str]:
    """List what may happen in a scenario."""
    return [BURST, CRASH, SLOW]


class ZoneOptions(opt.Schema):
    """One availability zone; VMs are spread over all of them in turn."""

    name = opt.Text(about='Name of the zone.')
    region = opt.Text(about='Region that it belongs to.')


class NetworkOptions(opt.Schema):
    """Delays and the links between regions."""

    zone_ms = opt.Number(1, 'One-way delay between zones.', 'ms')
    region_ms = opt.Number(20, 'One-way delay between regions.', 'ms')
    caller_ms = opt.Number(3, 'One-way delay to callers.', 'ms')
    hop_ms = opt.Number(1, 'Time that a node spends on one hop.', 'ms')
    region_mbit = opt.Number(30, 'Bandwidth between two regions.', 'Mbit/s', low=0.1)


class NoiseOptions(opt.Schema):
    """VMs that become several times slower for a moment."""

    share = opt.Number(0.28, 'Share of the time that a VM is slow.', high=0.9)
    factor = opt.Number(7, 'How many times longer work takes then.', low=1)
    for_ms = opt.Number(500, 'How long it lasts.', 'ms', low=1)


class ServiceOptions(opt.Schema):
    """One service and its targets."""

    name = opt.Text(about='Name of the service.')
    share = opt.Number(1, 'Part of the VMs, against the other services.', low=0.001)
    copies = opt.Integer(1, 'Services like it, which share its VMs.', low=1)
    slots = opt.Integer(6, 'Requests that a target works on at once.', low=1)
    knee = opt.Number(0, 'Share of work added when all slots are taken.')
    cold_ms = opt.Number(0, 'Time for which a target is slow after its start.', 'ms')
    cold_factor = opt.Number(3, 'How many times longer work takes then.', low=1)


class CallOptions(opt.Schema):
    """One kind of request."""

    name = opt.Text(about='Name of the kind; also that of its class.')
    service = opt.Text(about='Service that answers.')
    per_s = opt.Number(0, 'Requests a second for each VM of the system.', '1/s')
    work_ms = opt.Number(100, 'Mean time of work.', 'ms', low=0.1)
    spread = opt.Number(0.3, 'Spread of the time of work, as of a log-normal.')
    target_ms = opt.Number(500, 'Time within which an answer is worth most.', 'ms')
    timeout_ms = opt.Number(1500, 'Time after which an answer is worth nothing.', 'ms')
    worth = opt.Number(1, 'Worth of an answer in time.')
    late = opt.Number(0.1, 'Worth of an answer that is late.')
    retries = opt.Integer(1, 'Times that a caller asks again.')
    is_repeatable = opt.Integer(1, 'Whether it may run twice: 1 or 0.', high=1)
    priority = opt.Integer(0, 'Order in the queue; lower goes first.', high=9)
    reply_kb = opt.Number(2, 'Size of a reply.', 'kB')
    inner = opt.Text('', 'Kind that its work calls; empty for none.')
    inner_share = opt.Number(0, 'Share of the requests whose work calls.', high=1)


class FaultOptions(opt.Schema):
    """Something that happens at a moment."""

    kind = opt.Text(about='What happens.', choices=fault_kinds)
    at_s = opt.Number(about='When, from the start of the load.', unit='s')
    for_s = opt.Number(5, 'How long.', 's')
    share = opt.Number(0.2, 'Share of the VMs that it happens to.', high=1)
    factor = opt.Number(2, 'How many times more, or slower.')


class ScenarioSchema(opt.Schema):
    """A whole scenario."""

    name = opt.Text(about='Name of the scenario.')
    about = opt.Text('', 'What it shows.')
    nodes = opt.Integer(10, 'VMs, where the command names no number.', low=1)
    seconds = opt.Number(20, 'How long callers send.', 's', low=1)
    zone = opt.TableList(ZoneOptions, 'Availability zones.')
    network = opt.Table(NetworkOptions, 'Delays.')
    noise = opt.Table(NoiseOptions, 'VMs that become slow for a moment.')
    service = opt.TableList(ServiceOptions, 'Services.')
    call = opt.TableList(CallOptions, 'Kinds of requests.')
    fault = opt.TableList(FaultOptions, 'What happens.')
    gossip_ms = opt.Number(1000, 'Time between rounds of gossip.', 'ms', low=10)
    probe_ms = opt.Number(100, 'Age of what a target told, after which it is asked.')
    choosing = opt.OpenTable('Table of the preset.')
    hedge = opt.OpenTable('Table of the preset.')
    retry = opt.OpenTable('Table of the preset.')

    def check_whole(self, place: str) -> list[Finding]:
        """Check that names meet."""
        service_names = {entry.name for entry in self.service}
        call_names = {entry.name for entry in self.call}
        references = [(entry.service, service_names, 'service') for entry in self.call]
        references += [(entry.inner, {'', *call_names}, 'kind') for entry in self.call]
        findings = [
            Finding(place, f'{name!r} is no {subject} of the scenario')
            for name, known, subject in references
            if name not in known
        ]
        if not self.zone or not self.service:
            findings.append(Finding(place, 'needs a zone and a service'))
        return findings


def service_name(entry: ServiceOptions, index: int) -> str:
    """Name one of the services that are alike."""
    return entry.name if entry.copies == 1 else f'{entry.name}-{index}'


def load_scenario(path: Path) -> ScenarioSchema:
    """Read a scenario.

    :raises ConfigurationError: with every finding.
    """
    return load_file(ScenarioSchema, path)


def build_preset(scenario: ScenarioSchema, policy: str) -> InForce:
    """Write the preset that all nodes have in force.

    :param policy: name of the policy that chooses targets.
    :raises ConfigurationError: if a table of the scenario is wrong.
    """
    table = {
        'name': scenario.name,
        'choosing': {**scenario.choosing, 'policy': policy},
        'hedge': scenario.hedge,
        'retry': scenario.retry,
        'suspects': {'isolation': FREE},
        'class': [class_table(entry) for entry in scenario.call],
        'route': [route_table(entry) for entry in scenario.call],
    }
    text = tomli_w.dumps(table)
    parse_preset(text, scenario.name)
    return InForce(1, 2, scenario.name, policy, text)


def class_table(entry: CallOptions) -> dict[str, Any]:
    """Write the class of a kind of request."""
    return {
        'name': entry.name,
        'priority': entry.priority,
        'deadline_ms': round(entry.timeout_ms),
    }


def route_table(entry: CallOptions) -> dict[str, Any]:
    """Write the route of a kind of request."""
    return {
        'service': entry.service,
        'path': f'/{entry.name}/',
        'class': entry.name,
        'repeat': ALWAYS if entry.is_repeatable else NEVER,
        'target_ms': round(entry.target_ms),
    }
