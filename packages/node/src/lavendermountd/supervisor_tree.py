"""Supervisor tree of a node.

::

    node
    ├── log        preset-follower, preset-keeper, preset-carrier, recorder, joiner
    ├── members    control-server, gossip, preset-catch-up,
    │              preset-announcer, suspicion-sync
    ├── target     peer-server, target-watch
    ├── callers    caller-server, admin-server, endpoints of adapters
    └── clock      freeze-guard, fence, state-log

The preset-keeper and the preset-carrier run only if presets are read from a stream.

A task that fails is restarted after a backoff. If a task fails too often, the
root restarts its whole branch. If that happens too often, the process ends with
exit code 70, and the other nodes detect that the node is dead.
"""

from __future__ import annotations

from collections.abc import Awaitable

from lavendermount_core.config.node import EndpointOptions
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.admin.server import serve_admin
from lavendermountd.control.server import serve_control
from lavendermountd.endpoints import endpoints
from lavendermountd.membership.suspicion_sync import SuspicionSync
from lavendermountd.node import Node
from lavendermountd.presets.announcer import PresetAnnouncer
from lavendermountd.presets.carry_over import PresetCarrier
from lavendermountd.presets.follower import PresetFollower
from lavendermountd.presets.republisher import PresetRepublisher
from lavendermountd.state_log import log_state
from lavendermountd.supervision.supervisor import Child, Supervisor


class NodeTree:
    """Builds the supervisors of a node.

    :param node: node whose components are run.
    """

    def __init__(self, node: Node) -> None:
        """Store the node."""
        self.node = node

    def root(self) -> Supervisor:
        """Build the root supervisor."""
        branches = [
            self.log(),
            self.members(),
            self.target(),
            self.callers(),
            self.clock(),
        ]
        children = [Child(branch.name, branch.run) for branch in branches]
        return self.supervisor('node', children)

    def log(self) -> Supervisor:
        """Build the branch that reads and writes the platform's log."""
        node = self.node
        children = [
            Child('preset-follower', node.follower.run),
            Child('recorder', self.run_recorder),
            Child('joiner', node.joiner.run),
        ]
        if isinstance(node.follower, PresetFollower):
            republisher = PresetRepublisher(
                node.platform_log,
                node.follower,
                node.settings.log.retention_s,
            )
            carrier = PresetCarrier(node.platform_log, node.follower, republisher)
            children.append(Child('preset-keeper', republisher.run))
            children.append(Child('preset-carrier', carrier.run))
        return self.supervisor('log', children)

    def members(self) -> Supervisor:
        """Build the branch that exchanges gossip and control calls."""
        node = self.node
        announcer = PresetAnnouncer(node.gossip)
        node.holder.on_change.append(announcer.note_change)
        node.catch_up.relay.on_receive = announcer.note_receipt
        node.evacuations.listeners.append(announcer.request)
        node.follower.reachability.on_silence = announcer.request
        suspicions = SuspicionSync(node.gossip, node.knows_members)
        return self.supervisor(
            'members',
            [
                Child('control-server', self.run_control),
                Child('gossip', node.gossip.run),
                Child('preset-catch-up', node.catch_up.run),
                Child('preset-announcer', announcer.run),
                Child('suspicion-sync', suspicions.run),
            ],
        )

    def target(self) -> Supervisor:
        """Build the branch that serves other nodes and monitors the target."""
        return self.supervisor(
            'target',
            [
                Child('peer-server', self.run_peers),
                Child('target-watch', self.node.target_monitor.run),
            ],
        )

    def callers(self) -> Supervisor:
        """Build the branch that serves callers, the admin port and other endpoints."""
        children = [
            Child('caller-server', self.run_callers),
            Child('admin-server', self.run_admin),
        ]
        children.extend(map(self.endpoint, self.node.settings.endpoint))
        return self.supervisor('callers', children)

    def endpoint(self, options: EndpointOptions) -> Child:
        """Build the task that serves an adapter's endpoint."""
        serve = endpoints.find(options.name)
        return Child(
            options.name,
            lambda: serve(self.node, options.host, options.port),
        )

    def clock(self) -> Supervisor:
        """Build the branch that detects freezes and recovers from them."""
        return self.supervisor(
            'clock',
            [
                Child('freeze-guard', self.node.freeze_guard.run),
                Child('fence', self.node.resume_after_freeze),
                Child('state-log', self.run_state_log),
            ],
        )

    def supervisor(self, name: str, children: list[Child]) -> Supervisor:
        """Build a supervisor that counts restarts in the metrics."""
        return Supervisor(name, children, self.node.metrics.count_restart)

    def run_state_log(self) -> Awaitable[None]:
        """Log the state of the node at regular intervals."""
        return log_state(self.node)

    def run_recorder(self) -> Awaitable[None]:
        """Append recorded decisions to the log in batches."""
        return self.node.recorder.run(self.node.settings.recorder.flush_ms / MS_PER_S)

    def run_control(self) -> Awaitable[None]:
        """Serve control calls: gossip and operators' commands."""
        listen = self.node.settings.listen
        return serve_control(self.node, listen.host, listen.control_port)

    def run_peers(self) -> Awaitable[None]:
        """Serve requests from other nodes."""
        listen = self.node.settings.listen
        return self.node.peer_server.run(listen.host, listen.peer_port)

    def run_callers(self) -> Awaitable[None]:
        """Serve callers."""
        listen = self.node.settings.listen
        return self.node.caller_server.run(listen.host, listen.caller_port)

    def run_admin(self) -> Awaitable[None]:
        """Serve metrics, readiness and announcements."""
        listen = self.node.settings.listen
        return serve_admin(self.node, listen.host, listen.admin_port)
