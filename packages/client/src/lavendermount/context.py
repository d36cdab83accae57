"""What every command shares: where the log and the nodes are.

:errors: a ``LavendermountError`` ends the process with its own exit code.
"""

from __future__ import annotations

import sys
from typing import Any

import click

from lavendermount_core.exceptions import LavendermountError
from lavendermount_core.log.adapter import LogAdapter, open_log

LOG_TIMEOUT_S = 5.0


class UsageError(LavendermountError):
    """An option that the command needs is missing."""

    exit_code = 2


class LavendermountGroup(click.Group):
    """Prints the errors of all commands in one way."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command and turn its error into a message and exit code."""
        try:
            return super().invoke(ctx)
        except LavendermountError as error:
            click.echo(str(error), err=True)
            sys.exit(error.exit_code)


class CliContext:
    """Who runs the command, and what it speaks to.

    :param log_url: where the log answers.
    :param log_adapter: name of the adapter.
    :param nodes: control addresses of nodes.
    :param name: name written into records.
    """

    __slots__ = ('log_url', 'log_adapter', 'nodes', 'name')

    def __init__(
        self,
        log_url: str | None,
        log_adapter: str,
        nodes: tuple[str, ...],
        name: str,
    ) -> None:
        """Keep the fields as given."""
        self.log_url = log_url
        self.log_adapter = log_adapter
        self.nodes = nodes
        self.name = name

    def open_log(self) -> LogAdapter:
        """Open the log.

        :raises UsageError: without ``--log``.
        """
        if self.log_url is None:
            raise UsageError('--log or LAVENDERMOUNT_LOG is required')
        return open_log(self.log_adapter, self.log_url, LOG_TIMEOUT_S)

    def first_node(self) -> str:
        """Find the node to ask.

        :raises UsageError: without ``--node``.
        """
        if not self.nodes:
            raise UsageError('--node or LAVENDERMOUNT_NODE is required')
        return self.nodes[0]
