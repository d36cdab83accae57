"""Loads TOML or JSON and validates it against a schema.

People write TOML. Programs may write JSON, which is parsed many times faster.

:errors: ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Final, Never, TypeVar

from lavendermount_core.config.findings import Finding
from lavendermount_core.config.options import Schema
from lavendermount_core.exceptions import ConfigurationError
from lavendermount_core.utils.json_steps import parse_json_steps
from lavendermount_core.utils.steps import Steps, run_steps

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
    return run_steps(load_text_steps(schema, text, source))


def load_text_steps(
    schema: type[LoadedSchema], text: str, source: str
) -> Steps[LoadedSchema]:
    """Parse and validate a document in steps; TOML is parsed in one.

    :param schema: schema class of the document.
    :param text: TOML, or a JSON object.
    :param source: name used in findings, usually the file name.
    :raises ConfigurationError: with all findings.
    :returns: the validated document.
    """
    try:
        raw = yield from parse_text_steps(text)
    except ValueError as error:
        raise ConfigurationError([Finding(source, str(error))]) from error
    except RecursionError as error:
        finding = Finding(source, 'the document is nested too deeply')
        raise ConfigurationError([finding]) from error
    return (yield from load_table_steps(schema, raw, source))


def load_table_steps(
    schema: type[LoadedSchema], raw: Any, source: str
) -> Steps[LoadedSchema]:
    """Validate a document that has been parsed, in steps.

    :param schema: schema class of the document.
    :param raw: the parsed document.
    :param source: name used in findings.
    :raises ConfigurationError: with all findings.
    :returns: the validated document.
    """
    table, findings = yield from schema.load_steps(raw, f'{source}: ')
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
    return run_steps(parse_text_steps(text))


def parse_text_steps(text: str) -> Steps[Any]:
    """Parse JSON in steps, or TOML in one.

    :param text: the document.
    :raises ValueError: if it is malformed.
    :raises RecursionError: if it is nested too deeply.
    :returns: the table.
    """
    if not text.lstrip().startswith(JSON_START):
        return tomllib.loads(text)
    return (yield from parse_json_steps(text, _refuse_constant))


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
