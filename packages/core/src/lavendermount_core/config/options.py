"""Typed options and the schema class that validates TOML tables.

:shapes: a schema is a class whose attributes are options; an instance of the
    class provides the validated values under the same names.
:errors: ``Schema.load`` collects findings instead of raising exceptions.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from functools import cache
from typing import Any, Generic, Self, TypeVar, overload

from lavendermount_core.config.findings import Finding
from lavendermount_core.utils.addresses import is_ip_address
from lavendermount_core.utils.steps import Steps, run_steps

OptionValue = TypeVar('OptionValue')
TableSchema = TypeVar('TableSchema', bound='Schema')
CheckedValue = TypeVar('CheckedValue')
# A validated value and the findings in it.
Checked = tuple[CheckedValue, list[Finding]]


class Option(Generic[OptionValue]):
    """Type, default and description of one key of a table.

    :param default: value used if the key is absent; ``None`` makes the key
        required.
    :param about: description of the key for the reference page.
    :param unit: unit of the value for the reference page.
    """

    kind = 'any'

    def __init__(
        self,
        default: OptionValue | None = None,
        about: str = '',
        unit: str = '',
    ) -> None:
        """Store the default, description and unit."""
        self.default = default
        self.about = about
        self.unit = unit
        self.key = ''

    def __set_name__(self, owner: type[Schema], name: str) -> None:
        """Store the attribute name.

        The name may end with an underscore to avoid a Python keyword.
        """
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
        """Return the validated value, or the option itself on class access."""
        if instance is None:
            return self
        checked: OptionValue = instance.checked[self.key]
        return checked

    @property
    def table_key(self) -> str:
        """Key of the option in TOML."""
        return self.key.rstrip('_')

    def check(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the raw value of a key.

        :param raw: value from the TOML table, ``None`` if the key is absent.
        :param location: file and key path of the value.
        :returns: the validated value and the findings.
        """
        if raw is not None:
            return self.check_value(raw, location)
        if self.default is None:
            return None, [Finding(location, 'is required but missing')]
        return self.default, []

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate a value that is present; subclasses override this method.

        :returns: the validated value and the findings.
        """
        return raw, []


class Text(Option[str]):
    """A string, optionally limited to a set of choices.

    :param choices: returns the allowed strings; ``None`` allows any string.
    """

    kind = 'text'

    def __init__(
        self,
        default: str | None = None,
        about: str = '',
        choices: Callable[[], list[str]] | None = None,
    ) -> None:
        """Store the choices as a callable, because registries are filled later."""
        super().__init__(default, about)
        self.choices = choices

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the type and the choices."""
        if not isinstance(raw, str):
            return raw, [Finding(location, f'must be a string, not {raw!r}')]
        if self.choices is None or raw in self.choices():
            return raw, []
        allowed = ', '.join(self.choices())
        return raw, [Finding(location, f'{raw!r} is not one of: {allowed}')]


class Address(Text):
    """An IP address."""

    kind = 'IP address'

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the type and the form."""
        if isinstance(raw, str) and is_ip_address(raw):
            return raw, []
        return raw, [Finding(location, f'must be an IP address, not {raw!r}')]


class Number(Option[float]):
    """A number within a range.

    :param low: smallest allowed value.
    :param high: largest allowed value.
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
        """Store the range."""
        super().__init__(default, about, unit)
        self.low = low
        self.high = high

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the type and the range."""
        if isinstance(raw, bool) or not isinstance(raw, self.types):
            return raw, [Finding(location, f'must be a {self.kind}, not {raw!r}')]
        if self.low <= raw <= self.high:
            return raw, []
        bounds = f'{self.low:g} to {self.high:g}'
        return raw, [Finding(location, f'{raw!r} is not in the range {bounds}')]

    def nearest(self, number: float) -> float:
        """Return the value within the range that is nearest to a number.

        :param number: any number but NaN.
        """
        return min(max(number, self.low), self.high)


class Integer(Number):
    """A whole number within a range."""

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
        """Return the validated value as an integer."""
        if instance is None:
            return self
        checked: int = instance.checked[self.key]
        return checked

    def nearest(self, number: float) -> int:
        """Return the whole number within the range that is nearest below a number.

        :param number: any number but NaN; one below the range yields its lower end.
        """
        return math.floor(super().nearest(number))


class TextList(Option[list[str]]):
    """A list of strings."""

    kind = 'list of texts'

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the type of the list and of its elements."""
        if isinstance(raw, list) and all(isinstance(text, str) for text in raw):
            return raw, []
        return raw, [Finding(location, f'must be a list of strings, not {raw!r}')]


class SecretList(TextList):
    """A list of strings that findings must not show."""

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the types; the finding does not contain the value."""
        checked, findings = super().check_value(raw, location)
        if findings:
            findings = [Finding(location, 'must be a list of strings')]
        return checked, findings


class Flag(Option[bool]):
    """True or false; false by default.

    :param about: description of the flag.
    """

    kind = 'true or false'

    def __init__(self, about: str = '') -> None:
        """Use false as the default."""
        super().__init__(False, about)

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate that the value is a boolean."""
        if isinstance(raw, bool):
            return raw, []
        return False, [Finding(location, f'must be true or false, not {raw!r}')]


