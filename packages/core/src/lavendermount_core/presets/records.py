"""Records of the preset stream.

:shapes: a record is stored as a msgpack array ``[kind, fields...]``.
:errors: ``RecordError`` for bytes that do not encode a preset record.
"""

from __future__ import annotations

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.records import Record, pack, unpack
from lavendermount_core.utils.registry import Registry

FIRST_PRESET_STREAM = 'presets'
NO_REVISION = -1

record_kinds: Registry[str, type[Record]] = Registry('preset record')


@record_kinds.register('publish')
class Publish(Record):
    """Publication of a version of a preset under its name.

    :param record_id: identifier of the write, used to find the record again.
    :param name: name of the preset.
    :param version: digest of the body.
    :param body: the preset as TOML or JSON.
    :param operator: name of the operator who published the preset.
    :param time_ms: time of publication in milliseconds since the epoch.
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
        """Initialize the fields."""
        self.record_id = record_id
        self.name = name
        self.version = version
        self.body = body
        self.operator = operator
        self.time_ms = time_ms


@record_kinds.register('switch')
class Switch(Record):
    """Request to put a preset in force, applied as a compare-and-set.

    The switch succeeds if ``expected`` is the revision in force at the offset
    of the record.

    :param record_id: identifier of the write, used to find the record again.
    :param expected: revision that the operator expects to be in force.
    :param name: name of the preset.
    :param version: digest of the body.
    :param body: the preset as TOML or JSON, so that the record does not depend on
        others.
    :param operator: name of the operator who switched.
    :param time_ms: time of the switch in milliseconds since the epoch.
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
        """Initialize the fields."""
        self.record_id = record_id
        self.expected = expected
        self.name = name
        self.version = version
        self.body = body
        self.operator = operator
        self.time_ms = time_ms


@record_kinds.register('in-force')
class PresetSnapshot(Record):
    """Snapshot of the preset in force after all records below an offset.

    Nodes append a new snapshot before the log evicts the previous one.

    :param revision: offset of the switch that put the preset in force.
    :param as_of: offset below which the author had read every record.
    :param name: name of the preset.
    :param version: digest of the body.
    :param body: the preset as TOML or JSON.
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
        """Initialize the fields."""
        self.revision = revision
        self.as_of = as_of
        self.name = name
        self.version = version
        self.body = body


def preset_stream(era: int) -> str:
    """Return the name of the preset stream of an era of the log.

    Each era has its own stream: in the copy that the log came back from, records
    written before and after can't be told apart.

    :param era: era of the log; a negative number if it is unknown.
    """
    return FIRST_PRESET_STREAM if era <= 0 else f'{FIRST_PRESET_STREAM}.{era}'


def encode_record(record: Record) -> bytes:
    """Encode a record of the preset stream.

    :param record: an instance of a registered class.
    :raises RecordError: if the class of the record is not registered.
    :returns: bytes to append to the stream.
    """
    for kind, record_class in record_kinds.entries.items():
        if type(record) is record_class:  # noqa: WPS516
            return pack([kind, *record.to_row()])
    raise RecordError(f'{type(record).__name__} is not a preset record')


def decode_record(body: bytes) -> Record:
    """Decode a record of the preset stream.

    :param body: encoded record; not trusted.
    :raises RecordError: if the bytes do not encode a preset record.
    :returns: the decoded record.
    """
    row = unpack(body)
    if not isinstance(row, list) or not row:
        raise RecordError('preset record is not a non-empty array')
    try:
        record_class = record_kinds.find(row[0])
    except (LookupError, TypeError) as error:
        raise RecordError(str(error)) from error
    return record_class.checked_from_row(row[1:])
