"""A request that crashes instances is not stopped once an instance has rejected it."""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from http_io import Message
from lab import BOUNDS, Lab, Machine, ask_once, config, route, run_case

MACHINES = 7
DEADLINE_MS = 1500
POISON = '/stock/poison'
# One of seven instances rejects a part of its requests: srv_grey, how "shed", with
# the share and strength of the site file.
SHED_SHARE = 0.45
GREY_S = 6.5
# The crashing request comes again at these intervals, for this long.
POISON_EVERY_S = 4.0
PLAY_S = 45.0
ORDERS_PER_S = 10
MORE_THAN_RETRIES = 3


def is_shed(attempt: str) -> bool:
    """Choose the rejected part of the requests by their ids."""
    digest = hashlib.sha256(attempt.encode()).digest()
    return digest[0] < SHED_SHARE * 256


def poison_id(number: int) -> str:
    """Return an id of the crashing request; the first is of those that are shed."""
    return next(
        attempt
        for attempt in (f'poison-{number}-{salt}' for salt in range(1000))
        if number or is_shed(attempt)
    )


async def send_orders(lab: Lab) -> None:
    """Send orders at all machines."""
    number = 0
    while True:
        number += 1
        machine = lab.machines[number % MACHINES]
        lab.spawn(
            ask_once(
                lab, machine, f'order-{number}', 'POST', f'/order/{number}',
                DEADLINE_MS, b'one pump',
            )
        )
        await asyncio.sleep(1 / ORDERS_PER_S)


async def end_grey(machine: Machine) -> None:
    """Let the instance reject no more requests after a while."""
    await asyncio.sleep(GREY_S)
    machine.instance.sheds = lambda request: False


async def play(lab: Lab) -> list[str]:
    """Send the crashing request again and again at one machine."""
    for _ in range(MACHINES):
        lab.add_machine('hn-a', 'dealer-desk')
    for machine in lab.machines:
        machine.instance.work_s = lambda request: 0.2
        machine.instance.crashes = lambda request: request.target == POISON
    routes = [
        route('stock', 'safe', 'dealer-desk', timeout_ms=DEADLINE_MS),
        route('order', 'unsafe', 'dealer-desk', timeout_ms=DEADLINE_MS),
    ]
    await lab.start(config(1, routes))
    lab.spawn(send_orders(lab))
    machine = lab.machines[0]
    if lab.is_disturbed:
        machine.instance.sheds = lambda request: is_shed(request.header('X-Attempt-Id'))
        lab.spawn(end_grey(machine))
    until = time.monotonic() + PLAY_S
    number = 0
    while time.monotonic() < until:
        await ask_once(
            lab, machine, poison_id(number), 'GET', POISON, DEADLINE_MS
        )
        number += 1
        await asyncio.sleep(POISON_EVERY_S)
    return judge(lab)


def judge(lab: Lab) -> list[str]:
    """Count the runs of the crashing request after it has crashed three instances."""
    runs = sorted(
        (
            run
            for machine in lab.machines
            for run in machine.instance.runs
            if run.request.target == POISON
        ),
        key=lambda run: run.began,
    )
    lost = sum(
        run.outcome == 'lost in a crash'
        for machine in lab.machines
        for run in machine.instance.runs
    )
    lab.record('poison-runs', len(runs), 'other-runs-lost', lost)
    if len(runs) < 3:
        return []
    after = runs[2].began + BOUNDS['stable_ms'] / 1000
    later = [run for run in runs if run.began > after]
    if len(later) <= MORE_THAN_RETRIES:
        return []
    times = ', '.join(f'{run.began - runs[2].began:.1f}' for run in later)
    return [
        f'the request crashed {len(runs)} instances; {len(later)} runs began later '
        f'than stable_ms after the third crash ({times} s after it); '
        f'{lost} other requests were running at instances that it crashed'
    ]


run_case(__file__, {'hn-a': 'north'}, play)
