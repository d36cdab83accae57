"""Command line of the node.

:errors: exit code 2 for invalid settings, 70 if the supervisor tree fails too
    often, 1 for any other reported error.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from lavendermount_core.exceptions import LavendermountError
from lavendermountd.process_signals import ProcessSignals

SETTINGS_FILE = click.Path(path_type=Path, dir_okay=False)


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(package_name='lavendermountd')
def cli() -> None:
    """Run the lavendermount node beside a target."""


@cli.command()
@click.argument('settings_file', type=SETTINGS_FILE)
def check(settings_file: Path) -> None:
    """Check a settings file and report every finding."""
    from lavendermountd.commands.check import check_settings

    _run(lambda: check_settings(settings_file))


@cli.command()
@click.argument('settings_file', type=SETTINGS_FILE)
def run(settings_file: Path) -> None:
    """Run the node with a settings file until it is asked to stop."""
    signals = ProcessSignals()
    signals.install()
    from lavendermountd.commands.run import run_node

    _run(lambda: run_node(settings_file, signals))


def _run(command: object) -> None:
    assert callable(command)
    try:
        command()
    except LavendermountError as error:
        click.echo(str(error), err=True)
        sys.exit(error.exit_code)


if __name__ == '__main__':
    cli()
