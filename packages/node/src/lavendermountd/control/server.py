"""The control server: gossip from nodes and requests from operators.

:errors: malformed messages are rejected by ``grpc`` itself.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

import grpc

from lavendermount_core.exceptions import RecordError
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.claims.claims import ClaimState, LocalClaim
from lavendermountd.claims.holders import FORGOTTEN
from lavendermountd.control.channels import ControlCallError
from lavendermountd.control.generated import control_pb2, control_pb2_grpc
from lavendermountd.control.messages import (
    load_message,
    member_message,
    member_record,
    refused_message,
)
from lavendermountd.membership.gossip import RPC_OVERHEAD_BYTES
from lavendermountd.presets.parts import PresetParts

if TYPE_CHECKING:
    from lavendermountd.node import Node

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class ControlServicer(control_pb2_grpc.ControlServicer):
    """Handles control calls for one node.

    :param node: the node.
    """

    def __init__(self, node: Node) -> None:
        """Initialize the servicer."""
        self.node = node
        self.preset_parts = PresetParts(
            node.catch_up.relay, node.evacuations, node.follower.applied_position
        )

    async def Gossip(  # noqa: N802
        self,
        request: control_pb2.GossipRound,
        context: grpc.aio.ServicerContext[object, object],
    ) -> control_pb2.GossipRound:
        """Merge a round and respond with one; reject that of a malformed sender."""
        self.node.freeze_guard.check()
        try:
            sender = member_record(request.sender)
        except RecordError as error:
            log.warning('member-malformed', extra={'cause': str(error)})
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        response = self.node.gossip.exchange.answer(request)
        is_paid = sender.region != self.node.identity.member.region
        size = response.ByteSize() + RPC_OVERHEAD_BYTES
        self.node.budget.charge('gossip', size, is_paid)
        self.node.gossip.meter.add_gossip(sender, size)
        return response

    async def Probe(  # noqa: N802
        self,
        request: control_pb2.ProbeRequest,
        context: object,
    ) -> control_pb2.ProbeReply:
        """Probe another node on the caller's behalf."""
        message = self.node.gossip.exchange.minimal_round(None)
        timeout_s = request.timeout_ms / MS_PER_S
        try:
            await self.node.channels.call(request.address, 'Gossip', message, timeout_s)
        except ControlCallError as error:
            log.debug('probe-failed', extra={'cause': str(error)})
            return control_pb2.ProbeReply(is_alive=False)
        return control_pb2.ProbeReply(is_alive=True)

    async def Preset(  # noqa: N802
        self,
        request: control_pb2.PresetRequest,
        context: object,
    ) -> control_pb2.PresetReply:
        """Return the preset in force, or the part of it that the request names."""
        return self.preset_parts.reply(request)

    async def Claim(  # noqa: N802
        self,
        request: control_pb2.ClaimRequest,
        context: object,
    ) -> control_pb2.ClaimReply:
        """Return the state of a claim of this node; wait while its request runs."""
        local = self.node.claims.find(request.claim_id)
        if local is None:
            is_released = self.node.claims.is_released(request.claim_id)
            state = str(ClaimState.RELEASED) if is_released else FORGOTTEN
            return control_pb2.ClaimReply(state=state)
        if local.state == ClaimState.RUNNING:
            await asyncio.shield(local.outcome_future)
        return _claim_reply(local)

    async def Status(  # noqa: N802
        self,
        request: control_pb2.StatusRequest,
        context: object,
    ) -> control_pb2.StatusReply:
        """Return the state of this node and the members and loads it knows."""
        node = self.node
        now = time.monotonic()
        preset = node.holder.current
        node.view.take_report(node.gate.load())
        return control_pb2.StatusReply(
            node=member_message(node.identity.member),
            phase=str(node.phase),
            revision=node.holder.revision,
            preset='' if preset is None else preset.schema.name,
            version='' if preset is None else preset.version,
            members=map(member_message, node.table.members.values()),
            loads=[
                load_message(reported.report, (now - reported.reported_at) * MS_PER_S)
                for reported in node.view.loads.values()
            ],
            decisions=node.recorder.recorded,
            decisions_dropped=node.recorder.dropped,
            is_log_reachable=node.follower.reachability.is_reachable,
            refused_presets=[
                refused_message(source, refused)
                for source, refused in node.holder.refusals.by_source.items()
            ],
            adjustments=map(str, () if preset is None else preset.adjustments),
        )

    async def Drain(  # noqa: N802
        self,
        request: control_pb2.DrainRequest,
        context: object,
    ) -> control_pb2.DrainReply:
        """Start a planned stop of the target, or of the whole node."""
        self.node.target_lifecycle.drain_target()
        if request.stop:
            self.node.stop_requested.set()
        admission = self.node.gate.admission
        return control_pb2.DrainReply(
            in_flight=admission.in_flight,
            queued=admission.queued,
        )


def _claim_reply(local: LocalClaim) -> control_pb2.ClaimReply:
    claim_reply = control_pb2.ClaimReply(state=str(local.state))
    if local.state != ClaimState.COMPLETE:
        return claim_reply
    target_reply = local.outcome_future.result().unwrap()
    claim_reply.status = target_reply.status
    claim_reply.reason = target_reply.reason
    claim_reply.body = bytes(target_reply.body)
    for name, text in target_reply.headers:
        claim_reply.headers.add(name=name, text=text)
    return claim_reply


async def serve_control(node: Node, host: str, port: int) -> None:
    """Serve control calls until cancelled.

    :param node: the node that handles the calls.
    :param host: IP address to listen on.
    :param port: port to listen on.
    """
    options = (
        ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
        ('grpc.so_reuseport', 0),
    )
    server = grpc.aio.server(options=options)
    control_pb2_grpc.add_ControlServicer_to_server(ControlServicer(node), server)  # type: ignore[no-untyped-call]
    server.add_insecure_port(f'{host}:{port}')
    try:
        await server.start()
        await server.wait_for_termination()
    finally:
        # Until the server has stopped, the library keeps the process from exiting.
        await server.stop(None)
