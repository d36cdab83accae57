"""Generates the reference pages of settings and presets from their schemas.

:shapes: one Markdown table for each table of the TOML file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from lavendermount_core.config.node import NodeSchema
from lavendermount_core.config.options import Option, Schema, Table, TableList
from lavendermount_core.config.preset import PresetSchema

REFERENCE_DIR = Path('docs/reference')
PAGES = (
    ('settings.md', 'Settings of a node', NodeSchema),
    ('presets.md', 'Presets', PresetSchema),
)
TABLE_HEADER = (
    '| key | type | default | unit | meaning |\n| --- | --- | --- | --- | --- |\n'
)


def write_reference(*, is_check: bool) -> int:
    """Write the pages, or check that they are up to date.

    :param is_check: whether to check only, without writing.
    :returns: exit code: 1 if a checked page is out of date, else 0.
    """
    exit_code = 0
    for name, title, schema in PAGES:
        path = REFERENCE_DIR / name
        text = f'# {title}\n\n{_section(schema, "")}'
        if not is_check:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            click.echo(
                f'{path} is out of date; run: python -m lavendermount_testbed reference'
            )
            exit_code = 1
    return exit_code


def _section(schema: type[Schema], key_prefix: str) -> str:
    rows = []
    subsections = []
    for key, option in schema.options().items():
        if isinstance(option, Table):
            subsections.append(
                _table(f'[{key_prefix}{key}]', option.schema, f'{key_prefix}{key}.')
            )
        elif isinstance(option, TableList):
            subsections.append(
                _table(f'[[{key_prefix}{key}]]', option.schema, f'{key_prefix}{key}.')
            )
        else:
            rows.append(_row(key, option))
    return '\n'.join([TABLE_HEADER + ''.join(rows), *subsections])


def _table(title: str, schema: type[Schema], key_prefix: str) -> str:
    about = (schema.__doc__ or '').strip()
    return f'## `{title}`\n\n{about}\n\n{_section(schema, key_prefix)}'


def _row(key: str, option: Option[Any]) -> str:
    default = 'required' if option.default is None else f'`{option.default!r}`'
    return f'| `{key}` | {option.kind} | {default} | {option.unit} | {option.about} |\n'
