"""Settings of one node.

:shapes: ``NodeSchema`` is the whole TOML file.
:errors: ``ConfigurationError`` with every finding.
"""

from __future__ import annotations

from lavendermount_core.config import options as opt
from lavendermount_core.config.findings import Finding
from lavendermount_core.log.adapter import adapter_names

PORT_LIMIT = 65535
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
    return opt.Integer(None, about, 'port', low=1, high=PORT_LIMIT)


class ListenOptions(opt.Schema):
    """Addresses of the node."""

    host = opt.Text('127.0.0.1', 'IP number to listen on and to announce.')
    caller_port = _port('HTTP for callers.')
    admin_port = _port('HTTP for /metrics, /ready and announcements.')
    peer_port = _port('Requests from other nodes.')
    control_port = _port('Gossip and operators.')


class GatewayOptions(opt.Schema):
    """The address by which nodes of another region are reached."""

    region = opt.Text(about='The other region.')
    host = opt.Text(about='IP number that forwards every port to that region.')


class LogOptions(opt.Schema):
    """The platform's log."""

    adapter = opt.Text('http', 'Name of the adapter.', adapter_names)
    url = opt.Text(about='Where the log answers.')
    timeout_ms = opt.Integer(2000, 'Time to answer.', 'ms', low=1, high=60000)
    retention_s = opt.Number(
        3600,
        'Time after which the platform evicts records.',
        's',
        low=1,
        high=10**8,
    )


class TargetOptions(opt.Schema):
    """A target that cannot announce itself."""

    service = opt.Text('', 'Service of the target; empty waits for one.')
    host = opt.Text('127.0.0.1', 'IP number of the target.')
    port = opt.Integer(0, 'Port of the target.', 'port', high=PORT_LIMIT)
    slots = opt.Integer(1, 'Requests it works on at once.', 'slots', low=1, high=10000)
    evidence = opt.Text(
        CONNECTION,
        'What shows that the target is up: a connection, or its health answer.',
        _evidence_kinds,
    )


class MembershipOptions(opt.Schema):
    """Gossip between nodes."""

    directory = opt.Text(
        STREAM,
        'Where join records stand: in a stream, or one for each key.',
        _source_kinds,
    )
    stream = opt.Text('members', 'Keyed stream that holds the join records.')
    seeds = opt.TextList([], 'Control addresses to try while the log is down.')
    period_ms = opt.Integer(
        1000, 'Time between gossip rounds.', 'ms', low=20, high=60000
    )
    suspicion_ms = opt.Integer(
        3000,
        'Time in which a suspected member may refute.',
        'ms',
        low=20,
        high=600000,
    )


class PresetSourceOptions(opt.Schema):
    """Where the node learns the preset in force."""

    source = opt.Text(
        STREAM,
        'The stream of publishes and switches, or the newest record of a key.',
        _source_kinds,
    )
    stream = opt.Text('presets', 'Keyed stream that holds the record.')
    key = opt.Text('', 'Key of the record.')
    decoder = opt.Text('', 'Name of the decoder that reads the record.')


class EndpointOptions(opt.Schema):
    """An endpoint that an adapter adds to the node."""

    name = opt.Text(about='Name under which the adapter registered it.')
    host = opt.Text(about='IP number to listen on.')
    port = _port('Port to listen on.')


class RecorderOptions(opt.Schema):
    """Recording of decisions."""

    flush_ms = opt.Integer(2000, 'Time between batches.', 'ms', low=20, high=600000)
    buffer = opt.Integer(
        20000,
        'Decisions kept while the log is down.',
        'decisions',
        low=1,
        high=10**6,
    )


class NodeSchema(opt.Schema):
    """Settings of a node."""

    node_id = opt.Text(about='Name of the node, unique among nodes.')
    region = opt.Text(about='Region of the VM.')
    zone = opt.Text(about='Availability zone of the VM.')
    log_level = opt.Text('info', 'Least level that is logged.', _log_levels)
    drain_s = opt.Number(10, 'Time a planned stop may take.', 's', high=3600)
    listen_s = opt.Number(
        0,
        'Time to go on accepting callers after a stop was asked; 0 takes one '
        'period of gossip.',
        's',
        high=3600,
    )
    dialect = opt.Text('native', 'Name of the dialect of callers and targets.')
    origin = opt.Text('', 'Service that runs on the VM, told to targets.')
    presets = opt.Table(PresetSourceOptions, 'Source of the preset in force.')
    endpoint = opt.TableList(EndpointOptions, 'Endpoints that adapters add.')
    listen = opt.Table(ListenOptions, 'Addresses.')
    gateway = opt.TableList(GatewayOptions, 'Gateways to other regions.')
    log = opt.Table(LogOptions, "The platform's log.")
    target = opt.Table(TargetOptions, 'Static target.')
    membership = opt.Table(MembershipOptions, 'Gossip.')
    recorder = opt.Table(RecorderOptions, 'Decision records.')

    def check_whole(self, location: str) -> list[Finding]:
        """Check that ports differ and a static target is complete."""
        findings = []
        listen = self.listen
        ports = [
            listen.caller_port,
            listen.admin_port,
            listen.peer_port,
            listen.control_port,
        ]
        if len(set(ports)) < len(ports):
            findings.append(Finding(f'{location}listen', 'the ports must differ'))
        if self.target.service and not self.target.port:
            findings.append(
                Finding(f'{location}target.port', 'is required with target.service'),
            )
        return findings
