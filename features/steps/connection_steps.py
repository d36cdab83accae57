"""Steps that check the answers on one connection of a caller."""

from __future__ import annotations

import asyncio
import select
import time
from typing import Any

from behave import then
from connection_builders import (
    READ_TIMEOUT_S,
    Caller,
    connected_caller,
    echo_body,
    echo_service,
    encode_order,
)
from connection_fuzz import search

from lavendermountd.caller.connection_state import MAX_IN_PROGRESS
from lavendermountd.caller.service import CallService
from lavendermountd.http1.request_parser import RequestLimits, RequestParser
from lavendermountd.stop_schedule import StopSchedule

LARGE_BODY = b'o' * 40_000
UPGRADE = (
    'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n'
)
FIRST_PART_BYTES = 30
SEND_INTERVAL_S = 0.02
IDLE_TIMEOUT_S = 0.2
HEADER_TIMEOUT_S = 0.3
# Long enough for a request to arrive in time on a busy machine.
ARRIVAL_TIMEOUT_S = 0.7
# Time within which the work for a caller that has left must have ended.
LEAVE_NOTICED_S = 0.4
# Several requests are in progress at any moment.
WORK_S = 0.07


@then('an order with a large body whose head comes in two parts is answered once')
def head_in_two_parts(context: Any) -> None:
    """Send such an order; keep the reply to the order after it."""
    context.next_reply = asyncio.run(_send_in_two_parts())


async def _send_in_two_parts() -> Any:
    async with connected_caller(echo_service()) as (caller, _):
        payload = encode_order('/large', LARGE_BODY)
        await caller.send(payload[:FIRST_PART_BYTES], payload[FIRST_PART_BYTES:])
        reply = await caller.read_reply()
        assert reply is not None
        assert (reply.status, reply.is_last) == (200, False), reply.status
        assert reply.body == echo_body('/large', LARGE_BODY)
        await caller.send(encode_order('/next', b'small'))
        return await caller.read_reply()


@then('the next order on that connection gets its own answer')
def next_order(context: Any) -> None:
    """Check the reply to the second order."""
    reply = context.next_reply
    assert reply is not None
    assert reply.status == 200, (reply.status, reply.body)
    assert reply.body == echo_body('/next', b'small')


@then('bytes behind a request that closes its connection are not answered')
def bytes_behind_close(context: Any) -> None:
    """Send further bytes behind such a request, in the same segment and later."""
    for pause_s in (0, 0.02):
        replies = asyncio.run(_send_behind_close(pause_s))
        assert [reply.status for reply in replies] == [200], replies
        assert replies[0].is_last


async def _send_behind_close(pause_s: float) -> list[Any]:
    async with connected_caller(echo_service(work_s=0.1)) as (caller, _):
        closing = encode_order('/last', headers='Connection: close\r\n')
        behind = encode_order('/behind')
        parts = (closing, behind) if pause_s else (closing + behind,)
        await caller.send(*parts, pause_s=pause_s)
        return await caller.read_all()


@then(
    'every request that it passes on is answered, the last reply closes the connection'
)
def pipelined_over_stop(context: Any) -> None:
    """Stop a node while a caller sends requests without waiting for replies."""
    asyncio.run(_pipeline_over_stop())


async def _pipeline_over_stop() -> None:
    service = echo_service(WORK_S)
    async with connected_caller(service) as (caller, _):
        sender = asyncio.create_task(_send_endlessly(caller))
        stop = asyncio.create_task(_stop_later(service, 10 * SEND_INTERVAL_S))
        replies = await caller.read_all()
        assert stop.done() and not sender.done()
        sender.cancel()
    passed_on = [echo_body(each.path, b'') for each in service.router.received]
    assert [reply.body for reply in replies] == passed_on, len(replies)
    assert [reply.is_last for reply in replies].index(True) == len(replies) - 1


async def _send_endlessly(caller: Caller) -> None:
    for number in range(round(READ_TIMEOUT_S / SEND_INTERVAL_S)):
        await caller.send(encode_order(f'/{number}'), pause_s=SEND_INTERVAL_S)


