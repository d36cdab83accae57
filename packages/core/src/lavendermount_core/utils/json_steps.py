"""Parses and encodes large JSON objects in steps.

The standard library does either in one piece, in which no other thread runs.

:shapes: a step is one entry of a list of the outermost object, or one of its other
    values.
:errors: ``ValueError`` and ``RecursionError``, as ``json`` raises them.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any, Final

from lavendermount_core.utils.steps import Steps

SPACE: Final = re.compile(r'[ \t\n\r]*')
SEPARATOR: Final = re.compile(r'[ \t\n\r]*([,\]])[ \t\n\r]*')
# Entries that are encoded in one step.
ENCODED_ENTRIES = 16

ParseConstant = Callable[[str], Any]


class JsonReader:
    """Reads values from a JSON document, one after the other.

    :param text: the document.
    :param decoder: decodes one value.
    """

    __slots__ = ('text', 'decoder', 'index')

    def __init__(self, text: str, decoder: json.JSONDecoder) -> None:
        """Start at the first character that is not a space."""
        self.text = text
        self.decoder = decoder
        self.index = 0
        self.skip_space()

    def skip_space(self) -> None:
        """Move to the next character that is not a space."""
        space = SPACE.match(self.text, self.index)
        if space is not None:
            self.index = space.end()

    def is_at(self, character: str) -> bool:
        """Return whether a character comes next."""
        return self.text.startswith(character, self.index)

    def take(self, character: str) -> None:
        """Pass one character and the spaces behind it.

        :param character: the character that must come next.
        :raises ValueError: if another one does.
        """
        if not self.is_at(character):
            raise ValueError(f'expected {character} at {self.index}')
        self.index += 1
        self.skip_space()

    def take_separator(self, end: str) -> bool:
        """Pass the comma behind an entry, or the end of its list or object.

        :param end: character that ends the list or object.
        :raises ValueError: if neither comes next.
        :returns: whether another entry follows.
        """
        if self.is_at(','):
            self.take(',')
            return True
        self.take(end)
        return False

    def read_value(self) -> Any:
        """Read one value, and pass the spaces behind it.

        :raises ValueError: if there is none.
        """
        entry, end = self.decoder.raw_decode(self.text, self.index)
        self.index = end
        self.skip_space()
        return entry

    def read_list(self) -> Steps[list[Any]]:
        """Read a list, each entry in a step.

        :raises ValueError: if it is malformed.
        """
        entries: list[Any] = []
        self.take('[')
        if self.is_at(']'):
            self.take(']')
            return entries
        separator = None
        while separator is None or separator.group(1) == ',':
            entry, end = self.decoder.raw_decode(self.text, self.index)
            entries.append(entry)
            separator = SEPARATOR.match(self.text, end)
            if separator is None:
                raise ValueError(f'expected , or ] at {end}')
            self.index = separator.end()
            yield
        return entries

    def read_object(self) -> Steps[dict[str, Any]]:
        """Read an object that is the whole document.

        :raises ValueError: if it is malformed, or has no key.
        """
        table: dict[str, Any] = {}
        self.take('{')
        is_continued = True
        while is_continued:
            if not self.is_at('"'):
                raise ValueError(f'expected a key at {self.index}')
            key = self.read_value()
            self.take(':')
            if self.is_at('['):
                table[key] = yield from self.read_list()
            else:
                table[key] = self.read_value()
            is_continued = self.take_separator('}')
            yield
        if self.index < len(self.text):
            raise ValueError(f'unexpected data at {self.index}')
        return table


def parse_json_steps(
    text: str, parse_constant: ParseConstant | None = None
) -> Steps[Any]:
    """Parse a JSON document like ``json.loads``.

    A document that is malformed, or no object, is parsed in one piece: ``json`` words
    the error.

    :param text: the document.
    :param parse_constant: called with ``NaN``, ``Infinity`` and ``-Infinity``.
    :raises ValueError: if it is malformed.
    :raises RecursionError: if it is nested too deeply.
    """
    decoder = json.JSONDecoder(parse_constant=parse_constant)
    try:
        return (yield from JsonReader(text, decoder).read_object())
    except ValueError:
        return json.loads(text, parse_constant=parse_constant)


def encode_json_steps(table: dict[str, Any]) -> Steps[str]:
    """Encode an object like ``json.dumps`` with ``ensure_ascii`` off.

    :param table: the object; its keys are strings.
    :raises ValueError: if a number is not finite.
    """
    encode = json.JSONEncoder(ensure_ascii=False, allow_nan=False).encode
    fields = []
    for key, field in table.items():
        if isinstance(field, list):
            encoded = yield from _encode_list(field, encode)
        else:
            encoded = encode(field)
        fields.append(f'{encode(key)}: {encoded}')
        yield
    return f'{{{", ".join(fields)}}}'


def _encode_list(entries: list[Any], encode: Callable[[Any], str]) -> Steps[str]:
    parts = []
    for start in range(0, len(entries), ENCODED_ENTRIES):
        part = encode(entries[start : start + ENCODED_ENTRIES])
        parts.append(part[1:-1])
        yield
    return f'[{", ".join(parts)}]'
