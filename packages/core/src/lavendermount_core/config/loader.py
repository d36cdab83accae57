"""Loads TOML and validates it against a schema.

:errors: ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.options import Schema
from lavendermount_core.exceptions import ConfigurationError

LoadedSchema = TypeVar('LoadedSchema', bound=Schema)


def load_text(schema: type[LoadedSchema], text: str, source: str) -> LoadedSchema:
    """Parse and validate TOML.

    :param schema: schema class of the document.
    :param text: TOML source.
    :param source: name used in findings, usually the file name.
    :raises ConfigurationError: with all findings.
    :returns: the validated document.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([Finding(source, str(error))]) from error
    table, findings = schema.load(raw, f'{source}: ')
    if findings:
        raise ConfigurationError(findings)
    return table


def load_file(schema: type[LoadedSchema], path: Path) -> LoadedSchema:
    """Read, parse and validate a TOML file.

    :param schema: schema class of the document.
    :param path: path of the file.
    :raises ConfigurationError: if the file cannot be read or is invalid, with
        all findings.
    :returns: the validated document.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError([Finding(str(path), str(error))]) from error
    return load_text(schema, text, path.name)
