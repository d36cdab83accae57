"""Command that checks preset files."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import click

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.loader import load_file
from lavendermount_core.config.preset import PresetSchema
from lavendermount_core.exceptions import ConfigurationError


def check_presets(files: Iterable[Path]) -> None:
    """Check preset files and report the findings of all of them together.

    :param files: TOML files.
    :raises ConfigurationError: if any is invalid; carries all findings.
    """
    findings: list[Finding] = []
    for path in files:
        try:
            preset = load_file(PresetSchema, path)
        except ConfigurationError as error:
            findings.extend(error.findings)
            continue
        click.echo(f'{path}: preset {preset.name} is valid')
    if findings:
        raise ConfigurationError(findings)
