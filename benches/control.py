"""Cost of gossip and control by the number of nodes, members and services.

:shapes: one line ``figure= size= value= unit=`` per figure.
:units: as each line says.
"""

from __future__ import annotations

import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from urllib.request import urlopen

sys.path.insert(0, str(Path(__file__).parent.parent))

from benches.measure import cpu_time_s, print_figures, resident_mb
from lavendermount_core.config.preset import parse_preset
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.models.records import pack
from lavendermount_core.replay.records import DecisionRecord, compress_rows
from lavendermount_core.routing.candidates import Candidate, DecisionInputs, Tuning
from lavendermount_core.routing.policies import decide
from lavendermount_core.utils.digests import random_identifier
from lavendermount_testbed.deployment import (
    Deployment,
    DeploymentSettings,
    Instance,
    Placement,
    TargetProfile,
    fetch_json,
)
from lavendermount_testbed.processes import wait_until
from lavendermountd.membership.relays import relays_of
from lavendermountd.membership.table import MemberTable
from lavendermountd.membership.updates import BUCKETS_PER_ROUND, UpdateQueue
from lavendermountd.routing.load_view import ReportedLoad

NODE_COUNTS = (1, 2, 4, 8, 16, 32)
MEMBER_COUNTS = (10, 100, 1000, 10000)
CANDIDATE_COUNTS = (2, 7, 22, 100)
SERVICE_COUNTS = (2, 20, 100, 420)
MEMBER_SERVICE_COUNT = 420
IDLE_S = 15
REPEATS = 200
PRESET = """name = "{name}"
[[class]]
name = "only"
[[route]]
service = "desk"
class = "only"
"""


def print_figure(name: str, size: int, value: float, unit: str) -> None:
    """Print one figure."""
    print_figures(figure=name, size=size, value=value, unit=unit)


def sum_metric(instance: Instance, prefix: str) -> float:
    """Sum a node's metric samples whose lines start with a prefix."""
    url = f'http://127.0.0.1:{instance.admin_port}/metrics'
    with urlopen(url) as response:
        lines = response.read().decode().splitlines()
    return sum(
        float(line.rpartition(' ')[2]) for line in lines if line.startswith(prefix)
    )


def measure_nodes(count: int) -> None:
    """Measure idle cost and a preset switch in a deployment without targets."""
    settings = DeploymentSettings()
    settings.period_ms = 1000
    settings.flush_ms = 2000
    settings.log_level = 'warning'
    deployment = Deployment(settings, TargetProfile(1, 1))
    try:
        for number in range(count):
            deployment.add(
                f'node-{number}', Placement('desk', 'north', f'zone-{number % 4}')
            )
        for instance in deployment.instances.values():
            deployment.start_node(instance)
        nodes = list(deployment.instances.values())
        publish_and_switch(deployment, 'first')
        deployment.wait_ready()
        wait_until(
            lambda: all(_member_count(node) >= count for node in nodes),
            f'every node knows {count} members',
            60,
        )
        time.sleep(3)
        measure_idle(deployment, nodes)
        measure_switch(deployment, nodes)
    finally:
        deployment.close()


def _member_count(instance: Instance) -> float:
    return sum_metric(instance, 'lavendermount_node_state{name="members"}')


def publish_and_switch(deployment: Deployment, name: str) -> float:
    """Publish a preset and switch to it.

    :returns: time on the monotonic clock at which the switch command had exited.
    """
    path = deployment.process_manager.write_file(
        f'{name}.toml', PRESET.format(name=name)
    )
    published = deployment.run_cli('preset', 'publish', str(path))
    switched = deployment.run_cli('preset', 'switch', name)
    if published.popen.returncode or switched.popen.returncode:
        raise SystemExit(published.read_output() + switched.read_output())
    return time.monotonic()


def measure_idle(deployment: Deployment, nodes: list[Instance]) -> None:
    """Measure what the nodes use while there is no traffic and no change."""
    count = len(nodes)
    measuring_bytes = sum(
        sum_metric(instance, 'lavendermount_measuring_bytes{') for instance in nodes
    )
    cpu_s = sum(cpu_time_s(instance.node) for instance in nodes)
    appends = int(str(fetch_json(f'{deployment.log_url}/control')['appends']))
    started_at = time.monotonic()
    time.sleep(IDLE_S)
    elapsed = time.monotonic() - started_at
    cpu_s = sum(cpu_time_s(instance.node) for instance in nodes) - cpu_s
    measuring_bytes = (
        sum(
            sum_metric(instance, 'lavendermount_measuring_bytes{') for instance in nodes
        )
        - measuring_bytes
    )
    appended = (
        int(str(fetch_json(f'{deployment.log_url}/control')['appends'])) - appends
    )
    print_figure(
        'gossip-bytes-per-node', count, measuring_bytes / count / elapsed, 'B/s'
    )
    print_figure(
        'control-processor-per-node', count, 100 * cpu_s / count / elapsed, '%core'
    )
    print_figure(
        'resident-per-node',
        count,
        max(resident_mb(instance.node) for instance in nodes),
        'MB',
    )
    print_figure('log-appends', count, appended / elapsed, '1/s')


def measure_switch(deployment: Deployment, nodes: list[Instance]) -> None:
    """Measure how long a switch takes until all nodes use the new preset.

    The time starts when the command exits. Nodes that already use the preset
    by then count as 0, so the result is never negative.
    """
    target = nodes[-1]
    before = sum_metric(target, 'lavendermount_node_state{name="revision"}')
    exited_at = publish_and_switch(deployment, 'second')
    prefix = 'lavendermount_node_state{name="revision"}'
    wait_until(
        lambda: all(sum_metric(instance, prefix) > before for instance in nodes),
        'all nodes use the new preset',
    )
    print_figure('switch-in-force', len(nodes), time.monotonic() - exited_at, 's')


