"""Command that prints shell completion scripts."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from lavendermount_core.exceptions import LavendermountError


def print_completion(cli: click.Group, shell: str) -> None:
    """Print the completion script for a shell.

    :param cli: root command of the command line.
    :param shell: name of the shell.
    """
    completion = get_completion_class(shell)
    if completion is None:
        raise LavendermountError(f'shell completion is not supported for {shell}')
    name = 'lavendermount'
    script = completion(cli, {}, name, '_LAVENDERMOUNT_COMPLETE').source()
    click.echo(script)
