"""Steps that check how much memory bodies take."""

from __future__ import annotations

import asyncio
import hashlib
import subprocess
import sys
import time
import tracemalloc
import urllib.request
from pathlib import Path
from typing import Any

from behave import given, then, when
from builders import DeploymentBuilder
from connection_builders import READ_TIMEOUT_S, connected_caller, encode_order
from deployment_steps import instance_of, start_deployment
from memory_builders import (
    BUDGET_BYTES,
    MB,
    UPLOAD,
    dispatch_frame,
    exchange_with_endless_target,
    peak_mb,
    peer_session,
    small_service,
)
from request_steps import SentRequest

from lavendermount_core.models.calls import CallClass, CallRequest
from lavendermountd.claims.claims import payload_digest
from lavendermountd.memory import MemoryBudget
from lavendermountd.peer.frames import BodyPart, Cancel, Ping, Pong, Refused

READ_BYTES = 65536
MAX_ORDER_S = 0.3
PROCESS_TIMEOUT_S = 60
# What a growing buffer may take beyond its bytes.
HEAP_EXCESS = 1.25
CALL_CLASS = CallClass('dealer-desk', '', 'order', False)
TOO_LARGE = b'l' * (BUDGET_BYTES + 1)


@given('a node with {size:d} MB for bodies')
def node_with_memory(context: Any, size: int) -> None:
    """Start one node and its target."""
    builder = DeploymentBuilder().with_nodes(1)
    builder.settings.body_memory_bytes = size * MB
    start_deployment(context, builder)
    context.start_mb = peak_mb(instance_of(context, 1).node)


@when(
    '{count:d} uploads of {size:d} MB are sent to it at once, and small orders beside them'
)
def send_uploads(context: Any, count: int, size: int) -> None:
    """Send the uploads, and small orders until all uploads are answered."""
    instance = instance_of(context, 1)
    body = b'u' * (size * MB)
    context.uploads = [
        SentRequest(instance, 'POST', '/order', {}, body) for _ in range(count)
    ]
    context.orders = []
    while any(upload.thread.is_alive() for upload in context.uploads):
        order = SentRequest(instance, 'POST', '/order', {}, b'pump')
        context.orders.append(order.wait())
        time.sleep(0.02)


@then('it has grown by less than {limit:d} MB')
def has_grown(context: Any, limit: int) -> None:
    """Compare the peak of the resident memory with that before the uploads."""
    grown_mb = peak_mb(instance_of(context, 1).node) - context.start_mb
    assert grown_mb < limit, grown_mb


@then('each upload was served or refused as not run, and each small order was served')
def all_answered(context: Any) -> None:
    """Check the replies."""
    replies = [upload.wait() for upload in context.uploads]
    served = [reply for reply in replies if reply.status == 200]
    refused = [reply for reply in replies if reply.status == 503]
    assert served and len(served) + len(refused) == len(replies), replies
    assert all(reply.outcome == 'not-run' for reply in refused)
    assert all('Retry-After' in reply.headers for reply in refused)
    statuses = [reply.status for reply in context.orders]
    assert statuses and set(statuses) == {200}, statuses


@then('the metrics say that no body is held any more')
def nothing_held(context: Any) -> None:
    """Read the gauge of held bytes."""
    port = instance_of(context, 1).admin_port
    with urllib.request.urlopen(f'http://127.0.0.1:{port}/metrics') as reply:
        text = reply.read().decode()
    assert 'lavendermount_body_memory_bytes{name="held"} 0' in text, text


@then(
    'the digest of a large body is that of earlier versions, at a fraction of its memory'
)
def digest_memory(context: Any) -> None:
    """Compare with the digest of the joined text; measure a body of 700 kB."""
    request = CallRequest('r', 'PUT', '/a', [], b'short', CALL_CLASS, 0)
    text = '3:PUT\n2:/a\n10:' + b'short'.hex()
    joined = hashlib.sha256(text.encode()).hexdigest()
    assert joined.startswith(payload_digest(request))
    request.body = UPLOAD
    tracemalloc.start()
    payload_digest(request)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < len(UPLOAD), peak_bytes


@then('a second upload is served if the first ends soon, and refused if it does not')
def second_upload(context: Any) -> None:
    """Send two uploads that do not fit together."""
    for work_s, status in ((0.2, 200), (2, 503)):
        statuses, context.order_s = asyncio.run(_send_two_uploads(work_s))
        assert statuses == [200, status], (work_s, statuses)


@then('orders on other connections are served meanwhile')
def orders_meanwhile(context: Any) -> None:
    """Check the time that an order took while an upload waited."""
    assert context.order_s < MAX_ORDER_S, context.order_s


