"""Randomized soak test: real processes under load and injected faults.

The same seed draws the same sequence of faults, instances, durations and pauses. When
a fault takes effect, and whether it is skipped because its instance already has one,
depends on the run. The guarantees are checked against the replies that callers
received and the requests that targets executed.

:units: seconds.
"""

from __future__ import annotations

import json
import random
import shutil
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
    DeploymentSettings,
    Instance,
    Placement,
    TargetProfile,
    fetch_json,
)
from lavendermount_testbed.processes import Process, wait_for_port, wait_until

INSTANCE_PLACEMENTS = (
    ('desk-1', Placement('dealer-desk', 'north', 'hn-a')),
    ('desk-2', Placement('dealer-desk', 'north', 'hn-b')),
    ('desk-3', Placement('dealer-desk', 'south', 'hcm-a')),
    ('desk-4', Placement('dealer-desk', 'south', 'hcm-b')),
)
PRESET_PATH = Path('examples/thanh-thuy/ordinary.toml')
# The name in the file, and that of a second preset which is otherwise the same.
PRESET_NAMES = ('ordinary', 'peak')
# Time after the faults within which all nodes have the same preset in force.
PRESET_PROPAGATION_S = 3.0
SERVICE_MS = 40.0
SLOTS = 6
REQUESTS_PER_S = 25
WARMUP_S = 2.0
RECOVERY_S = 6.0
MIN_FAULT_DURATION_S = 0.2
MAX_FAULT_DURATION_S = 3.0
MEAN_FAULT_INTERVAL_S = 0.8
LOAD_TIMEOUT_S = 90
MIN_SERVED_SHARE = 0.9
SLOWDOWN_FACTOR = 15

Undo = Callable[[], object]
Fault = Callable[['Soak', Instance], Undo]
faults: Registry[str, Fault] = Registry('fault')


