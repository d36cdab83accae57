"""Randomized soak test that counts requests that end without an answer.

Callers use many kept connections while nodes are restarted and reloaded, presets
change timeouts, nodes are stalled or slowed and the log is away. The same seed draws
the same sequence of disturbances; whether one is skipped, because its scope is still
disturbed, depends on the run.

:units: seconds.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import click

from lavendermount_core.utils.units import MS_PER_S
from lavendermount_testbed.deployment import (
    Deployment,
    DeploymentSettings,
    Instance,
    TargetProfile,
)
from lavendermount_testbed.loss_callers import Callers, Ending
from lavendermount_testbed.loss_disturbances import (
    Scope,
    announce,
    disturbances,
    run_counts,
)
from lavendermount_testbed.loss_verdicts import RunReport, find_violations
from lavendermount_testbed.processes import wait_until
from lavendermount_testbed.soak import (
    INSTANCE_PLACEMENTS,
    PRESET_PATH,
    SERVICE_MS,
    SLOTS,
)

DRAIN_S = 6.0
CONFIG_APPLY_S = 2.5
WARMUP_S = 1.0
RECOVERY_S = CONFIG_APPLY_S
MEAN_INTERVAL_S = 0.3
MAX_DISTURBANCES = 8
MAX_RESTARTING_NODES = 2
FIRST_TIMEOUT_MS = 1000


class LossSoak:
    """One run of the loss soak with one seed.

    :param seed: seed of the disturbances and the callers.
    :param seconds: how long disturbances are started.
    :param connections: connections of callers to each node.
    :param without: disturbances that are not started.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        connections: int,
        without: tuple[str, ...] = (),
    ) -> None:
        """Define four nodes in two regions; only the log is started."""
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.choices = [key for key in disturbances.names() if key[1] not in without]
        settings = DeploymentSettings()
        settings.drain_s = DRAIN_S
        profile = TargetProfile(SLOTS, SERVICE_MS, is_random=True)
        self.deployment = Deployment(settings, profile)
        for placed in INSTANCE_PLACEMENTS:
            self.deployment.add(*placed)
        ports = {
            name: instance.caller_port
            for name, instance in self.deployment.instances.items()
        }
        self.callers = Callers(ports, connections, seed)
        self.report = RunReport([], {}, self.callers.lag_between)
        self.busy: set[tuple[Scope, str]] = set()
        self.counts: Counter[str] = Counter()
        self.findings: list[str] = []
        self.announcement_count = 0
        # Name under which each target announced itself last.
        self.target_ids: dict[str, str] = {}
        self.preset_count = 0
        # Presets of which one must be in force after the run.
        self.allowed_presets: set[str] = set()

    def run(self, log_folder: Path | None = None) -> list[str]:
        """Run the loss soak.

        :param log_folder: folder that gets a copy of all files of a run that failed.
        :returns: violated guarantees; empty if all were kept.
        """
        folder = self.deployment.process_manager.folder
        try:
            self.run_deployment()
            self.findings.extend(find_violations(self.report, folder))
            if self.findings and log_folder is not None:
                shutil.copytree(folder, log_folder / f'loss-seed-{self.seed}')
        finally:
            self.deployment.close()
        return self.findings

    def run_deployment(self) -> None:
        """Disturb the nodes under load; a process that does not start is a finding."""
        try:
            self.start()
        except (TimeoutError, subprocess.TimeoutExpired) as error:
            self.findings.append(str(error))
            return
        thread = threading.Thread(target=lambda: asyncio.run(self.callers.run()))
        thread.start()
        time.sleep(WARMUP_S)
        self.disturb(time.monotonic() + self.seconds)
        time.sleep(RECOVERY_S)
        self.callers.is_over = True
        thread.join()
        self.check_presets()
        self.collect_runs()

    def start(self) -> None:
        """Start all processes and put a preset in force."""
        self.deployment.start_all()
        self.switch_preset(FIRST_TIMEOUT_MS, 0)
        self.deployment.wait_ready()
        self.deployment.wait_for_members()
        for instance in self.deployment.instances.values():
            self.announce_ready(instance)

    def disturb(self, ends_at: float) -> None:
        """Start disturbances until a time, and wait until all have ended."""
        with ThreadPoolExecutor(MAX_DISTURBANCES) as pool:
            while time.monotonic() < ends_at:
                self.start_next(pool)
                time.sleep(self.rng.expovariate(1 / MEAN_INTERVAL_S))

    def start_next(self, pool: ThreadPoolExecutor) -> None:
        """Start a random disturbance, unless its scope is disturbed already."""
        scope, name = self.rng.choice(self.choices)
        instance = self.rng.choice(list(self.deployment.instances.values()))
        rng = random.Random(self.rng.random())
        key = (scope, '' if scope in {Scope.LOG, Scope.PRESET} else instance.name)
        if key in self.busy or self.would_restart_too_many(scope):
            return
        self.busy.add(key)
        self.counts[name] += 1
        future = pool.submit(self.apply, name, scope, instance, rng)
        future.add_done_callback(lambda done: self.finish(key, done))

    def would_restart_too_many(self, scope: Scope) -> bool:
        """Return whether enough nodes are restarting already."""
        if scope != Scope.PROCESS:
            return False
        return [key[0] for key in self.busy].count(scope) >= MAX_RESTARTING_NODES

    def apply(
        self, name: str, scope: Scope, instance: Instance, rng: random.Random
    ) -> None:
        """Apply a disturbance and print when it starts and ends."""
        place = f'seed={self.seed} disturbance={name} at={instance.name}'
        click.echo(f'{time_of_day()} {place} begins')
        disturbances.find((scope, name))(self, instance, rng)
        click.echo(f'{time_of_day()} {place} ends')

    def finish(self, key: tuple[Scope, str], done: Future[None]) -> None:
        """Allow the next disturbance of a scope; an error is a finding."""
        self.busy.discard(key)
        error = done.exception()
        if error is not None:
            self.findings.append(f'disturbance of {key[0]} {key[1]}: {error!r}')

    def wait_for_end(self, instance: Instance) -> None:
        """Wait until a stopping node has ended; kill it if it does not end."""
        try:
            instance.node.wait()
        except subprocess.TimeoutExpired as error:
            self.findings.append(f'{instance.name} did not end: {error}')
            self.report.kills.append((instance.name, time.monotonic()))
            instance.node.kill()

    def restart(self, instance: Instance) -> None:
        """Wait until a stopping node has ended, start it and announce its target."""
        self.wait_for_end(instance)
        instance.node.restart()
        wait_until(instance.is_ready, f'{instance.name} is ready')
        self.announce_ready(instance)

    def announce_ready(self, instance: Instance) -> None:
        """Announce the target of a node as one that has just started."""
        self.announcement_count += 1
        self.target_ids[instance.name] = f'start-{self.announcement_count}'
        announce(instance, self.target_ids[instance.name], 'ready')

    def switch_preset(self, timeout_ms: int, route_count: int) -> None:
        """Publish a preset and switch to it.

        Callers apply the shorter timeout from before the switch until after it.

        :param route_count: number of additional routes.
        """
        self.preset_count += 1
        name = f'preset-{self.preset_count}'
        text = build_preset(name, timeout_ms, route_count)
        path = self.deployment.process_manager.write_file(f'{name}.toml', text)
        timeout_s = timeout_ms / MS_PER_S
        self.callers.timeout_s = min(self.callers.timeout_s, timeout_s)
        self.allowed_presets.add(name)
        self.deployment.run_cli('preset', 'publish', str(path))
        switched = self.deployment.run_cli('preset', 'switch', name)
        if switched.popen.returncode:
            return
        self.allowed_presets = {name}
        time.sleep(CONFIG_APPLY_S)
        self.callers.timeout_s = timeout_s

    def check_presets(self) -> None:
        """Compare the presets in force with those that were accepted."""
        for instance in self.deployment.instances.values():
            name = self.deployment.fetch_status(instance).get('preset')
            if name not in self.allowed_presets:
                self.findings.append(
                    f'preset-not-in-force node={instance.name} preset={name} '
                    f'accepted={sorted(self.allowed_presets)}'
                )

    def collect_runs(self) -> None:
        """Collect the requests of the callers and the executions on targets."""
        total: Counter[str] = Counter()
        for instance in self.deployment.instances.values():
            total.update(run_counts(instance))
        self.report.run_counts = total
        self.report.requests = self.callers.requests
        for node, count in self.callers.stray_counts.items():
            if count:
                self.findings.append(f'{node} sent a reply to no request')

    def summary(self) -> str:
        """Summarize the run in one line."""
        requests = self.callers.requests
        endings = Counter(str(request.ending) for request in requests)
        closed = [request for request in requests if request.ending == Ending.CLOSED]
        statuses = Counter(f'status_{request.status}' for request in requests)
        fields = {
            'seed': self.seed,
            'requests': len(requests),
            **endings,
            **statuses,
            # While the callers are late, no time counts as waited.
            'callers_late_ms': round(self.callers.late_s * MS_PER_S),
            'closed_behind': sum(1 for request in closed if request.is_behind),
            **self.counts,
            'findings': len(self.findings),
        }
        return ' '.join(f'{key}={count}' for key, count in fields.items())


