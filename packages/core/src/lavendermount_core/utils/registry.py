"""Registries that decorators fill.

:errors: ``LookupError`` for a name nobody registered or registered twice.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar('Key')
Entry = TypeVar('Entry')


class Registry(Generic[Key, Entry]):
    """Entries by name, each registered by a decorator.

    :param subject: what the entries are, for error messages.
    """

    __slots__ = ('entries', 'entry_kind')

    def __init__(self, entry_kind: str) -> None:
        """Start empty."""
        self.entry_kind = entry_kind
        self.entries: dict[Key, Entry] = {}

    def register(self, key: Key) -> Callable[[Entry], Entry]:
        """Make a decorator that registers its target.

        :param key: name of the entry.
        :returns: the decorator; it returns its target unchanged.
        """

        def decorator(entry: Entry) -> Entry:
            if key in self.entries:
                raise LookupError(f'{self.entry_kind} {key!r} is registered twice')
            self.entries[key] = entry
            return entry

        return decorator

    def find(self, key: Key) -> Entry:
        """Look an entry up.

        :param key: name of the entry.
        :raises LookupError: if nobody registered it.
        :returns: the entry.
        """
        if key not in self.entries:
            raise LookupError(f'no {self.entry_kind} is called {key!r}')
        return self.entries[key]

    def names(self) -> list[Key]:
        """List the registered names in order of registration."""
        return list(self.entries)
