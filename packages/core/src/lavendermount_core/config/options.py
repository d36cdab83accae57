"""Typed options and the schema class that validates a table of them.

:shapes: a schema is a class whose attributes are options; an instance of it
    holds the validated values under the same names.
:errors: ``Schema.load`` collects findings and raises nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, Generic, Self, TypeVar, overload

from lavendermount_core.config.findings import Finding

OptionValue = TypeVar('OptionValue')
TableSchema = TypeVar('TableSchema', bound='Schema')


class Option(Generic[OptionValue]):
    """One key of a table: its type, default and description.

    :param default: value when the key is absent; ``None`` makes it required.
    :param about: what the key means, for the reference page.
    :param unit: unit of the value, for the reference page.
    """

    kind = 'any'

    def __init__(
        self,
        default: OptionValue | None = None,
        about: str = '',
        unit: str = '',
    ) -> None:
        """Keep what the reference page and the validation need."""
        self.default = default
        self.about = about
        self.unit = unit
        self.key = ''

    def __set_name__(self, owner: type[Schema], name: str) -> None:
        """Remember the key; a trailing underscore dodges a keyword."""
        self.key = name

    @overload
    def __get__(self, instance: None, owner: type[Schema]) -> Self: ...

    @overload
    def __get__(self, instance: Schema, owner: type[Schema]) -> OptionValue: ...

    def __get__(
        self,
        instance: Schema | None,
        owner: type[Schema],
    ) -> Self | OptionValue:
        """Read the validated value, or the option itself from the class."""
        if instance is None:
            return self
        checked: OptionValue = instance.checked[self.key]
        return checked

    @property
    def table_key(self) -> str:
        """Key as written in TOML."""
        return self.key.rstrip('_')

    def check(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate one raw value.

        :param raw: value from the TOML table, ``None`` where it is absent.
        :param location: file and key path of the value.
        :returns: the validated value and the findings.
        """
        if raw is not None:
            return self.check_value(raw, location)
        if self.default is None:
            return None, [Finding(location, 'is required but missing')]
        return self.default, []

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate a value that is there; subclasses override this.

        :returns: the validated value and the findings.
        """
        return raw, []


class Text(Option[str]):
    """A string, optionally one of a few.

    :param choices: called for the allowed strings; ``None`` allows any.
    """

    kind = 'text'

    def __init__(
        self,
        default: str | None = None,
        about: str = '',
        choices: Callable[[], list[str]] | None = None,
    ) -> None:
        """Keep the choices as a callable: registries fill up later."""
        super().__init__(default, about)
        self.choices = choices

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Check the type and the choices."""
        if not isinstance(raw, str):
            return raw, [Finding(location, f'must be a string, not {raw!r}')]
        if self.choices is None or raw in self.choices():
            return raw, []
        allowed = ', '.join(self.choices())
        return raw, [Finding(location, f'{raw!r} is not one of: {allowed}')]


class Number(Option[float]):
    """A number within bounds.

    :param low: smallest value allowed.
    :param high: largest value allowed.
    """

    kind = 'number'
    types: tuple[type[float], ...] = (int, float)

    def __init__(
        self,
        default: float | None = None,
        about: str = '',
        unit: str = '',
        low: float = 0,
        high: float = math.inf,
    ) -> None:
        """Keep the bounds."""
        super().__init__(default, about, unit)
        self.low = low
        self.high = high

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Check the type and the bounds."""
        if isinstance(raw, bool) or not isinstance(raw, self.types):
            return raw, [Finding(location, f'must be a {self.kind}, not {raw!r}')]
        if self.low <= float(raw) <= self.high:
            return raw, []
        bounds = f'{self.low:g} to {self.high:g}'
        return raw, [Finding(location, f'{raw!r} is outside {bounds}')]


class Integer(Number):
    """A whole number within bounds."""

    kind = 'whole number'
    types = (int,)

    @overload
    def __get__(self, instance: None, owner: type[Schema]) -> Self: ...

    @overload
    def __get__(self, instance: Schema, owner: type[Schema]) -> int: ...

    def __get__(
        self,
        instance: Schema | None,
        owner: type[Schema],
    ) -> Self | int:
        """Read the validated value as a whole number."""
        if instance is None:
            return self
        checked: int = instance.checked[self.key]
        return checked


class TextList(Option[list[str]]):
    """A list of strings."""

    kind = 'list of texts'

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Check the type of the list and of each element."""
        if isinstance(raw, list) and all(isinstance(text, str) for text in raw):
            return raw, []
        return raw, [Finding(location, f'must be a list of strings, not {raw!r}')]


