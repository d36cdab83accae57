"""Interface to the platform's append-only log.

:shapes: a stream is a sequence of binary records with increasing offsets.
:errors: ``LogUnavailableError`` and ``LogEvictedError``.
"""

from __future__ import annotations

import abc

from lavendermount_core.utils.registry import Registry


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
    """

    __slots__ = ('end', 'bodies')

    def __init__(self, end: int, bodies: dict[str, bytes]) -> None:
        """Initialize the fields."""
        self.end = end
        self.bodies = bodies


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
    """Client of the platform's log."""

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
    ) -> LogBatch:
        """Read records, starting at an offset.

        :param stream: name of the stream.
        :param offset: offset of the first record to read.
        :param wait_s: maximum time to wait for a record at the end of the stream.
        :raises LogEvictedError: if the offset is no longer retained.
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
    async def newest(self, stream: str) -> NewestRecords:
        """Read the newest record of each key.

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
