"""A config bounds what consumers may send; are answers larger than that delivered?"""

from __future__ import annotations

import asyncio
import sys
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

SERVICE = 'wuno96b'
MACHINES = 3
ROUNDS = 20
# Sizes within those of the site: manuals of 90,000 bytes, claims without a body.
MANUAL_BYTES = 90_000
LIMIT_BYTES = 65_536


class Tally:
    """Counts the requests of one kind."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.run_and_replaced = 0


def large_body(instance: Instance, request: Message) -> bytes:
    """Build the body of an answer."""
    if request.target.startswith('/manual/'):
        return b'm' * MANUAL_BYTES
    return b'filed'


async def ask(machine: Machine, tally: Tally, method: str, path: str) -> None:
    """Send one request and count how it ends."""
    answer = await machine.request(method, path, deadline_ms=1200)
    tally.sent += 1
    if answer is None:
        return
    is_sealed = 'x-response-seal' in answer.headers
    tally.served += answer.status == 200 and is_sealed
    tally.run_and_replaced += answer.status == 502


async def case(bed: Bed) -> bool:
    """Return whether no kind of request is starved."""
    for _ in range(MACHINES):
        machine = bed.add_machine(SERVICE)
        assert machine.instance is not None
        machine.instance.body_of = large_body
    routes = [
        route('manual', '/manual/', 'download', SERVICE, timeout_ms=1200),
        route('claim', '/claim/', 'unsafe', SERVICE, timeout_ms=1200),
    ]
    await bed.start(config(1, routes, [SERVICE]))
    changed = config(2, routes, [SERVICE])
    if HAS_TROUBLE:
        limits = changed['resources'][-1]['spec']
        limits['max_body_bytes'] = LIMIT_BYTES
    bed.put_config(changed)
    await asyncio.sleep(BOUNDS['config_apply_ms'] / 1000 + 1)
    manuals, claims = Tally(), Tally()
    for _ in range(ROUNDS):
        for machine in bed.machines:
            await asyncio.gather(
                ask(machine, manuals, 'GET', '/manual/2f'),
                ask(machine, claims, 'DELETE', '/claim/7'),
            )
    both = (manuals, claims)
    all_share = sum(each.served for each in both) / sum(each.sent for each in both)
    share = manuals.served / manuals.sent
    bed.record.add(
        'summary',
        manuals_sent=manuals.sent,
        manuals_served=manuals.served,
        manuals_replaced_by_502=manuals.run_and_replaced,
        claims_sent=claims.sent,
        claims_served=claims.served,
    )
    print(
        f'{manuals.served} of {manuals.sent} manuals and {claims.served} of '
        f'{claims.sent} claims were delivered'
    )
    return share * 4 >= all_share


play(FOLDER, case)