class OpenTable(Option[dict[str, Any]]):
    """A table that somebody else checks.

    :param about: what the table is for.
    """

    kind = 'table'

    def __init__(self, about: str = '') -> None:
        """Take an absent table as an empty one."""
        super().__init__({}, about)

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Check that it is a table."""
        if isinstance(raw, Mapping):
            return raw, []
        return {}, [Finding(location, f'must be a table, not {raw!r}')]


class Table(Option[TableSchema]):
    """A table of its own schema.

    :param schema: the schema class of the table.
    """

    kind = 'table'

    def __init__(self, schema: type[TableSchema], about: str = '') -> None:
        """Keep the schema; an absent table takes its defaults."""
        super().__init__(None, about)
        self.schema = schema

    def check(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the table; an absent one is an empty one."""
        return self.schema.load({} if raw is None else raw, location)


class TableList(Option[list[TableSchema]]):
    """A list of tables of one schema.

    :param schema: the schema class of each table.
    """

    kind = 'list of tables'

    def __init__(self, schema: type[TableSchema], about: str = '') -> None:
        """Keep the schema."""
        super().__init__([], about)
        self.schema = schema

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate each table under its index."""
        if not isinstance(raw, list):
            return [], [Finding(location, f'must be a list of tables, not {raw!r}')]
        tables = []
        findings: list[Finding] = []
        for index, row in enumerate(raw):
            table, found = self.schema.load(row, f'{location}[{index}]')
            tables.append(table)
            findings.extend(found)
        return tables, findings


class Schema:
    """A table of typed options; subclasses list the options."""

    __slots__ = ('checked',)

    def __init__(self, checked: dict[str, Any]) -> None:
        """Keep the validated values by attribute name."""
        self.checked = checked

    @classmethod
    def options(cls) -> dict[str, Option[Any]]:
        """Find the options of this schema.

        :returns: options by the key written in TOML.
        """
        return {
            option.table_key: option
            for option in cls.__dict__.values()
            if isinstance(option, Option)
        }

    @classmethod
    def load(cls, raw: Any, location: str) -> tuple[Self, list[Finding]]:
        """Validate a raw table.

        :param raw: the table as parsed from TOML.
        :param location: file and key path of the table.
        :returns: the table and every finding in it.
        """
        if not isinstance(raw, Mapping):
            return cls({}), [Finding(location, f'must be a table, not {raw!r}')]
        options = cls.options()
        findings = _unknown_keys(raw, options, location)
        checked = {}
        for key, option in options.items():
            checked_value, found = option.check(
                raw.get(key), join_location(location, key)
            )
            checked[option.key] = checked_value
            findings.extend(found)
        table = cls(checked)
        if not findings:
            findings.extend(table.check_whole(location))
        return table, findings

    def check_whole(self, location: str) -> list[Finding]:
        """Check what no single option can; subclasses override this.

        :returns: findings across several options.
        """
        return []


def join_location(location: str, key: str) -> str:
    """Append a key to a location.

    :returns: ``file: key`` at the top of a file, ``table.key`` below it.
    """
    if location.endswith(': '):
        return f'{location}{key}'
    return f'{location}.{key}'


def _unknown_keys(
    raw: Mapping[str, Any],
    options: Mapping[str, Option[Any]],
    location: str,
) -> list[Finding]:
    known = ', '.join(sorted(options))
    return [
        Finding(join_location(location, key), f'is unknown; known keys: {known}')
        for key in raw
        if key not in options
    ]
