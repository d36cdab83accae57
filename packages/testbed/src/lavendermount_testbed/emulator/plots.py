"""Plots of simulations: share of the possible worth gained, by second."""

from __future__ import annotations

from pathlib import Path
from typing import Any

WIDTH_INCHES = 8
HEIGHT_INCHES = 4


def plot_seconds(runs: list[dict[str, Any]], path: Path) -> None:
    """Plot one line for each run.

    :param runs: results of experiments with the same scenario.
    :param path: file to write; its suffix selects the format.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    axes = figure.subplots()
    for run in runs:
        axes.plot(run['seconds'], label=f'{run["policy"]}, {run["worth"]:.3f}')
    axes.set_xlabel('second of the run')
    axes.set_ylabel('share of the worth gained')
    axes.set_ylim(0, 1)
    axes.set_title(f'{runs[0]["scenario"]}, {runs[0]["nodes"]} nodes')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
