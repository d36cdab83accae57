"""Commands that list, print and compare presets."""

from __future__ import annotations

import asyncio
import difflib
import json

import click

from lavendermount.context import CliContext
from lavendermount.presets import PresetStream, find_published
from lavendermount_core.exceptions import PresetNotAcceptedError
from lavendermount_core.presets.fold import PresetFold


def list_presets(context: CliContext, is_json: bool) -> None:
    """List the published presets."""
    fold = asyncio.run(_read_stream(context)).fold
    assert fold is not None
    rows = [
        {
            'name': entry.name,
            'version': entry.version,
            'operator': entry.operator,
            'time_ms': entry.time_ms,
            'in_force': _is_in_force(fold, entry.version),
        }
        for entry in sorted(fold.published.values(), key=lambda entry: entry.time_ms)
    ]
    if is_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        marker = '*' if row['in_force'] else ' '
        click.echo(f'{marker} {row["name"]}@{row["version"]} by {row["operator"]}')


def show_preset(context: CliContext, reference: str | None) -> None:
    """Print a preset; without a reference, the one in force."""
    click.echo(asyncio.run(read_body(context, reference)), nl=False)


def diff_presets(context: CliContext, first: str, second: str | None) -> None:
    """Print a diff of two presets; the second defaults to the one in force."""
    old = asyncio.run(read_body(context, second))
    new = asyncio.run(read_body(context, first))
    lines = difflib.unified_diff(
        old.splitlines(keepends=True),
        new.splitlines(keepends=True),
        second or 'in force',
        first,
    )
    click.echo(''.join(lines), nl=False)


def list_history(context: CliContext, is_json: bool) -> None:
    """List the switches on the log and their outcomes."""
    stream = asyncio.run(_read_stream(context))
    assert stream.fold is not None
    rows = []
    for offset, switch in stream.switches:
        switch_result = stream.fold.switch_results.get(switch.record_id)
        won = switch_result is not None and switch_result.is_winner
        rows.append(
            {
                'offset': offset,
                'preset': f'{switch.name}@{switch.version}',
                'operator': switch.operator,
                'expected': switch.expected,
                'outcome': _outcome(switch_result is None, won, switch_result, offset),
            },
        )
    if is_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        click.echo(
            f'{row["offset"]}: {row["preset"]} by {row["operator"]}, '
            f'expected {row["expected"]}: {row["outcome"]}',
        )


def _outcome(is_unjudged: bool, won: bool, switch_result: object, offset: int) -> str:
    if is_unjudged:
        return 'not judged'
    if not won:
        return 'lost'
    return 'won' if getattr(switch_result, 'offset', offset) == offset else 'repeated'


async def _read_stream(context: CliContext) -> PresetStream:
    stream = PresetStream(context.open_log())
    await stream.read_all()
    return stream


async def read_body(context: CliContext, reference: str | None) -> str:
    """Read a preset from the log.

    :param reference: ``NAME`` or ``NAME@VERSION``; ``None`` for the one in force.
    :raises PresetNotAcceptedError: if there is no such preset.
    :returns: its TOML source.
    """
    stream = await _read_stream(context)
    assert stream.fold is not None
    if reference is not None:
        return find_published(stream.fold, reference).body
    if not stream.fold.in_force.body:
        raise PresetNotAcceptedError('no preset is in force')
    return stream.fold.in_force.body


def _is_in_force(fold: PresetFold, version: str) -> bool:
    return fold.in_force.version == version
