"""Queries to the node that holds a claim, about the state of its request.

:errors: none; a holder that can't be reached is reported as ``forgotten``.
"""

from __future__ import annotations

import asyncio
import logging

from lavendermount_core.models.calls import CallReply, is_final_status
from lavendermountd.claims.records import Claim
from lavendermountd.control.channels import ChannelPool, ControlCallError
from lavendermountd.control.generated import control_pb2
from lavendermountd.membership.table import MemberTable

log = logging.getLogger(__name__)

FORGOTTEN = 'forgotten'
COMPLETE = 'whole'


class HolderResponse:
    """Reply of a holder about its claim.

    :param state: value of a ``ClaimState``, or ``forgotten``.
    :param reply: complete reply, if the holder still stores it.
    """

    __slots__ = ('state', 'reply')

    def __init__(self, state: str, reply: CallReply | None) -> None:
        """Initialize the fields."""
        self.state = state
        self.reply = reply


class HolderClient:
    """Queries claim holders over gRPC.

    :param table: members, to look up the holders.
    :param channels: gRPC channels to the members.
    """

    def __init__(self, table: MemberTable, channels: ChannelPool) -> None:
        """Initialize the client."""
        self.table = table
        self.channels = channels

    async def query(self, claim: Claim, deadline: float) -> HolderResponse:
        """Query the state of a claim.

        :param claim: claim of any node.
        :param deadline: on the node's monotonic clock in seconds.
        :returns: the holder's reply; ``forgotten`` if the process that made the
            claim is gone or does not reply.
        """
        member = self.table.find(claim.node_id)
        if member is None or member.incarnation != claim.incarnation:
            return HolderResponse(FORGOTTEN, None)
        timeout_s = deadline - asyncio.get_running_loop().time()
        request = control_pb2.ClaimRequest(claim_id=claim.claim_id)
        try:
            reply = await self.channels.call_member(
                member, 'Claim', request, max(timeout_s, 0)
            )
        except ControlCallError as error:
            log.info(
                'claim-holder-unreachable',
                extra={'peer': member.node_id, 'cause': str(error)},
            )
            return HolderResponse(FORGOTTEN, None)
        return HolderResponse(reply.state, _reply_from(reply))


def _reply_from(reply: control_pb2.ClaimReply) -> CallReply | None:
    if reply.state != COMPLETE or not is_final_status(reply.status):
        return None
    headers = [(header.name, header.text) for header in reply.headers]
    return CallReply(reply.status, reply.reason, headers, reply.body)
