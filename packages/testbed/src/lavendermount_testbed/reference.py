"""Writes the reference pages of settings and presets from their schemas.

:shapes: one Markdown table for each table of the TOML file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from lavendermount_core.config.node import NodeSchema
from lavendermount_core.config.options import Option, Schema, Table, TableList
from lavendermount_core.config.preset import PresetSchema

FOLDER = Path('docs/reference')
PAGES = (
    ('settings.md', 'Settings of a node', NodeSchema),
    ('presets.md', 'Presets', PresetSchema),
)
HEAD = '| key | type | default | unit | meaning |\n| --- | --- | --- | --- | --- |\n'


def write_reference(*, is_check: bool) -> int:
    """Write the pages, or compare them with what they should be.

    :param is_check: whether to compare only.
    :returns: 1 if a page is out of date, else 0.
    """
    stale = 0
    for name, title, schema in PAGES:
        path = FOLDER / name
        text = f'# {title}\n\n{_section(schema, "")}'
        if not is_check:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            click.echo(f'{path} is out of date; run: lavendermount_testbed reference')
            stale = 1
    return stale


def _section(schema: type[Schema], place: str) -> str:
    rows = []
    below = []
    for key, option in schema.options().items():
        if isinstance(option, Table):
            below.append(_table(f'[{place}{key}]', option.schema, f'{place}{key}.'))
        elif isinstance(option, TableList):
            below.append(_table(f'[[{place}{key}]]', option.schema, f'{place}{key}.'))
        else:
            rows.append(_row(key, option))
    return '\n'.join([HEAD + ''.join(rows), *below])


def _table(title: str, schema: type[Schema], place: str) -> str:
    about = (schema.__doc__ or '').strip()
    return f'## `{title}`\n\n{about}\n\n{_section(schema, place)}'


def _row(key: str, option: Option[Any]) -> str:
    default = 'required' if option.default is None else f'`{option.default!r}`'
    return f'| `{key}` | {option.kind} | {default} | {option.unit} | {option.about} |\n'