async def _stop_later(service: CallService, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    service.is_stopping = True


@then('requests that a stopping node receives together are all answered')
def received_together(context: Any) -> None:
    """Send three requests at once on a connection that was idle at the stop."""
    replies = asyncio.run(_send_together())
    assert [reply.body for reply in replies] == [
        echo_body(f'/{number}', b'') for number in range(3)
    ]


async def _send_together() -> Any:
    service = echo_service(WORK_S)
    async with connected_caller(service) as (caller, _):
        service.is_stopping = True
        await caller.send(b''.join(encode_order(f'/{number}') for number in range(3)))
        return await caller.read_all()


@then('a stopping node accepts late requests only if they end before it does')
def late_requests(context: Any) -> None:
    """Send requests with and without time, while the node listens and later."""
    for listens_s, deadline_ms, status in (
        (0, 500, 200),
        (0, 1500, 503),
        (0.5, 1500, 200),
    ):
        reply, passed_on = asyncio.run(_send_at_stop(listens_s, deadline_ms))
        case = (listens_s, deadline_ms, reply.status, passed_on)
        assert reply.status == status, case
        assert passed_on == (status == 200), case
        assert reply.is_last, case


async def _send_at_stop(listens_s: float, deadline_ms: int) -> Any:
    service = echo_service()
    async with connected_caller(service) as (caller, _):
        now = time.monotonic()
        service.begin_stop(StopSchedule(now + listens_s, now + 1))
        headers = f'X-Deadline-Ms: {deadline_ms}\r\n'
        await caller.send(encode_order('/', headers=headers))
        return await caller.read_reply(), len(service.router.received)


def impatient_service(work_s: float = 0) -> CallService:
    """Build a service with short time limits."""
    service = echo_service(work_s)
    service.idle_timeout_s = IDLE_TIMEOUT_S
    service.header_timeout_s = HEADER_TIMEOUT_S
    return service


@then('requests that run for three idle timeouts are answered on one connection')
def outlast_idle_timeout(context: Any) -> None:
    """Send two such requests, one after the other."""
    replies = asyncio.run(_send_long_requests())
    assert [reply and reply.body for reply in replies] == [
        echo_body('/0', b''),
        echo_body('/1', b''),
    ]


async def _send_long_requests() -> list[Any]:
    service = impatient_service(3 * IDLE_TIMEOUT_S)
    replies = []
    async with connected_caller(service) as (caller, _):
        for number in range(2):
            await caller.send(encode_order(f'/{number}'))
            replies.append(await caller.read_reply())
    return replies


@then('an idle connection closes after the idle timeout')
def idle_connection_closes(context: Any) -> None:
    """Leave a connection idle, before and after a request."""
    for parts in ((), (encode_order('/'),)):
        replies, elapsed_s = asyncio.run(_send_and_read_all(*parts))
        assert len(replies) == len(parts)
        assert IDLE_TIMEOUT_S <= elapsed_s < READ_TIMEOUT_S / 2, elapsed_s


@then('a head that does not end closes the connection after the header timeout')
def slow_head_closes(context: Any) -> None:
    """Send a head byte by byte, without ever completing it."""
    head = encode_order('/', headers='X: ' + 'y' * 400)
    parts = [bytes([byte]) for byte in head[:400]]
    replies, elapsed_s = asyncio.run(_send_and_read_all(*parts))
    assert not replies
    assert HEADER_TIMEOUT_S <= elapsed_s < READ_TIMEOUT_S / 2, elapsed_s


@then(
    'a body that stalls is refused as not run, and one that arrives slowly is accepted'
)
def slow_bodies(context: Any) -> None:
    """Send parts of a body with pauses that are shorter, and then longer, than allowed."""
    payload = encode_order('/', b'x' * 40)
    parts = [payload[:-40], *(b'x' * 5 for _ in range(8))]
    pause_s = IDLE_TIMEOUT_S / 4
    replies, _ = asyncio.run(_send_and_read_all(*parts, pause_s=pause_s))
    assert [reply.status for reply in replies] == [200]
    replies, _ = asyncio.run(_send_and_read_all(*parts[:3], pause_s=pause_s))
    assert [(reply.status, reply.is_last) for reply in replies] == [(408, True)]
    assert b'"outcome": "not-run"' in replies[0].body


async def _send_and_read_all(*parts: bytes, pause_s: float = 0.01) -> Any:
    started_at = time.monotonic()
    async with connected_caller(impatient_service()) as (caller, _):
        sending = asyncio.create_task(caller.send(*parts, pause_s=pause_s))
        replies = await caller.read_all()
        elapsed_s = time.monotonic() - started_at
        await asyncio.gather(sending, return_exceptions=True)
    return replies, elapsed_s


@then(
    'requests that arrive in time are answered, '
    'though the node is busy until the time limit has passed'
)
def arrived_before_limit(context: Any) -> None:
    """Complete a head, a body and a request on an idle connection before the limit."""
    order = encode_order('/', b'pump')
    for sent in (0, FIRST_PART_BYTES, len(order) - 1):
        reply = asyncio.run(_complete_while_busy(order, sent))
        assert reply is not None, sent
        assert (reply.status, reply.body) == (200, echo_body('/', b'pump')), sent


async def _complete_while_busy(order: bytes, sent: int) -> Any:
    service = echo_service()
    service.idle_timeout_s = ARRIVAL_TIMEOUT_S
    service.header_timeout_s = ARRIVAL_TIMEOUT_S
    async with connected_caller(service) as (caller, _):
        await caller.send(encode_order('/first'))
        await caller.read_reply()
        if sent:
            await caller.send(order[:sent])
        _send_then_block(caller, order[sent:])
        return await caller.read_reply()


def _send_then_block(caller: Caller, payload: bytes) -> None:
    """Send bytes, and keep the event loop busy beyond all time limits."""
    caller.writer.write(payload)
    time.sleep(1.1 * ARRIVAL_TIMEOUT_S)


@then(
    'a request that arrives in time on an idle connection '
    'of a busy stopping node is answered'
)
def arrived_before_stop_closes(context: Any) -> None:
    """Let the shutdown look for idle connections before the reader runs."""
    reply = asyncio.run(_send_to_busy_stopping_node())
    assert reply is not None
    assert (reply.status, reply.is_last) == (200, True)


async def _send_to_busy_stopping_node() -> Any:
    service = echo_service()
    async with connected_caller(service) as (caller, connection):
        await caller.send(encode_order('/first'))
        await caller.read_reply()
        service.is_stopping = True
        _send_then_block(caller, encode_order('/'))
        connection.close_if_idle(IDLE_TIMEOUT_S)
        return await caller.read_reply()


@then('a request that has arrived unread as the node ends gets an answer')
def arrived_before_end(context: Any) -> None:
    """Send a request to a busy node; end its connection before the reader runs."""
    reply = asyncio.run(_send_as_node_ends())
    assert reply is not None
    assert reply.is_last


async def _send_as_node_ends() -> Any:
    service = echo_service(WORK_S)
    async with connected_caller(service) as (caller, connection):
        await caller.send(encode_order('/first'))
        await caller.read_reply()
        service.is_stopping = True
        _send_then_block(caller, encode_order('/'))
        connection.end()
        await asyncio.sleep(WORK_S / 2)
        connection.end()
        return await caller.read_reply()


@then(
    'a caller learns that its idle connection closes before the node does anything else'
)
def close_at_once(context: Any) -> None:
    """Decide to close an idle connection, at its time limit and at a stop."""
    for is_stopping in (False, True):
        assert asyncio.run(_close_idle(is_stopping)) == [False, True], is_stopping


async def _close_idle(is_stopping: bool) -> list[bool]:
    async with connected_caller(echo_service()) as (caller, connection):
        await caller.send(encode_order('/first'))
        await caller.read_reply()
        poll = select.poll()
        poll.register(caller.writer.get_extra_info('socket'), select.POLLIN)
        was_closed = bool(poll.poll(0))
        if is_stopping:
            connection.close_if_idle(0)
        else:
            connection.handle_time_limit()
        return [was_closed, bool(poll.poll(0))]


@then(
    'requests that offer an upgrade parse like those that do not, '
    'however they are split'
)
def upgrade_offered(context: Any) -> None:
    """Compare the requests of both, with bodies of each framing."""
    chunked = b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'
    framings = (
        b'Content-Length: 5\r\n\r\nhello',
        b'Content-Length: 0\r\n\r\n',
        chunked,
    )
    for framing in (*framings, b'\r\n'):
        for closing in (b'', b'Connection: close\r\n'):
            head = b'POST /order HTTP/1.1\r\nHost: x\r\n' + closing
            following = b'GET /next HTTP/1.1\r\nHost: x\r\n\r\n'
            plain = _parse(head + framing + following, 1000)
            offering = head + UPGRADE.encode() + framing + following
            for size in range(1, len(offering) + 1):
                assert _parse(offering, size) == plain, (framing, closing, size)


def _parse(payload: bytes, size: int) -> list[tuple[str, str, bytes, bool, int]]:
    """Parse requests from parts of a size; return what the answers depend on."""
    parser = RequestParser(RequestLimits(1000, 1000))
    return [
        (each.method, each.target, each.body, each.keeps_alive, each.error_status)
        for start in range(0, len(payload), size)
        for each in parser.feed(payload[start : start + size])
    ]


@then('the next request on the connection of such a request gets its own answer')
def after_upgrade(context: Any) -> None:
    """Send an order that offers an upgrade, and another one."""

    async def send() -> list[Any]:
        async with connected_caller(echo_service()) as (caller, _):
            await caller.send(encode_order('/0', b'pump', UPGRADE))
            replies = [await caller.read_reply()]
            await caller.send(encode_order('/1', b'pipe'))
            return [*replies, await caller.read_reply()]

    bodies = [reply and reply.body for reply in asyncio.run(send())]
    assert bodies == [echo_body('/0', b'pump'), echo_body('/1', b'pipe')], bodies


@then(
    'a caller that leaves with 1, 16 or 40 requests in progress leaves no work behind'
)
def caller_leaves(context: Any) -> None:
    """Close the connection while all requests run."""
    for count in (1, 16, 40):
        started, left_over = asyncio.run(_leave_with(count))
        assert started == min(count, MAX_IN_PROGRESS)
        assert not left_over, (count, len(left_over))


async def _leave_with(count: int) -> Any:
    service = echo_service(READ_TIMEOUT_S)
    async with connected_caller(service) as (caller, _):
        lookups = [encode_order(f'/{each}', method='GET') for each in range(count)]
        await caller.send(b''.join(lookups))
        started = len(service.router.received)
        await caller.close()
        await asyncio.sleep(LEAVE_NOTICED_S)
        return started, set(service.active_tasks)


@then('"100 Continue" follows the reply to the request before')
def continue_in_turn(context: Any) -> None:
    """Send a head that expects to be continued while another request runs."""
    asyncio.run(_expect_continue())


async def _expect_continue() -> None:
    async with connected_caller(echo_service(WORK_S)) as (caller, _):
        payload = encode_order('/1', b'body', 'Expect: 100-continue\r\n')
        await caller.send(encode_order('/0'), payload[:-4])
        for status, sent in ((200, b''), (100, payload[-4:]), (200, b'')):
            reply = await caller.read_reply()
            assert reply is not None
            assert reply.status == status, (reply.status, status)
            await caller.send(sent)


@then(
    '{count:d} generated sequences of requests, pauses, stops and closes agree with h11'
)
def generated_sequences(context: Any, count: int) -> None:
    """Play sequences, the same ones in each run."""
    search(count)