async def _send_two_uploads(work_s: float) -> tuple[list[int], float]:
    service = small_service(work_s)
    async with (
        connected_caller(service) as (first, _),
        connected_caller(service) as (second, _),
        connected_caller(service) as (third, _),
    ):
        await first.send(encode_order('/first', UPLOAD))
        sender = asyncio.create_task(second.send(encode_order('/second', UPLOAD)))
        await asyncio.sleep(0.05)
        started_at = time.monotonic()
        await third.send(encode_order('/third'))
        order = await third.read_reply()
        order_s = time.monotonic() - started_at
        assert order is not None and order.status == 200
        replies = [await caller.read_reply() for caller in (first, second)]
        await sender
        return [reply.status for reply in replies if reply], order_s


@then('an upload above the memory for bodies is refused, with a length or in chunks')
def never_fits(context: Any) -> None:
    """Send it both ways, and an order behind it."""
    head = b'POST /chunked HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunked = b'%b%x\r\n%b\r\n0\r\n\r\n' % (head, len(TOO_LARGE), TOO_LARGE)
    for payload in (encode_order('/length', TOO_LARGE), chunked):
        statuses = asyncio.run(_send_and_order(payload))
        assert statuses == [503, 200], statuses


async def _send_and_order(payload: bytes) -> list[int]:
    service = small_service(0)
    async with connected_caller(service) as (caller, _):
        await caller.send(payload + encode_order('/next'))
        replies = [await caller.read_reply() for _ in range(2)]
        assert service.limits.memory.held_bytes == 0
        assert service.limits.memory.peak_bytes <= BUDGET_BYTES
        return [reply.status for reply in replies if reply]


@then('one that waits to be told to continue is refused at once')
def continue_refused(context: Any) -> None:
    """Send only the head."""
    asyncio.run(_send_head_only())


async def _send_head_only() -> None:
    async with connected_caller(small_service(0)) as (caller, _):
        payload = encode_order('/head', TOO_LARGE, 'Expect: 100-continue\r\n')
        await caller.send(payload[: -len(TOO_LARGE)])
        reply = await caller.read_reply()
        assert reply is not None
        assert (reply.status, reply.is_last) == (503, True), reply.status


@then('{count:d} replies without end at once fail within the memory for bodies')
def endless_replies(context: Any, count: int) -> None:
    """Read the replies at the same time."""
    memory = MemoryBudget(BUDGET_BYTES)
    errors = asyncio.run(_read_endless(memory, count))
    assert all(error.lacks_memory for error in errors), errors
    assert memory.peak_bytes <= BUDGET_BYTES + count * READ_BYTES, memory.peak_bytes
    assert memory.held_bytes == 0, memory.held_bytes


async def _read_endless(memory: MemoryBudget, count: int) -> list[Any]:
    exchanges = [exchange_with_endless_target(memory) for _ in range(count)]
    async with asyncio.timeout(READ_TIMEOUT_S):
        return await asyncio.gather(*exchanges)


@then('a body from a peer without room is refused as not run and held by nobody')
def peer_body_refused(context: Any) -> None:
    """Send a body that does not fit, and a ping behind it."""
    frames = [dispatch_frame('a-1', len(TOO_LARGE)), BodyPart('a-1', b'x'), Ping(1)]
    asyncio.run(_send_frames(frames))


@then('a body whose attempt is cancelled before its end never runs')
def peer_body_cancelled(context: Any) -> None:
    """Cancel an attempt between two parts of its body."""
    head = dispatch_frame('a-1', 2 * READ_BYTES)
    part = BodyPart('a-1', b'x' * READ_BYTES)
    asyncio.run(_send_frames([head, part, Cancel('a-1', True), part, Ping(1)]))


async def _send_frames(frames: list[Any]) -> None:
    memory = MemoryBudget(BUDGET_BYTES)
    session, peer = peer_session(memory)
    server = asyncio.create_task(session.run(session.gate.guard_that_never_fires))
    session.gate.guard_that_never_fires.check.return_value = False
    for frame in frames:
        peer.send(frame)
    async with asyncio.timeout(READ_TIMEOUT_S):
        received = [await peer.receive() for _ in range(2)]
    peer.close()
    await server
    refused, pong = received
    assert isinstance(refused, Refused) and isinstance(pong, Pong), received
    assert refused.refusal[0] == 'not-run'
    assert memory.held_bytes == 0
    assert not session.gate.execute.called


@then(
    'bodies that grow beside each other take little more than the {size:d} MB they hold'
)
def no_holes_in_heap(context: Any, size: int) -> None:
    """Compare the growth of a process with the budget of its bodies."""
    script = Path(__file__).parent.parent / 'heap_process.py'
    finished = subprocess.run(
        [sys.executable, str(script), str(size * MB)],
        capture_output=True,
        check=True,
        text=True,
        timeout=PROCESS_TIMEOUT_S,
    )
    growth = int(finished.stdout)
    assert growth < HEAP_EXCESS * size * MB, growth
