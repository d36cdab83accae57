"""A slow request head: the answer to one request is an answer to another one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from http_io import encode_request
from lab import LIMITS, Connection, Lab, config, request_headers, route, run_case

ROUNDS = 10
DEADLINE_MS = 2000
# Below ``max_body_bytes``, and more than twice ``max_header_bytes``.
ORDER_BYTES = 40_000
# Pause inside the head; the consumer may take ``header_timeout_ms`` for all of it.
PAUSE_S = 0.05
FIRST_PART_BYTES = 60


async def send_order(lab: Lab, connection: Connection, attempt: str) -> None:
    """Send an order; with trouble, its head comes in two parts."""
    payload = encode_request(
        'POST', '/order/1', request_headers(attempt, DEADLINE_MS), b'o' * ORDER_BYTES
    )
    lab.record('sent', attempt, 'POST /order/1', f'body={ORDER_BYTES}')
    if lab.is_disturbed:
        connection.writer.write(payload[:FIRST_PART_BYTES])
        await asyncio.sleep(PAUSE_S)
        payload = payload[FIRST_PART_BYTES:]
    connection.writer.write(payload)
    await connection.writer.drain()


async def play(lab: Lab) -> list[str]:
    """Send large orders, each followed by a small one on the same connection."""
    for _ in range(3):
        lab.add_machine('hn-a', 'dealer-desk')
    await lab.start(config(1, [route('order', 'unsafe', 'dealer-desk')]))
    assert PAUSE_S * 1000 < LIMITS['header_timeout_ms']
    assert ORDER_BYTES < LIMITS['max_body_bytes']
    breaks = []
    for number in range(ROUNDS):
        connection = Connection(lab.machines[number % 3])
        await connection.open()
        order, following = f'order-{number}', f'following-{number}'
        await send_order(lab, connection, order)
        breaks += await check_answer(lab, connection, order)
        lab.record('sent', following, 'POST /order/2', 'body=5')
        headers = request_headers(following, DEADLINE_MS)
        connection.writer.write(
            encode_request('POST', '/order/2', headers, b'small')
        )
        breaks += await check_answer(lab, connection, following)
        connection.close()
        await asyncio.sleep(0.1)
    return breaks


async def check_answer(lab: Lab, connection: Connection, attempt: str) -> list[str]:
    """Read the answer to a request; tell if it belongs to another one."""
    async with asyncio.timeout(DEADLINE_MS / 1000):
        answer = await connection.read_answer()
    if answer is None:
        lab.record('answered', attempt, 'connection closed')
        return []
    named = answer.header('X-Attempt-Id')
    lab.record('answered', attempt, answer.status, f'X-Attempt-Id={named}')
    if named == attempt:
        return []
    runs = sum(
        run.attempt == attempt for each in lab.machines for run in each.instance.runs
    )
    return [
        f'{attempt} got an answer to {named}: {answer.status} {answer.body!r}; '
        f'{attempt} itself ran {runs} times'
    ]


run_case(__file__, {'hn-a': 'north'}, play)
