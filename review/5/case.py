"""A node is stopped while a consumer keeps several requests on its way."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from http_io import encode_request
from lab import (
    BOUNDS,
    Connection,
    Lab,
    Machine,
    Outcome,
    config,
    request_headers,
    route,
    run_case,
)

DEADLINE_MS = 1500
WORK_S = 0.25
# Two or three requests are on their way at any moment.
SEND_EVERY_S = 0.1
CONSUMERS = 4
BEFORE_STOP_S = 3
AFTER_STOP_S = 9
# A request that was sent this long after SIGTERM is not excused by the page, even if
# its instance is at work in the last sixth of ``grace_s``.
EXCUSED_UNTIL_S = 3


class PipeliningConsumer:
    """Sends further safe requests before the first one has been answered."""

    def __init__(self, lab: Lab, machine: Machine, number: int) -> None:
        self.lab = lab
        self.machine = machine
        self.number = number
        self.sent = 0
        self.outcomes: list[Outcome] = []

    async def run(self) -> None:
        """Send requests until cancelled; connect again when a connection ends."""
        while True:
            try:
                await self.use_connection()
            except (OSError, TimeoutError):
                self.lab.record('no-connection', self.machine.name)
            await asyncio.sleep(0.2)

    async def use_connection(self) -> None:
        """Use one connection until it ends or an answer closes it."""
        connection = Connection(self.machine)
        await connection.open()
        waiting: deque[Outcome] = deque()
        sender = asyncio.create_task(self.send_all(connection, waiting))
        try:
            while True:
                answer = await connection.read_answer()
                now = time.monotonic()
                if answer is None:
                    self.end(waiting, 'connection ended', now)
                    return
                outcome = waiting.popleft()
                outcome.status = answer.status
                outcome.ended_at = now
                self.lab.record('answered', outcome.attempt, answer.status)
                if answer.closes:
                    # The page: these count as not read, and are sent again.
                    self.end(waiting, 'behind an answer that closes', now)
                    return
        finally:
            sender.cancel()
            connection.close()

    def end(self, waiting: deque[Outcome], cause: str, now: float) -> None:
        """Record the end of all requests that wait for an answer."""
        for outcome in waiting:
            outcome.cause = cause
            outcome.ended_at = now
            self.lab.record('unanswered', outcome.attempt, cause)

    async def send_all(self, connection: Connection, waiting: deque[Outcome]) -> None:
        """Send a request at regular intervals while the machine gets work."""
        while True:
            if self.machine.takes_new_work:
                self.sent += 1
                attempt = f'c{self.number}-{self.sent}'
                outcome = Outcome(attempt, time.monotonic())
                self.outcomes.append(outcome)
                waiting.append(outcome)
                self.lab.record('sent', attempt, 'GET /stock/1')
                connection.writer.write(
                    encode_request(
                        'GET', '/stock/1', request_headers(attempt, DEADLINE_MS)
                    )
                )
            await asyncio.sleep(SEND_EVERY_S)


async def play(lab: Lab) -> list[str]:
    """Stop the only node of a zone under pipelined requests."""
    stopped = lab.add_machine('hn-a', 'dealer-desk')
    for _ in range(3):
        lab.add_machine('hn-b', 'dealer-desk')
    for machine in lab.machines:
        machine.instance.work_s = lambda request: WORK_S
    safe = route('stock', 'safe', 'dealer-desk', timeout_ms=DEADLINE_MS)
    await lab.start(config(1, [safe]))
    consumers = [PipeliningConsumer(lab, stopped, each) for each in range(CONSUMERS)]
    for consumer in consumers:
        lab.spawn(consumer.run())
    await asyncio.sleep(BEFORE_STOP_S)
    stopped_at = time.monotonic()
    if lab.is_disturbed:
        stopped.signal(signal.SIGTERM)
        lab.spawn(kill_after_grace(stopped))
    await asyncio.sleep(AFTER_STOP_S)
    outcomes = [each for consumer in consumers for each in consumer.outcomes]
    return [
        text
        for outcome in outcomes
        if (text := judge(lab, outcome, stopped_at)) is not None
    ]


async def kill_after_grace(machine: Machine) -> None:
    """Send SIGKILL after ``grace_s``, as the platform does."""
    process = machine.process
    assert process is not None
    try:
        async with asyncio.timeout(BOUNDS['grace_s']):
            await process.wait()
    except TimeoutError:
        machine.signal(signal.SIGKILL)


def judge(lab: Lab, outcome: Outcome, stopped_at: float) -> str | None:
    """Tell how a request was lost, unless an excuse of the page holds."""
    if outcome.cause != 'connection ended':
        return None
    runs = [
        run
        for machine in lab.machines
        for run in machine.instance.runs
        if run.attempt == outcome.attempt
    ]
    after_s = outcome.sent_at - stopped_at
    waited_s = outcome.ended_at - outcome.sent_at
    if not runs or not 0 <= after_s <= BOUNDS['grace_s'] + 1:
        return None
    if waited_s * 1000 >= DEADLINE_MS or after_s <= EXCUSED_UNTIL_S:
        return None
    ends = ', '.join(run.outcome for run in runs)
    return (
        f'{outcome.attempt}, sent {after_s:.2f} s after SIGTERM, was passed on and cut '
        f'after {waited_s:.2f} s of {DEADLINE_MS / 1000} s; its run: {ends}'
    )


run_case(__file__, {'hn-a': 'north', 'hn-b': 'north'}, play)
