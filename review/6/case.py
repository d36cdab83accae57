"""Machines of a service are cut off; do the others answer by their time limit?"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

from testbed import (  # noqa: E402
    BOUNDS,
    HAS_TROUBLE,
    Bed,
    CannotRun,
    Machine,
    config,
    play,
    route,
)

DESK, DOCS = 'huvo11a', 'wuno96b'
CALM, CUT = 4, 2
CUT_S = 5.5
SEND_S = 9.0
# Requests a second at each calm machine.
PER_S = 20
TIMEOUT_MS = 1000
LIMIT_MS = 2000
WORK_S = 0.13
PEER_BACKLOG = 300


class Asked:
    """A request and when it was answered."""

    def __init__(self) -> None:
        self.sent_at = time.monotonic()
        self.answered_s: float | None = None
        self.status = 0


class Darkness:
    """Takes a machine off the network: it neither answers nor accepts connections.

    Its node stands still, and the queue of new connections is full, so further ones
    hang as they do behind a partition.
    """

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.fillers: list[socket.socket] = []

    def begin(self) -> None:
        self.machine.send_signal(signal.SIGSTOP)
        address = (self.machine.ip, 7380)
        for _ in range(PEER_BACKLOG):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.fillers.append(filler)

    def end(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.machine.send_signal(signal.SIGCONT)


async def ask(machine: Machine, asked: list[Asked]) -> None:
    """Send one request to the service that is cut off."""
    entry = Asked()
    asked.append(entry)
    method, path = random.choice((('GET', '/manual/2f'), ('DELETE', '/claim/7')))
    answer = await machine.request(method, path, deadline_ms=LIMIT_MS)
    if answer is not None:
        entry.answered_s = time.monotonic() - entry.sent_at
        entry.status = answer.status


async def send_all(machine: Machine, ends_at: float, asked: list[Asked]) -> None:
    """Send requests at a steady rate."""
    tasks = []
    while time.monotonic() < ends_at:
        tasks.append(asyncio.create_task(ask(machine, asked)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)


async def case(bed: Bed) -> bool:
    """Return whether requests were answered by the time that the route allows."""
    for _ in range(CALM):
        bed.add_machine(DESK)
    dark = [Darkness(bed.add_machine(DOCS)) for _ in range(CUT)]
    for machine in bed.machines:
        assert machine.instance is not None
        machine.instance.work_s = WORK_S
    changes = {'timeout_ms': TIMEOUT_MS, 'target_latency_ms': 500}
    routes = [
        route('manual', '/manual/', 'download', DOCS, **changes),
        route('claim', '/claim/', 'unsafe', DOCS, **changes),
    ]
    await bed.start(config(1, routes, [DESK, DOCS]))
    await asyncio.sleep(BOUNDS['stable_ms'] / 1000 + 0.5)
    asked: list[Asked] = []
    ends_at = time.monotonic() + SEND_S
    senders = [
        asyncio.create_task(send_all(machine, ends_at, asked))
        for machine in bed.machines[:CALM]
    ]
    await asyncio.sleep(1.0)
    if sum(1 for entry in asked if entry.status == 200) < PER_S:
        raise CannotRun('the service does not answer before the cut')
    if HAS_TROUBLE:
        for darkness in dark:
            darkness.begin()
        bed.record.add('cut', machines=[each.machine.name for each in dark])
        await asyncio.sleep(CUT_S)
        for darkness in dark:
            darkness.end()
        bed.record.add('healed')
    await asyncio.gather(*senders)
    timeout_s = TIMEOUT_MS / 1000
    times = [entry.answered_s or LIMIT_MS / 1000 for entry in asked]
    open_at_timeout = sum(1 for each in times if each > timeout_s)
    open_later = sum(1 for each in times if each > timeout_s + 0.5)
    never = sum(1 for entry in asked if entry.answered_s is None)
    statuses = {
        status: sum(1 for entry in asked if entry.status == status)
        for status in sorted({entry.status for entry in asked})
    }
    bed.record.add(
        'summary',
        sent=len(asked),
        open_at_timeout=open_at_timeout,
        open_later=open_later,
        never_answered=never,
        statuses=statuses,
    )
    print(
        f'{len(asked)} requests, {open_at_timeout} without an answer at the timeout, '
        f'{open_later} half a second later, {never} never answered; {statuses}'
    )
    return open_later * 2 <= open_at_timeout


play(FOLDER, case)
