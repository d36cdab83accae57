"""Validation errors in settings and presets.

:shapes: a finding is a location and an actionable message.
"""

from __future__ import annotations


class Finding:
    """A validation error and its location.

    :param location: file and key path, such as ``peak.toml: route[2].class``.
    :param message: what is wrong and what is expected.
    """

    __slots__ = ('message', 'location')

    def __init__(self, location: str, message: str) -> None:
        """Initialize the fields."""
        self.location = location
        self.message = message

    def __str__(self) -> str:
        """Format the finding as one line."""
        return f'{self.location}: {self.message}'