class OpenTable(Option[dict[str, Any]]):
    """A table with any keys, whose contents are validated elsewhere.

    :param about: description of the table.
    """

    kind = 'table'

    def __init__(self, about: str = '') -> None:
        """Use an empty table as the default."""
        super().__init__({}, about)

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate that the value is a table."""
        if isinstance(raw, Mapping):
            return raw, []
        return {}, [Finding(location, f'must be a table, not {_type_name(raw)}')]


class Table(Option[TableSchema]):
    """A nested table with a schema.

    :param schema: schema class of the table.
    :param about: description of the table.
    """

    kind = 'table'

    def __init__(self, schema: type[TableSchema], about: str = '') -> None:
        """Store the schema; an absent table gets the defaults of its options."""
        super().__init__(None, about)
        self.schema = schema

    def check(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate the table; an absent table is treated as an empty one."""
        return self.schema.load({} if raw is None else raw, location)


class TableList(Option[list[TableSchema]]):
    """A list of tables that share a schema.

    :param schema: schema class of each table.
    :param about: description of the tables.
    """

    kind = 'list of tables'

    def __init__(self, schema: type[TableSchema], about: str = '') -> None:
        """Store the schema; the default is an empty list."""
        super().__init__([], about)
        self.schema = schema

    def check_value(self, raw: Any, location: str) -> tuple[Any, list[Finding]]:
        """Validate each table; findings contain its index."""
        return run_steps(self.check_steps(raw, location))

    def check_steps(self, raw: Any, location: str) -> Steps[Checked[Any]]:
        """Validate the tables, each in a step; findings contain its index."""
        if raw is None:
            return self.default, []
        if not isinstance(raw, list):
            return [], [
                Finding(location, f'must be a list of tables, not {_type_name(raw)}')
            ]
        tables = []
        findings: list[Finding] = []
        for index, row in enumerate(raw):
            table, found = self.schema.load(row, f'{location}[{index}]')
            tables.append(table)
            findings.extend(found)
            yield
        return tables, findings


class Schema:
    """A table of typed options; subclasses define the options."""

    __slots__ = ('checked',)

    def __init__(self, checked: dict[str, Any]) -> None:
        """Store the validated values by attribute name."""
        self.checked = checked

    @classmethod
    def options(cls) -> dict[str, Option[Any]]:
        """Return the options of this schema.

        :returns: options by their keys in TOML.
        """
        return options_of(cls)  # type: ignore[arg-type]

    @classmethod
    def load(cls, raw: Any, location: str) -> tuple[Self, list[Finding]]:
        """Validate a raw table.

        :param raw: the table as parsed from TOML.
        :param location: file and key path of the table.
        :returns: the validated table and all findings in it.
        """
        return run_steps(cls.load_steps(raw, location))

    @classmethod
    def load_steps(cls, raw: Any, location: str) -> Steps[Checked[Self]]:
        """Validate a raw table, each table of its lists in a step.

        :param raw: the table as parsed from TOML.
        :param location: file and key path of the table.
        :returns: the validated table and all findings in it.
        """
        if not isinstance(raw, Mapping):
            return cls({}), [
                Finding(location, f'must be a table, not {_type_name(raw)}')
            ]
        options = cls.options()
        findings = _key_findings(raw, options, location)
        checked = {}
        for key, option in options.items():
            if key not in raw and option.default is not None:
                checked[option.key] = option.default
                continue
            place = join_location(location, key)
            if isinstance(option, TableList):
                checked_value, found = yield from option.check_steps(raw[key], place)
            else:
                checked_value, found = option.check(raw.get(key), place)
            checked[option.key] = checked_value
            findings.extend(found)
        table = cls(checked)
        if not findings:
            findings.extend(table.check_consistency(location))
        return table, findings

    def check_consistency(self, location: str) -> list[Finding]:
        """Validate constraints across options; subclasses override this method.

        Called only if every option of the table is valid.

        :param location: file and key path of the table.
        :returns: findings about combinations of options.
        """
        return []


@cache
def options_of(schema: type[Schema]) -> dict[str, Option[Any]]:
    """Return the options of a schema.

    :param schema: the schema class.
    :returns: options by their keys in TOML.
    """
    return {
        option.table_key: option
        for option in schema.__dict__.values()
        if isinstance(option, Option)
    }


def join_location(location: str, key: str) -> str:
    """Append a key to a location.

    :returns: ``file: key`` at the top level of a file, ``table.key`` in a table.
    """
    if location.endswith(': '):
        return f'{location}{key}'
    return f'{location}.{key}'


def _type_name(raw: Any) -> str:
    # A table may hold keys of tenants, so findings show its type only.
    return 'a table' if isinstance(raw, Mapping) else type(raw).__name__


def _key_findings(
    raw: Mapping[str, Any],
    options: Mapping[str, Option[Any]],
    location: str,
) -> list[Finding]:
    findings = [
        Finding(join_location(location, key), 'must not be null')
        for key, entry in raw.items()
        if entry is None
    ]
    unknown = [join_location(location, key) for key in raw if key not in options]
    if unknown:
        known = ', '.join(sorted(options))
        message = f'unknown key; known keys: {known}'
        findings.extend(Finding(place, message) for place in unknown)
    return findings
