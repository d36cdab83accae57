"""Records of the preset stream.

:shapes: a stored record is a msgpack row ``[kind, fields...]``.
:errors: ``RecordError`` for bytes that are no record of the stream.
"""

from __future__ import annotations

from lavendermount_core.exceptions import RecordError
from lavendermount_core.structure.records import Record, pack, unpack
from lavendermount_core.utils.registry import Registry

PRESET_STREAM = 'presets'
NO_REVISION = -1

record_kinds: Registry[str, type[Record]] = Registry('preset record')


@record_kinds.register('publish')
class Publish(Record):
    """A preset made available under its name.

    :param record_id: identifier of the write, to find it again.
    :param name: name of the preset.
    :param version: digest of the body.
    :param body: TOML source.
    :param operator: who published.
    :param time_ms: when, in milliseconds since the epoch.
    """

    __slots__ = ('record_id', 'name', 'version', 'body', 'operator', 'time_ms')

    def __init__(
        self,
        record_id: str,
        name: str,
        version: str,
        body: str,
        operator: str,
        time_ms: int,
    ) -> None:
        """Keep the fields as given."""
        self.record_id = record_id
        self.name = name
        self.version = version
        self.body = body
        self.operator = operator
        self.time_ms = time_ms


@record_kinds.register('switch')
class Switch(Record):
    """An operator's wish to put a preset in force.

    It wins if ``expected`` is the revision in force where it stands.

    :param record_id: identifier of the write, to find it again.
    :param expected: revision that the operator saw in force.
    :param name: name of the preset.
    :param version: digest of the body.
    :param body: TOML source, so that the record stands alone.
    :param operator: who switched.
    :param time_ms: when, in milliseconds since the epoch.
    """

    __slots__ = (
        'record_id',
        'expected',
        'name',
        'version',
        'body',
        'operator',
        'time_ms',
    )

    def __init__(
        self,
        record_id: str,
        expected: int,
        name: str,
        version: str,
        body: str,
        operator: str,
        time_ms: int,
    ) -> None:
        """Keep the fields as given."""
        self.record_id = record_id
        self.expected = expected
        self.name = name
        self.version = version
        self.body = body
        self.operator = operator
        self.time_ms = time_ms


@record_kinds.register('in-force')
class InForce(Record):
    """The preset in force after all records below an offset.

    Nodes append it again before the log evicts it.

    :param revision: offset of the winning switch.
    :param as_of: the author had read every record below this offset.
    :param name: name of the preset.
    :param version: digest of the body.
    :param body: TOML source.
    """

    __slots__ = ('revision', 'as_of', 'name', 'version', 'body')

    def __init__(
        self,
        revision: int,
        as_of: int,
        name: str,
        version: str,
        body: str,
    ) -> None:
        """Keep the fields as given."""
        self.revision = revision
        self.as_of = as_of
        self.name = name
        self.version = version
        self.body = body


def encode_record(record: Record) -> bytes:
    """Encode a record of the preset stream.

    :param record: an instance of a registered class.
    :returns: bytes to append.
    """
    for kind, record_class in record_kinds.entries.items():
        if type(record) is record_class:  # noqa: WPS516
            return pack([kind, *record.to_row()])
    raise RecordError(f'{type(record).__name__} is no preset record')


def decode_record(body: bytes) -> Record:
    """Decode a record of the preset stream.

    :param body: bytes as appended by anyone.
    :raises RecordError: if they are no such record.
    :returns: the record.
    """
    row = unpack(body)
    if not isinstance(row, list) or not row:
        raise RecordError('preset record is no row')
    try:
        record_class = record_kinds.find(row[0])
    except (LookupError, TypeError) as error:
        raise RecordError(str(error)) from error
    return record_class.checked_from_row(row[1:])
