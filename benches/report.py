"""Plots the figures of the benchmarks.

:shapes: reads ``docs/figures/NAME.txt``, the output of a benchmark, and writes
    ``docs/figures/NAME.svg``.
"""

from __future__ import annotations

from pathlib import Path

import matplotlib as mpl

mpl.use('svg')
from matplotlib import pyplot as plt

FIGURES_DIR = Path('docs/figures')
FIGURE_SIZE = (9, 4.5)
mpl.rcParams['svg.hashsalt'] = 'lavendermount'
SVG_METADATA = {'Date': None}

Figures = dict[str, str]


def read_figures(name: str) -> list[Figures]:
    """Read the output of a benchmark; empty if there is no file."""
    path = FIGURES_DIR / f'{name}.txt'
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [
        dict(part.split('=', 1) for part in line.split())
        for line in lines
        if '=' in line and not line.startswith('#')
    ]


def save_plot(name: str) -> None:
    """Write the current plot to a file and close it."""
    plt.tight_layout()
    plt.savefig(FIGURES_DIR / f'{name}.svg', metadata=SVG_METADATA)
    plt.close()
    print(f'wrote {FIGURES_DIR / name}.svg')


def plot_policy(deployment: str) -> None:
    """Plot the p99 latency of the first class by scenario and policy."""
    rows = [
        row for row in read_figures(f'policy-{deployment}') if row['class'] == 'first'
    ]
    if not rows:
        return
    scenarios = list(dict.fromkeys(row['scenario'] for row in rows))
    policies = list(dict.fromkeys(row['policy'] for row in rows))
    plt.figure(figsize=FIGURE_SIZE)
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        p99_values = [
            next(
                float(row['p99_ms'])
                for row in rows
                if (row['scenario'], row['policy']) == (scenario, policy)
            )
            for scenario in scenarios
        ]
        positions = [position + number * width for position in range(len(scenarios))]
        plt.bar(positions, p99_values, width, label=policy)
    plt.yscale('log')
    plt.xticks([position + width for position in range(len(scenarios))], scenarios)
    plt.ylabel('p99 of the first class, ms')
    plt.title(f'Policies at the size of {deployment}')
    plt.legend()
    save_plot(f'policy-{deployment}')


def plot_path() -> None:
    """Plot the added latency by path and rate."""
    rows = [row for row in read_figures('path') if row['path'] != 'straight']
    if not rows:
        return
    plt.figure(figsize=FIGURE_SIZE)
    names = [f'{row["path"]}\n{row["rate"]}/s' for row in rows]
    positions = range(len(rows))
    plt.bar(
        [position - 0.2 for position in positions],
        [float(row['added_p50_ms']) for row in rows],
        0.4,
        label='p50',
    )
    plt.bar(
        [position + 0.2 for position in positions],
        [float(row['added_p99_ms']) for row in rows],
        0.4,
        label='p99',
    )
    plt.axhline(1.7, color='black', linestyle='--', label='goal at p99')
    plt.xticks(list(positions), names)
    plt.ylabel('added ms')
    plt.title('Latency added by a hop')
    plt.legend()
    save_plot('path')


def plot_control() -> None:
    """Plot the cost of gossip and control by the number of nodes."""
    rows = read_figures('control')
    if not rows:
        return
    panels = (
        'gossip-bytes-per-node',
        'control-processor-per-node',
        'resident-per-node',
        'switch-in-force',
    )
    _, axes = plt.subplots(1, len(panels), figsize=(13, 3.6))
    for axis, name in zip(axes, panels, strict=True):
        points = [
            (int(row['size']), float(row['value']))
            for row in rows
            if row['figure'] == name
        ]
        unit = next(row['unit'] for row in rows if row['figure'] == name)
        axis.plot(*zip(*points, strict=True), marker='o')
        axis.set_xscale('log', base=2)
        axis.set_ylim(bottom=0)
        axis.set_title(name, fontsize=9)
        axis.set_xlabel('nodes')
        axis.set_ylabel(unit)
    save_plot('control')


def main() -> None:
    """Plot all figures that have been measured."""
    for deployment in ('thanh-thuy', 'haeftesoem'):
        plot_policy(deployment)
    plot_path()
    plot_control()


if __name__ == '__main__':
    main()
