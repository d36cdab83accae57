"""Shared code of the benchmarks: load, percentiles, CPU time and memory.

:units: milliseconds, megabytes and seconds, as the names say.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from lavendermount_testbed.deployment import Deployment
from lavendermount_testbed.processes import Process

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MEGA = 1_000_000
# Indices of fields in /proc/PID/stat after the command name, and in /proc/PID/statm.
STAT_UTIME_INDEX = 11
STAT_STIME_INDEX = 12
STATM_RESIDENT_INDEX = 1
LOAD_TIMEOUT_S = 300


class RequestResult:
    """Result of one request, as measured by the load generator.

    :param columns: a row printed by the load generator.
    """

    __slots__ = (
        'stream',
        'at_s',
        'elapsed_ms',
        'status',
        'outcome',
        'is_matching',
        'run_id',
    )

    def __init__(self, columns: list[Any]) -> None:
        """Assign the columns to fields."""
        self.stream, self.at_s, self.elapsed_ms = columns[:3]
        self.status, self.outcome, self.is_matching = columns[3:6]
        self.run_id = columns[6]


def cpu_time_s(process: Process) -> float:
    """Read the user and system CPU time that a process has used."""
    text = Path(f'/proc/{process.popen.pid}/stat').read_text()
    fields = text.rpartition(') ')[2].split()
    return (
        int(fields[STAT_UTIME_INDEX]) + int(fields[STAT_STIME_INDEX])
    ) / CLOCK_TICKS_PER_S


def resident_mb(process: Process) -> float:
    """Read the resident memory of a process."""
    fields = Path(f'/proc/{process.popen.pid}/statm').read_text().split()
    return int(fields[STATM_RESIDENT_INDEX]) * PAGE_BYTES / MEGA


def percentile(ordered: list[float], fraction: float) -> float:
    """Return a percentile of sorted values, or 0 if there are none.

    :param fraction: 0.99 for the 99th percentile.
    """
    if not ordered:
        return 0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def start_load(deployment: Deployment, name: str, plan: dict[str, Any]) -> Process:
    """Start a load generator in its own process."""
    path = deployment.process_manager.write_file(f'{name}.json', json.dumps(plan))
    return deployment.process_manager.start(
        name,
        ['-m', 'lavendermount_testbed', 'load', str(path)],
    )


def finish_load(process: Process) -> list[RequestResult]:
    """Wait until a load generator exits and read its results."""
    process.popen.wait(LOAD_TIMEOUT_S)
    return [
        RequestResult(json.loads(line)) for line in process.read_output().splitlines()
    ]


def print_figures(**figures: object) -> None:
    """Print one line of figures.

    A trailing underscore of a name, as in ``class_``, is not printed; it
    avoids a keyword of Python.
    """
    print(
        ' '.join(
            f'{key.rstrip("_")}={_format_value(value)}'
            for key, value in figures.items()
        ),
        flush=True,
    )


def _format_value(value: object) -> str:
    return f'{value:.2f}' if isinstance(value, float) else str(value)
