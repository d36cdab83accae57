"""Context that all commands share: the log, the nodes and the operator's name.

:errors: a ``LavendermountError`` ends the process with its ``exit_code``.
"""

from __future__ import annotations

import sys
from typing import Any

import click

from lavendermount_core.exceptions import LavendermountError
from lavendermount_core.log.adapter import LogAdapter, open_log

LOG_TIMEOUT_S = 5.0


class UsageError(LavendermountError):
    """An option or package that the command needs is missing."""

    exit_code = 2


class LavendermountGroup(click.Group):
    """Command group that handles the errors of all commands."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run a command; on an error, print it and exit with its code."""
        try:
            return super().invoke(ctx)
        except LavendermountError as error:
            click.echo(str(error), err=True)
            sys.exit(error.exit_code)


class CliContext:
    """Options that all commands share.

    :param log_url: URL of the platform's log.
    :param log_adapter: name of the log adapter.
    :param nodes: control addresses of nodes.
    :param operator: name of the operator, stored in records.
    """

    __slots__ = ('log_url', 'log_adapter', 'nodes', 'operator')

    def __init__(
        self,
        log_url: str | None,
        log_adapter: str,
        nodes: tuple[str, ...],
        operator: str,
    ) -> None:
        """Store the options as given."""
        self.log_url = log_url
        self.log_adapter = log_adapter
        self.nodes = nodes
        self.operator = operator

    def open_log(self) -> LogAdapter:
        """Open the platform's log.

        :raises UsageError: if ``--log`` is missing.
        """
        if self.log_url is None:
            raise UsageError('--log or LAVENDERMOUNT_LOG_URL is required')
        return open_log(self.log_adapter, self.log_url, LOG_TIMEOUT_S)

    def first_node(self) -> str:
        """Return the control address of the node to query.

        :raises UsageError: if ``--node`` is missing.
        """
        if not self.nodes:
            raise UsageError('--node or LAVENDERMOUNT_NODES is required')
        return self.nodes[0]
