"""A randomized soak: real processes, load, and faults put on from outside.

The same seed draws the same faults at the same times. The promises are checked
from what callers and targets saw.

:units: seconds.
"""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any, cast

import click

from lavendermount_core.utils.registry import Registry
from lavendermount_testbed.deployment import (
    Deployment,
    Instance,
    Place,
    Settings,
    TargetShape,
    fetch_json,
)
from lavendermount_testbed.processes import Process, wait_for_port, wait_until

PLACES = (
    ('desk-1', Place('dealer-desk', 'north', 'hn-a')),
    ('desk-2', Place('dealer-desk', 'north', 'hn-b')),
    ('desk-3', Place('dealer-desk', 'south', 'hcm-a')),
    ('desk-4', Place('dealer-desk', 'south', 'hcm-b')),
)
PRESET = Path('examples/thanh-thuy/ordinary.toml')
SERVICE_MS = 40.0
SLOTS = 6
RATE = 25
QUIET_S = 2.0
SETTLE_S = 6.0
SHORTEST_FAULT_S = 0.2
LONGEST_FAULT_S = 3.0
MEAN_PAUSE_S = 0.8
LOAD_LIMIT_S = 90
SERVED_AT_END = 0.9
SLOWER = 15

Undo = Callable[[], object]
Fault = Callable[['Soak', Instance], Undo]
faults: Registry[str, Fault] = Registry('fault')


