"""Nodes that could not be reached, avoided for a while.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import time

FIRST_S = 0.5
LIMIT_S = 8.0
FACTOR = 2


class Avoidance:
    """Until when each unreachable node is avoided."""

    __slots__ = ('until', 'last_s')

    def __init__(self) -> None:
        """Start avoiding nobody."""
        self.until: dict[str, float] = {}
        self.last_s: dict[str, float] = {}

    def note_failure(self, node_id: str) -> None:
        """Avoid a node, longer each time in a row."""
        last = self.last_s.get(node_id)
        pause = FIRST_S if last is None else min(last * FACTOR, LIMIT_S)
        self.last_s[node_id] = pause
        self.until[node_id] = time.monotonic() + pause

    def note_success(self, node_id: str) -> None:
        """Stop avoiding a node that answered."""
        if self.last_s.pop(node_id, None) is not None:
            self.until.pop(node_id)

    def is_avoided(self, node_id: str) -> bool:
        """Whether other nodes go first."""
        until = self.until.get(node_id)
        return until is not None and until > time.monotonic()