class Soak:
    """One run of the soak test with one seed.

    :param seed: seed of the faults and the load.
    :param seconds: how long faults are injected.
    :param without: faults that are not injected. A seed that was kept draws the same
        sequence only from the faults that existed then.
    """

    def __init__(
        self, seed: int, seconds: float, without: tuple[str, ...] = ()
    ) -> None:
        """Define four nodes in two regions; only the log is started."""
        self.rng = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.fault_names = [name for name in faults.names() if name not in without]
        self.deployment = Deployment(
            DeploymentSettings(), TargetProfile(SLOTS, SERVICE_MS)
        )
        for name, placement in INSTANCE_PLACEMENTS:
            self.deployment.add(name, placement)
        self.run_counts: Counter[str] = Counter()
        self.faulty_instances: set[str] = set()
        self.switch_count = 0
        self.final_presets: dict[str, tuple[str, int]] = {}

    def run(self, log_folder: Path | None = None) -> list[str]:
        """Run the soak test.

        :param log_folder: folder that gets a copy of all files of a run that failed.
        :returns: violated guarantees; empty if all were kept.
        """
        try:
            violations = self.collect_violations()
            if violations and log_folder is not None:
                files = self.deployment.process_manager.folder
                shutil.copytree(files, log_folder / f'seed-{self.seed}')
            return violations
        finally:
            self.deployment.close()

    def collect_violations(self) -> list[str]:
        """Run the load and the faults; a process that does not start is a violation."""
        try:
            rows = self.run_load_with_faults()
        except TimeoutError as error:
            return [str(error)]
        return self.find_violations(rows)

    def run_load_with_faults(self) -> list[list[Any]]:
        """Inject faults under load.

        :returns: result rows of the load generator, one for each request.
        """
        self.start()
        load = self.start_load()
        self.inject_faults(time.monotonic())
        time.sleep(PRESET_PROPAGATION_S)
        self.final_presets = self.presets_in_force()
        load.popen.wait(LOAD_TIMEOUT_S)
        for instance in self.deployment.instances.values():
            self.collect_run_counts(instance)
        return [json.loads(row) for row in load.read_output().splitlines()]

    def start(self) -> None:
        """Start all processes and put a preset in force."""
        self.deployment.start_all()
        preset = PRESET_PATH.read_text()
        for name in PRESET_NAMES:
            renamed = preset.replace(f'name = "{PRESET_NAMES[0]}"', f'name = "{name}"')
            self.deployment.publish_and_switch(renamed)
        self.deployment.wait_ready()
        self.deployment.wait_for_members()

    def start_load(self) -> Process:
        """Start sending orders and stock checks to all nodes."""
        ports = [
            instance.caller_port for instance in self.deployment.instances.values()
        ]
        common_fields = {
            'ports': ports,
            'rate': REQUESTS_PER_S,
            'path': '/order',
            'headers': {'Host': 'dealer-desk'},
        }
        plan = {
            'seconds': WARMUP_S + self.seconds + RECOVERY_S,
            'seed': self.seed,
            'streams': [
                {**common_fields, 'name': 'orders', 'method': 'POST'},
                {**common_fields, 'name': 'checks', 'method': 'GET'},
            ],
        }
        path = self.deployment.process_manager.write_file('plan.json', json.dumps(plan))
        return self.deployment.process_manager.start(
            'load',
            ['-m', 'lavendermount_testbed', 'load', str(path)],
        )

    def inject_faults(self, started_at: float) -> None:
        """Inject overlapping faults for the given time, then revert all of them."""
        time.sleep(WARMUP_S)
        undos: list[tuple[float, str, Undo]] = []
        ends_at = started_at + WARMUP_S + self.seconds
        while time.monotonic() < ends_at:
            self.revert_faults(undos, time.monotonic())
            self.inject_fault(undos)
            time.sleep(self.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S))
        self.revert_faults(undos, float('inf'))

    def inject_fault(self, undos: list[tuple[float, str, Undo]]) -> None:
        """Inject a random fault into a random instance, unless it has one already."""
        name = self.rng.choice(self.fault_names)
        instance = self.rng.choice(list(self.deployment.instances.values()))
        duration_s = self.rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)
        if instance.name in self.faulty_instances:
            return
        self.faulty_instances.add(instance.name)
        click.echo(
            f'seed={self.seed} fault={name} at={instance.name} s={duration_s:.2f}'
        )
        undo = faults.find(name)(self, instance)
        undos.append((time.monotonic() + duration_s, instance.name, undo))

    def revert_faults(
        self, undos: list[tuple[float, str, Undo]], due_by: float
    ) -> None:
        """Revert the faults that end by a time on the monotonic clock."""
        expired = [entry for entry in undos if entry[0] <= due_by]
        for entry in expired:
            undos.remove(entry)
            entry[2]()
            self.faulty_instances.discard(entry[1])

    def presets_in_force(self) -> dict[str, tuple[str, int]]:
        """Return the preset and revision in force on each node."""
        presets = {}
        for instance in self.deployment.instances.values():
            status = self.deployment.fetch_status(instance)
            presets[instance.name] = (status['preset'], status['revision'])
        return presets

    def collect_run_counts(self, instance: Instance) -> None:
        """Collect and reset the execution counts of a target.

        A restart of the target loses them, so this is called before a target is killed.
        """
        report = instance.control_target()
        self.run_counts.update(cast('dict[str, int]', report['ran']))
        instance.control_target(ran={}, ran_posts={})

    def find_violations(self, rows: list[list[Any]]) -> list[str]:
        """Compare the replies to callers with the executions on targets.

        Of the requests sent in the second half of the recovery time, at least
        ``MIN_SERVED_SHARE`` must get a complete reply.
        """
        violations = []
        for stream, _, _, _, outcome, is_matching, run_id in rows:
            run_count = self.run_counts[run_id]
            if not is_matching:
                violations.append(f'{run_id}: received the reply to another request')
            if stream == 'orders' and run_count > 1:
                violations.append(f'{run_id}: executed {run_count} times')
            if outcome == 'not-run' and run_count:
                violations.append(
                    f'{run_id}: reported not-run but executed {run_count} times'
                )
        violations.extend(self.find_preset_violations())
        recovered_at = WARMUP_S + self.seconds + RECOVERY_S / 2
        final_rows = [row for row in rows if row[1] >= recovered_at]
        served_count = sum(1 for row in final_rows if row[4] == 'whole')
        if served_count < MIN_SERVED_SHARE * len(final_rows):
            violations.append(
                f'after the faults only {served_count} of {len(final_rows)} '
                'requests were served'
            )
        return violations

    def find_preset_violations(self) -> list[str]:
        """Compare the presets that the nodes had in force after the faults."""
        if len(set(self.final_presets.values())) <= 1:
            return []
        return [f'{PRESET_PROPAGATION_S} s after the faults: {self.final_presets}']


def announce_target(instance: Instance) -> None:
    """Announce a target to its node once the node is ready."""
    wait_until(instance.is_ready, f'{instance.name} is ready')
    announcement = {
        'service': 'dealer-desk',
        'port': instance.target_port,
        'slots': SLOTS,
    }
    fetch_json(f'http://127.0.0.1:{instance.admin_port}/announce', announcement)


