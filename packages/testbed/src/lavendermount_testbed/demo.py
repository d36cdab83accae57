"""The demo: two services in two regions, a preset switched under traffic.

:shapes: prints what it does and ends with one summary line.
:errors: exit code 1 unless every number is right.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from pathlib import Path

import click

from lavendermount_testbed.caller import CallerError, Received
from lavendermount_testbed.deployment import (
    Deployment,
    Instance,
    Place,
    Settings,
    TargetShape,
)
from lavendermount_testbed.processes import wait_until

EXAMPLES = Path('examples/thanh-thuy')
PLACES = (
    ('desk-1', Place('dealer-desk', 'north', 'hn-a')),
    ('desk-2', Place('dealer-desk', 'north', 'hn-b')),
    ('desk-3', Place('dealer-desk', 'south', 'hcm-a')),
    ('docs-1', Place('field-docs', 'north', 'hn-a')),
    ('docs-2', Place('field-docs', 'south', 'hcm-b')),
)
CALLS = (
    ('GET', '/stock/pump-40', 'dealer-desk', b''),
    ('POST', '/orders', 'dealer-desk', b'{"pump": 40, "count": 2}'),
    ('GET', '/prices/pump-40', 'dealer-desk', b''),
    ('GET', '/manuals/pump-40.pdf', 'field-docs', b''),
    ('POST', '/claims', 'field-docs', b'{"serial": "TT-1187"}'),
)
CALLERS = 3
CALLS_EACH = 40
PAUSE_S = 0.02
WAIT_S = '13'
STORED_S = 5.0


class Traffic:
    """Callers that send requests while presets are switched.

    :param instances: nodes that callers send to.
    """

    def __init__(self, instances: list[Instance]) -> None:
        """Start with nothing sent."""
        self.instances = instances
        self.outcomes: Counter[str] = Counter()
        self.request_ids: list[str] = []
        self.foreign = 0
        self.threads = [
            threading.Thread(target=self.run, args=(number,))
            for number in range(CALLERS)
        ]

    def run(self, caller: int) -> None:
        """Send one caller's requests."""
        for number in range(CALLS_EACH):
            instance = self.instances[(caller + number) % len(self.instances)]
            self.send(instance, number, f'caller-{caller}-{number}')
            time.sleep(PAUSE_S)

    def send(self, instance: Instance, number: int, run_id: str) -> None:
        """Send one request; orders carry an idempotency key."""
        method, path, host, body = CALLS[number % len(CALLS)]
        headers = {'Host': host, 'X-Run-Id': run_id, 'X-Tenant': 'co-op-can-tho'}
        if method == 'POST':
            headers['Idempotency-Key'] = run_id
        try:
            received = instance.call(method, path, headers, body)
        except CallerError:
            self.outcomes['lost'] += 1
            return
        self.take(received, run_id)

    def take(self, received: Received, run_id: str) -> None:
        """Count an answer."""
        self.outcomes[received.outcome] += 1
        self.request_ids.append(received.headers['X-Request-Id'])
        is_whole = received.outcome == 'whole'
        if is_whole and received.document()['run'] != run_id:
            self.foreign += 1


def run_demo() -> int:
    """Run the demo to its end.

    :returns: exit code.
    """
    deployment = Deployment(Settings(), TargetShape(6, 5))
    try:
        return _run_in(deployment)
    finally:
        deployment.close()


def _run_in(deployment: Deployment) -> int:
    _start(deployment)
    traffic = Traffic(list(deployment.instances.values()))
    click.echo(f'{CALLERS} callers send {CALLS_EACH} requests each')
    for thread in traffic.threads:
        thread.start()
    _operate(deployment, 'preset', 'switch', 'peak', '--wait', WAIT_S)
    for caller in traffic.threads:
        caller.join()
    _operate(deployment, 'status')
    _wait_until_stored(deployment, traffic.request_ids[-1])
    _operate(deployment, 'explain', traffic.request_ids[-1])
    return _summarize(deployment, traffic)


def _start(deployment: Deployment) -> None:
    for name, place in PLACES:
        deployment.add(name, place)
    click.echo('starting the log, two links, five nodes and five targets')
    deployment.start_all()
    _operate(deployment, 'preset', 'publish', str(EXAMPLES / 'ordinary.toml'))
    _operate(deployment, 'preset', 'publish', str(EXAMPLES / 'peak.toml'))
    _operate(deployment, 'preset', 'switch', 'ordinary', '--wait', WAIT_S)
    deployment.wait_ready()
    deployment.wait_for_members()


def _operate(deployment: Deployment, *arguments: str) -> None:
    process = deployment.operate(*arguments)
    click.echo(f'$ lavendermount {" ".join(arguments)}')
    click.echo(process.text().rstrip())
    if process.popen.returncode:
        raise click.ClickException('the command failed')


def _wait_until_stored(deployment: Deployment, request_id: str) -> None:
    wait_until(
        lambda: not deployment.operate('explain', request_id).popen.returncode,
        'decisions are on the log',
        STORED_S,
    )
    time.sleep(1)


def _summarize(deployment: Deployment, traffic: Traffic) -> int:
    replayed = deployment.operate('replay', '--json')
    report = json.loads(replayed.text().splitlines()[-1])
    repeated = sum(
        int(str(instance.control_target()['repeated']))
        for instance in deployment.instances.values()
    )
    requests = CALLERS * CALLS_EACH
    whole = traffic.outcomes['whole']
    differences = len(report['differences'])
    click.echo(
        f'demo: requests={requests} whole={whole} '
        f'not_run={traffic.outcomes["not-run"]} '
        f'unknown={traffic.outcomes["unknown"]} '
        f'replayed={report["replayed"]} differences={differences}',
    )
    is_replayed = report['replayed'] >= requests
    faults = traffic.foreign + repeated + differences
    return int(whole != requests or not is_replayed or faults > 0)