def build_member(number: int) -> Member:
    """Build a member whose fields depend on its number."""
    return Member(
        f'node-{number:05}',
        1,
        0,
        MemberStatus.ALIVE,
        f'service-{number % MEMBER_SERVICE_COUNT}',
        f'region-{number % 7}',
        f'zone-{number % 25}',
        f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
        7001,
        7002,
    )


def build_report(node_id: str) -> LoadReport:
    """Build a load report of a node."""
    return LoadReport(node_id, 1, 1, 3, 1, 6, 12.5, 0.01, 60000, is_accepting=True)


def mean_duration_us(action: Callable[[], object]) -> float:
    """Return the mean duration of ``REPEATS`` calls, in microseconds."""
    started_at = time.perf_counter()
    for _ in range(REPEATS):
        action()
    return (time.perf_counter() - started_at) * 1e6 / REPEATS


def measure_members(count: int) -> None:
    """Measure size and speed of the member table and size of the load view."""
    gc.collect()
    tracemalloc.start()
    table = MemberTable(build_member(0))
    queue = UpdateQueue(table)
    for number in range(1, count):
        table.merge(build_member(number))
    table_bytes, _ = tracemalloc.get_traced_memory()
    loads = {
        member.node_id: ReportedLoad(build_report(member.node_id), 0.0)
        for member in table.members.values()
    }
    total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print_figure('member-table', count, table_bytes / 1e6, 'MB')
    print_figure('load-view', count, (total_bytes - table_bytes) / 1e6, 'MB')
    print_figure(
        'lookup-service',
        count,
        mean_duration_us(lambda: table.members_of('service-7')),
        'us',
    )
    buckets = list(range(BUCKETS_PER_ROUND))
    print_figure(
        'digest-round', count, mean_duration_us(lambda: queue.digests(buckets)), 'us'
    )
    print_figure(
        'relays', count, mean_duration_us(lambda: relays_of(table, 'region-1')), 'us'
    )
    member = build_member(count // 2)
    member.version = 1
    print_figure(
        'merge-known', count, mean_duration_us(lambda: table.merge(member)), 'us'
    )
    assert loads


def build_inputs(count: int, seed: int) -> DecisionInputs:
    """Build the inputs of a routing decision with random candidates."""
    generator = random.Random(seed)
    candidates = [
        Candidate(
            f'node-{number:05}',
            generator.choice((0, 1, 2, 2, 3)),
            generator.randrange(6),
            generator.randrange(3),
            generator.randrange(2),
            6,
            generator.uniform(5, 30),
            0.01,
            generator.randrange(50),
            generator.randrange(900),
            90000,
        )
        for number in range(count)
    ]
    tuning = Tuning(3, 1000, 5000, 1, 20, 1000)
    return DecisionInputs('expected-time', tuning, seed * 7919, seed, True, candidates)


def build_record(inputs: DecisionInputs) -> DecisionRecord:
    """Make a routing decision and build its record."""
    decision = decide(inputs)
    rows = [each.to_row() for each in inputs.candidates]
    return DecisionRecord(
        random_identifier(),
        1,
        'first',
        time.time_ns() // 1_000_000,
        12345,
        'service-7',
        'dealer',
        'tenant-17',
        inputs.policy,
        inputs.tuning.to_row(),
        inputs.seed,
        inputs.turn,
        inputs.is_link_allowed,
        rows,
        decision.chosen,
        decision.scores,
        'whole:200',
        12.5,
    )


def measure_decisions(count: int) -> None:
    """Measure a routing decision and its record by candidate count."""
    inputs = build_inputs(count, 1)
    print_figure('decide', count, mean_duration_us(lambda: decide(inputs)), 'us')
    record = build_record(inputs)
    print_figure('decision-record', count, len(pack(record.to_row())), 'B')
    records = [build_record(build_inputs(count, number)) for number in range(100)]
    batch = compress_rows(pack(each.to_row()) for each in records)
    print_figure('decision-record-compressed', count, len(batch) / len(records), 'B')
    print_figure(
        'pack-record', count, mean_duration_us(lambda: pack(record.to_row())), 'us'
    )


def measure_preset(services: int) -> None:
    """Measure the parse time and the size of a preset by service count."""
    classes = ''.join(f'[[class]]\nname = "class-{number}"\n' for number in range(3))
    routes = ''.join(
        f'[[route]]\nservice = "service-{number}"\nhost = "service-{number}"\n'
        f'class = "class-{number % 3}"\ntenant_header = "X-Tenant"\n'
        for number in range(services)
    )
    text = f'name = "large"\n{classes}{routes}'
    started_at = time.perf_counter()
    parse_preset(text, 'large')
    print_figure(
        'preset-parse', services, (time.perf_counter() - started_at) * 1000, 'ms'
    )
    print_figure('preset-size', services, len(text), 'B')


def main() -> None:
    """Run the benchmark."""
    for count in MEMBER_COUNTS:
        measure_members(count)
    for count in CANDIDATE_COUNTS:
        measure_decisions(count)
    for services in SERVICE_COUNTS:
        measure_preset(services)
    for count in NODE_COUNTS:
        measure_nodes(count)


if __name__ == '__main__':
    main()
