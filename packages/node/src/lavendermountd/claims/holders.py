"""Asking the node that holds a claim what became of it.

:errors: none; a node that can't be asked is a state of its own.
"""

from __future__ import annotations

import asyncio

import grpc

from lavendermount_core.structure.calls import CallReply
from lavendermountd.claims.records import Claim
from lavendermountd.control.channels import ChannelPool
from lavendermountd.control.generated import control_pb2
from lavendermountd.membership.table import MemberTable

FORGOTTEN = 'forgotten'
COMPLETE = 'whole'


class HolderResponse:
    """What a holder says of its claim.

    :param state: name of a ``ClaimState``, or ``forgotten``.
    :param reply: the whole reply, if it is still kept.
    """

    __slots__ = ('state', 'reply')

    def __init__(self, state: str, reply: CallReply | None) -> None:
        """Keep the fields as given."""
        self.state = state
        self.reply = reply


class HolderClient:
    """Asks holders over gRPC.

    :param table: where the nodes are.
    :param channels: channels to them.
    """

    def __init__(self, table: MemberTable, channels: ChannelPool) -> None:
        """Keep the table and the channels."""
        self.table = table
        self.channels = channels

    async def query(self, claim: Claim, deadline: float) -> HolderResponse:
        """Ask what became of a claim.

        :param claim: held by some node.
        :param deadline: on the node's monotonic clock in seconds.
        :returns: its word, ``forgotten`` if that process is gone.
        """
        member = self.table.find(claim.node_id)
        if member is None or member.incarnation != claim.incarnation:
            return HolderResponse(FORGOTTEN, None)
        timeout_s = deadline - asyncio.get_running_loop().time()
        stub = await self.channels.stub_of(member)
        request = control_pb2.ClaimRequest(claim_id=claim.claim_id)
        try:
            answer = await stub.Claim(request, timeout=max(timeout_s, 0))
        except grpc.aio.AioRpcError:
            await self.channels.drop_of(member)
            return HolderResponse(FORGOTTEN, None)
        return HolderResponse(answer.state, _reply_from(answer))


def _reply_from(answer: control_pb2.ClaimReply) -> CallReply | None:
    if answer.state != COMPLETE or not answer.status:
        return None
    headers = [(header.name, header.text) for header in answer.headers]
    return CallReply(answer.status, answer.reason, headers, answer.body)
