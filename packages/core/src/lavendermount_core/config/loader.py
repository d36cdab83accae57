"""Loads TOML or JSON and validates it against a schema.

People write TOML. Programs may write JSON, which is parsed many times faster.

:errors: ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any, Final, Never, TypeVar

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.options import Schema
from lavendermount_core.exceptions import ConfigurationError

LoadedSchema = TypeVar('LoadedSchema', bound=Schema)
# First character of each JSON object, and of no TOML document.
JSON_START: Final = '{'


def load_text(schema: type[LoadedSchema], text: str, source: str) -> LoadedSchema:
    """Parse and validate a document.

    :param schema: schema class of the document.
    :param text: TOML, or a JSON object.
    :param source: name used in findings, usually the file name.
    :raises ConfigurationError: with all findings.
    :returns: the validated document.
    """
    try:
        raw = parse_text(text)
    except ValueError as error:
        raise ConfigurationError([Finding(source, str(error))]) from error
    except RecursionError as error:
        finding = Finding(source, 'the document is nested too deeply')
        raise ConfigurationError([finding]) from error
    table, findings = schema.load(raw, f'{source}: ')
    if findings:
        raise ConfigurationError(findings)
    return table


def parse_text(text: str) -> Any:
    """Parse TOML, or JSON if the text begins with a brace.

    :param text: the document.
    :raises ValueError: if it is malformed.
    :raises RecursionError: if it is nested too deeply.
    :returns: the table.
    """
    if text.lstrip().startswith(JSON_START):
        return json.loads(text, parse_constant=_refuse_constant)
    return tomllib.loads(text)


def _refuse_constant(name: str) -> Never:
    raise ValueError(f'{name} is not a number')


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
