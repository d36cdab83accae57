"""Interface to the platform's append-only log.

:shapes: a stream is a sequence of byte records with growing offsets.
:errors: ``LogUnavailableError`` and ``LogEvictedError``.
"""

from __future__ import annotations

import abc

from lavendermount_core.utils.registry import Registry


class LogRecord:
    """One record of a stream.

    :param offset: position in the stream.
    :param body: bytes as appended.
    """

    __slots__ = ('offset', 'body')

    def __init__(self, offset: int, body: bytes) -> None:
        """Keep the fields as given."""
        self.offset = offset
        self.body = body


class LogBatch:
    """Records read at once.

    :param oldest: oldest offset the stream retains.
    :param next_offset: offset to read from next.
    :param end: offset that the next append will get.
    :param records: records in order of their offsets.
    """

    __slots__ = ('oldest', 'next_offset', 'end', 'records')

    def __init__(
        self,
        oldest: int,
        next_offset: int,
        end: int,
        records: list[LogRecord],
    ) -> None:
        """Keep the fields as given."""
        self.oldest = oldest
        self.next_offset = next_offset
        self.end = end
        self.records = records


class NewestRecords:
    """The newest record of each key of a keyed stream.

    :param end: offset that the next append will get; reading on from there
        misses nothing.
    :param bodies: newest record by key.
    """

    __slots__ = ('end', 'bodies')

    def __init__(self, end: int, bodies: dict[str, bytes]) -> None:
        """Keep the fields as given."""
        self.end = end
        self.bodies = bodies


class KeyedRecord:
    """A record of a keyed stream.

    :param key: what the record is about; a newer one replaces it.
    :param body: the record; empty if the key was dropped.
    """

    __slots__ = ('key', 'body')

    def __init__(self, key: str, body: bytes) -> None:
        """Keep the fields as given."""
        self.key = key
        self.body = body


class LogAdapter(abc.ABC):
    """A client of the platform's log."""

    @abc.abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Append a record.

        :param stream: name of the stream.
        :param body: the record.
        :raises LogUnavailableError: if no answer came; the record may have
            been appended all the same.
        :returns: offset of the record.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
    ) -> LogBatch:
        """Read records from an offset on.

        :param stream: name of the stream.
        :param offset: first offset wanted.
        :param wait_s: longest time to wait for a record at the end.
        :raises LogEvictedError: if the offset is no longer retained.
        :raises LogUnavailableError: if no answer came.
        :returns: the records, none if the wait ended first.
        """


class KeyedLog(LogAdapter):
    """A log that also keeps the newest record of each key for good."""

    @abc.abstractmethod
    async def append_keyed(self, stream: str, keyed: KeyedRecord) -> int:
        """Replace the newest record of a key.

        :param stream: name of the stream.
        :param keyed: the key and its record.
        :raises LogUnavailableError: if no answer came.
        :returns: offset of the record.
        """

    @abc.abstractmethod
    async def newest(self, stream: str) -> NewestRecords:
        """Read the newest record of each key.

        :param stream: name of the stream.
        :raises LogUnavailableError: if no answer came.
        """

    @abc.abstractmethod
    def split_key(self, body: bytes) -> KeyedRecord:
        """Take a record of a keyed stream, as ``read`` returns it, apart.

        :raises RecordError: if it is no such record.
        """


AdapterClass = type[LogAdapter]
log_adapters: Registry[str, AdapterClass] = Registry('log adapter')


def adapter_names() -> list[str]:
    """List the registered adapters."""
    from lavendermount_core.log import http_log  # noqa: F401

    return log_adapters.names()


def open_log(name: str, url: str, timeout_s: float) -> LogAdapter:
    """Open a client of the log.

    :param name: registered name of the adapter.
    :param url: where the log answers.
    :param timeout_s: time to answer, beyond any wait, in seconds.
    :returns: the adapter.
    """
    adapter_names()
    return log_adapters.find(name)(url, timeout_s)  # type: ignore[call-arg]
