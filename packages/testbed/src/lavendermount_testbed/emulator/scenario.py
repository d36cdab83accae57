"""Schema of scenario files and the preset derived from a scenario.

:shapes: a scenario is a TOML file, validated like settings.
:units: given by the suffixes of the names; shares are from 0 to 1.
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
from lavendermount_core.presets.records import PresetSnapshot

BURST = 'burst'
CRASH = 'crash'
SLOW = 'slow'


def fault_kinds() -> list[str]:
    """Return the valid kinds of faults."""
    return [BURST, CRASH, SLOW]


class ZoneOptions(opt.Schema):
    """An availability zone; VMs are assigned to the zones in turn."""

    name = opt.Text(about='Name of the zone.')
    region = opt.Text(about='Region of the zone.')


class NetworkOptions(opt.Schema):
    """Network delays and the bandwidth between regions."""

    zone_ms = opt.Number(1, 'One-way delay between zones.', 'ms')
    region_ms = opt.Number(20, 'One-way delay between regions.', 'ms')
    caller_ms = opt.Number(3, 'One-way delay to callers.', 'ms')
    hop_ms = opt.Number(1, 'Processing time of a node for one hop.', 'ms')
    region_mbit = opt.Number(30, 'Bandwidth between two regions.', 'Mbit/s', low=0.1)


class NoiseOptions(opt.Schema):
    """Short random periods in which a VM is slow."""

    share = opt.Number(0.28, 'Share of time in which a VM is slow.', high=0.9)
    factor = opt.Number(7, 'Slowdown factor in a slow period.', low=1)
    for_ms = opt.Number(500, 'Length of a slow period.', 'ms', low=1)


class ServiceOptions(opt.Schema):
    """One service and its targets."""

    name = opt.Text(about='Name of the service.')
    share = opt.Number(1, 'Share of the VMs relative to other services.', low=0.001)
    copies = opt.Integer(1, 'Number of identical services that share the VMs.', low=1)
    slots = opt.Integer(6, 'Requests that a target processes concurrently.', low=1)
    knee = opt.Number(0, 'Share by which work grows when all slots are taken.')
    cold_ms = opt.Number(0, 'Warm-up time after a restart of the target.', 'ms')
    cold_factor = opt.Number(3, 'Slowdown factor during the warm-up.', low=1)


class CallOptions(opt.Schema):
    """One type of call: the requests callers send and their handling."""

    name = opt.Text(about='Name of the call type and of its class.')
    service = opt.Text(about='Service that handles the requests.')
    per_s = opt.Number(
        0, 'Requests per second sent to each VM by callers; 0 for none.', '1/s'
    )
    work_ms = opt.Number(100, 'Mean processing time.', 'ms', low=0.1)
    spread = opt.Number(0.3, 'Sigma of the log-normal processing time.')
    target_ms = opt.Number(500, 'Time within which a reply has its full worth.', 'ms')
    timeout_ms = opt.Number(1500, 'Time after which a reply has no worth.', 'ms')
    worth = opt.Number(1, 'Worth of a reply in time.')
    late = opt.Number(0.1, 'Worth of a late reply.')
    retries = opt.Integer(1, 'Retries of a caller.')
    is_repeatable = opt.Integer(
        1, 'Whether a request may be executed again: 1 or 0.', high=1
    )
    priority = opt.Integer(0, 'Priority in the queue; lower values go first.', high=9)
    reply_kb = opt.Number(2, 'Size of a reply.', 'kB')
    inner = opt.Text('', 'Call type of the nested call; empty for none.')
    inner_share = opt.Number(0, 'Share of requests with a nested call.', high=1)


class FaultOptions(opt.Schema):
    """A fault and the time at which it happens."""

    kind = opt.Text(about='Kind of the fault.', choices=fault_kinds)
    at_s = opt.Number(about='Start, counted from the start of the load.', unit='s')
    for_s = opt.Number(5, 'Duration.', 's')
    share = opt.Number(0.2, 'Share of the VMs affected; a burst affects all.', high=1)
    factor = opt.Number(
        2, 'Factor of the load (burst) or of the processing time (slow).'
    )


class ScenarioSchema(opt.Schema):
    """A scenario file."""

    name = opt.Text(about='Name of the scenario.')
    about = opt.Text('', 'Purpose of the scenario.')
    nodes = opt.Integer(10, 'Number of VMs if the command does not set it.', low=1)
    seconds = opt.Number(20, 'Duration of the load.', 's', low=1)
    zone = opt.TableList(ZoneOptions, 'Availability zones.')
    network = opt.Table(NetworkOptions, 'Network delays and bandwidth.')
    noise = opt.Table(NoiseOptions, 'Random slow periods of VMs.')
    service = opt.TableList(ServiceOptions, 'Services.')
    call = opt.TableList(CallOptions, 'Call types.')
    fault = opt.TableList(FaultOptions, 'Injected faults.')
    gossip_ms = opt.Number(1000, 'Interval between gossip rounds.', 'ms', low=10)
    probe_ms = opt.Number(
        100, 'Interval in ms at which nodes read the load of targets; 0 for never.'
    )
    choosing = opt.OpenTable('[choosing] of the preset.')
    hedge = opt.OpenTable('[hedge] of the preset.')
    retry = opt.OpenTable('[retry] of the preset.')

    def check_consistency(self, location: str) -> list[Finding]:
        """Check references to services and call types, and for a zone and a service."""
        service_names = {entry.name for entry in self.service}
        call_names = {entry.name for entry in self.call}
        references = [(entry.service, service_names, 'service') for entry in self.call]
        references += [(entry.inner, {'', *call_names}, 'call') for entry in self.call]
        findings = [
            Finding(location, f'{name!r} is not a {subject} defined in the scenario')
            for name, known, subject in references
            if name not in known
        ]
        if not self.zone or not self.service:
            findings.append(
                Finding(location, 'at least one zone and one service are required')
            )
        return findings


def service_name(entry: ServiceOptions, index: int) -> str:
    """Return the name of one copy of a service."""
    return entry.name if entry.copies == 1 else f'{entry.name}-{index}'


def load_scenario(path: Path) -> ScenarioSchema:
    """Load a scenario file.

    :raises ConfigurationError: with every finding.
    """
    return load_file(ScenarioSchema, path)


def build_preset(scenario: ScenarioSchema, policy: str) -> PresetSnapshot:
    """Build the preset that is in force on all nodes.

    :param policy: name of the policy that chooses targets.
    :raises ConfigurationError: if a preset table of the scenario is invalid.
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
    return PresetSnapshot(1, 2, scenario.name, policy, text)


def class_table(entry: CallOptions) -> dict[str, Any]:
    """Build the preset's class for a call type."""
    return {
        'name': entry.name,
        'priority': entry.priority,
        'deadline_ms': round(entry.timeout_ms),
    }


def route_table(entry: CallOptions) -> dict[str, Any]:
    """Build the preset's route for a call type."""
    return {
        'service': entry.service,
        'path': f'/{entry.name}/',
        'class': entry.name,
        'repeat': ALWAYS if entry.is_repeatable else NEVER,
        'target_ms': round(entry.target_ms),
    }
