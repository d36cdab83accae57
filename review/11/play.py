"""The operator changes the config; one route may be kept waiting for 15 minutes."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import standins  # noqa: E402

CONFIG_APPLY_S = 2.5
# Time-out of the added route; without the trouble it is the highest that works.
TIMEOUT_MS = 900_000 if standins.TROUBLE else 600_000
# Optional: all processes are killed after the change, and start again.
KILL_ALL = os.environ.get('KILL_ALL', '0') == '1'
RECOVERY_S = 15


async def traffic(client, nodes, until, now) -> None:
    """Send requests of both routes to all nodes in turn."""
    tasks = []
    number = 0
    while now() < until:
        node = nodes[number % len(nodes)]
        if number % 4 < 2:
            send = client.send(node, 'POST', f'/order/{number}', b'x' * 200)
        else:
            send = client.send(node, 'GET', f'/old/{number}')
        tasks.append(asyncio.create_task(send))
        number += 1
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def play(deployment) -> list[str]:
    record = deployment.record
    nodes = [deployment.add_node(name) for name in ('orders', 'files')]
    services = ['orders', 'files']
    deployment.store.put('keyed.op', 'config', standins.config(
        7,
        [
            standins.route('order', 'unsafe', 'orders'),
            standins.route('old', 'safe', 'orders'),
        ],
        services,
    ))
    instances = []
    for number, node in enumerate(nodes, start=1):
        node.start()
        instances.append(deployment.add_instance(
            node, f'i-{number}', node.settings['service']
        ))
    await asyncio.sleep(1)
    for instance in instances:
        await instance.start()
    await deployment.wait_ready()
    await asyncio.sleep(2)
    client = standins.Client(record)
    start = record.now()
    sending = asyncio.create_task(traffic(client, nodes, start + 18, record.now))
    await asyncio.sleep(5)
    deployment.store.put('keyed.op', 'config', standins.config(
        8,
        [
            standins.route('order', 'unsafe', 'files'),
            standins.route('export', 'download', 'files', timeout_ms=TIMEOUT_MS),
        ],
        services,
    ))
    changed = record.now()
    record(
        f'the store has r8: /order/ goes to files, /old/ is gone, /export/ is added '
        f'with timeout_ms {TIMEOUT_MS}'
    )
    await sending
    served = sum(status == 200 for status, _, _ in client.answers.values())
    record(f'{len(client.answers)} requests, {served} answered with 200')
    if not served:
        raise standins.CannotRun('no request was served')
    broken = []
    for instance in instances:
        for at, attempt, target in instance.runs:
            late_s = client.sent[attempt][0] - changed
            if late_s <= CONFIG_APPLY_S or instance.service == 'files':
                continue
            how = 'by the old service' if '/order/' in target else 'with a dropped route'
            broken.append(
                f'CONFIG: {attempt} {target}, sent {late_s:.3f} s after the store had '
                f'r8, was run {how}, at {instance.name} of {instance.service}'
            )
    if KILL_ALL:
        broken += await kill_all(deployment, nodes)
    return broken


async def kill_all(deployment, nodes) -> list[str]:
    """Kill all nodes, start them again, and count what is served afterwards."""
    record = deployment.record
    for node in nodes:
        node.kill()
    record('all nodes are killed')
    await asyncio.sleep(0.6)
    for node in nodes:
        node.start()
    await asyncio.sleep(RECOVERY_S + 1)
    client = standins.Client(record)
    start = record.now()
    await traffic(client, nodes, start + 5, record.now)
    valid = [
        status for attempt, (status, _, _) in client.answers.items()
        if '/order/' in client.sent[attempt][2]
    ]
    served = valid.count(200)
    record(f'of {len(valid)} requests for /order/ after the kill, {served} got 200')
    if served * 4 >= len(valid):
        return []
    return [f'RECOVER: {served} of {len(valid)} requests are served after the kill']


standins.main(play, FOLDER)
