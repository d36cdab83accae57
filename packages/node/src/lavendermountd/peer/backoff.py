"""Exponential backoff for nodes that could not be reached.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import time
from collections.abc import Callable

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
BACKOFF_FACTOR = 2


class NodeBackoff:
    """Tracks until when each unreachable node is avoided."""

    __slots__ = ('backoff_ends_at', 'backoff_s', 'on_failure')

    def __init__(self) -> None:
        """Start with no node avoided."""
        self.backoff_ends_at: dict[str, float] = {}
        self.backoff_s: dict[str, float] = {}
        # Called with the name of each node that could not be reached.
        self.on_failure: Callable[[str], None] = _ignore_failure

    def note_failure(self, node_id: str) -> None:
        """Start the backoff of a node.

        It doubles with each consecutive failure, up to ``MAX_BACKOFF_S``.
        """
        previous_s = self.backoff_s.get(node_id)
        backoff_s = (
            INITIAL_BACKOFF_S
            if previous_s is None
            else min(previous_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        )
        self.backoff_s[node_id] = backoff_s
        self.backoff_ends_at[node_id] = time.monotonic() + backoff_s
        self.on_failure(node_id)

    def extend(self, node_id: str, extension_s: float) -> None:
        """Avoid a node for at least this long that failed once more when checked."""
        ends_at = time.monotonic() + extension_s
        self.backoff_ends_at[node_id] = max(
            ends_at, self.backoff_ends_at.get(node_id, 0)
        )
        self.backoff_s.setdefault(node_id, INITIAL_BACKOFF_S)

    def note_success(self, node_id: str) -> None:
        """Stop avoiding a node that responded and reset its backoff."""
        if self.backoff_s.pop(node_id, None) is not None:
            self.backoff_ends_at.pop(node_id)

    def is_avoided(self, node_id: str) -> bool:
        """Return whether a node is in backoff, to be tried only if no other is left."""
        ends_at = self.backoff_ends_at.get(node_id)
        return ends_at is not None and ends_at > time.monotonic()


def _ignore_failure(node_id: str) -> None:
    """Do nothing; the node installs the real callback."""
