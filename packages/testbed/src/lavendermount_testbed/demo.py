"""The demo: two services in two regions and a preset switch under traffic.

:shapes: prints each step and ends with one summary line.
:errors: exit code 1 if a request got no complete reply or that of another
    request, if a target ran a POST request more than once, or if the replay was
    incomplete or found a difference.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from pathlib import Path

import click

from lavendermount_testbed.caller import CallerError, ReceivedReply
from lavendermount_testbed.deployment import (
    Deployment,
    DeploymentSettings,
    Instance,
    Placement,
    TargetProfile,
)
from lavendermount_testbed.processes import wait_until

EXAMPLES_DIR = Path('examples/thanh-thuy')
PLACEMENTS = (
    ('desk-1', Placement('dealer-desk', 'north', 'hn-a')),
    ('desk-2', Placement('dealer-desk', 'north', 'hn-b')),
    ('desk-3', Placement('dealer-desk', 'south', 'hcm-a')),
    ('docs-1', Placement('field-docs', 'north', 'hn-a')),
    ('docs-2', Placement('field-docs', 'south', 'hcm-b')),
)
REQUESTS = (
    ('GET', '/stock/pump-40', 'dealer-desk', b''),
    ('POST', '/orders', 'dealer-desk', b'{"pump": 40, "count": 2}'),
    ('GET', '/prices/pump-40', 'dealer-desk', b''),
    ('GET', '/manuals/pump-40.pdf', 'field-docs', b''),
    ('POST', '/claims', 'field-docs', b'{"serial": "TT-1187"}'),
)
CALLER_COUNT = 3
REQUESTS_PER_CALLER = 40
PAUSE_S = 0.02
SWITCH_WAIT_S = '13'
STORE_TIMEOUT_S = 5.0


class Traffic:
    """Concurrent callers that send requests during the preset switch.

    :param instances: nodes that the callers send to.
    """

    def __init__(self, instances: list[Instance]) -> None:
        """Create one thread per caller without starting it."""
        self.instances = instances
        self.outcomes: Counter[str] = Counter()
        self.request_ids: list[str] = []
        self.mismatched = 0
        self.threads = [
            threading.Thread(target=self.run, args=(number,))
            for number in range(CALLER_COUNT)
        ]

    def run(self, caller: int) -> None:
        """Send all requests of one caller, in turn to each node."""
        for number in range(REQUESTS_PER_CALLER):
            instance = self.instances[(caller + number) % len(self.instances)]
            self.send(instance, number, f'caller-{caller}-{number}')
            time.sleep(PAUSE_S)

    def send(self, instance: Instance, number: int, run_id: str) -> None:
        """Send one request; a POST request carries an idempotency key."""
        method, path, host, body = REQUESTS[number % len(REQUESTS)]
        headers = {'Host': host, 'X-Run-Id': run_id, 'X-Tenant': 'co-op-can-tho'}
        if method == 'POST':
            headers['Idempotency-Key'] = run_id
        try:
            received = instance.call(method, path, headers, body)
        except CallerError:
            self.outcomes['lost'] += 1
            return
        self.record(received, run_id)

    def record(self, received: ReceivedReply, run_id: str) -> None:
        """Count a reply by outcome and check that it belongs to its request."""
        self.outcomes[received.outcome] += 1
        self.request_ids.append(received.headers['X-Request-Id'])
        is_whole = received.outcome == 'whole'
        if is_whole and received.parse_json()['run'] != run_id:
            self.mismatched += 1


def run_demo() -> int:
    """Run the demo.

    :returns: exit code.
    """
    deployment = Deployment(DeploymentSettings(), TargetProfile(6, 5))
    try:
        return _run(deployment)
    finally:
        deployment.close()


def _run(deployment: Deployment) -> int:
    _start_deployment(deployment)
    traffic = Traffic(list(deployment.instances.values()))
    click.echo(f'{CALLER_COUNT} callers send {REQUESTS_PER_CALLER} requests each')
    for thread in traffic.threads:
        thread.start()
    _run_command(deployment, 'preset', 'switch', 'peak', '--wait', SWITCH_WAIT_S)
    for caller in traffic.threads:
        caller.join()
    _run_command(deployment, 'status')
    _wait_until_stored(deployment, traffic.request_ids[-1])
    _run_command(deployment, 'explain', traffic.request_ids[-1])
    return _summarize(deployment, traffic)


def _start_deployment(deployment: Deployment) -> None:
    for name, placement in PLACEMENTS:
        deployment.add(name, placement)
    click.echo('starting the log, two links, five nodes and five targets')
    deployment.start_all()
    _run_command(deployment, 'preset', 'publish', str(EXAMPLES_DIR / 'ordinary.toml'))
    _run_command(deployment, 'preset', 'publish', str(EXAMPLES_DIR / 'peak.toml'))
    _run_command(deployment, 'preset', 'switch', 'ordinary', '--wait', SWITCH_WAIT_S)
    deployment.wait_ready()
    deployment.wait_for_members()


def _run_command(deployment: Deployment, *arguments: str) -> None:
    process = deployment.run_cli(*arguments)
    click.echo(f'$ lavendermount {" ".join(arguments)}')
    click.echo(process.read_output().rstrip())
    if process.popen.returncode:
        raise click.ClickException('the command failed; see its output above')


def _wait_until_stored(deployment: Deployment, request_id: str) -> None:
    wait_until(
        lambda: not deployment.run_cli('explain', request_id).popen.returncode,
        'the decisions are stored in the log',
        STORE_TIMEOUT_S,
    )
    # The wait above covers one request; other nodes flush their decisions up to
    # ``flush_ms`` later.
    time.sleep(1)


def _summarize(deployment: Deployment, traffic: Traffic) -> int:
    replayed = deployment.run_cli('replay', '--json')
    report = json.loads(replayed.read_output().splitlines()[-1])
    runs: Counter[str] = Counter()
    for instance in deployment.instances.values():
        runs.update(instance.control_target()['ran_posts'])  # type: ignore[call-overload]
    repeated = sum(1 for times in runs.values() if times > 1)
    requests = CALLER_COUNT * REQUESTS_PER_CALLER
    whole = traffic.outcomes['whole']
    differences = len(report['differences'])
    click.echo(
        f'demo: requests={requests} whole={whole} '
        f'not_run={traffic.outcomes["not-run"]} '
        f'unknown={traffic.outcomes["unknown"]} '
        f'replayed={report["replayed"]} differences={differences}',
    )
    is_replayed = report['replayed'] >= requests
    violations = traffic.mismatched + repeated + differences
    return int(whole != requests or not is_replayed or violations > 0)
