"""Disturbances of the loss soak.

:units: seconds; timeouts of presets in milliseconds.
:errors: an error ends a disturbance and is a finding of the run.
"""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, cast

from lavendermount_core.utils.registry import Registry
from lavendermount_testbed.deployment import Instance, fetch_json
from lavendermount_testbed.processes import Process
from lavendermount_testbed.soak import SLOTS

if TYPE_CHECKING:
    from lavendermount_testbed.loss_soak import LossSoak

DRAIN_BOUND_S = 2.5
LEAVE_S = 1.0
MAX_SIGNAL_DELAY_S = 1.5
TIMEOUTS_MS = (15000, 3000, 1000, 500)
ROUTE_COUNTS = (0, 600)
MIN_STALL_S = 0.1
MAX_STALL_S = 0.9
STALLS_IN_SERIES = 3
SLOWED_S = 2.0
SLICE_S = 0.03
TARGET_FAULT_S = 2.0
MIN_LOG_AWAY_S = 0.5
MAX_LOG_AWAY_S = 4.0


class Scope(StrEnum):
    """What a disturbance uses; one at a time uses each scope of a node."""

    PROCESS = 'process'
    SETTINGS = 'settings'
    PACE = 'pace'
    TARGET = 'target'
    # Scopes of the whole deployment.
    LOG = 'log'
    PRESET = 'preset'


Disturbance = Callable[['LossSoak', Instance, random.Random], None]
disturbances: Registry[tuple[Scope, str], Disturbance] = Registry('disturbance')


@disturbances.register((Scope.PROCESS, 'stop'))
def stop_node(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Stop a node and start it again."""
    instance.node.popen.terminate()
    soak.restart(instance)


@disturbances.register((Scope.PROCESS, 'stop-twice'))
def stop_node_twice(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Ask a stopping node to stop again."""
    instance.node.popen.terminate()
    time.sleep(rng.uniform(0, MAX_SIGNAL_DELAY_S))
    instance.node.popen.terminate()
    soak.restart(instance)


@disturbances.register((Scope.PROCESS, 'reload-during-stop'))
def reload_during_stop(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Ask a stopping node to reload its settings."""
    instance.node.popen.terminate()
    time.sleep(rng.uniform(0, MAX_SIGNAL_DELAY_S))
    instance.node.popen.send_signal(signal.SIGHUP)
    soak.restart(instance)


@disturbances.register((Scope.PROCESS, 'stop-during-start'))
def stop_during_start(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Stop a node again while it starts."""
    instance.node.popen.terminate()
    soak.wait_for_end(instance)
    instance.node.restart()
    time.sleep(rng.uniform(0, MAX_SIGNAL_DELAY_S))
    instance.node.popen.terminate()
    soak.restart(instance)


@disturbances.register((Scope.PROCESS, 'leave'))
def leave(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Announce that a target drains, and check what it gets after the drain bound."""
    announce(instance, soak.target_ids[instance.name], 'draining')
    time.sleep(DRAIN_BOUND_S)
    earlier = run_counts(instance)
    time.sleep(LEAVE_S)
    late = [run_id for run_id in run_counts(instance) if run_id not in earlier]
    if late:
        soak.findings.append(f'run-after-leave node={instance.name} requests={late}')
    soak.announce_ready(instance)


@disturbances.register((Scope.SETTINGS, 'reload'))
def reload_settings(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Ask a node to reload its settings, unless it may not be ready for that."""
    if instance.is_ready():
        instance.node.popen.send_signal(signal.SIGHUP)


@disturbances.register((Scope.PACE, 'stall'))
def stall_node(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Suspend a node some times, for less time than it takes to count as frozen."""
    for _ in range(STALLS_IN_SERIES):
        suspend(instance.node, rng.uniform(MIN_STALL_S, MAX_STALL_S))
        time.sleep(rng.uniform(MIN_STALL_S, MAX_STALL_S))


@disturbances.register((Scope.PACE, 'slow'))
def slow_node(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Give a node about half of a processor core."""
    ends_at = time.monotonic() + SLOWED_S
    while time.monotonic() < ends_at:
        suspend(instance.node, SLICE_S)
        time.sleep(SLICE_S)


@disturbances.register((Scope.TARGET, 'early-answers'))
def answer_early(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Let a target answer before a body is in."""
    instance.control_target(answer_early=True)
    time.sleep(TARGET_FAULT_S)
    instance.control_target(answer_early=False)


@disturbances.register((Scope.TARGET, 'dropped-connections'))
def drop_reused(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Let a target close kept connections as their next request arrives."""
    instance.control_target(drop_reused=True)
    time.sleep(TARGET_FAULT_S)
    instance.control_target(drop_reused=False)


@disturbances.register((Scope.LOG, 'log-paused'))
def pause_log(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Suspend the log."""
    log = soak.deployment.process_manager.processes['log']
    suspend(log, rng.uniform(MIN_LOG_AWAY_S, MAX_LOG_AWAY_S))


@disturbances.register((Scope.LOG, 'log-down'))
def stop_log(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Let the log refuse all requests."""
    soak.deployment.control_log(outage=True)
    time.sleep(rng.uniform(MIN_LOG_AWAY_S, MAX_LOG_AWAY_S))
    soak.deployment.control_log(outage=False)


@disturbances.register((Scope.PRESET, 'switch'))
def switch_preset(soak: LossSoak, instance: Instance, rng: random.Random) -> None:
    """Switch to a preset with other timeouts, which may have many routes."""
    soak.switch_preset(rng.choice(TIMEOUTS_MS), rng.choice(ROUTE_COUNTS))


def suspend(process: Process, seconds: float) -> None:
    """Suspend a process that may be replaced meanwhile, and resume it."""
    popen = process.popen
    popen.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    popen.send_signal(signal.SIGCONT)


def announce(instance: Instance, target_id: str, state: str) -> None:
    """Report the state of a target to its node, and wait for the acknowledgement."""
    announcement = {
        'service': instance.placement.service,
        'port': instance.target_port,
        'slots': SLOTS,
        'instance': target_id,
        'state': state,
    }
    fetch_json(f'http://127.0.0.1:{instance.admin_port}/announce', announcement)


def run_counts(instance: Instance) -> dict[str, int]:
    """Fetch the execution count of each request on a target."""
    return cast('dict[str, int]', instance.control_target()['ran'])
