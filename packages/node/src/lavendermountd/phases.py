"""Service phases of a node."""

from __future__ import annotations

from enum import StrEnum


class Phase(StrEnum):
    """Whether the node serves callers or is stopping."""

    SERVING = 'serving'
    STOPPING = 'stopping'
