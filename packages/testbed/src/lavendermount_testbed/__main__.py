"""Command line of the testbed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

MAX_PORT = 65535
DEFAULT_CONNECTIONS = 40
SPREAD_NODES = 56
SPREAD_DEAD_RATIO = 0.55
SPREAD_PREPARE_S = 0.2
SPREAD_SEEDS = 20
PORT_TYPE = click.IntRange(1, MAX_PORT)


@click.group()
def cli() -> None:
    """Run a test server, the demo, the soak test or the test scenarios."""


@cli.command()
@click.option('--port', type=PORT_TYPE, required=True)
@click.option('--host', default='127.0.0.1')
def log(port: int, host: str) -> None:
    """Run an in-memory server that replaces the platform's log in tests."""
    from lavendermount_testbed.log_server import serve_log

    asyncio.run(serve_log(host, port))


@cli.command()
@click.argument('settings_file', type=click.Path(path_type=Path))
def target(settings_file: Path) -> None:
    """Run a test target that is configured by a settings file."""
    from lavendermount_testbed.target_server import run_target

    asyncio.run(run_target(settings_file))


@cli.command()
@click.argument('settings_file', type=click.Path(path_type=Path))
def relay(settings_file: Path) -> None:
    """Run a relay with simulated delay, configured by a settings file."""
    from lavendermount_testbed.relay import run_relay

    asyncio.run(run_relay(settings_file))


@cli.command()
@click.argument('plan_file', type=click.Path(path_type=Path))
def load(plan_file: Path) -> None:
    """Send the requests of a load plan and print one result per line."""
    from lavendermount_testbed.load import run_load

    asyncio.run(run_load(plan_file))


@cli.command()
@click.argument('paths', nargs=-1)
def features(paths: tuple[str, ...]) -> None:
    """Run the feature files; scenarios listed in KNOWN-RED.txt may fail."""
    from lavendermount_testbed.feature_runner import run_features

    sys.exit(run_features(paths or ('features',)))


@cli.command()
def demo() -> None:
    """Run the demo."""
    from lavendermount_testbed.demo import run_demo

    sys.exit(run_demo())


@cli.command()
@click.option('--seed', type=int, help='First seed; random by default.')
@click.option(
    '--count',
    type=int,
    default=1,
    help='Number of consecutive seeds to run, one after another.',
)
@click.option(
    '--seconds',
    type=float,
    default=10,
    help='How long faults are injected, in seconds.',
)
@click.option(
    '--logs',
    'log_folder',
    type=click.Path(path_type=Path),
    help='Folder that gets the files of each run that failed.',
)
def soak(seed: int | None, count: int, seconds: float, log_folder: Path | None) -> None:
    """Run real processes under load and random faults and check the guarantees."""
    import random

    from lavendermount_testbed.soak import run_soak

    first_seed = random.randrange(10**6) if seed is None else seed
    seeds = list(range(first_seed, first_seed + count))
    sys.exit(run_soak(seeds, seconds, log_folder))


@cli.command(name='loss-soak')
@click.option('--seed', type=int, default=1, help='First seed.')
@click.option('--count', type=int, default=1, help='Number of consecutive seeds.')
@click.option(
    '--seconds',
    type=float,
    default=10,
    help='How long disturbances are started, in seconds.',
)
@click.option(
    '--connections',
    type=int,
    default=DEFAULT_CONNECTIONS,
    help="Callers' connections to each node.",
)
@click.option(
    '--without', multiple=True, help='Disturbance that is not started; repeatable.'
)
@click.option(
    '--logs',
    'log_folder',
    type=click.Path(path_type=Path),
    help='Folder that gets the files of each run that failed.',
)
def loss_soak(
    seed: int,
    count: int,
    seconds: float,
    connections: int,
    without: tuple[str, ...],
    log_folder: Path | None,
) -> None:
    """Count requests without an answer while real processes are disturbed."""
    from lavendermount_testbed.loss_soak import run_loss_soak

    seeds = list(range(seed, seed + count))
    sys.exit(run_loss_soak(seeds, seconds, connections, without, log_folder))


@cli.command()
@click.option('--nodes', default=SPREAD_NODES, help='Number of nodes.')
@click.option(
    '--dead', default=SPREAD_DEAD_RATIO, help='Share of the nodes that are lost.'
)
@click.option('--loss', default='random', help='Which nodes are lost.')
@click.option('--refused', is_flag=True, help='Let calls to lost nodes fail at once.')
@click.option(
    '--prepare', default=SPREAD_PREPARE_S, help='Seconds to prepare a version.'
)
@click.option('--log', is_flag=True, help='Let the nodes read the log.')
@click.option(
    '--silent', type=float, default=0, help='Share of the nodes with silent links.'
)
@click.option(
    '--lost-calls', type=float, default=0, help='Share of the calls that are lost.'
)
@click.option(
    '--after', type=float, default=0, help='Seconds from the change to the loss.'
)
@click.option(
    '--cut',
    type=click.Choice(('', 'readers', 'all-but-one')),
    default='',
    help='Which nodes lose the log alone before the change.',
)
@click.option('--seeds', default=SPREAD_SEEDS, help='Number of runs.')
def spread(  # noqa: WPS211, WPS216
    nodes: int,
    dead: float,
    loss: str,
    refused: bool,
    prepare: float,
    log: bool,
    silent: float,
    lost_calls: float,
    after: float,
    cut: str,
    seeds: int,
) -> None:
    """Simulate how a version spreads over nodes of which many have just died."""
    from lavendermount_testbed.emulator.spread import SpreadScenario, report_spread

    scenario = SpreadScenario(
        nodes, loss, dead, refused, prepare, log, silent, lost_calls, after, cut
    )
    click.echo(report_spread(scenario, seeds))


@cli.command()
@click.option('--check', is_flag=True, help='Compare only; write no file.')
def reference(check: bool) -> None:
    """Write the reference pages of settings and presets."""
    from lavendermount_testbed.reference import write_reference

    sys.exit(write_reference(is_check=check))


if __name__ == '__main__':
    cli()
