"""An emulated node: the real gate and router on the emulated network.

:units: seconds on the simulated clock.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import cast

from returns.result import Failure

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.models.calls import (
    Body,
    CallClass,
    CallReply,
    CallRequest,
    Reason,
    unknown_refusal,
)
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.replay.records import DecisionRecord
from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.emulator.network import Network
from lavendermount_testbed.emulator.scenario import (
    CallOptions,
    ScenarioSchema,
    ServiceOptions,
    service_name,
)
from lavendermount_testbed.emulator.target import EmulatedTarget, Noise
from lavendermountd.dialects.native import NativeDialect
from lavendermountd.gate.admission import ClassRule
from lavendermountd.gate.attempts import Attempt, AttemptResult
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.reports import TargetReport
from lavendermountd.gate.target_client import TargetClient
from lavendermountd.identity import Identity
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.backoff import NodeBackoff
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.recorder.recorder import Recorder
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.request_state import RequestState
from lavendermountd.routing.router import Router
from lavendermountd.routing.sender import RETURN_MARGIN_S, Sender
from lavendermountd.routing.target_selector import TargetSelector

RECENT_SENDER_S = 3.0
REPORTS_PER_ROUND = 8
GOSSIP_JITTER = 0.1
NODE_SETTINGS = (
    'node_id = "n"\nregion = "r"\nzone = "z"\n[listen]\ncaller_port = 1\n'
    'admin_port = 2\npeer_port = 3\ncontrol_port = 4\n[log]\nurl = "http://x"\n'
)


class CountingRecorder:
    """Replaces the recorder; counts decisions without storing them."""

    __slots__ = ('recorded',)

    def __init__(self) -> None:
        """Start without decisions."""
        self.recorded = 0

    def add(self, decision: DecisionRecord) -> None:
        """Count a decision."""
        self.recorded += 1


class Fleet:
    """State that all emulated nodes share.

    :param scenario: simulated scenario.
    :param preset: preset in force on every node.
    :param network: network between the nodes.
    """

    __slots__ = (
        'scenario',
        'preset',
        'network',
        'nodes',
        'table',
        'call_types',
        'services',
        'request_count',
    )

    def __init__(
        self,
        scenario: ScenarioSchema,
        preset: InForcePreset,
        network: Network,
    ) -> None:
        """Start without nodes."""
        self.scenario = scenario
        self.preset = preset
        self.network = network
        self.nodes: dict[str, EmulatedNode] = {}
        self.call_types = {entry.name: entry for entry in scenario.call}
        self.services = {entry.name: entry for entry in scenario.service}
        # The table requires an entry for its own node. This one is dead, so that it
        # is never chosen.
        placeholder = Member('outside', 0, 0, MemberStatus.DEAD, '', '', '', '', 0, 0)
        self.table = MemberTable(placeholder)
        self.request_count = 0

    def choose_service(self, call_type: CallOptions, rng: random.Random) -> str:
        """Choose a random copy of the service that a call type is sent to."""
        entry = self.services[call_type.service]
        return service_name(entry, rng.randrange(entry.copies))

    def next_request_id(self) -> str:
        """Return the identifier of the next request."""
        self.request_count += 1
        return f'r{self.request_count}'


class EmulatedSender:
    """Replaces ``Sender``: sends attempts over the emulated network.

    :param node: node that sends the attempts.
    """

    __slots__ = ('node',)

    def __init__(self, node: EmulatedNode) -> None:
        """Keep the node that sends."""
        self.node = node

    async def send(
        self,
        state: RequestState,
        member: Member,
        attempt_id: str,
        patience_s: float = 0,
    ) -> AttemptResult:
        """Run one attempt on a target.

        :param patience_s: longest wait at the gate; 0 for no limit.
        """
        attempt = Attempt(attempt_id, state.request, state.fingerprint)
        attempt.patience_s = patience_s
        node = self.node
        if member.node_id == node.member.node_id:
            outcome = await node.gate.execute(attempt)
            node.router.on_load_report(node.gate.load())
            return outcome
        try:
            async with asyncio.timeout_at(state.request.deadline - RETURN_MARGIN_S):
                return await self.send_remote(attempt, member)
        except TimeoutError:
            self.cancel(member, attempt_id)
            return Failure(
                unknown_refusal(
                    Reason.DEADLINE, 'the gate did not reply before the deadline'
                )
            )
        except asyncio.CancelledError:
            self.cancel(member, attempt_id)
            raise

    async def send_remote(self, attempt: Attempt, member: Member) -> AttemptResult:
        """Run one attempt at another node's gate, with network delays both ways."""
        node = self.node
        other = node.fleet.nodes[member.node_id]
        network = node.fleet.network
        await network.transfer(node.member, member, len(attempt.request.body))
        other.last_received_at[node.member.node_id] = time.monotonic()
        attempt.is_remote = True
        outcome = await asyncio.shield(asyncio.create_task(other.gate.execute(attempt)))
        load = other.gate.load()
        size = len(outcome.map(_body_of).value_or(b''))
        await network.transfer(member, node.member, size)
        node.router.on_load_report(load)
        return outcome

    def cancel(
        self,
        member: Member,
        attempt_id: str,
        is_waiting_only: bool = False,
    ) -> None:
        """Cancel an attempt at its gate.

        :param is_waiting_only: whether an attempt that may have reached the target
            continues.
        """
        other = self.node.fleet.nodes[member.node_id]
        other.gate.cancel(attempt_id, is_waiting_only)


