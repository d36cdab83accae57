"""Open-loop load: requests are sent at planned times, whatever the replies.

:shapes: a plan is JSON with ``seconds``, ``seed`` and ``streams``; each
    stream has ``name``, ``ports``, ``rate`` (requests per second), ``method`` and
    ``path``; optional are ``headers``, ``body_size``, ``from_s`` and ``until_s``.
    Each line printed is a JSON row
    ``[stream, at_s, elapsed_ms, status, outcome, is_matching, run_id]``. ``at_s``
    is the planned time from the start. ``outcome`` is that of the reply, ``refused``
    if the connection was refused, ``crossed`` if a kept connection closed before the
    reply began, and otherwise ``lost`` if no complete reply arrived.
    ``is_matching`` is false if the reply belongs to another request.
:units: given by the suffixes of the names.
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
from lavendermount_testbed.caller import (
    CallerError,
    CallerPool,
    CrossedError,
    ReceivedReply,
)

REPLY_TIMEOUT_S = 30.0


class PlannedRequest:
    """One request of a plan.

    :param at_s: time to send it, from the start of the load.
    :param stream: stream of the plan that it belongs to.
    :param port: caller port of the node that receives it.
    :param run_id: identifier by which targets count executions.
    """

    __slots__ = ('at_s', 'stream', 'port', 'run_id')

    def __init__(
        self,
        at_s: float,
        stream: dict[str, object],
        port: int,
        run_id: str,
    ) -> None:
        """Initialize the fields."""
        self.at_s = at_s
        self.stream = stream
        self.port = port
        self.run_id = run_id


def schedule_requests(plan: dict[str, object]) -> list[PlannedRequest]:
    """Draw the send times of all streams; the seed of the plan determines them."""
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
    """Sends the requests of a plan and keeps a result row for each."""

    def __init__(self) -> None:
        """Start without connections."""
        self.pools: dict[int, CallerPool] = {}
        self.rows: list[list[object]] = []

    async def run(self, requests: list[PlannedRequest]) -> None:
        """Send every request at its time and wait for all replies."""
        started_at = time.monotonic()
        tasks = []
        for request in requests:
            await asyncio.sleep(max(0, started_at + request.at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(request)))
        await asyncio.gather(*tasks)

    async def send(self, request: PlannedRequest) -> None:
        """Send one request and append its result row."""
        pool = self.pools.setdefault(request.port, CallerPool(request.port))
        stream = request.stream
        headers = {'X-Run-Id': request.run_id, **stream.get('headers', {})}  # type: ignore[dict-item]
        body = b'x' * int(stream.get('body_size', 0))  # type: ignore[call-overload]
        sent_at = time.monotonic()
        status, outcome, is_matching = 0, 'lost', True
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                received = await pool.call(
                    str(stream['method']),
                    str(stream['path']),
                    headers,
                    body,
                )
            status, outcome = received.status, received.outcome
            is_matching = _is_matching(received, request.run_id)
        except CrossedError:
            outcome = 'crossed'
        except (CallerError, TimeoutError) as error:
            outcome = 'refused' if str(error) == 'connection refused' else 'lost'
        elapsed_ms = (time.monotonic() - sent_at) * MS_PER_S
        self.rows.append(
            [
                stream['name'],
                request.at_s,
                elapsed_ms,
                status,
                outcome,
                is_matching,
                request.run_id,
            ],
        )


def _is_matching(received: ReceivedReply, run_id: str) -> bool:
    if received.outcome != 'whole' or received.status != HTTPStatus.OK:
        return True
    return received.parse_json().get('run') == run_id


async def run_load(plan_file: Path) -> None:
    """Run a plan and print its result rows.

    :param plan_file: JSON file with the plan.
    """
    plan = json.loads(plan_file.read_text())
    generator = LoadGenerator()
    await generator.run(schedule_requests(plan))
    for row in generator.rows:
        sys.stdout.write(f'{json.dumps(row)}\n')