def restart_node(instance: Instance) -> None:
    """Restart a node that ended, and announce its target again."""
    instance.node.restart()
    announce_target(instance)


def restart_stopped_node(instance: Instance) -> None:
    """Wait until a stopping node has ended, then restart it."""
    instance.node.wait()
    restart_node(instance)


def restart_target(instance: Instance) -> None:
    """Restart a killed target and wait until it listens.

    The next fault may be injected right afterwards, and its control request is
    refused if the target does not listen yet (soak seed 402).
    """
    instance.target.restart()
    wait_for_port(instance.target_port)


@faults.register('kill-node')
def kill_node(soak: Soak, instance: Instance) -> Undo:
    """Kill a node; its target keeps running."""
    instance.node.kill()
    return lambda: restart_node(instance)


@faults.register('stop-node')
def stop_node(soak: Soak, instance: Instance) -> Undo:
    """Stop a node gracefully; callers keep using their connections."""
    instance.node.popen.terminate()
    return lambda: restart_stopped_node(instance)


@faults.register('pause-node')
def pause_node(soak: Soak, instance: Instance) -> Undo:
    """Suspend a node process with SIGSTOP."""
    instance.node.freeze()
    return instance.node.resume


@faults.register('kill-target')
def kill_target(soak: Soak, instance: Instance) -> Undo:
    """Kill a target after collecting its execution counts."""
    soak.collect_run_counts(instance)
    instance.target.kill()
    return lambda: restart_target(instance)


@faults.register('slow-target')
def slow_target(soak: Soak, instance: Instance) -> Undo:
    """Slow a target down by ``SLOWDOWN_FACTOR``."""
    instance.control_target(factor=SLOWDOWN_FACTOR)
    return lambda: instance.control_target(factor=1)


@faults.register('failing-target')
def failing_target(soak: Soak, instance: Instance) -> Undo:
    """Make a target fail every request immediately."""
    instance.control_target(fail_status=HTTPStatus.INTERNAL_SERVER_ERROR)
    return lambda: instance.control_target(fail_status=0)


@faults.register('cut-link')
def cut_link(soak: Soak, instance: Instance) -> Undo:
    """Cut the link into a region; connections are aborted."""
    region = instance.placement.region
    soak.deployment.control_link(region, is_cut=True)
    return lambda: soak.deployment.control_link(region, is_cut=False)


@faults.register('silent-link')
def silent_link(soak: Soak, instance: Instance) -> Undo:
    """Drop all data on the currently open connections into a region.

    They stay open; later connections work.
    """
    region = instance.placement.region
    soak.deployment.control_link(region, silence_open=True)
    return lambda: soak.deployment.control_link(region, silence_open=False)


@faults.register('log-down')
def log_down(soak: Soak, instance: Instance) -> Undo:
    """Start an outage of the platform's log."""
    soak.deployment.control_log(outage=True)
    return lambda: soak.deployment.control_log(outage=False)


@faults.register('log-silent')
def silence_log(soak: Soak, instance: Instance) -> Undo:
    """Drop what reaches the platform's log; reads that already wait are answered."""
    soak.deployment.control_log(silent=True)
    return lambda: soak.deployment.control_log(silent=False)


@faults.register('switch-preset')
def switch_preset(soak: Soak, instance: Instance) -> Undo:
    """Switch between two presets; the operator may be told that it was not accepted."""
    soak.switch_count += 1
    name = PRESET_NAMES[soak.switch_count % len(PRESET_NAMES)]
    return soak.deployment.start_cli('preset', 'switch', name).wait


@faults.register('log-restored')
def restore_log(soak: Soak, instance: Instance) -> Undo:
    """Copy the platform's log, and let it come back from the copy later."""
    soak.deployment.control_log(copy=True)
    return lambda: soak.deployment.control_log(restore=True)


def run_soak(seeds: list[int], seconds: float, log_folder: Path | None = None) -> int:
    """Run the soak test for each seed and print the violated guarantees.

    :param log_folder: folder that gets a copy of all files of each run that failed.
    :returns: exit code.
    """
    failed_count = 0
    for seed in seeds:
        violations = Soak(seed, seconds).run(log_folder)
        failed_count += bool(violations)
        for violation in violations:
            click.echo(f'seed={seed} finding={violation!r}')
    click.echo(f'{len(seeds) - failed_count} passed, {failed_count} failed')
    return int(failed_count > 0)
