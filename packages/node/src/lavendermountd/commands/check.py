"""Command that checks a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from lavendermount_core.config.loader import load_file
from lavendermount_core.config.node import NodeSchema


def check_settings(settings_file: Path) -> None:
    """Check a settings file and print that it is valid.

    :param settings_file: TOML file.
    :raises ConfigurationError: if it is invalid; carries every finding.
    """
    settings = load_file(NodeSchema, settings_file)
    click.echo(f'{settings_file}: settings of node {settings.node_id} are valid')
