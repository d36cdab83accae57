"""Differences between two versions of a preset, in operators' words.

:shapes: entries are paired by name, routes by host, path and methods; keys of
    tenants are counted, never shown.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from lavendermount_core.config import options as opt
from lavendermount_core.config.preset import FIRST_MATCH, PresetSchema, RouteOptions

ADDED = 'added'
REMOVED = 'removed'
CHANGED = 'changed'

# Keys that are part of the place of a difference.
IDENTIFYING_KEYS = frozenset(('name', 'host', 'path', 'methods'))

# Pairs of old and new entries, old ones without a pair, new ones without a pair.
Pairing = tuple[list[tuple[Any, Any]], list[Any], list[Any]]
Identity = Callable[[Any], tuple[str, ...]]


class Difference:
    """One difference between two versions.

    :param place: entry that differs, such as ``tenant 'alpha'``.
    :param change: ``added``, ``removed`` or ``changed``.
    :param key: key that differs; empty if the whole entry does.
    :param old: old value; empty if there is none.
    :param new: new value; empty if there is none.
    """

    __slots__ = ('place', 'change', 'key', 'old', 'new')

    def __init__(
        self, place: str, change: str, key: str = '', old: str = '', new: str = ''
    ) -> None:
        """Initialize the fields."""
        self.place = place
        self.change = change
        self.key = key
        self.old = old
        self.new = new

    def __str__(self) -> str:
        """Format the difference as one line."""
        if self.change == CHANGED:
            return f'{self.place}: {self.key}: {self.old} -> {self.new}'
        return f'{self.place}: {self.change}: {self.old or self.new}'

    def to_row(self) -> dict[str, str]:
        """Return the fields for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


def compare_presets(old: PresetSchema, new: PresetSchema) -> list[Difference]:
    """Compare two versions of a preset.

    :param old: the version in force.
    :param new: the version that is to replace it.
    """
    found = list(_compare_tables('preset', old, new))
    for key, option in PresetSchema.options().items():
        if isinstance(option, opt.Table):
            found.extend(_compare_tables(key, *_settings_of(option, old, new)))
        elif isinstance(option, opt.TableList):
            found.extend(_compare_lists(key, *_settings_of(option, old, new)))
    if new.matching == FIRST_MATCH:
        found.extend(_compare_order(old.route, new.route))
    return found


def _settings_of(option: opt.Option[Any], *tables: opt.Schema) -> list[Any]:
    return [table.checked[option.key] for table in tables]


def _compare_tables(
    place: str, old: opt.Schema, new: opt.Schema
) -> Iterator[Difference]:
    for key, option in old.options().items():
        before, after = _settings_of(option, old, new)
        if isinstance(option, opt.SecretList):
            yield from _compare_secrets(place, key, set(before), set(after))
        elif not _is_compared_apart(option, old):
            texts = (_format(before), _format(after))
            if texts[0] != texts[1]:
                yield Difference(place, CHANGED, key, *texts)


def _is_compared_apart(option: opt.Option[Any], table: opt.Schema) -> bool:
    # Tables of the preset are compared key by key, a split as one value.
    kinds = (opt.Table, opt.TableList)
    return isinstance(table, PresetSchema) and isinstance(option, kinds)


def _compare_secrets(
    place: str, key: str, old: set[str], new: set[str]
) -> Iterator[Difference]:
    added, withdrawn = len(new - old), len(old - new)
    if added or withdrawn:
        counts = f'{added} added, {withdrawn} withdrawn'
        yield Difference(place, CHANGED, key, str(len(old)), f'{len(new)} ({counts})')


def _compare_lists(
    kind: str, old: Sequence[opt.Schema], new: Sequence[opt.Schema]
) -> Iterator[Difference]:
    pairs, removed, added = _pair_entries(old, new)
    for entry in removed:
        yield Difference(_place(kind, entry), REMOVED, old=_describe(entry))
    for entry in added:
        yield Difference(_place(kind, entry), ADDED, new=_describe(entry))
    for before, after in pairs:
        yield from _compare_tables(_place(kind, before), before, after)


def _pair_entries(old: Sequence[Any], new: Sequence[Any]) -> Pairing:
    pairs, removed, added = _pair_by(_full_identity, old, new)
    # A route whose methods changed is still the same route.
    loose_pairs, removed, added = _pair_by(_loose_identity, removed, added)
    return pairs + loose_pairs, removed, added


def _pair_by(identity: Identity, old: Sequence[Any], new: Sequence[Any]) -> Pairing:
    unpaired: dict[tuple[str, ...], list[Any]] = {}
    for before in old:
        unpaired.setdefault(identity(before), []).append(before)
    pairs = []
    added = []
    for after in new:
        twins = unpaired.get(identity(after))
        if twins:
            pairs.append((twins.pop(0), after))
        else:
            added.append(after)
    removed = list(itertools.chain.from_iterable(unpaired.values()))
    return pairs, removed, added


def _full_identity(entry: Any) -> tuple[str, ...]:
    if isinstance(entry, RouteOptions):
        return (entry.host.lower(), entry.path, *sorted(entry.methods))
    return (entry.name,)


def _loose_identity(entry: Any) -> tuple[str, ...]:
    return _full_identity(entry)[:2]


def _compare_order(
    old: Sequence[RouteOptions], new: Sequence[RouteOptions]
) -> Iterator[Difference]:
    pairs, _, _ = _pair_entries(old, new)
    pairs.sort(key=lambda pair: new.index(pair[1]))
    positions = [old.index(before) for before, _ in pairs]
    if positions != sorted(positions):
        befores = sorted((before for before, _ in pairs), key=old.index)
        afters = [after for _, after in pairs]
        yield Difference('routes', CHANGED, 'order', _list(befores), _list(afters))


def _list(routes: Sequence[RouteOptions]) -> str:
    return '; '.join(_place('route', route) for route in routes)


def _place(kind: str, entry: Any) -> str:
    if not isinstance(entry, RouteOptions):
        return f'{kind} {entry.name!r}'
    methods = ','.join(entry.methods) or 'any method'
    return f'{kind} {entry.host or "any host"} {entry.path} ({methods})'


def _describe(entry: opt.Schema) -> str:
    parts = []
    for key, option in entry.options().items():
        setting = entry.checked[option.key]
        if isinstance(option, opt.SecretList):
            parts.append(f'{len(setting)} {key}')
        elif setting != option.default and key not in IDENTIFYING_KEYS:
            parts.append(f'{key} {_format(setting)}')
    return ', '.join(parts)


def _format(setting: Any) -> str:
    if isinstance(setting, opt.Schema):
        return ' '.join(_format(each) for each in setting.checked.values())
    if isinstance(setting, list):
        listed = ', '.join(_format(each) for each in setting)
        return f'[{listed}]'
    if isinstance(setting, bool):
        return str(setting).lower()
    return repr(setting)
