"""A request of one caller crashes its instances; another caller's equal one does not."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

from testbed import (  # noqa: E402
    BOUNDS,
    HAS_TROUBLE,
    Bed,
    Instance,
    Machine,
    Message,
    config,
    play,
    route,
)

DESK, DOCS = 'huvo11a', 'wuno96b'
DESK_MACHINES, DOCS_MACHINES = 6, 2
STABLE_S = BOUNDS['stable_ms'] / 1000
DOWN_S = 2.5
PATH = '/lohu930/2f'
SENDS = 8
PAUSE_S = 4.0
# Time for which the usual requests have been served before.
LEAD_S = 3.0
ALLOWED_RETRIES = 3


class CrashingRequest:
    """Crashes each instance that begins to run the request of one caller."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.runs: list[float] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def on_run(self, instance: Instance, request: Message) -> float:
        """Begin to run a request."""
        is_crashing = request.headers.get('x-caller-service') == DOCS
        if not is_crashing or not HAS_TROUBLE:
            return 0.16
        self.runs.append(time.monotonic())
        task = asyncio.create_task(self.crash(instance))
        self.tasks.add(task)
        return 60

    async def crash(self, instance: Instance) -> None:
        await asyncio.sleep(0.03)
        self.bed.record.add(
            'crash', instance=instance.id, others_running=instance.running - 1
        )
        instance.end()
        await asyncio.sleep(DOWN_S)
        await instance.start()

    def late_retries(self) -> int:
        """Count the runs that the rule counts; all senders are in touch all the time."""
        if len(self.runs) < 3:
            return 0
        third = self.runs[2]
        return sum(1 for at in self.runs[3:] if at > third + STABLE_S)


async def send_usual(machine: Machine, ends_at: float) -> None:
    """Send the usual requests of the other caller."""
    while time.monotonic() < ends_at:
        await machine.request('GET', PATH)
        await asyncio.sleep(0.1)


async def case(bed: Bed) -> bool:
    """Return whether the request reached instances in few enough retries."""
    request = CrashingRequest(bed)
    for _ in range(DESK_MACHINES):
        machine = bed.add_machine(DESK)
        assert machine.instance is not None
        machine.instance.on_run = request.on_run
    callers = [bed.add_machine(DOCS) for _ in range(DOCS_MACHINES)]
    routes = [route('lookup', '/lohu930/', 'safe', DESK)]
    await bed.start(config(1, routes, [DESK, DOCS]))
    await asyncio.sleep(STABLE_S + 0.5)
    ends_at = time.monotonic() + LEAD_S + SENDS * PAUSE_S
    usual = [
        asyncio.create_task(send_usual(machine, ends_at))
        for machine in bed.machines[:DESK_MACHINES]
    ]
    await asyncio.sleep(LEAD_S)
    for number in range(SENDS):
        answer = await callers[number % DOCS_MACHINES].request('GET', PATH)
        status = 'none' if answer is None else answer.status
        bed.record.add('crashing-request', number=number, status=status)
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*usual)
    retries = request.late_retries()
    bed.record.add('summary', crashes=len(request.runs), late_retries=retries)
    print(f'{len(request.runs)} crashes; {retries} retries after the third')
    return retries <= ALLOWED_RETRIES


play(FOLDER, case)
