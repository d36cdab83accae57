"""Cost of a hop: direct requests, through one node and through two nodes.

:shapes: one line of figures per path and rate.
:units: milliseconds; CPU time is the sum over the nodes on the path.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benches.measure import (
    RequestResult,
    cpu_time_s,
    finish_load,
    percentile,
    print_figures,
    resident_mb,
    start_load,
)
from lavendermount_testbed.deployment import (
    Deployment,
    DeploymentSettings,
    Instance,
    Placement,
    TargetProfile,
)

PRESET = """name = "path"
[[class]]
name = "only"
[[route]]
service = "desk"
class = "only"
"""
RATES = (40, 200)
SECONDS = 12
WARM_UP_S = 2
ROUNDS = 1
P50 = 0.5
P99 = 0.99


def run_load(
    deployment: Deployment, name: str, port: int, rate: int
) -> list[RequestResult]:
    """Send a load to one port and return the results after the warm-up."""
    stream = {
        'name': 'get',
        'ports': [port],
        'rate': rate,
        'method': 'GET',
        'path': '/stock',
        'headers': {'X-Reply-Size': '1000'},
    }
    plan = {'seconds': SECONDS, 'seed': rate, 'streams': [stream]}
    rows = finish_load(start_load(deployment, name, plan))
    return [row for row in rows if row.at_s > WARM_UP_S]


def measure_paths(
    deployment: Deployment, paths: dict[str, tuple[int, list[Instance]]]
) -> None:
    """Measure each path at each rate, ``ROUNDS`` times.

    The path ``straight``, which must come first, is the baseline of the added
    latency.
    """
    for rate in RATES:
        baseline = (0.0, 0.0)
        for path, (port, nodes) in paths.items():
            elapsed: list[float] = []
            cpu_s = 0.0
            expected_requests = 0
            for number in range(ROUNDS):
                before = sum(cpu_time_s(instance.node) for instance in nodes)
                rows = run_load(deployment, f'{path}-{rate}-{number}', port, rate)
                cpu_s += sum(cpu_time_s(instance.node) for instance in nodes) - before
                expected_requests += rate * SECONDS
                elapsed += [row.elapsed_ms for row in rows if row.outcome == 'whole']
            elapsed.sort()
            p50, p99 = percentile(elapsed, P50), percentile(elapsed, P99)
            if path == 'straight':
                baseline = (p50, p99)
            print_figures(
                path=path,
                rate=rate,
                requests=len(elapsed),
                p50_ms=p50,
                p99_ms=p99,
                added_p50_ms=p50 - baseline[0],
                added_p99_ms=p99 - baseline[1],
                cpu_ms_per_request=cpu_s * 1000 / expected_requests,
                rss_mb=max(
                    [resident_mb(instance.node) for instance in nodes], default=0.0
                ),
            )


def main() -> None:
    """Run the benchmark."""
    settings = DeploymentSettings()
    settings.period_ms = 1000
    settings.flush_ms = 2000
    settings.log_level = 'warning'
    deployment = Deployment(settings, TargetProfile(16, 1))
    try:
        near = deployment.add('near', Placement('other', 'north', 'a'))
        far = deployment.add('far', Placement('desk', 'north', 'a'))
        deployment.start_all()
        switched = deployment.publish_and_switch(PRESET)
        if switched.popen.returncode:
            raise SystemExit(switched.read_output())
        deployment.wait_ready()
        deployment.wait_for_members()
        time.sleep(1)
        measure_paths(
            deployment,
            {
                'straight': (far.target_port, []),
                'one-node': (far.caller_port, [far]),
                'two-nodes': (near.caller_port, [near, far]),
            },
        )
    finally:
        deployment.close()


if __name__ == '__main__':
    main()
