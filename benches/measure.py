"""What the benches share: loads, percentiles, processor time and memory.

:units: milliseconds, megabytes and seconds as the names say.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from lavendermount_testbed.deployment import Deployment
from lavendermount_testbed.processes import Process

CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MEGA = 1_000_000
USER_FIELD = 11
SYSTEM_FIELD = 12
RESIDENT_FIELD = 1
LOAD_TIMEOUT_S = 300


class RequestResult:
    """One request of a load, as its driver saw it.

    :param columns: as printed by the driver.
    """

    __slots__ = (
        'stream',
        'at_s',
        'elapsed_ms',
        'status',
        'outcome',
        'is_own',
        'run_id',
    )

    def __init__(self, columns: list[Any]) -> None:
        """Keep the columns by name."""
        self.stream, self.at_s, self.elapsed_ms = columns[:3]
        self.status, self.outcome, self.is_own = columns[3:6]
        self.run_id = columns[6]


def cpu_time_s(process: Process) -> float:
    """Read the processor time that a process has used."""
    text = Path(f'/proc/{process.popen.pid}/stat').read_text()
    fields = text.rpartition(') ')[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / CLOCK_TICKS


def resident_mb(process: Process) -> float:
    """Read the memory that a process holds."""
    fields = Path(f'/proc/{process.popen.pid}/statm').read_text().split()
    return int(fields[RESIDENT_FIELD]) * PAGE_BYTES / MEGA


def percentile(ordered: list[float], fraction: float) -> float:
    """Read a percentile of ordered values; 0 for none."""
    if not ordered:
        return 0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def start_load(deployment: Deployment, name: str, plan: dict[str, Any]) -> Process:
    """Start a load driver in a process of its own."""
    path = deployment.bench.write_file(f'{name}.json', json.dumps(plan))
    return deployment.bench.start(
        name,
        ['-m', 'lavendermount_testbed', 'load', str(path)],
    )


def finish_load(process: Process) -> list[RequestResult]:
    """Wait for a load driver and read its rows."""
    process.popen.wait(LOAD_TIMEOUT_S)
    return [RequestResult(json.loads(line)) for line in process.text().splitlines()]


def print_figures(**figures: object) -> None:
    """Print one line of figures; a trailing underscore dodges a keyword."""
    print(
        ' '.join(
            f'{key.rstrip("_")}={_format_value(value)}'
            for key, value in figures.items()
        ),
        flush=True,
    )


def _format_value(value: object) -> str:
    return f'{value:.2f}' if isinstance(value, float) else str(value)
