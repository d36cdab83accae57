"""Steps that check control calls between nodes, with a real gRPC server."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
from behave import then
from builders import NODE_SETTINGS, member

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermountd.claims.records import Claim
from lavendermountd.control.generated import control_pb2, control_pb2_grpc
from lavendermountd.node import Node

ANSWER_S = 0.6
GOSSIP_TIMEOUT_S = 0.1
DEADLINE_S = 5


class SlowServicer(control_pb2_grpc.ControlServicer):
    """Answers claim queries after ``ANSWER_S``, and gossip never."""

    async def Claim(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Answer that the request is complete."""
        await asyncio.sleep(ANSWER_S)
        return control_pb2.ClaimReply(state='whole', status=200, reason='OK')

    async def Gossip(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Hang."""
        await asyncio.sleep(DEADLINE_S)
        return control_pb2.GossipRound()


@then('a claim query completes although a gossip round to its holder times out')
def query_survives_gossip(context: Any) -> None:
    """Query a holder, and let a gossip round to it time out meanwhile."""
    asyncio.run(_query_beside_gossip())


async def _query_beside_gossip() -> None:
    server = grpc.aio.server()
    control_pb2_grpc.add_ControlServicer_to_server(SlowServicer(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    holder = member('holder', region='r', host='127.0.0.1', control_port=port)
    node.table.merge(holder)
    claim = Claim('c', 'k', 'p', 'holder', holder.incarnation, '')
    deadline = asyncio.get_running_loop().time() + DEADLINE_S
    query = asyncio.create_task(node.claims.holders.query(claim, deadline))
    await asyncio.sleep(GOSSIP_TIMEOUT_S)
    assert not await node.gossip.exchange_with(holder, GOSSIP_TIMEOUT_S)
    response = await query
    assert response.state == 'whole', response.state
    assert response.reply is not None
    await node.channels.close()
    await server.stop(None)
