"""Open-loop load: requests leave at planned times whatever the answers do.

:shapes: a plan is JSON with ``seconds``, ``seed`` and ``streams``; each
    stream has ``name``, ``ports``, ``rate``, ``method``, ``path``,
    ``headers`` and ``body_size``. Each line printed is a JSON row
    ``[stream, sent_s, elapsed_ms, status, outcome, is_own, run_id]``.
:units: seconds and milliseconds as the names say.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from http import HTTPStatus
from pathlib import Path

from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.caller import CallerError, CallerPool, Received

REPLY_TIMEOUT_S = 30.0


class PlannedRequest:
    """One request of a plan.

    :param at_s: when it leaves, from the start.
    :param stream: the stream it belongs to.
    :param port: caller port it goes to.
    :param run_id: identifier that the target counts.
    """

    __slots__ = ('at_s', 'stream', 'port', 'run_id')

    def __init__(
        self,
        at_s: float,
        stream: dict[str, object],
        port: int,
        run_id: str,
    ) -> None:
        """Keep the fields as given."""
        self.at_s = at_s
        self.stream = stream
        self.port = port
        self.run_id = run_id


def schedule_requests(plan: dict[str, object]) -> list[PlannedRequest]:
    """Draw the arrivals of all streams, the same for the same seed."""
    rng = random.Random(plan['seed'])  # type: ignore[arg-type]
    requests: list[PlannedRequest] = []
    for stream in plan['streams']:  # type: ignore[attr-defined]
        at_s = float(stream.get('from_s', 0))
        until_s = float(stream.get('until_s', plan['seconds']))
        while True:
            at_s += rng.expovariate(stream['rate'])
            if at_s >= until_s:
                break
            port = rng.choice(stream['ports'])
            run_id = f'{stream["name"]}-{plan["seed"]}-{len(requests)}'
            requests.append(PlannedRequest(at_s, stream, port, run_id))
    requests.sort(key=lambda request: request.at_s)
    return requests


class LoadGenerator:
    """Sends a plan's requests and keeps a row for each."""

    def __init__(self) -> None:
        """Start with no connection."""
        self.pools: dict[int, CallerPool] = {}
        self.rows: list[list[object]] = []

    async def run(self, requests: list[PlannedRequest]) -> None:
        """Send every request at its time and wait for all answers."""
        started_at = time.monotonic()
        tasks = []
        for request in requests:
            await asyncio.sleep(max(0, started_at + request.at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(request)))
        await asyncio.gather(*tasks)

    async def send(self, request: PlannedRequest) -> None:
        """Send one request and keep its row."""
        pool = self.pools.setdefault(request.port, CallerPool(request.port))
        stream = request.stream
        headers = {'X-Run-Id': request.run_id, **stream.get('headers', {})}  # type: ignore[dict-item]
        body = b'x' * int(stream.get('body_size', 0))  # type: ignore[call-overload]
        sent_at = time.monotonic()
        status, outcome, is_own = 0, 'lost', True
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                received = await pool.call(
                    str(stream['method']),
                    str(stream['path']),
                    headers,
                    body,
                )
            status, outcome = received.status, received.outcome
            is_own = _is_own(received, request.run_id)
        except (CallerError, TimeoutError) as error:
            outcome = 'refused' if str(error) == 'nobody listens' else 'lost'
        elapsed_ms = (time.monotonic() - sent_at) * MS_PER_S
        self.rows.append(
            [
                stream['name'],
                request.at_s,
                elapsed_ms,
                status,
                outcome,
                is_own,
                request.run_id,
            ],
        )


def _is_own(received: Received, run_id: str) -> bool:
    if received.outcome != 'whole' or received.status != HTTPStatus.OK:
        return True
    return received.document().get('run') == run_id


async def run_load(plan_file: Path) -> None:
    """Run a plan and print its rows.

    :param plan_file: JSON.
    """
    plan = json.loads(plan_file.read_text())
    generator = LoadGenerator()
    await generator.run(schedule_requests(plan))
    for row in generator.rows:
        sys.stdout.write(f'{json.dumps(row)}\n')