class Soak:
    """One run with one seed.

    :param seed: draws faults and load.
    :param seconds: how long faults come.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        """Lay out four nodes in two regions; nothing runs yet."""
        self.chooser = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.deployment = Deployment(Settings(), TargetShape(SLOTS, SERVICE_MS))
        for name, place in PLACES:
            self.deployment.add(name, place)
        self.runs: Counter[str] = Counter()
        self.under_fault: set[str] = set()

    def run(self) -> list[str]:
        """Run the soak.

        :returns: what broke a promise; empty if all were kept.
        """
        try:
            return self.findings(self.rows())
        finally:
            self.deployment.close()

    def rows(self) -> list[list[Any]]:
        """Play the faults under load.

        :returns: what callers saw, a row for each request.
        """
        self.start()
        load = self.start_load()
        self.play(time.monotonic())
        load.popen.wait(LOAD_LIMIT_S)
        for instance in self.deployment.instances.values():
            self.keep_runs(instance)
        return [json.loads(row) for row in load.text().splitlines()]

    def start(self) -> None:
        """Start everything and put a preset in force."""
        self.deployment.start_all()
        self.deployment.put_in_force(PRESET.read_text())
        self.deployment.wait_ready()
        self.deployment.wait_for_members()

    def start_load(self) -> Process:
        """Send orders and stock checks to all nodes."""
        ports = [each.caller_port for each in self.deployment.instances.values()]
        common = {
            'ports': ports,
            'rate': RATE,
            'path': '/order',
            'headers': {'Host': 'dealer-desk'},
        }
        plan = {
            'seconds': QUIET_S + self.seconds + SETTLE_S,
            'seed': self.seed,
            'streams': [
                {**common, 'name': 'orders', 'method': 'POST'},
                {**common, 'name': 'checks', 'method': 'GET'},
            ],
        }
        path = self.deployment.bench.write_file('plan.json', json.dumps(plan))
        return self.deployment.bench.start(
            'load',
            ['-m', 'lavendermount_testbed', 'load', str(path)],
        )

    def play(self, begun: float) -> None:
        """Put faults on in series that overlap, then take all of them off."""
        time.sleep(QUIET_S)
        undos: list[tuple[float, str, Undo]] = []
        end = begun + QUIET_S + self.seconds
        while time.monotonic() < end:
            self.take_off(undos, time.monotonic())
            self.put_on(undos)
            time.sleep(self.chooser.expovariate(1 / MEAN_PAUSE_S))
        self.take_off(undos, float('inf'))

    def put_on(self, undos: list[tuple[float, str, Undo]]) -> None:
        """Draw a fault and a place for it; one fault a place at a time."""
        name = self.chooser.choice(faults.names())
        instance = self.chooser.choice(list(self.deployment.instances.values()))
        lasts_s = self.chooser.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        if instance.name in self.under_fault:
            return
        self.under_fault.add(instance.name)
        click.echo(f'seed={self.seed} fault={name} at={instance.name} s={lasts_s:.2f}')
        undo = faults.find(name)(self, instance)
        undos.append((time.monotonic() + lasts_s, instance.name, undo))

    def take_off(self, undos: list[tuple[float, str, Undo]], until: float) -> None:
        """Take off the faults whose time is over."""
        over = [entry for entry in undos if entry[0] <= until]
        for entry in over:
            undos.remove(entry)
            entry[2]()
            self.under_fault.discard(entry[1])

    def keep_runs(self, instance: Instance) -> None:
        """Add what a target ran to the counts before it loses them."""
        told = instance.control_target()
        self.runs.update(cast('dict[str, int]', told['ran']))
        instance.control_target(ran={}, ran_posts={})

    def findings(self, rows: list[list[Any]]) -> list[str]:
        """Compare what callers were told with what targets ran."""
        found = []
        for stream, _, _, _, outcome, is_own, run_id in rows:
            ran = self.runs[run_id]
            if not is_own:
                found.append(f'{run_id}: the answer is of another request')
            if stream == 'orders' and ran > 1:
                found.append(f'{run_id}: ran {ran} times')
            if outcome == 'not-run' and ran:
                found.append(f'{run_id}: told not-run, ran {ran} times')
        calm_at = QUIET_S + self.seconds + SETTLE_S / 2
        late = [row for row in rows if row[1] >= calm_at]
        served = sum(1 for row in late if row[4] == 'whole')
        if served < SERVED_AT_END * len(late):
            found.append(f'after all faults {served} of {len(late)} were served')
        return found


def announce(instance: Instance) -> None:
    """Let a target tell its node that it is there."""
    wait_until(instance.is_ready, f'{instance.name} is ready')
    told = {'service': 'dealer-desk', 'port': instance.target_port, 'slots': SLOTS}
    fetch_json(f'http://127.0.0.1:{instance.admin_port}/announce', told)


def start_again(instance: Instance) -> None:
    """Start a node that ended; its target tells of itself once more."""
    instance.node.restart()
    announce(instance)


def start_again_after_stop(instance: Instance) -> None:
    """Wait for a planned stop to end, then start the node."""
    instance.node.wait()
    start_again(instance)


def start_target_again(instance: Instance) -> None:
    """Start a target that was killed, and wait until faults can be put on it."""
    instance.target.restart()
    wait_for_port(instance.target_port)


@faults.register('kill-node')
def kill_node(soak: Soak, instance: Instance) -> Undo:
    """Kill a node; its target goes on."""
    instance.node.kill()
    return lambda: start_again(instance)


@faults.register('stop-node')
def stop_node(soak: Soak, instance: Instance) -> Undo:
    """Tell a node to stop; callers go on using their connections."""
    instance.node.popen.terminate()
    return lambda: start_again_after_stop(instance)


@faults.register('pause-node')
def pause_node(soak: Soak, instance: Instance) -> Undo:
    """Pause a node without its knowing."""
    instance.node.freeze()
    return instance.node.resume


@faults.register('kill-target')
def kill_target(soak: Soak, instance: Instance) -> Undo:
    """Kill a target; what it ran is counted first."""
    soak.keep_runs(instance)
    instance.target.kill()
    return lambda: start_target_again(instance)


@faults.register('slow-target')
def slow_target(soak: Soak, instance: Instance) -> Undo:
    """Make a target many times slower."""
    instance.control_target(factor=SLOWER)
    return lambda: instance.control_target(factor=1)


@faults.register('failing-target')
def failing_target(soak: Soak, instance: Instance) -> Undo:
    """Let a target fail every request at once."""
    instance.control_target(fail_status=HTTPStatus.INTERNAL_SERVER_ERROR)
    return lambda: instance.control_target(fail_status=0)


@faults.register('cut-link')
def cut_link(soak: Soak, instance: Instance) -> Undo:
    """Cut the way into a region; connections are reset."""
    region = instance.place.region
    soak.deployment.control_link(region, is_cut=True)
    return lambda: soak.deployment.control_link(region, is_cut=False)


@faults.register('silent-link')
def silent_link(soak: Soak, instance: Instance) -> Undo:
    """Silence for good the connections into a region that are open now."""
    region = instance.place.region
    soak.deployment.control_link(region, silence_open=True)
    return lambda: soak.deployment.control_link(region, silence_open=False)


@faults.register('log-down')
def log_down(soak: Soak, instance: Instance) -> Undo:
    """Take the platform's log away."""
    soak.deployment.control_log(outage=True)
    return lambda: soak.deployment.control_log(outage=False)


def run_soak(seeds: list[int], seconds: float) -> int:
    """Run the soak once a seed and print what broke a promise.

    :returns: exit code.
    """
    broken = 0
    for seed in seeds:
        findings = Soak(seed, seconds).run()
        broken += bool(findings)
        for finding in findings:
            click.echo(f'seed={seed} finding={finding!r}')
    click.echo(f'{len(seeds) - broken} passed, {broken} failed')
    return int(broken > 0)
