"""Steps that check control calls between nodes, with a real gRPC server."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import grpc
from behave import then
from builders import NODE_SETTINGS, member

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_testbed.relay import Link, Relay
from lavendermountd.claims.records import Claim
from lavendermountd.control.generated import control_pb2, control_pb2_grpc
from lavendermountd.control.messages import member_message
from lavendermountd.node import Node

ANSWER_S = 0.6
GOSSIP_TIMEOUT_S = 0.1
RELAY_HOST = '127.0.0.2'
LINK_MBIT = 1000
IDLE_S = 1.2
CLOSING_S = 0.1
ROUND_TIMEOUT_S = 2
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


class AnsweringServicer(control_pb2_grpc.ControlServicer):
    """Answers gossip."""

    async def Gossip(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Answer with a round of this node."""
        sender = member_message(member('peer', region='r'))
        return control_pb2.GossipRound(sender=sender, revision=-1)


@then(
    'a gossip round is answered although the connection of the round before has'
    ' fallen silent'
)
def round_after_silence(context: Any) -> None:
    """Gossip over a link that loses what open connections carry."""
    asyncio.run(_gossip_after_silence())


async def _gossip_after_silence() -> None:
    server = grpc.aio.server()
    control_pb2_grpc.add_ControlServicer_to_server(AnsweringServicer(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    link = Link(0, LINK_MBIT)
    relay = Relay(link, '127.0.0.1')
    listener = await relay.serve_port(RELAY_HOST, port)
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    peer = member('peer', region='r', host=RELAY_HOST, control_port=port)
    assert await node.gossip.exchange_with(peer, DEADLINE_S)
    link.silence_open = True
    await asyncio.sleep(IDLE_S)
    assert await node.gossip.exchange_with(peer, ROUND_TIMEOUT_S)
    await node.channels.close()
    listener.close()
    relay.abort_all()
    await server.stop(None)
    await asyncio.sleep(CLOSING_S)


@then(
    'a node recovers once when gossip names a later era of the log, '
    'and ignores earlier ones'
)
def era_by_gossip(context: Any) -> None:
    """Merge rounds that name eras 0, 2, 1 and 2 into a node that knows era 1."""
    node = Node(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    node.platform_log.note_era(1)
    node.platform_log.era_listeners = [Mock()]
    for era in (0, 2, 1, 2):
        sender = member_message(member('n1', region='r'))
        message = control_pb2.GossipRound(sender=sender, revision=-1, log_era=era)
        node.gossip.exchange.merge(message)
    assert node.platform_log.era == 2
    node.platform_log.era_listeners[0].assert_called_once()
    assert node.gossip.exchange.minimal_round(None).log_era == 2
