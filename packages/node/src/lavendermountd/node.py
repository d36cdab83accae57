"""A node and the components it is built from.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import logging
import random

from lavendermount_core.config.node import HEALTH, NodeSchema
from lavendermount_core.log.adapter import open_log
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.allotments.service import Allotments
from lavendermountd.caller.server import CallerServer
from lavendermountd.caller.service import CallService
from lavendermountd.claims.claims import ClaimService
from lavendermountd.claims.holders import HolderClient
from lavendermountd.control.channels import ChannelPool
from lavendermountd.dialects.base import create_dialect
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gate.target_lifecycle import TargetLifecycle
from lavendermountd.gate.target_monitor import TargetMonitor
from lavendermountd.identity import Identity
from lavendermountd.log_readers import (
    build_follower,
    build_joiner,
    connect_follower,
)
from lavendermountd.log_recovery import LogRecovery
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.exchange import GossipExchange
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.suspicion import SuspicionTimers
from lavendermountd.membership.table import MemberTable
from lavendermountd.metrics import NodeMetrics
from lavendermountd.peer.frames import CrashSuspicion, Pong
from lavendermountd.peer.link_pool import LinkPool
from lavendermountd.peer.server import PeerServer
from lavendermountd.phases import Phase
from lavendermountd.presets.applier import PresetApplier
from lavendermountd.presets.catchup import PresetCatchUp
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.peer_progress import PeerProgress
from lavendermountd.recorder.recorder import Recorder
from lavendermountd.routing.budgets import MeasuringBudget, TokenBucket
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.router import Router
from lavendermountd.routing.sender import Sender
from lavendermountd.routing.target_selector import TargetSelector
from lavendermountd.supervision.freeze import FreezeGuard

log = logging.getLogger(__name__)

URGENT_GOSSIP_FANOUT = 16
# Rate in B/s, and capacity in bytes, until a preset is in force.
INITIAL_BUDGET_BYTES = 20000
RECENT_SENDER_S = 3.0
RELOADABLE_SETTINGS = ('drain_s', 'listen_s', 'origin')


class Node:
    """All components of one node; the supervisor tree runs them.

    :param settings: validated settings.
    """

    def __init__(self, settings: NodeSchema) -> None:
        """Build and connect the components; none runs yet."""
        self.settings = settings
        self.phase = Phase.SERVING
        self.stop_requested = asyncio.Event()
        self.urgent_gossip: asyncio.Task[None] | None = None
        self.identity = Identity(settings)
        self.metrics = NodeMetrics()
        self.dialect = create_dialect(settings.dialect)
        self.freeze_guard = FreezeGuard()
        self.platform_log = open_log(
            settings.log.adapter,
            settings.log.url,
            settings.log.timeout_ms / MS_PER_S,
        )
        self.build_membership()
        self.build_routing()
        self.build_presets()
        self.build_servers()
        self.connect_components()

    def build_membership(self) -> None:
        """Build the gate, the member table and gossip."""
        membership = self.settings.membership
        self.channels = ChannelPool(self.identity)
        self.gate = Gate(self.identity, self.dialect)
        self.gate.client.memory.capacity_bytes = self.settings.body_memory_bytes
        self.view = LoadView(self.identity)
        self.budget = MeasuringBudget(
            TokenBucket(INITIAL_BUDGET_BYTES, INITIAL_BUDGET_BYTES),
            TokenBucket(INITIAL_BUDGET_BYTES, INITIAL_BUDGET_BYTES),
        )
        self.table = MemberTable(self.identity.member)
        evacuations = EvacuationTable(self.settings.presets.evacuation_prefix)
        timers = SuspicionTimers(self.table, membership.suspicion_ms / MS_PER_S)
        exchange = GossipExchange(
            self.table,
            self.view,
            self.gate,
            self.budget,
            evacuations,
        )
        self.gossip = Gossip(
            exchange,
            self.channels,
            timers,
            membership.period_ms / MS_PER_S,
        )
        self.joiner = build_joiner(self.settings, self.gossip, self.platform_log)

    def build_routing(self) -> None:
        """Build the components that route requests to targets."""
        self.links = LinkPool(
            self.identity, self.on_load_report, self.gate.merge_suspicion
        )
        self.links.memory = self.gate.client.memory
        self.link_bucket = TokenBucket(0, 0)
        self.selector = TargetSelector(
            self.table,
            self.view,
            self.link_bucket,
            self.links.backoff,
            self.evacuations,
        )
        self.recorder = Recorder(
            self.identity,
            self.platform_log,
            self.settings.recorder.buffer,
            self.settings.log.record_bytes,
        )
        self.router = Router(
            self.selector,
            Sender(self.gate, self.links),
            self.recorder,
            self.gate.suspects,
        )
        holders = HolderClient(self.table, self.channels)
        self.claims = ClaimService(
            self.identity,
            self.platform_log,
            self.router,
            holders,
        )

    def build_presets(self) -> None:
        """Build the components that track the preset in force."""
        self.holder = PresetHolder()
        self.follower = build_follower(
            self.settings,
            self.platform_log,
            self.holder,
            self.evacuations,
            self.table,
        )
        self.catch_up = PresetCatchUp(self.holder, self.channels)

    def build_servers(self) -> None:
        """Build the servers; they listen once the supervisor tree runs them."""
        allotments = Allotments(
            self.table, self.links, self.settings.zones, self.knows_members
        )
        self.router.take_hedge_token = allotments.client.try_take_hedge
        self.service = CallService(
            self.holder,
            self.router,
            self.claims,
            self.metrics,
            self.dialect,
            self.settings.origin,
            allotments,
        )
        self.service.limits.memory = self.gate.client.memory
        self.service.intake.max_descriptors = self.settings.max_descriptors
        self.caller_server = CallerServer(self.service)
        self.peer_server = PeerServer(self.gate, self.freeze_guard)
        self.peer_server.memory = self.gate.client.memory
        self.peer_server.allotments = allotments.owner
        self.target_monitor = TargetMonitor(
            self.gate,
            self.settings.target.evidence == HEALTH,
        )

    def connect_components(self) -> None:
        """Register callbacks between components; set the static target, if any."""
        self.target_lifecycle = TargetLifecycle(
            self.gate,
            self.table,
            self.broadcast_load,
            self.settings.target.evidence == HEALTH,
        )
        self.holder.on_change.append(PresetApplier(self).apply)
        self.holder.on_stage = self.metrics.observe_preset_stage
        self.evacuations.listeners.append(self.apply_evacuations)
        progress = PeerProgress(self.follower, self.evacuations)
        self.catch_up.on_adopted = progress.apply
        self.gossip.exchange.revision = self.newest_revision
        self.gossip.exchange.on_revision = self.catch_up.note_revision
        self.gossip.exchange.log_era = self.current_log_era
        self.gossip.exchange.on_log_era = self.platform_log.note_era
        self.gate.on_load_change = self.broadcast_load
        self.gate.limits.on_change = self.broadcast_load
        self.gate.on_suspect = self.broadcast_suspect
        self.gate.on_other_target = self.target_lifecycle.mark_replaced
        self.gate.on_leaving = self.target_lifecycle.handle_leaving_answer
        self.gate.on_slowness_change = self.broadcast_slowness
        self.gate.refresh_load = self.target_monitor.refresh
        self.freeze_guard.on_freeze.append(self.reset_after_freeze)
        self.freeze_guard.on_lag = self.metrics.observe_loop_lag
        recovery = LogRecovery(self)
        self.platform_log.era_listeners.append(recovery.start)
        connect_follower(self)
        self.links.on_ping_sent = self.charge_ping
        self.links.meter = self.gossip.meter
        self.peer_server.meter = self.gossip.meter
        self.table.listeners.append(self.forget_if_dead)
        self.table.listeners.append(self.links.end_backoff_if_restarted)
        static = self.settings.target
        if static.service:
            report = TargetReport(
                static.service,
                static.host,
                static.port,
                static.slots,
                'static',
            )
            self.target_lifecycle.set_target_address(report)

    def on_load_report(self, report: LoadReport) -> None:
        """Apply a load report received from another gate."""
        self.router.on_load_report(report)

    @property
    def allotments(self) -> Allotments:
        """Allotments of the tenants."""
        return self.service.allotments

    @property
    def evacuations(self) -> EvacuationTable:
        """Zones that have been evacuated."""
        return self.gossip.exchange.evacuations

    def apply_evacuations(self) -> None:
        """Close or open the gate as the state of its zone requires.

        A change that was learned by gossip may be one that a lost read missed.
        """
        zone = self.identity.member.zone
        self.gate.limits.set_evacuated(zone in self.evacuations.evacuated)
        self.follower.reachability.suspect_lost_read()

    def newest_revision(self) -> int:
        """Return the revision of the newest preset that this node can pass on."""
        return self.catch_up.relay.revision

    def current_log_era(self) -> int:
        """Return the era of the log that this node last saw."""
        return self.platform_log.era

    def forget_if_dead(self, member: Member) -> None:
        """Close the link to a dead member and discard its load report."""
        if member.status == MemberStatus.DEAD:
            self.links.drop(member.node_id)
            self.view.forget(member.node_id)

    def charge_ping(self, member: object, size: int) -> None:
        """Charge a ping and its reply to the measuring budget."""
        is_paid = getattr(member, 'region', '') != self.identity.member.region
        self.budget.charge('ping', 2 * size, is_paid)

    def apply_settings(self, settings: NodeSchema) -> None:
        """Apply the settings that may change while the node runs.

        Changes of addresses and names need a restart of the process.
        """
        changed = [
            name
            for name in RELOADABLE_SETTINGS
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        for name in changed:
            self.settings.checked[name] = getattr(settings, name)
        self.service.origin = self.settings.origin
        log.info('settings-reloaded', extra={'changed': ','.join(changed)})

    def broadcast_load(self) -> None:
        """Send the target's load to every node that sends requests here."""
        load = self.gate.load()
        self.view.take_report(load)
        self.peer_server.broadcast(Pong(0, load.to_row()))

    def broadcast_slowness(self) -> None:
        """Send the target's slowness to the nodes that sent requests recently."""
        load = self.gate.load()
        log.info(
            'target-slowness',
            extra={'slowness': load.slowness, 'in_flight': load.in_flight},
        )
        self.router.on_load_report(load)
        self.peer_server.broadcast_recent(Pong(0, load.to_row()), RECENT_SENDER_S)

    def broadcast_suspect(self, suspicion: CrashSuspicion) -> None:
        """Report a suspected request to all connected nodes immediately.

        Up to ``URGENT_GOSSIP_FANOUT`` nodes of the region are also told by gossip,
        because a node without a connection may be the next to receive the request.
        """
        self.peer_server.broadcast(suspicion)
        self.links.broadcast(suspicion)
        if self.urgent_gossip is None or self.urgent_gossip.done():
            self.urgent_gossip = asyncio.create_task(self.gossip_nearby())

    async def gossip_nearby(self) -> None:
        """Gossip with some nodes of the own region outside the regular rounds."""
        living = self.gossip.living_in_region()
        chosen = random.sample(living, min(URGENT_GOSSIP_FANOUT, len(living)))
        await self.gossip.exchange_with_all(chosen)

    def reset_after_freeze(self) -> None:
        """Discard state and connections that may be out of date after a freeze."""
        self.peer_server.close_all()
        self.links.close_all()
        self.allotments.reset()
        self.gossip.timers.restart()
        self.service.caught_up.clear()
        self.follower.restart()
        self.joiner.read_at = 0

    def not_ready_reason(self) -> str:
        """Return why the node does not serve callers; empty if it does."""
        if self.phase != Phase.SERVING:
            return str(self.phase)
        if self.holder.current is None:
            return 'no preset is in force'
        if not self.knows_members():
            return 'the members have not been read'
        if self.gossip.exchange.wants_suspicions:
            return 'the crash suspicions have not been learned'
        return ''

    def knows_members(self) -> bool:
        """Return whether the members are known well enough to route requests.

        They are once the joiner has read their records. While the log is
        unavailable, those that gossip has told of are enough.
        """
        if self.joiner.has_read_members:
            return True
        return self.joiner.is_log_unavailable and bool(self.table.living())

    async def resume_after_freeze(self) -> None:
        """Let the requests of callers proceed once the log is read after a freeze."""
        while True:
            await self.follower.is_caught_up.wait()
            self.service.caught_up.set()
            await asyncio.sleep(self.period_s / 4)

    @property
    def period_s(self) -> float:
        """Time between gossip rounds."""
        return self.settings.membership.period_ms / MS_PER_S
