"""A complete deployment on one machine: log, links, nodes and targets.

:shapes: every node runs in its own process, next to a process for its target;
    nodes in another region are reached through a relay.
:units: milliseconds and megabits per second, as the names say.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Iterable
from functools import partial
from typing import Any
from urllib.request import urlopen

from lavendermount_testbed.caller import ReceivedReply, call_once
from lavendermount_testbed.processes import (
    Process,
    ProcessManager,
    wait_for_port,
    wait_until,
)
from lavendermountd.memory import DEFAULT_BUDGET_BYTES

RELAY_HOST_TEMPLATE = '127.1.0.{0}'
FETCH_TIMEOUT_S = 5.0


class Placement:
    """The service of an instance and the region and zone it runs in.

    :param service: service that the target belongs to.
    :param region: region of the VM.
    :param zone: availability zone of the VM.
    """

    __slots__ = ('service', 'region', 'zone')

    def __init__(self, service: str, region: str, zone: str) -> None:
        """Initialize the fields."""
        self.service = service
        self.region = region
        self.zone = zone


class TargetProfile:
    """Concurrency and service time of a deployment's targets.

    :param slots: requests that each target handles at once.
    :param service_ms: mean service time of a request.
    :param is_random: whether service times are exponentially distributed
        instead of fixed.
    """

    __slots__ = ('slots', 'service_ms', 'is_random')

    def __init__(self, slots: int, service_ms: float, is_random: bool = False) -> None:
        """Initialize the fields."""
        self.slots = slots
        self.service_ms = service_ms
        self.is_random = is_random


class Instance:
    """One node and its local target.

    :param name: node id.
    :param placement: service, region and zone.
    :param ports: caller, admin, peer, control and target port, in this order.
    """

    def __init__(self, name: str, placement: Placement, ports: list[int]) -> None:
        """Initialize the fields; no process runs yet."""
        self.name = name
        self.placement = placement
        self.caller_port = ports[0]
        self.admin_port = ports[1]
        self.peer_port = ports[2]
        self.control_port = ports[3]
        self.target_port = ports[4]
        self.node: Process = None  # type: ignore[assignment]
        self.target: Process = None  # type: ignore[assignment]

    def call(
        self,
        method: str = 'GET',
        path: str = '/',
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> ReceivedReply:
        """Send one request to the node's caller port."""
        return call_once(self.caller_port, method, path, headers, body)

    def control_target(self, **faults: object) -> dict[str, object]:
        """Set faults of the target and read its counters."""
        url = f'http://127.0.0.1:{self.target_port}/.control'
        return fetch_json(url, faults)

    def is_ready(self) -> bool:
        """Whether the node is ready to serve callers."""
        url = f'http://127.0.0.1:{self.admin_port}/ready'
        try:
            return bool(fetch_json(url)['ready'])
        except OSError:
            return False


class DeploymentSettings:
    """Settings that all nodes and links of a deployment share.

    :param period_ms: time between gossip rounds.
    :param retention_s: age at which the log evicts records.
    :param flush_ms: time between batches of decision records.
    :param delay_ms: one-way delay between regions.
    :param mbit: bandwidth between regions.
    :param log_level: log level of the nodes.
    :param drain_s: time a planned stop of a node may take.
    :param body_memory_bytes: memory of a node for bodies.
    """

    __slots__ = (
        'period_ms',
        'retention_s',
        'flush_ms',
        'delay_ms',
        'mbit',
        'log_level',
        'drain_s',
        'body_memory_bytes',
    )

    def __init__(self) -> None:
        """Set defaults that keep tests short."""
        self.period_ms = 200
        self.retention_s = 3600.0
        self.flush_ms = 300
        self.delay_ms = 20.0
        self.mbit = 30.0
        self.log_level = 'info'
        self.drain_s = 10.0
        self.body_memory_bytes = DEFAULT_BUDGET_BYTES


