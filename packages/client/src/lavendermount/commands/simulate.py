"""Command that runs a scenario on simulated time with several policies."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from lavendermount.context import UsageError

COLUMNS = ('worth', 'worst_seconds', 'in_time', 'served', 'refused', 'failed')


def simulate_scenario(
    path: Path,
    policies: tuple[str, ...],
    node_counts: tuple[int, ...],
    seed: int,
    plot: Path | None,
    is_json: bool,
) -> None:
    """Run a scenario with each policy and number of nodes.

    :param node_counts: numbers of nodes; if empty, the number in the scenario.
    :param plot: file for a plot of the runs with the last of these numbers.
    :raises UsageError: if the emulator is not installed.
    :raises ConfigurationError: if the scenario is invalid; carries every finding.
    """
    try:
        from lavendermount_testbed.emulator.experiment import Experiment
        from lavendermount_testbed.emulator.plots import plot_seconds
        from lavendermount_testbed.emulator.scenario import load_scenario
    except ImportError as error:
        raise UsageError(
            f'simulate needs the package lavendermount-testbed: {error}'
        ) from error
    scenario = load_scenario(path)
    runs: list[dict[str, Any]] = []
    for node_count in node_counts or (scenario.nodes,):
        size_runs = [
            Experiment(scenario, policy, node_count, seed).run() for policy in policies
        ]
        runs.extend(size_runs)
    if plot is not None:
        plot_seconds(size_runs, plot)
    if is_json:
        click.echo(json.dumps(runs))
        return
    for run in runs:
        _print_run(run)


def _print_run(run: dict[str, Any]) -> None:
    columns = ' '.join(f'{name}={run[name]:.3f}' for name in COLUMNS)
    click.echo(
        f'nodes={run["nodes"]} policy={run["policy"]} {columns} '
        f'retries={run["retries"]} region_mb={run["region_mb"]}',
    )
