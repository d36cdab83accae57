"""Two machines are cut from the store; how late do the others learn a config?"""

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
    CannotRun,
    Machine,
    config,
    play,
    route,
)

SERVICE = 'huvo11a'
MACHINES = 4
ROUNDS = 11
# Length of a cut, and machines that are cut at once.
CUT_S = 4.0
CUT_MACHINES = 2
POLL_S = 0.1
APPLY_S = BOUNDS['config_apply_ms'] / 1000


def config_of(version: int) -> dict[str, object]:
    """Build a config that has one route of its own; that of the version before is gone."""
    routes = [
        route('lookup', '/lohu930/', 'safe', SERVICE),
        route(f'r-{version}', f'/only{version}/', 'safe', SERVICE),
    ]
    return config(version, routes, [SERVICE])


class Round:
    """One change of the config, and what it finds at the calm machines."""

    def __init__(self, bed: Bed, version: int) -> None:
        self.bed = bed
        self.version = version
        self.acknowledged_at = bed.put_config(config_of(version))
        self.stale: list[tuple[str, float, int]] = []
        self.seen: dict[str, float] = {}

    def age_s(self) -> float:
        return time.monotonic() - self.acknowledged_at

    async def ask(self, machine: Machine) -> None:
        """Ask for the route that was dropped until the cut ends."""
        while self.age_s() < CUT_S - 0.6:
            sent_s = self.age_s()
            answer = await machine.request('GET', f'/only{self.version - 1}/x')
            if answer is not None and answer.status == 404:
                self.seen.setdefault(machine.name, sent_s)
            elif answer is not None and answer.status == 200 and sent_s > APPLY_S:
                self.stale.append((machine.name, sent_s, answer.status))
            await asyncio.sleep(POLL_S)


async def play_round(bed: Bed, version: int) -> list[tuple[str, float, int]]:
    """Cut the machines that wait at the store, and change the config meanwhile."""
    by_wait = sorted(bed.machines, key=lambda each: each.path.waiting_since)
    cut = by_wait[-CUT_MACHINES:] if HAS_TROUBLE else []
    for machine in cut:
        machine.path.cut()
        bed.record.add('cut', machine=machine.name)
    await asyncio.sleep(0.3)
    calm = [machine for machine in bed.machines if machine not in cut]
    change = Round(bed, version)
    await asyncio.gather(*map(change.ask, calm))
    left_s = CUT_S - 0.3 - change.age_s()
    await asyncio.sleep(max(0, left_s))
    for machine in cut:
        machine.path.heal()
        bed.record.add('healed', machine=machine.name)
    for name, seen_s in change.seen.items():
        bed.record.add('first-seen', machine=name, after_s=round(seen_s, 2))
    for name, sent_s, status in change.stale:
        bed.record.add('STALE', machine=name, sent_s=round(sent_s, 2), status=status)
    return change.stale


async def wait_until_known(bed: Bed, version: int) -> None:
    """Wait until all machines have a version, and for the calm that makes them in touch."""
    for machine in bed.machines:
        for _ in range(80):
            answer = await machine.request('GET', f'/only{version}/x')
            if answer is not None and answer.status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun(f'{machine.name} never got version {version}')


async def case(bed: Bed) -> bool:
    """Return whether each calm machine applied each version in time."""
    for _ in range(MACHINES):
        bed.add_machine(SERVICE)
    await bed.start(config_of(1))
    await asyncio.sleep(3.5)
    await wait_until_known(bed, 1)
    stale_rounds = 0
    for version in range(2, 2 + ROUNDS):
        if await play_round(bed, version):
            stale_rounds += 1
        await wait_until_known(bed, version)
        await asyncio.sleep(BOUNDS['stable_ms'] / 1000)
    print(f'late in {stale_rounds} of {ROUNDS} changes')
    bed.record.add('summary', late_changes=stale_rounds, changes=ROUNDS)
    return not stale_rounds


play(FOLDER, case)