class Deployment:
    """All processes of a test, the demo or a benchmark.

    :param settings: settings that all nodes share.
    :param target_profile: concurrency and service time of the targets.
    """

    def __init__(
        self, settings: DeploymentSettings, target_profile: TargetProfile
    ) -> None:
        """Start the log; nodes and targets are started later."""
        self.process_manager = ProcessManager()
        self.settings = settings
        self.target_profile = target_profile
        self.instances: dict[str, Instance] = {}
        self.relays: dict[str, tuple[str, int]] = {}
        self.log_port = self.process_manager.ports.allocate()
        self.start_log()

    @property
    def log_url(self) -> str:
        """URL of the log."""
        return f'http://127.0.0.1:{self.log_port}'

    def start_log(self) -> None:
        """Start the in-memory server that replaces the platform's log."""
        arguments = ['-m', 'lavendermount_testbed', 'log', '--port', str(self.log_port)]
        self.process_manager.start('log', arguments)
        wait_for_port(self.log_port)

    def control_log(self, **faults: object) -> dict[str, object]:
        """Set faults of the log and read its counters and stream ends."""
        return fetch_json(f'{self.log_url}/control', faults)

    def add(self, name: str, placement: Placement) -> Instance:
        """Allocate ports for an instance; its processes are started later."""
        ports = [self.process_manager.ports.allocate() for _ in range(5)]
        instance = Instance(name, placement, ports)
        self.instances[name] = instance
        return instance

    def regions(self) -> list[str]:
        """List the regions that have instances, in alphabetical order."""
        return sorted({entry.placement.region for entry in self.instances.values()})

    def start_links(self) -> None:
        """Start a relay for each region; a single region needs none."""
        regions = self.regions()
        if len(regions) < 2:
            return
        for number, region in enumerate(regions, start=1):
            self.start_link(region, RELAY_HOST_TEMPLATE.format(number))

    def start_link(self, region: str, host: str) -> None:
        """Start the relay through which other regions reach a region."""
        ports = [
            port
            for instance in self.instances.values()
            if instance.placement.region == region
            for port in (instance.peer_port, instance.control_port)
        ]
        control_port = self.process_manager.ports.allocate()
        path = self.process_manager.write_file(
            f'relay-{region}.toml',
            '\n'.join(
                (
                    f'host = "{host}"',
                    f'ports = {ports}',
                    'forward_host = "127.0.0.1"',
                    f'delay_ms = {self.settings.delay_ms}',
                    f'mbit = {self.settings.mbit}',
                    f'control_port = {control_port}',
                ),
            ),
        )
        self.process_manager.start(
            f'relay-{region}',
            ['-m', 'lavendermount_testbed', 'relay', str(path)],
        )
        wait_for_port(control_port, host)
        self.relays[region] = (host, control_port)

    def control_link(self, region: str, **faults: object) -> dict[str, object]:
        """Set faults of the link into a region and read its counters."""
        with socket.create_connection(self.relays[region]) as connection:
            connection.sendall(f'{json.dumps(faults)}\n'.encode())
            reply: dict[str, object] = json.loads(connection.makefile().readline())
        return reply

    def node_settings(self, instance: Instance) -> str:
        """Build the settings file of a node."""
        settings = self.settings
        lines = [
            f'node_id = "{instance.name}"',
            f'region = "{instance.placement.region}"',
            f'zone = "{instance.placement.zone}"',
            f'log_level = "{settings.log_level}"',
            f'drain_s = {settings.drain_s}',
            f'body_memory_bytes = {settings.body_memory_bytes}',
            '[listen]',
            f'caller_port = {instance.caller_port}',
            f'admin_port = {instance.admin_port}',
            f'peer_port = {instance.peer_port}',
            f'control_port = {instance.control_port}',
            '[log]',
            f'url = "{self.log_url}"',
            f'retention_s = {settings.retention_s}',
            'timeout_ms = 1000',
            '[membership]',
            f'period_ms = {settings.period_ms}',
            f'suspicion_ms = {settings.period_ms * 5}',
            f'seeds = {self.seeds_for(instance)}',
            '[recorder]',
            f'flush_ms = {settings.flush_ms}',
        ]
        for region, (host, _) in self.relays.items():
            if region != instance.placement.region:
                lines += ['[[gateway]]', f'region = "{region}"', f'host = "{host}"']
        return '\n'.join(lines)

    def seeds_for(self, instance: Instance) -> list[str]:
        """List the control addresses of up to two other nodes in the region."""
        others = [
            f'127.0.0.1:{other.control_port}'
            for other in self.instances.values()
            if other is not instance
            and other.placement.region == instance.placement.region
        ]
        return others[:2]

    def start_node(self, instance: Instance) -> None:
        """Write the settings file of a node and start the node."""
        path = self.process_manager.write_file(
            f'{instance.name}.toml', self.node_settings(instance)
        )
        instance.node = self.process_manager.start(
            instance.name,
            ['-m', 'lavendermountd', 'run', str(path)],
        )

    def start_target(self, instance: Instance) -> None:
        """Start the target of a node; the target announces itself to the node."""
        target_profile = self.target_profile
        path = self.process_manager.write_file(
            f'{instance.name}-target.toml',
            '\n'.join(
                (
                    f'name = "{instance.name}"',
                    f'service = "{instance.placement.service}"',
                    f'port = {instance.target_port}',
                    f'slots = {target_profile.slots}',
                    f'service_ms = {target_profile.service_ms}',
                    f'is_random = {str(target_profile.is_random).lower()}',
                    f'node_port = {instance.caller_port}',
                    f'announce_url = "http://127.0.0.1:{instance.admin_port}/announce"',
                ),
            ),
        )
        instance.target = self.process_manager.start(
            f'{instance.name}-target',
            ['-m', 'lavendermount_testbed', 'target', str(path)],
        )

    def start_all(self) -> None:
        """Start links, nodes and targets and wait until they listen."""
        self.start_links()
        for instance in self.instances.values():
            self.start_node(instance)
            self.start_target(instance)
        for instance in self.instances.values():
            wait_for_port(instance.caller_port)
            wait_for_port(instance.target_port)

    def run_cli(self, *arguments: str) -> Process:
        """Run a command of the operators' CLI and wait until it exits.

        :returns: the exited process.
        """
        process = self.start_cli(*arguments)
        process.wait()
        return process

    def start_cli(self, *arguments: str) -> Process:
        """Start a command of the operators' CLI.

        The first node, if there is one, is passed as ``--node``.
        """
        name = f'operator-{len(self.process_manager.processes)}'
        first = next(iter(self.instances.values()), None)
        node = [] if first is None else ['--node', f'127.0.0.1:{first.control_port}']
        command = ['-m', 'lavendermount', '--log', self.log_url, *node, *arguments]
        return self.process_manager.start(name, command)

    def publish_and_switch(self, preset: str, *options: str) -> Process:
        """Publish a preset, switch to it and wait until all nodes use it.

        :returns: the process that failed, or that of the switch.
        """
        path = self.process_manager.write_file(
            f'preset-{len(self.process_manager.processes)}.toml', preset
        )
        published = self.run_cli('preset', 'publish', str(path))
        if published.popen.returncode:
            return published
        name = preset.partition('name = "')[2].partition('"')[0]
        return self.run_cli('preset', 'switch', name, '--wait', '15', *options)

    def wait_ready(self, instances: Iterable[Instance] | None = None) -> None:
        """Wait until the given nodes, or all nodes, are ready."""
        selected = list(instances or self.instances.values())
        wait_until(
            lambda: all(instance.is_ready() for instance in selected),
            'the selected nodes are ready',
        )

    def fetch_status(self, instance: Instance) -> dict[str, Any]:
        """Fetch the status of a node; empty if the node does not answer."""
        address = f'127.0.0.1:{instance.control_port}'
        process = self.process_manager.start(
            f'status-{len(self.process_manager.processes)}',
            ['-m', 'lavendermount', '--node', address, 'status', '--json'],
        )
        process.wait()
        text = process.read_output()
        return json.loads(text) if text.startswith('{') else {}

    def alive_members(self, instance: Instance) -> list[dict[str, Any]]:
        """List the members with a service that a node considers alive."""
        members = self.fetch_status(instance).get('members', [])
        return [entry for entry in members if not entry['status'] and entry['service']]

    def wait_for_members(self) -> None:
        """Wait until all running nodes know each other's targets.

        Each must know at least as many alive members with a service as nodes run.
        """
        running = [
            instance for instance in self.instances.values() if instance.node.is_running
        ]
        for instance in running:
            wait_until(
                partial(self.knows_members, instance, len(running)),
                f'{instance.name} knows {len(running)} members',
            )

    def knows_members(self, instance: Instance, count: int) -> bool:
        """Whether a node knows at least ``count`` alive members with a service."""
        return len(self.alive_members(instance)) >= count

    def close(self) -> None:
        """Kill all processes and delete their files."""
        self.process_manager.close()


def fetch_json(url: str, payload: dict[str, object] | None = None) -> dict[str, object]:
    """Fetch a JSON document over HTTP.

    A payload that is not empty is sent as JSON in a POST request; otherwise
    the request is a GET.

    :raises OSError: if the connection fails or the status is an error.
    """
    body = json.dumps(payload).encode() if payload else None
    with urlopen(url, body, FETCH_TIMEOUT_S) as response:  # noqa: S310
        reply: dict[str, object] = json.loads(response.read())
    return reply
