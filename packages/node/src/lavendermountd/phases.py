"""What a node does with callers."""

from __future__ import annotations

from enum import StrEnum


class Phase(StrEnum):
    """What the node does with callers."""

    SERVING = 'serving'
    STOPPING = 'stopping'