def build_preset(name: str, timeout_ms: int, route_count: int) -> str:
    """Build a preset with the given timeouts and additional routes."""
    text = PRESET_PATH.read_text().replace('name = "ordinary"', f'name = "{name}"')
    limits = f'[limits]\nidle_ms = {timeout_ms}\nheader_ms = {timeout_ms}\n'
    return '\n'.join((text, limits, *build_routes(route_count)))


def build_routes(count: int) -> Iterator[str]:
    """Build routes that match no request of the callers."""
    for index in range(count):
        yield (
            f'[[route]]\nservice = "field-docs"\nhost = "docs-{index}"\n'
            f'path = "/part-{index}"\nclass = "installer"\n'
        )


def time_of_day() -> str:
    """Return the time of day, as the nodes log it."""
    return time.strftime('%H:%M:%S')


def run_loss_soak(
    seeds: list[int],
    seconds: float,
    connections: int,
    without: tuple[str, ...] = (),
    log_folder: Path | None = None,
) -> int:
    """Run the loss soak for each seed and print the violated guarantees.

    :param log_folder: folder that gets a copy of all files of each run that failed.
    :returns: exit code.
    """
    failed_count = 0
    for seed in seeds:
        soak = LossSoak(seed, seconds, connections, without)
        violations = soak.run(log_folder)
        failed_count += bool(violations)
        for violation in violations:
            click.echo(f'seed={seed} finding={violation}')
        click.echo(soak.summary())
    click.echo(f'{len(seeds) - failed_count} passed, {failed_count} failed')
    return int(failed_count > 0)