def _body_of(reply: CallReply) -> Body:
    return reply.body


class EmulatedNode:
    """One node and its target.

    :param fleet: state shared by all nodes.
    :param member: the node's entry in the member table.
    :param service: service of the target.
    :param seed: seed of the node's random generator.
    """

    def __init__(
        self,
        fleet: Fleet,
        member: Member,
        service: ServiceOptions,
        seed: int,
    ) -> None:
        """Connect the real components with the emulated ones."""
        self.fleet = fleet
        self.member = member
        self.rng = random.Random(seed)
        self.last_received_at: dict[str, float] = {}
        identity = Identity(load_text(NodeSchema, NODE_SETTINGS, 'emulator'))
        identity.member = member
        self.gate = Gate(identity, NativeDialect())
        self.target = EmulatedTarget(
            self.gate.target,
            service,
            fleet.call_types,
            Noise(fleet.scenario.noise, self.rng),
        )
        self.target.call_inner = self.call_inner
        self.gate.client = cast(TargetClient, self.target)
        self.view = LoadView(identity)
        self.link_bucket = TokenBucket(0, 0)
        self.build_router()
        self.apply_preset(fleet.preset)
        self.announce_target(service)

    def build_router(self) -> None:
        """Build the router and its emulated dependencies."""
        selector = TargetSelector(
            self.fleet.table,
            self.view,
            self.link_bucket,
            NodeBackoff(),
            EvacuationTable(),
        )
        selector.seed_generator = self.rng
        self.recorder = CountingRecorder()
        self.router = Router(
            selector,
            cast(Sender, EmulatedSender(self)),
            cast(Recorder, self.recorder),
            self.gate.suspects,
        )
        self.gate.refresh_load = self.refresh_load
        self.gate.on_slowness_change = self.report_slowness

    def apply_preset(self, preset: InForcePreset) -> None:
        """Configure the components from the preset."""
        rules = [ClassRule.from_options(entry) for entry in preset.schema.class_]
        self.gate.admission.replace_rules(rules)
        self.gate.queue.tickets.has_tenants = bool(preset.schema.tenant)
        self.gate.queue.set_order(preset.schema.overload.order)
        self.router.configure(preset)
        link_rate = preset.schema.choosing.link_bytes_s
        self.link_bucket.configure(link_rate, link_rate)
        self.link_bucket.earn(link_rate)

    def announce_target(self, service: ServiceOptions) -> None:
        """Announce the target to the gate as ready and warmed up."""
        report = TargetReport(
            self.member.service,
            '',
            0,
            service.slots,
            self.member.node_id,
            cold_ms=0,
        )
        self.gate.target.apply_ready_report(report)
        self.gate.admission.slots = service.slots

    async def refresh_load(self) -> None:
        """Read the target's load right before a request is sent to it."""
        await asyncio.sleep(0)
        self.gate.record_slowness(self.target.load())

    def report_slowness(self) -> None:
        """Send the load to the nodes that recently sent requests."""
        load = self.gate.load()
        self.router.on_load_report(load)
        since = time.monotonic() - RECENT_SENDER_S
        for node_id, received_at in self.last_received_at.items():
            if received_at >= since:
                self.send_report(self.fleet.nodes[node_id], load)

    def send_report(self, other: EmulatedNode, report: LoadReport) -> None:
        """Deliver a load report after the network delay; no bytes are counted."""
        delay_s = self.fleet.network.schedule_message(self.member, other.member, 0)
        asyncio.get_running_loop().call_later(
            delay_s, other.router.on_load_report, report
        )

    async def probe_target(self) -> None:
        """Read the target's load periodically while the target is up."""
        interval_s = self.fleet.scenario.probe_ms / MS_PER_S
        while interval_s:
            await asyncio.sleep(interval_s)
            if self.target.is_up:
                self.gate.record_slowness(self.target.load())

    async def gossip(self) -> None:
        """Exchange load reports with a random node of the region each period."""
        interval_s = self.fleet.scenario.gossip_ms / MS_PER_S
        peers = [
            other
            for other in self.fleet.nodes.values()
            if other.member.region == self.member.region and other is not self
        ]
        while peers:
            await asyncio.sleep(
                interval_s * self.rng.uniform(1 - GOSSIP_JITTER, 1 + GOSSIP_JITTER)
            )
            other = self.rng.choice(peers)
            self.send_known_reports(other)
            other.send_known_reports(self)

    def send_known_reports(self, other: EmulatedNode) -> None:
        """Send the node's own load report and hand over a sample of those it knows.

        The sample arrives without delay, and its bytes are not counted.
        """
        self.send_report(other, self.gate.load())
        node_ids = list(self.view.loads)
        now = time.monotonic()
        for node_id in self.rng.sample(node_ids, min(REPORTS_PER_ROUND, len(node_ids))):
            known_load = self.view.loads[node_id]
            other.view.take_report(
                known_load.report, (now - known_load.reported_at) * MS_PER_S
            )

    def build_request(
        self, call_type: CallOptions, first_sent_at: float
    ) -> CallRequest:
        """Build a request; its deadlines count from the first send."""
        call_class = CallClass(
            self.fleet.choose_service(call_type, self.rng),
            'default',
            call_type.name,
            bool(call_type.is_repeatable),
        )
        return CallRequest(
            self.fleet.next_request_id(),
            'GET' if call_type.is_repeatable else 'POST',
            f'/{call_type.name}/',
            [],
            b'',
            call_class,
            first_sent_at + call_type.timeout_ms / MS_PER_S,
            first_sent_at + call_type.target_ms / MS_PER_S,
        )

    async def call(self, request: CallRequest) -> AttemptResult:
        """Route a request to its final outcome, as the caller server does."""
        return await self.router.route(request, self.fleet.preset)

    async def call_inner(self, name: str, outer_attempt: Attempt) -> AttemptResult:
        """Send the nested call of the node's target.

        Its deadline is at most that of the outer request.
        """
        call_type = self.fleet.call_types[name]
        request = self.build_request(call_type, time.monotonic())
        request.deadline = min(request.deadline, outer_attempt.request.deadline)
        return await self.call(request)
