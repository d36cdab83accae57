"""A request that crashes its instances comes back while nodes are restarted in turn."""

from __future__ import annotations

import asyncio
import random
import signal
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
    Instance,
    Machine,
    Message,
    config,
    play,
    route,
)

SERVICE = 'huvo11a'
MACHINES = 6
STABLE_S = BOUNDS['stable_ms'] / 1000
# Instances that crash, one after the other, and how long each is down.
CRASHES = 2
DOWN_S = 3.0
POISON_DOWN_S = 2.0
POISON_PATH = '/order/poison'
POISON_BODY = b'{"order": "that crashes its instance"}'
ALLOWED_RETRIES = 3


class Poison:
    """Counts the runs of the request that crashes its instances."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        # Time of each run, and whether its sender was in touch.
        self.runs: list[tuple[float, bool]] = []
        self.is_sender_in_touch = True
        self.tasks: set[asyncio.Task[None]] = set()

    def on_run(self, instance: Instance, request: Message) -> float:
        """Begin to run a request."""
        if request.target != POISON_PATH:
            return 1.5
        self.runs.append((time.monotonic(), self.is_sender_in_touch))
        task = asyncio.create_task(self.crash(instance))
        self.tasks.add(task)
        return 60

    async def crash(self, instance: Instance) -> None:
        await asyncio.sleep(0.03)
        self.bed.record.add('crash', instance=instance.id, cause='the request')
        instance.end()
        await asyncio.sleep(POISON_DOWN_S)
        await instance.start()

    def late_retries(self) -> int:
        """Count the runs that the rule counts."""
        if len(self.runs) < 3:
            return 0
        third = self.runs[2][0]
        return sum(
            1 for at, in_touch in self.runs[3:] if in_touch and at > third + STABLE_S
        )


async def crash_under_load(bed: Bed, machine: Machine) -> None:
    """Crash an instance while it runs ordinary requests; each request is another one."""
    instance = machine.instance
    assert instance is not None
    senders = [
        asyncio.create_task(
            each.request('POST', f'/order/{random.getrandbits(40)}', body=b'{}')
        )
        for each in bed.machines
        for _ in range(6)
    ]
    await asyncio.sleep(0.7)
    bed.record.add(
        'crash', instance=instance.id, cause='trouble', running=instance.running
    )
    instance.end()
    await asyncio.gather(*senders)
    await asyncio.sleep(DOWN_S - 0.8)
    await instance.start()


async def send_poison(bed: Bed, machine: Machine) -> None:
    """Send the request until it is refused or has run."""
    answer = await machine.request('POST', POISON_PATH, body=POISON_BODY)
    status = 'none' if answer is None else answer.status
    bed.record.add('poison', machine=machine.name, status=status)
    await asyncio.sleep(POISON_DOWN_S + 1.0)


async def restart(bed: Bed, machine: Machine) -> None:
    """Stop a node and start it again, as planned work does."""
    machine.send_signal(signal.SIGTERM)
    assert machine.process is not None
    try:
        async with asyncio.timeout(BOUNDS['grace_s']):
            await machine.process.wait()
    except TimeoutError:
        await machine.kill_node()
    await machine.start_node()
    await bed.wait_until_ready([machine])


async def case(bed: Bed) -> bool:
    """Return whether the request reached instances in few enough retries."""
    poison = Poison(bed)
    for _ in range(MACHINES):
        machine = bed.add_machine(SERVICE)
        assert machine.instance is not None
        machine.instance.on_run = poison.on_run
    routes = [
        route('lookup', '/lohu930/', 'safe', SERVICE),
        route('order', '/order/', 'unsafe', SERVICE, timeout_ms=3000),
    ]
    await bed.start(config(1, routes, [SERVICE]))
    await asyncio.sleep(3.5)
    if HAS_TROUBLE:
        for machine in bed.machines[:CRASHES]:
            await crash_under_load(bed, machine)
            await asyncio.sleep(1.0)
    await asyncio.sleep(1.0)
    for machine in bed.machines[-3:]:
        await send_poison(bed, machine)
    known = len(poison.runs)
    bed.record.add('known', crashes=known)
    if known > 2:
        raise CannotRun('the request was not refused after two crashes')
    for machine in bed.machines:
        if HAS_TROUBLE:
            await restart(bed, machine)
            await asyncio.sleep(STABLE_S + 0.3)
        await send_poison(bed, machine)
    retries = poison.late_retries()
    bed.record.add('summary', crashes=len(poison.runs), late_retries=retries)
    print(f'{len(poison.runs)} crashes; {retries} retries after the third')
    return retries <= ALLOWED_RETRIES


play(FOLDER, case)
