"""An instance ends; its address goes to an instance of another service."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import standins  # noqa: E402

# Seconds from the start of the new instance to its first status report, and whether
# the change of the settings file is announced with SIGHUP.
FIRST_BEAT_S = float(os.environ.get('FIRST_BEAT_S', '1'))
HUP = os.environ.get('HUP', '1') == '1'


async def traffic(client, nodes, until, now) -> None:
    """Send requests of both routes of ``orders`` to all nodes in turn."""
    tasks = []
    number = 0
    while now() < until:
        node = nodes[number % len(nodes)]
        if number % 2:
            send = client.send(node, 'POST', f'/order/{number}', b'x' * 200)
        else:
            send = client.send(node, 'GET', f'/stock/{number}')
        tasks.append(asyncio.create_task(send))
        number += 1
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def play(deployment) -> list[str]:
    record = deployment.record
    nodes = [deployment.add_node(name) for name in ('orders', 'orders', 'files')]
    deployment.store.put('keyed.op', 'config', standins.config(
        7,
        [
            standins.route('stock', 'safe', 'orders'),
            standins.route('order', 'unsafe', 'orders'),
            standins.route('manual', 'safe', 'files'),
        ],
        ['orders', 'files'],
    ))
    instances = []
    for number, node in enumerate(nodes, start=1):
        node.start()
        instance = deployment.add_instance(
            node, f'i-{number}', node.settings['service']
        )
        instances.append(instance)
    await asyncio.sleep(1)
    for instance in instances:
        await instance.start()
    await deployment.wait_ready()
    await asyncio.sleep(3)
    client = standins.Client(record)
    start = record.now()
    sending = asyncio.create_task(traffic(client, nodes, start + 25, record.now))
    await asyncio.sleep(6)
    replaced = None
    if standins.TROUBLE:
        instances[0].end('crashes, for good')
        # reuse_after_s is 2.
        await asyncio.sleep(3)
        nodes[0].settings['service'] = 'files'
        nodes[0].write_settings()
        record(f'settings of {nodes[0].name} now say the service files')
        if HUP:
            nodes[0].signal(signal.SIGHUP)
        replaced = deployment.add_instance(nodes[0], 'i-9', 'files')
        await replaced.start(FIRST_BEAT_S)
    await sending
    served = sum(status == 200 for status, _, _ in client.answers.values())
    record(f'{len(client.answers)} requests, {served} answered with 200')
    if not served:
        raise standins.CannotRun('no request was served')
    broken = []
    for instance in deployment.instances:
        for at, attempt, target in instance.runs:
            is_files = target.startswith('/manual/')
            if is_files != (instance.service == 'files'):
                status, seal, _ = client.answers[attempt]
                broken.append(
                    f'ROUTE: {attempt} {target} was run at {at:.3f} by '
                    f'{instance.name} of {instance.service}; its client got {status}'
                    f' with the seal {seal or "none"}'
                )
    return broken


standins.main(play, FOLDER)
