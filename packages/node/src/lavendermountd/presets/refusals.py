"""Presets that this node knows of and does not put in force, by their source.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import logging
import time

from lavendermount_core.exceptions import ConfigurationError
from lavendermount_core.presets.records import NO_REVISION

log = logging.getLogger(__name__)

# Sources of presets.
LOG = 'log'
PEER = 'peer'


class RefusedPreset:
    """A preset that is not in force because it can't be read or is not valid.

    :param revision: its revision; ``NO_REVISION`` if that can't be read.
    :param reason: all findings.
    """

    __slots__ = ('revision', 'reason', 'refused_at')

    def __init__(self, revision: int, reason: str) -> None:
        """Initialize the fields; it is refused now."""
        self.revision = revision
        self.reason = reason
        self.refused_at = time.monotonic()

    @property
    def age_s(self) -> float:
        """Time since it was refused."""
        return time.monotonic() - self.refused_at


class PresetRefusals:
    """The latest refused preset of each source, until another one replaces it."""

    __slots__ = ('by_source',)

    def __init__(self) -> None:
        """Start with nothing refused."""
        self.by_source: dict[str, RefusedPreset] = {}

    def add(
        self, source: str, error: ConfigurationError, revision: int = NO_REVISION
    ) -> None:
        """Record and log that a preset is refused.

        :param source: ``LOG`` or ``PEER``.
        """
        self.by_source[source] = RefusedPreset(revision, str(error))
        log.warning(
            'preset-refused',
            extra={'source': source, 'revision': revision, 'findings': str(error)},
        )

    def end(self, source: str) -> RefusedPreset | None:
        """Record that the latest preset of a source is not refused.

        :returns: the one that was; ``None`` without one.
        """
        return self.by_source.pop(source, None)

    def end_up_to(self, revision: int) -> None:
        """Drop refused presets of peers that one in force replaces."""
        refused = self.by_source.get(PEER)
        if refused is not None and refused.revision <= revision:
            self.end(PEER)
