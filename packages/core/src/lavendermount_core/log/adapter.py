"""Interface to the platform's append-only log.

:shapes: a stream is a sequence of binary records with increasing offsets. Where
    this interface says offset, it means the era of the log and the offset within
    it, in one number: positions of a later era are higher than all earlier ones.
:errors: ``LogUnavailableError`` and ``LogEvictedError``.
"""

from __future__ import annotations

import abc
import logging
import re
from collections.abc import Callable

from lavendermount_core.exceptions import LogEvictedError, LogUnavailableError
from lavendermount_core.log.transfer import Transfer
from lavendermount_core.utils.registry import Registry

log = logging.getLogger(__name__)

# The lower bits of a position are the offset, the others the era.
OFFSET_BITS = 40
UNKNOWN_ERA = -1
# Era of a log that has never come back from an older copy.
FIRST_ERA = 0
# An era of more digits would not fit into a position.
ERA_PATTERN = re.compile('[0-9]{1,6}')


def join_position(era: int, offset: int) -> int:
    """Combine the era of a log and an offset into a position."""
    return (era << OFFSET_BITS) + offset


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position within its era."""
    return position % (1 << OFFSET_BITS)


class LogRecord:
    """A record of a stream.

    :param offset: position in the stream.
    :param body: the appended bytes.
    """

    __slots__ = ('offset', 'body')

    def __init__(self, offset: int, body: bytes) -> None:
        """Initialize the fields."""
        self.offset = offset
        self.body = body


class LogBatch:
    """Result of one read.

    :param oldest: oldest offset that the stream retains.
    :param next_offset: offset for the next read.
    :param end: offset of the next record to be appended.
    :param records: records in offset order.
    """

    __slots__ = ('oldest', 'next_offset', 'end', 'records')

    def __init__(
        self,
        oldest: int,
        next_offset: int,
        end: int,
        records: list[LogRecord],
    ) -> None:
        """Initialize the fields."""
        self.oldest = oldest
        self.next_offset = next_offset
        self.end = end
        self.records = records


class NewestRecords:
    """The newest record of each key of a keyed stream.

    :param end: offset of the next record to be appended; reading from there
        misses no record.
    :param bodies: newest record of each key.
    :param offsets: offset of the newest record of each key, where the log names it.
    """

    __slots__ = ('end', 'bodies', 'offsets')

    def __init__(
        self, end: int, bodies: dict[str, bytes], offsets: dict[str, int] | None = None
    ) -> None:
        """Initialize the fields."""
        self.end = end
        self.bodies = bodies
        self.offsets = offsets or {}


class KeyedRecord:
    """A record of a keyed stream.

    :param key: key of the record; a newer record with the same key replaces it.
    :param body: the record; empty if the key was deleted.
    """

    __slots__ = ('key', 'body')

    def __init__(self, key: str, body: bytes) -> None:
        """Initialize the fields."""
        self.key = key
        self.body = body


class LogAdapter(abc.ABC):
    """Client of the platform's log.

    The log may come back from an older copy of itself. It then has lost its latest
    records and assigns their offsets again. Each time, its era rises by one.
    """

    def __init__(self) -> None:
        """Start without having seen an answer of the log."""
        self.era = UNKNOWN_ERA
        self.era_listeners: list[Callable[[], None]] = []

    def note_era(self, era: int) -> None:
        """Take note of an era that the log or another node has named.

        The listeners are called if the log came back from an older copy since its
        last answer. The first known era is no such change.
        """
        if era <= self.era:
            return
        is_first = self.era == UNKNOWN_ERA
        self.era = era
        if is_first:
            return
        log.warning('log-restored', extra={'era': era})
        for listener in self.era_listeners:
            listener()

    def check_era(self, text: str) -> None:
        """Take note of the era that an answer names.

        :param text: the era, a decimal number; empty if the answer names none.
        :raises LogUnavailableError: if it is malformed, or if the answer is of an era
            that has ended; what it says no longer holds.
        """
        if text and not ERA_PATTERN.fullmatch(text):
            raise LogUnavailableError(f'the log names a malformed era: {text!r}')
        era = int(text or 0)
        self.note_era(era)
        if era < self.era:
            raise LogUnavailableError(f'the answer is of era {era}, not {self.era}')

    def check_position(self, stream: str, position: int, oldest: int) -> None:
        """Check that a position is of the current era.

        Position 0, the beginning of a stream, belongs to every era.

        :param stream: name of the stream.
        :param position: position that was read from.
        :param oldest: oldest position that the stream retains.
        :raises LogEvictedError: if the position is of an earlier era.
        """
        if position and era_of(position) != self.era:
            raise LogEvictedError(stream, oldest)

    @abc.abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Append a record.

        :param stream: name of the stream.
        :param body: the record.
        :raises LogUnavailableError: if the log did not respond; the record may
            have been appended nevertheless.
        :returns: offset of the record.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        transfer: Transfer | None = None,
    ) -> LogBatch:
        """Read records, starting at an offset.

        :param stream: name of the stream.
        :param offset: offset of the first record to read.
        :param wait_s: maximum time to wait for a record at the end of the stream.
        :param transfer: is told of the bytes of the answer as they arrive.
        :raises LogEvictedError: if the offset is no longer retained, or is of an
            earlier era.
        :raises LogUnavailableError: if the log did not respond.
        :returns: the records; empty if there are none when the wait ends.
        """


class KeyedLog(LogAdapter):
    """A log that also retains the newest record of each key permanently."""

    @abc.abstractmethod
    async def append_keyed(self, stream: str, keyed: KeyedRecord) -> int:
        """Append a record that replaces the newest one of its key.

        :param stream: name of the stream.
        :param keyed: the key and its record.
        :raises LogUnavailableError: if the log did not respond.
        :returns: offset of the record.
        """

    @abc.abstractmethod
    async def newest(
        self, stream: str, transfer: Transfer | None = None
    ) -> NewestRecords:
        """Read the newest record of each key.

        :param stream: name of the stream.
        :param transfer: is told of the bytes of the answers as they arrive.
        :raises LogUnavailableError: if the log did not respond.
        """

    @abc.abstractmethod
    async def end(self, stream: str) -> int:
        """Return the position behind the newest record, without reading any record.

        :param stream: name of the stream.
        :raises LogUnavailableError: if the log did not respond.
        """

    @abc.abstractmethod
    def split_key(self, body: bytes) -> KeyedRecord:
        """Split a record that ``read`` returned for a keyed stream.

        :param body: body of the record.
        :raises RecordError: if it is not a record of a keyed stream.
        :returns: the key and the record without the key.
        """


AdapterClass = type[LogAdapter]
log_adapters: Registry[str, AdapterClass] = Registry('log adapter')


def adapter_names() -> list[str]:
    """List the names of the registered adapters.

    The import registers the HTTP adapter.
    """
    from lavendermount_core.log import http_log  # noqa: F401

    return log_adapters.names()


def open_log(name: str, url: str, timeout_s: float) -> LogAdapter:
    """Create a client of the log.

    :param name: registered name of the adapter.
    :param url: base URL of the log.
    :param timeout_s: timeout of a request in seconds, in addition to the wait of
        a read.
    :returns: the adapter.
    """
    # Registers the HTTP adapter.
    adapter_names()
    return log_adapters.find(name)(url, timeout_s)  # type: ignore[call-arg]
