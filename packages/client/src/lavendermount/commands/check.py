"""Command that reviews preset files before they are published."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from lavendermount.commands.listing import read_body
from lavendermount.context import CliContext
from lavendermount.nodes import NodeClient
from lavendermount_core.config.differences import Difference, compare_presets
from lavendermount_core.config.findings import SEVERITY_ERROR, ReviewFinding
from lavendermount_core.config.loader import load_file
from lavendermount_core.config.preset import PresetSchema, parse_preset
from lavendermount_core.config.review import as_errors, review_preset
from lavendermount_core.exceptions import (
    ConfigurationError,
    LavendermountError,
    PresetNotAcceptedError,
    PresetWarningsError,
)

# Value of ``--against`` that stands for the preset in force.
IN_FORCE = 'in-force'


class Review:
    """Result of the review of one file.

    :param path: the file.
    :param name: name of the preset; empty if the file is invalid.
    :param findings: errors and warnings.
    :param differences: differences from the other version.
    """

    __slots__ = ('path', 'name', 'findings', 'differences')

    def __init__(
        self,
        path: Path,
        name: str,
        findings: list[ReviewFinding],
        differences: list[Difference],
    ) -> None:
        """Initialize the fields."""
        self.path = path
        self.name = name
        self.findings = findings
        self.differences = differences

    def to_row(self) -> dict[str, Any]:
        """Return the fields for JSON."""
        return {
            'file': str(self.path),
            'preset': self.name,
            'findings': [finding.to_row() for finding in self.findings],
            'differences': [entry.to_row() for entry in self.differences],
        }


def check_presets(
    context: CliContext,
    files: Iterable[Path],
    against: str | None = None,
    is_json: bool = False,
) -> None:
    """Review preset files and report the findings of all of them together.

    :param files: TOML files.
    :param against: file of the version to compare with, or ``in-force``.
    :param is_json: whether to print JSON and no other text.
    :raises ConfigurationError: if any is invalid; carries all findings.
    """
    other = None if against is None else _load_other(context, against)
    reviews = [_review_file(path, other) for path in files]
    error = _error_of(reviews)
    if is_json:
        click.echo(json.dumps([review.to_row() for review in reviews]))
        sys.exit(0 if error is None else error.exit_code)
    for review in reviews:
        _print_review(review)
    if error is not None:
        raise error


def _review_file(path: Path, other: PresetSchema | None) -> Review:
    try:
        preset = load_file(PresetSchema, path)
    except ConfigurationError as error:
        return Review(path, '', as_errors(error.findings), [])
    differences = [] if other is None else compare_presets(other, preset)
    return Review(path, preset.name, review_preset(preset, path.name), differences)


def _error_of(reviews: list[Review]) -> LavendermountError | None:
    findings = [finding for review in reviews for finding in review.findings]
    if any(finding.severity == SEVERITY_ERROR for finding in findings):
        return ConfigurationError(findings)
    return PresetWarningsError(findings) if findings else None


def _print_review(review: Review) -> None:
    if review.name:
        click.echo(f'{review.path}: preset {review.name} is valid')
    for entry in review.differences:
        click.echo(f'{review.path}: {entry}')


def _load_other(context: CliContext, against: str) -> PresetSchema:
    if against == IN_FORCE:
        return parse_preset(asyncio.run(_read_in_force(context)), IN_FORCE)
    return load_file(PresetSchema, Path(against))


async def _read_in_force(context: CliContext) -> str:
    # The log is asked first, because a node may not know the latest switch yet.
    if context.log_url is not None:
        return await read_body(context, None)
    address = context.first_node()
    async with NodeClient(address) as client:
        snapshot = await client.preset()
    if snapshot is None or not snapshot.body:
        raise PresetNotAcceptedError(f'node {address} has no preset in force')
    return snapshot.body
