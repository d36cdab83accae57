"""Base class of typed records that are encoded as msgpack rows.

:shapes: a record is a class with slots whose constructor takes the slots in
    order; its row is the list of its fields in that order.
:errors: ``RecordError`` for bytes that do not encode such a row.
:source: codec from ``msgpack``.
"""

from __future__ import annotations

from functools import cache
from inspect import Parameter, signature
from typing import Any, Self, get_type_hints

import msgpack

from lavendermount_core.exceptions import RecordError

CHECKED_TYPES = frozenset((str, int, bytes, bool))


class Record:
    """A record whose equality, hash and ``repr`` are derived from its slots."""

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        """Compare field by field with a record of the same class."""
        if type(other) is not type(self):  # noqa: WPS516
            return NotImplemented
        return self.to_row() == other.to_row()

    def __hash__(self) -> int:
        """Hash the class and the text form of the fields."""
        return hash((type(self), repr(self.to_row())))

    def __repr__(self) -> str:
        """Return the name of the class and its fields."""
        pairs = zip(self.__slots__, self.to_row(), strict=True)
        fields = ', '.join(f'{name}={field!r}' for name, field in pairs)
        return f'{type(self).__name__}({fields})'

    @classmethod
    def from_row(cls, row: Any) -> Self:
        """Build a record from its row without checking the field types.

        The last fields may be missing if they have defaults: an earlier version
        wrote the row.

        :param row: list of fields in the order of the slots.
        :raises RecordError: if the row is not a list of the right length.
        :returns: the record.
        """
        if not isinstance(row, (list, tuple)) or not (
            required_fields(cls) <= len(row) <= len(cls.__slots__)  # type: ignore[arg-type]
        ):
            raise RecordError(f'{cls.__name__}: row is not a list of the right length')
        return cls(*row)

    @classmethod
    def checked_from_row(cls, row: Any) -> Self:
        """Build a record from an untrusted row.

        :param row: list of fields in the order of the slots.
        :raises RecordError: if the row is malformed, or if a string, integer,
            bytes or boolean field has a wrong type; other fields are not checked.
        :returns: the record.
        """
        record = cls.from_row(row)
        for name, expected in field_types(cls).items():  # type: ignore[arg-type]
            field = getattr(record, name)
            if type(field) is not expected:  # noqa: WPS516
                raise RecordError(f'{cls.__name__}.{name} has a wrong type')
        return record

    def to_row(self) -> list[Any]:
        """Return the list of fields in the order of the slots."""
        return [getattr(self, name) for name in self.__slots__]


@cache
def required_fields(record_class: type[Record]) -> int:
    """Count the fields of a record that have no default."""
    fields = signature(record_class).parameters.values()
    return sum(field.default is Parameter.empty for field in fields)


@cache
def field_types(record_class: type[Record]) -> dict[str, type]:
    """Return the scalar field types that a record's constructor declares.

    :returns: types by field name; fields of other types are left out.
    """
    hints = get_type_hints(record_class.__init__)
    return {
        name: hints[name]
        for name in record_class.__slots__
        if hints[name] in CHECKED_TYPES
    }


def pack(row: Any) -> bytes:
    """Encode a row.

    :param row: nested lists of strings, bytes, numbers and ``None``.
    :returns: msgpack bytes.
    """
    packed: bytes = msgpack.packb(row)
    return packed


def unpack(body: bytes) -> Any:
    """Decode bytes from an untrusted source.

    :param body: msgpack bytes.
    :raises RecordError: if the bytes are not exactly one msgpack object.
    :returns: the decoded row.
    """
    try:
        return msgpack.unpackb(body)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RecordError(f'malformed msgpack: {error}') from error


def unpack_all(body: bytes) -> list[Any]:
    """Decode a sequence of concatenated rows.

    :param body: msgpack bytes.
    :raises RecordError: if the bytes are malformed or the last row is
        truncated.
    :returns: the decoded rows.
    """
    decoder = msgpack.Unpacker(max_buffer_size=0)
    decoder.feed(body)
    try:
        rows = list(decoder)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RecordError(f'malformed msgpack: {error}') from error
    if decoder.tell() != len(body):
        raise RecordError('malformed msgpack: the last row is truncated')
    return rows
