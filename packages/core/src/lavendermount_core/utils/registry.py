"""Registries whose entries are registered by decorators.

:errors: ``LookupError`` for a key that is not registered or registered twice.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar('Key')
Entry = TypeVar('Entry')


class Registry(Generic[Key, Entry]):
    """Entries by key, registered by a decorator.

    :param entry_kind: kind of the entries, for error messages.
    """

    __slots__ = ('entries', 'entry_kind')

    def __init__(self, entry_kind: str) -> None:
        """Create an empty registry."""
        self.entry_kind = entry_kind
        self.entries: dict[Key, Entry] = {}

    def register(self, key: Key) -> Callable[[Entry], Entry]:
        """Create a decorator that registers the decorated object.

        :param key: key of the entry.
        :returns: the decorator, which returns the decorated object unchanged
            and raises ``LookupError`` if the key is already registered.
        """

        def decorator(entry: Entry) -> Entry:
            if key in self.entries:
                raise LookupError(f'{self.entry_kind} {key!r} is already registered')
            self.entries[key] = entry
            return entry

        return decorator

    def find(self, key: Key) -> Entry:
        """Look up an entry.

        :param key: key of the entry.
        :raises LookupError: if the key is not registered.
        :returns: the entry.
        """
        if key not in self.entries:
            raise LookupError(f'no {self.entry_kind} is registered as {key!r}')
        return self.entries[key]

    def names(self) -> list[Key]:
        """List the keys in order of registration."""
        return list(self.entries)
