"""One node: everything it holds, wired together.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from enum import StrEnum

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.node import HEALTH, KEYED, STREAM, NodeSchema
from lavendermount_core.config.preset import ALONE
from lavendermount_core.exceptions import ConfigurationError
from lavendermount_core.log.adapter import KeyedLog, open_log
from lavendermount_core.structure.loads import LoadReport
from lavendermount_core.structure.members import Member, MemberStatus
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.caller.server import RECENT_S, CallerServer
from lavendermountd.caller.service import CallService
from lavendermountd.claims.claims import ClaimService
from lavendermountd.claims.holders import HolderClient
from lavendermountd.control.channels import ChannelPool
from lavendermountd.dialects.base import open_dialect
from lavendermountd.gate.admission import ClassRule
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import ReportedState, TargetReport
from lavendermountd.gate.target import TargetState
from lavendermountd.gate.watch import TargetWatch
from lavendermountd.identity import Identity
from lavendermountd.membership.directory import KeyedJoiner
from lavendermountd.membership.exchange import GossipExchange
from lavendermountd.membership.gossip import Gossip
from lavendermountd.membership.joining import Joiner
from lavendermountd.membership.suspicion import SuspicionTimers
from lavendermountd.membership.table import MemberTable
from lavendermountd.metrics import NodeMetrics
from lavendermountd.peer.frames import Pong, Suspected
from lavendermountd.peer.links import LinkPool
from lavendermountd.peer.server import PeerServer
from lavendermountd.presets.catchup import PresetCatchUp
from lavendermountd.presets.decoders import preset_decoders
from lavendermountd.presets.follower import PresetFollower
from lavendermountd.presets.holder import InForcePreset, PresetHolder
from lavendermountd.presets.newest import NewestPresetFollower
from lavendermountd.recorder.recorder import Recorder
from lavendermountd.routing.budgets import MeasuringBudget, TokenBucket
from lavendermountd.routing.chooser import Chooser
from lavendermountd.routing.router import Router
from lavendermountd.routing.sender import Sender
from lavendermountd.routing.view import LoadView
from lavendermountd.supervision.freeze import FreezeGuard

log = logging.getLogger(__name__)

TOLD_AT_ONCE = 16
STOP_POLL_S = 0.02
START_BUDGET_BYTES = 20000
RECENT_WORK_S = 3.0
LAST_FLUSH_S = 0.3
CROSSING_SHARE = 0.25
RELOADED = ('drain_s', 'listen_s', 'origin')


class Phase(StrEnum):
    """What the node does with callers."""

    SERVING = 'serving'
    STOPPING = 'stopping'


class Node:
    """The parts of one node; the supervisor tree runs them.

    :param settings: validated settings.
    """

    def __init__(self, settings: NodeSchema) -> None:
        """Build and wire the parts; nothing runs yet."""
        self.settings = settings
        self.phase = Phase.SERVING
        self.stop_requested = asyncio.Event()
        self.telling: asyncio.Task[None] | None = None
        self.identity = Identity(settings)
        self.metrics = NodeMetrics()
        self.dialect = open_dialect(settings.dialect)
        self.guard = FreezeGuard()
        self.platform_log = open_log(
            settings.log.adapter,
            settings.log.url,
            settings.log.timeout_ms / MS_PER_S,
        )
        self.build_membership()
        self.build_routing()
        self.build_presets()
        self.build_servers()
        self.wire()

    def build_membership(self) -> None:
        """Build the gate, the members and gossip."""
        membership = self.settings.membership
        self.channels = ChannelPool(self.identity)
        self.gate = Gate(self.identity, self.dialect)
        self.view = LoadView(self.identity)
        self.budget = MeasuringBudget(
            TokenBucket(START_BUDGET_BYTES, START_BUDGET_BYTES),
            TokenBucket(START_BUDGET_BYTES, START_BUDGET_BYTES),
        )
        self.table = MemberTable(self.identity.member)
        self.timers = SuspicionTimers(self.table, membership.suspicion_ms / MS_PER_S)
        self.exchange = GossipExchange(
            self.table,
            self.view,
            self.gate,
            self.budget,
        )
        self.gossip = Gossip(
            self.exchange,
            self.channels,
            self.timers,
            membership.period_ms / MS_PER_S,
        )
        self.joiner = self.build_joiner()

    def build_joiner(self) -> Joiner | KeyedJoiner:
        """Build what finds the first peers."""
        membership = self.settings.membership
        if membership.directory == KEYED:
            return KeyedJoiner(self.gossip, self.keyed_log())
        return Joiner(
            self.gossip,
            self.platform_log,
            membership.seeds,
            self.settings.log.retention_s,
        )

    def keyed_log(self) -> KeyedLog:
        """Take the log as one that keeps the newest record of each key.

        :raises ConfigurationError: if the adapter of the settings does not.
        """
        if isinstance(self.platform_log, KeyedLog):
            return self.platform_log
        finding = Finding('log.adapter', 'keeps no newest record of each key')
        raise ConfigurationError([finding])

    def build_routing(self) -> None:
        """Build what takes a request to a target."""
        self.links = LinkPool(self.identity, self.take_load, self.gate.learn_suspect)
        self.link_bucket = TokenBucket(0, 0)
        self.chooser = Chooser(
            self.table,
            self.view,
            self.link_bucket,
            self.links.avoidance,
        )
        self.recorder = Recorder(
            self.identity,
            self.platform_log,
            self.settings.recorder.buffer,
        )
        self.router = Router(
            self.chooser,
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
        """Build what follows and keeps the preset in force."""
        self.holder = PresetHolder()
        self.follower = self.build_follower()
        self.catch_up = PresetCatchUp(self.holder, self.channels)

    def build_follower(self) -> PresetFollower | NewestPresetFollower:
        """Build what follows the preset in force."""
        options = self.settings.presets
        if options.source == STREAM:
            return PresetFollower(self.platform_log, self.holder)
        return NewestPresetFollower(
            self.keyed_log(),
            self.holder,
            options.stream,
            options.key,
            preset_decoders.find(options.decoder),
        )

    def build_servers(self) -> None:
        """Build the servers; they listen when the tree runs them."""
        self.service = CallService(
            self.holder,
            self.router,
            self.claims,
            self.metrics,
            self.dialect,
            self.settings.origin,
        )
        self.caller_server = CallerServer(self.service)
        self.peer_server = PeerServer(self.gate, self.guard)
        self.target_watch = TargetWatch(
            self.gate,
            self.settings.target.evidence == HEALTH,
        )

    def wire(self) -> None:
        """Connect the parts that tell each other of changes."""
        self.holder.on_change.append(self.apply_preset)
        self.exchange.revision = self.current_revision
        self.exchange.on_revision = self.catch_up.note
        self.gate.on_load_change = self.tell_load
        self.gate.on_suspect = self.tell_suspect
        self.gate.on_other_target = self.lose_target
        self.gate.on_slowness_change = self.tell_slowness
        self.guard.on_freeze.append(self.fence)
        self.links.count_ping = self.count_ping
        self.table.listeners.append(self.forget_if_dead)
        static = self.settings.target
        if static.service:
            report = TargetReport(
                static.service,
                static.host,
                static.port,
                static.slots,
                'static',
            )
            self.gate.target.expect(report)
            self.enlist()

    def take_load(self, report: LoadReport) -> None:
        """Take over the load that another gate told."""
        self.router.take_load(report)

    def current_revision(self) -> int:
        """Revision of the preset in force here."""
        return self.holder.revision

    def forget_if_dead(self, member: Member) -> None:
        """Close the link to a member that died, and forget its load."""
        if member.status == MemberStatus.DEAD:
            self.links.drop(member.node_id)
            self.view.forget(member.node_id)

    def count_ping(self, member: object, size: int) -> None:
        """Charge a sign of life to the budget."""
        is_paid = getattr(member, 'region', '') != self.identity.member.region
        self.budget.charge('ping', 2 * size, is_paid)

    def apply_preset(self, preset: InForcePreset) -> None:
        """Hand the numbers of a new preset to the parts that use them."""
        schema = preset.schema
        limits = schema.limits
        rules = [ClassRule.from_options(entry) for entry in schema.class_]
        self.gate.admission.take_rules(rules)
        self.gate.client.limit = limits.connections
        service = preset.services.get(self.settings.origin)
        if service is not None:
            self.gate.client.limit = service.connections or limits.connections
            self.target_watch.health_path = service.health_path
        self.gate.client.silent_s = limits.silent_ms / MS_PER_S
        self.links.silent_s = limits.silent_ms / MS_PER_S
        self.gate.client.max_body = limits.body_bytes
        self.links.max_body = limits.body_bytes
        self.peer_server.max_body = limits.body_bytes
        self.service.take_limits(limits)
        self.target_watch.probe_s = schema.choosing.probe_ms / MS_PER_S
        self.gate.suspects.configure(
            schema.suspects.victims,
            schema.suspects.isolation == ALONE,
        )
        self.router.configure(preset)
        budget = schema.budget
        self.budget.local.configure(
            budget.local_bytes_s,
            budget.local_bytes_s * budget.burst_s,
        )
        self.budget.paid.configure(
            budget.paid_bytes_s,
            budget.paid_bytes_s * budget.burst_s,
        )
        link_rate = schema.choosing.link_bytes_s
        self.link_bucket.configure(link_rate, link_rate)
        self.link_bucket.earn(link_rate)

    def take_settings(self, settings: NodeSchema) -> None:
        """Take over the settings that may change while the node runs.

        Addresses and names need a new process.
        """
        changed = [
            name
            for name in RELOADED
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        for name in changed:
            self.settings.checked[name] = getattr(settings, name)
        self.service.origin = self.settings.origin
        log.info('settings-reloaded', extra={'changed': ','.join(changed)})

    def take_report(self, report: TargetReport) -> None:
        """Take over what the target beside the node says of itself.

        A report that says the target leaves closes the gate before this
        returns, so that an answer to the report may promise it.
        """
        target = self.gate.target
        is_late = target.history.is_late(report)
        log.info(
            'target-reported',
            extra={
                'instance': report.instance,
                'state': str(report.state),
                'born_ms': report.born_ms,
                'sequence': report.sequence,
                'is_late': is_late,
            },
        )
        if is_late:
            return
        if report.state != ReportedState.READY:
            self.take_departure(report)
            return
        needs_health = self.settings.target.evidence == HEALTH
        if needs_health and not target.history.is_proved(report):
            return
        if target.announce(report):
            self.enlist()

    def take_departure(self, report: TargetReport) -> None:
        """Give a target that leaves no new work; what runs goes on."""
        target = self.gate.target
        target.history.note(report)
        target.depart(report)
        if report.instance in {target.instance, ''}:
            self.drain_target()

    def lose_target(self) -> None:
        """Ask who answers at the target's address; it is not the one known."""
        if self.gate.target.state == TargetState.UP:
            self.gate.target.state = TargetState.DOWN
            self.gate.client.close_idle()
            log.warning(
                'target-replaced', extra={'instance': self.gate.target.instance}
            )
            self.tell_load()

    def enlist(self) -> None:
        """Tell the others which service the target answers for."""
        target = self.gate.target
        self.gate.client.close_idle()
        self.gate.admission.slots = target.slots
        self.gate.fill.forget()
        self.table.change_own(target.service, MemberStatus.ALIVE)
        self.tell_load()

    def drain_target(self) -> None:
        """Give the target no new work; what runs goes on."""
        if self.gate.target.state == TargetState.ABSENT:
            return
        log.info('target-draining', extra={'service': self.gate.target.service})
        self.gate.target.state = TargetState.DRAINING
        self.gate.dismiss_waiting()
        self.table.change_own(self.gate.target.service, MemberStatus.LEAVING)
        self.tell_load()

    def tell_load(self) -> None:
        """Tell the target's load to every node that sends work here."""
        load = self.gate.load()
        self.view.take_report(load)
        self.peer_server.tell_all(Pong(0, load.to_row()))

    def tell_slowness(self) -> None:
        """Tell the nodes that sent work lately how slow the target is."""
        load = self.gate.load()
        self.router.take_load(load)
        since = time.monotonic() - RECENT_WORK_S
        self.peer_server.tell_all(Pong(0, load.to_row()), since)

    def tell_suspect(self, told: Suspected) -> None:
        """Tell a suspicion to all nodes nearby, at once.

        Those that no connection is open to may be the next to get the request.
        """
        self.peer_server.tell_all(told)
        self.links.tell_all(told)
        if self.telling is None or self.telling.done():
            self.telling = asyncio.create_task(self.tell_nearby())

    async def tell_nearby(self) -> None:
        """Gossip with some nodes of the own region out of turn."""
        nearby = self.gossip.nearby()
        told = random.sample(nearby, min(TOLD_AT_ONCE, len(nearby)))
        await self.gossip.tell(told)

    def fence(self) -> None:
        """After a freeze, trust nothing that was held before it."""
        self.peer_server.close_all()
        self.links.close_all()
        self.timers.restart()
        self.service.is_current.clear()
        self.follower.is_caught_up.clear()
        self.joiner.read_at = 0

    def why_not_ready(self) -> str:
        """Say why the node does not serve callers; empty if it does."""
        if self.phase != Phase.SERVING:
            return str(self.phase)
        if self.holder.current is None:
            return 'no preset is in force'
        return ''

    async def refence(self) -> None:
        """Let callers in again once the log was read after a freeze."""
        while True:
            await self.follower.is_caught_up.wait()
            self.service.is_current.set()
            await asyncio.sleep(self.period_s / 4)

    async def stop(self) -> None:
        """Stop without cutting anything off.

        Callers go elsewhere first. The gate stays open to other nodes until
        then, so that the target's slots are missed for as short a time as can
        be; then it closes, and work under way ends, within the time that the
        settings allow.
        """
        log.info('node-stopping')
        self.phase = Phase.STOPPING
        self.service.is_stopping = True
        begun = time.monotonic()
        listen_s = self.settings.listen_s or self.period_s
        await self.wait_until(begun + listen_s - self.period_s)
        self.table.change_own(self.gate.target.service, MemberStatus.LEAVING)
        await self.tell_nearby()
        self.close_gate()
        await self.wait_until(begun + listen_s)
        self.caller_server.stop_listening()
        crossing_s = (self.settings.drain_s - listen_s) * CROSSING_SHARE
        flushing = asyncio.create_task(self.recorder.flush())
        while self.has_work() and time.monotonic() < begun + self.settings.drain_s:
            await asyncio.sleep(STOP_POLL_S)
            self.caller_server.end_idle(min(crossing_s, RECENT_S))
        self.caller_server.end_idle(0)
        flushing.cancel()
        await self.flush()
        log.info('node-stopped', extra={'work_left': self.has_work()})

    def close_gate(self) -> None:
        """Let no new work through to the target; what waits goes elsewhere."""
        self.gate.is_closed = True
        self.gate.dismiss_waiting()
        self.tell_load()

    async def wait_until(self, moment: float) -> None:
        """Wait until a time on the node's monotonic clock."""
        await asyncio.sleep(max(0, moment - time.monotonic()))

    @property
    def period_s(self) -> float:
        """Time between rounds of gossip."""
        return self.settings.membership.period_ms / MS_PER_S

    def has_work(self) -> bool:
        """Whether anything is under way that a stop would cut off."""
        admission = self.gate.admission
        answers = any(session.tasks for session in self.peer_server.sessions)
        callers = bool(self.service.under_way)
        if callers or answers or self.caller_server.connections:
            return True
        return bool(admission.in_flight + admission.queued)

    async def flush(self) -> None:
        """Append the last decisions if the log answers at once.

        The time to stop is up by now.
        """
        try:
            async with asyncio.timeout(LAST_FLUSH_S):
                await self.recorder.flush()
        except TimeoutError:
            log.warning('decisions-lost', extra={'count': len(self.recorder.waiting)})

    def refresh_metrics(self) -> None:
        """Set the gauges to what the node holds now."""
        for (kind, is_paid), size in self.budget.by_kind.items():
            link = 'paid' if is_paid else 'local'
            self.metrics.measuring.set({'kind': kind, 'link': link}, size)
        self.metrics.budget.set({'link': 'local'}, self.budget.local.rate)
        self.metrics.budget.set({'link': 'paid'}, self.budget.paid.rate)
        for name, amount in self.state_gauges().items():
            self.metrics.state.set({'name': name}, amount)

    def state_gauges(self) -> dict[str, float]:
        """List what the node holds, by name."""
        return {
            'in_flight': self.gate.admission.in_flight,
            'queued': self.gate.admission.queued,
            'revision': self.holder.revision,
            'members': len(self.table.members),
            'decisions': self.recorder.recorded,
            'decisions_dropped': self.recorder.dropped,
            'log_reachable': int(self.follower.is_reachable),
            'retries': self.router.retries.spent,
            'hedges': self.router.hedges.spent,
            'freezes': self.guard.freezes,
            'suspects': len(self.gate.suspects.suspects),
        }
