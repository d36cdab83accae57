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

ANSWER_LIMIT_S = 30.0


class PlannedCall:
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


def plan_calls(plan: dict[str, object]) -> list[PlannedCall]:
    """Draw the arrivals of all streams, the same for the same seed."""
    chooser = random.Random(plan['seed'])  # type: ignore[arg-type]
    calls: list[PlannedCall] = []
    for stream in plan['streams']:  # type: ignore[attr-defined]
        at_s = float(stream.get('from_s', 0))
        until_s = float(stream.get('until_s', plan['seconds']))
        while True:
            at_s += chooser.expovariate(stream['rate'])
            if at_s >= until_s:
                break
            port = chooser.choice(stream['ports'])
            run_id = f'{stream["name"]}-{plan["seed"]}-{len(calls)}'
            calls.append(PlannedCall(at_s, stream, port, run_id))
    calls.sort(key=lambda call: call.at_s)
    return calls


class LoadRun:
    """Sends a plan's requests and keeps a row for each."""

    def __init__(self) -> None:
        """Start with no connection."""
        self.pools: dict[int, CallerPool] = {}
        self.rows: list[list[object]] = []

    async def run(self, calls: list[PlannedCall]) -> None:
        """Send every request at its time and wait for all answers."""
        begun = time.monotonic()
        tasks = []
        for call in calls:
            await asyncio.sleep(max(0, begun + call.at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(call)))
        await asyncio.gather(*tasks)

    async def send(self, call: PlannedCall) -> None:
        """Send one request and keep its row."""
        pool = self.pools.setdefault(call.port, CallerPool(call.port))
        stream = call.stream
        headers = {'X-Run-Id': call.run_id, **stream.get('headers', {})}  # type: ignore[dict-item]
        body = b'x' * int(stream.get('body_size', 0))  # type: ignore[call-overload]
        begun = time.monotonic()
        status, outcome, is_own = 0, 'lost', True
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                received = await pool.call(
                    str(stream['method']),
                    str(stream['path']),
                    headers,
                    body,
                )
            status, outcome = received.status, received.outcome
            is_own = _is_own(received, call.run_id)
        except (CallerError, TimeoutError) as error:
            outcome = 'refused' if str(error) == 'nobody listens' else 'lost'
        elapsed_ms = (time.monotonic() - begun) * MS_PER_S
        self.rows.append(
            [
                stream['name'],
                call.at_s,
                elapsed_ms,
                status,
                outcome,
                is_own,
                call.run_id,
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
    load = LoadRun()
    await load.run(plan_calls(plan))
    for row in load.rows:
        sys.stdout.write(f'{json.dumps(row)}\n')
