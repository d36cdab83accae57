"""Steps that send orders late in the grace period of a planned stop."""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

from behave import given, then, when
from builders import DeploymentBuilder
from connection_builders import Caller, Reply, connect_to_node, encode_order
from deployment_steps import instance_of, start_deployment
from fault_steps import runs_of_all

SERVICE_MS = 1500
DRAIN_S = 4.0
# After this part of the drain, an order can't be completed before its end.
LATE_S = 3.1
# Longer than the drain, so that gates accept orders that would outlast it.
DEADLINE_MS = 8000
# Several times as many orders as the slots of all targets.
QUEUED_ORDERS = 30
SLOW_ORDERS = 3
OK = 200
NOT_RUN = 503


class LateOrder:
    """One order, sent around the stop of its node.

    :param kind: how it is sent.
    """

    __slots__ = ('kind', 'run_id', 'reply', 'is_sent')

    def __init__(self, kind: str) -> None:
        """Start before the order is sent."""
        self.kind = kind
        self.run_id = uuid.uuid4().hex
        self.reply: Reply | None = None
        # Whether the node accepted the connection and was still reading from it.
        self.is_sent = False

    def encode(self) -> bytes:
        """Encode the order."""
        headers = f'X-Run-Id: {self.run_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n'
        return encode_order('/order', b'x' * 100, headers)

    async def finish(self, caller: Caller, *parts: bytes) -> None:
        """Send the last parts and wait for the reply."""
        try:
            await caller.send(*parts)
            self.is_sent = True
            self.reply = await caller.read_reply()
        except ConnectionError:
            self.reply = None
        finally:
            await caller.close()


@given('a deployment of {count:d} nodes that stop within 4 s, and slow targets')
def deploy_with_drain(context: Any, count: int) -> None:
    """Start nodes of one service whose targets take a quarter of the drain."""
    builder = DeploymentBuilder().with_nodes(count)
    builder.target_profile.service_ms = SERVICE_MS
    builder.settings.drain_s = DRAIN_S
    start_deployment(context, builder)


@when('orders come late in the grace period of a planned stop of node {number:d}')
def send_late_orders(context: Any, number: int) -> None:
    """Send orders in all the ways in which they may come late."""
    instance = instance_of(context, number)
    context.orders = asyncio.run(_send_late_orders(instance))


async def _send_late_orders(instance: Any) -> list[LateOrder]:
    port = instance.caller_port
    await asyncio.gather(*(_send_now(port, LateOrder('before')) for _ in range(24)))
    queued = [LateOrder('queued') for _ in range(QUEUED_ORDERS)]
    tasks = [asyncio.create_task(_send_now(port, order)) for order in queued]
    slow = [
        LateOrder(kind) for kind in ('head', 'body', 'kept') for _ in range(SLOW_ORDERS)
    ]
    tasks += [asyncio.create_task(_send_slowly(port, order)) for order in slow]
    late = LateOrder('new')
    tasks.append(asyncio.create_task(_send_late(port, late)))
    await asyncio.sleep(0.1)
    instance.node.popen.terminate()
    await asyncio.gather(*tasks)
    return [*queued, *slow, late]


async def _send_now(port: int, order: LateOrder) -> None:
    caller = await connect_to_node(port)
    await order.finish(caller, order.encode())


async def _send_slowly(port: int, order: LateOrder) -> None:
    caller = await connect_to_node(port)
    payload = order.encode()
    sent = {'head': 20, 'body': len(payload) - 50, 'kept': 0}[order.kind]
    await caller.send(payload[:sent])
    await asyncio.sleep(LATE_S)
    await order.finish(caller, payload[sent:])


async def _send_late(port: int, order: LateOrder) -> None:
    await asyncio.sleep(LATE_S)
    try:
        caller = await connect_to_node(port)
    except ConnectionError:
        return
    await order.finish(caller, order.encode())


@then(
    'every order that was passed on is answered, and the others are refused as not run'
)
def late_orders_answered(context: Any) -> None:
    """Compare the replies with the runs of the targets."""
    runs = runs_of_all(context)
    for order in context.orders:
        status = None if order.reply is None else order.reply.status
        outcome = (order.kind, status, runs.get(order.run_id, 0))
        if status == OK:
            assert outcome[2] == 1, outcome
            continue
        assert status in {NOT_RUN, None}, outcome
        assert outcome[2] == 0, outcome
        # A kept connection may close before the order, and a new one be rejected.
        assert status == NOT_RUN or order.kind in {'kept', 'new'}, outcome
    answered = [order for order in context.orders if order.reply is not None]
    assert any(order.reply.status == OK for order in answered)
    assert any(order.kind == 'queued' for order in answered if order.reply.status != OK)
