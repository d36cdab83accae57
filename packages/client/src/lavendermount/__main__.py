"""Command line for operators; commands import their implementation lazily.

:errors: exit codes: 0 success, 1 failure or warnings of a check, 2 invalid
    input, 3 log or node unreachable, 4 not accepted, 5 replay found differences,
    6 not in force on all nodes in time.
"""

from __future__ import annotations

from pathlib import Path

import click

from lavendermount.context import CliContext, LavendermountGroup

FILE_PATH = click.Path(path_type=Path, dir_okay=False)


@click.group(
    cls=LavendermountGroup,
    context_settings={
        'help_option_names': ['-h', '--help'],
        'auto_envvar_prefix': 'LAVENDERMOUNT',
    },
)
@click.version_option(package_name='lavendermount')
@click.option('--log', 'log_url', help="URL of the platform's log.")
@click.option('--log-adapter', default='http', show_default=True)
@click.option('--node', 'nodes', multiple=True, help='Control address of a node.')
@click.option(
    '--operator',
    default='operator',
    show_default=True,
    help='Operator name, stored in records.',
)
@click.pass_context
def cli(
    context: click.Context,
    log_url: str | None,
    log_adapter: str,
    nodes: tuple[str, ...],
    operator: str,
) -> None:
    """Publish presets, inspect nodes and explain routing decisions."""
    context.obj = CliContext(log_url, log_adapter, nodes, operator)


@cli.group()
def preset() -> None:
    """Check, publish and switch presets."""


@preset.command()
@click.argument('files', nargs=-1, required=True, type=FILE_PATH)
@click.option(
    '--against',
    metavar='FILE|in-force',
    help='Version to compare with; in-force asks the log or else the node.',
)
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
@click.pass_obj
def check(
    context: CliContext, files: tuple[Path, ...], against: str | None, is_json: bool
) -> None:
    """Review preset files: errors, entries without effect, and differences."""
    from lavendermount.commands.check import check_presets

    check_presets(context, files, against, is_json)


cli.add_command(check)


@preset.command()
@click.argument('preset_file', type=FILE_PATH)
@click.pass_obj
def publish(context: CliContext, preset_file: Path) -> None:
    """Check a preset file and publish it under its name."""
    from lavendermount.commands.publish import publish_preset

    publish_preset(context, preset_file)


@preset.command()
@click.argument('reference')
@click.option('--expected', type=int, help='Revision that you expect to be in force.')
@click.option(
    '--wait', 'wait_s', type=float, help='Seconds to wait until all nodes use it.'
)
@click.pass_obj
def switch(
    context: CliContext,
    reference: str,
    expected: int | None,
    wait_s: float | None,
) -> None:
    """Put a published preset in force: NAME or NAME@VERSION."""
    from lavendermount.commands.switch import switch_preset

    switch_preset(context, reference, expected, wait_s)


@preset.command('list')
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
@click.pass_obj
def list_(context: CliContext, is_json: bool) -> None:
    """List the published presets."""
    from lavendermount.commands.listing import list_presets

    list_presets(context, is_json)


@preset.command()
@click.argument('reference', required=False)
@click.pass_obj
def show(context: CliContext, reference: str | None) -> None:
    """Print a preset; without a name, the one in force."""
    from lavendermount.commands.listing import show_preset

    show_preset(context, reference)


@preset.command()
@click.argument('first')
@click.argument('second', required=False)
@click.pass_obj
def diff(context: CliContext, first: str, second: str | None) -> None:
    """Compare a preset with another, or with the one in force."""
    from lavendermount.commands.listing import diff_presets

    diff_presets(context, first, second)


@preset.command()
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
@click.pass_obj
def history(context: CliContext, is_json: bool) -> None:
    """List the switches that the log still holds and their outcomes."""
    from lavendermount.commands.listing import list_history

    list_history(context, is_json)


@cli.command()
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
@click.pass_obj
def status(context: CliContext, is_json: bool) -> None:
    """Show a node's view of the system."""
    from lavendermount.commands.status import show_status

    show_status(context, is_json)


@cli.command()
@click.option('--stop', is_flag=True, help='Also stop the node once it is drained.')
@click.pass_obj
def drain(context: CliContext, stop: bool) -> None:
    """Drain the target of each node given by --node: it gets no new requests."""
    from lavendermount.commands.status import drain_nodes

    drain_nodes(context, stop)


@cli.command()
@click.argument('request_id')
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
@click.pass_obj
def explain(context: CliContext, request_id: str, is_json: bool) -> None:
    """Explain how a request was routed, and why."""
    from lavendermount.commands.explain import explain_request

    explain_request(context, request_id, is_json)


@cli.command()
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
@click.pass_obj
def replay(context: CliContext, is_json: bool) -> None:
    """Recompute every recorded decision and report each difference."""
    from lavendermount.commands.replay import replay_decisions

    replay_decisions(context, is_json)


@cli.command()
@click.argument('scenario', type=FILE_PATH)
@click.option('--policy', 'policies', multiple=True, default=('expected-time',))
@click.option('--nodes', 'sizes', multiple=True, type=int, help='Number of nodes.')
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--plot', type=FILE_PATH, help='File to write a plot to.')
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
def simulate(
    scenario: Path,
    policies: tuple[str, ...],
    sizes: tuple[int, ...],
    seed: int,
    plot: Path | None,
    is_json: bool,
) -> None:
    """Run a scenario on simulated time and compare policies."""
    from lavendermount.commands.simulate import simulate_scenario

    simulate_scenario(scenario, policies, sizes, seed, plot, is_json)


@cli.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def completion(shell: str) -> None:
    """Print the completion script for a shell."""
    from lavendermount.commands.completion import print_completion

    print_completion(cli, shell)


if __name__ == '__main__':
    cli(prog_name='lavendermount')
