"""Schema of the settings of a node.

:shapes: ``NodeSchema`` describes the whole TOML file.
:errors: ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

from lavendermount_core.config import options as opt
from lavendermount_core.config.findings import Finding
from lavendermount_core.log.adapter import adapter_names

MAX_PORT = 65535
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
STREAM = 'stream'
KEYED = 'keyed'
CONNECTION = 'connection'
HEALTH = 'health'


def _source_kinds() -> list[str]:
    return [STREAM, KEYED]


def _evidence_kinds() -> list[str]:
    return [CONNECTION, HEALTH]


def _log_levels() -> list[str]:
    return list(LOG_LEVELS)


def _port(about: str) -> opt.Integer:
    return opt.Integer(None, about, 'port', low=1, high=MAX_PORT)


class ListenOptions(opt.Schema):
    """Listening address and ports of the node."""

    host = opt.Address('127.0.0.1', 'IP address to listen on and to advertise.')
    caller_port = _port('Port for HTTP requests from callers.')
    admin_port = _port('HTTP port for /metrics, /ready and target announcements.')
    peer_port = _port('Port for requests from other nodes.')
    control_port = _port('Port for gossip and operator commands.')


class GatewayOptions(opt.Schema):
    """Gateway through which the nodes of another region are reached."""

    region = opt.Text(about='Name of the other region.')
    host = opt.Text(about='IP address that forwards all ports to that region.')


class LogOptions(opt.Schema):
    """Connection to the platform's log."""

    adapter = opt.Text('http', 'Name of the log adapter.', adapter_names)
    url = opt.Text(about='Base URL of the log.')
    timeout_ms = opt.Integer(
        2000, 'Timeout for requests to the log.', 'ms', low=1, high=60000
    )
    retention_s = opt.Number(
        3600,
        'Time after which the log evicts records.',
        's',
        low=1,
        high=10**8,
    )
    record_bytes = opt.Integer(
        262144, 'Largest record that the log accepts.', 'bytes', low=4096, high=10**9
    )


class TargetOptions(opt.Schema):
    """Statically configured target."""

    service = opt.Text(
        '',
        'Service of the target; if empty, the node waits for an announcement.',
    )
    host = opt.Text('127.0.0.1', 'IP address of the target.')
    port = opt.Integer(0, 'Port of the target.', 'port', high=MAX_PORT)
    slots = opt.Integer(
        1, 'Requests that the target handles concurrently.', 'slots', low=1, high=10000
    )
    evidence = opt.Text(
        CONNECTION,
        'How the target is detected as up: by a TCP connection or a health check.',
        _evidence_kinds,
    )


class MembershipOptions(opt.Schema):
    """Gossip-based membership of nodes."""

    directory = opt.Text(
        STREAM,
        'Storage of join records: a stream, or the newest record of each key.',
        _source_kinds,
    )
    stream = opt.Text(
        'members',
        'Keyed stream that contains the join records; used only if directory is keyed.',
    )
    seeds = opt.TextList(
        [], 'Control addresses to contact while no other node is known.'
    )
    period_ms = opt.Integer(
        1000, 'Interval between gossip rounds.', 'ms', low=20, high=60000
    )
    suspicion_ms = opt.Integer(
        3000,
        'Time that a suspected member has to refute the suspicion.',
        'ms',
        low=20,
        high=600000,
    )


class PresetSourceOptions(opt.Schema):
    """Source from which the node reads the preset in force."""

    source = opt.Text(
        STREAM,
        'Storage of presets: a stream of publish and switch records, or the newest '
        'record of a key.',
        _source_kinds,
    )
    stream = opt.Text(
        'presets',
        'Keyed stream that contains the preset record; used only if source is keyed.',
    )
    key = opt.Text('', 'Key of the preset record.')
    decoder = opt.Text('', 'Name of the decoder for the preset record.')
    readers_per_zone = opt.Integer(
        0,
        'Nodes of each zone that wait at the log for changes and tell the others; used '
        'only if source is keyed; 0 if all nodes wait.',
        'nodes',
        high=100,
    )
    evacuation_prefix = opt.Text(
        '',
        'Prefix of the keys of evacuated zones in the keyed stream; empty for none.',
    )


class EndpointOptions(opt.Schema):
    """Additional endpoint that an adapter provides."""

    name = opt.Text(about='Name under which the adapter registered the endpoint.')
    host = opt.Text(about='IP address to listen on.')
    port = _port('Port to listen on.')


class RecorderOptions(opt.Schema):
    """Recording of routing decisions."""

    flush_ms = opt.Integer(2000, 'Interval between batches.', 'ms', low=20, high=600000)
    buffer = opt.Integer(
        20000,
        'Maximum number of decisions buffered while the log is unavailable.',
        'decisions',
        low=1,
        high=10**6,
    )


class NodeSchema(opt.Schema):
    """Settings of a node."""

    node_id = opt.Text(about='Unique name of the node.')
    region = opt.Text(about='Region of the VM.')
    zone = opt.Text(about='Availability zone of the VM.')
    zones = opt.TextList([], 'All availability zones of the deployment.')
    log_level = opt.Text('info', 'Minimum level of logged events.', _log_levels)
    drain_s = opt.Number(10, 'Maximum duration of a graceful shutdown.', 's', high=3600)
    listen_s = opt.Number(
        0,
        'Time for which new callers are accepted after a shutdown request; 0 uses '
        'one gossip period.',
        's',
        high=3600,
    )
    body_memory_bytes = opt.Integer(
        268435456,
        'Memory for the bodies of requests and replies that the node holds at once; '
        'bodies of at most 16 KiB do not count. A quarter of it, 32 MiB at most, is '
        'added for the connections of callers.',
        'bytes',
        low=1048576,
        high=10**12,
    )
    max_descriptors = opt.Integer(
        0,
        'Descriptors that the node may open; connections of callers use three quarters '
        'of them, or all but 1,024; 0 uses the limit of the process.',
        'descriptors',
        high=10**7,
    )
    link_mbps = opt.Integer(
        0,
        "Bandwidth of the VM's link; nodes with more read the log for the others; 0 if "
        'it is not known.',
        'Mbit/s',
        high=10**6,
    )
    dialect = opt.Text(
        'native', 'Name of the HTTP dialect that callers and targets use.'
    )
    origin = opt.Text(
        '',
        'Service that runs on the VM; reported to targets as the origin of requests.',
    )
    presets = opt.Table(PresetSourceOptions, 'Source of presets.')
    endpoint = opt.TableList(EndpointOptions, 'Additional endpoints of adapters.')
    listen = opt.Table(ListenOptions, 'Listening address and ports.')
    gateway = opt.TableList(GatewayOptions, 'Gateways to other regions.')
    log = opt.Table(LogOptions, "Connection to the platform's log.")
    target = opt.Table(TargetOptions, 'Statically configured target.')
    membership = opt.Table(MembershipOptions, 'Gossip-based membership.')
    recorder = opt.Table(RecorderOptions, 'Recording of routing decisions.')

    def check_consistency(self, location: str) -> list[Finding]:
        """Check that the ports differ and that a static target has a port."""
        findings = []
        listen = self.listen
        ports = [
            listen.caller_port,
            listen.admin_port,
            listen.peer_port,
            listen.control_port,
        ]
        if len(set(ports)) < len(ports):
            findings.append(
                Finding(
                    f'{location}listen',
                    'caller_port, admin_port, peer_port and control_port must differ',
                ),
            )
        if self.target.service and not self.target.port:
            findings.append(
                Finding(
                    f'{location}target.port', 'is required if target.service is set'
                ),
            )
        return findings
