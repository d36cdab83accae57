"""Checking a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from lavendermount_core.config.loader import load_file
from lavendermount_core.config.node import NodeSchema


def check_settings(settings_file: Path) -> None:
    """Check a settings file.

    :param settings_file: TOML file.
    :raises ConfigurationError: with every finding.
    """
    settings = load_file(NodeSchema, settings_file)
    click.echo(f'{settings_file}: node {settings.node_id} is well configured')
