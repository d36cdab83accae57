"""Problems found in settings and presets.

:shapes: a finding is a location and a sentence a person can act on.
"""

from __future__ import annotations


class Finding:
    """One problem and where it stands.

    :param location: file and key path, such as ``peak.toml: route[2].class``.
    :param message: what is wrong and what would be right.
    """

    __slots__ = ('message', 'location')

    def __init__(self, location: str, message: str) -> None:
        """Keep the location and the message."""
        self.location = location
        self.message = message

    def __str__(self) -> str:
        """Write the finding as one line."""
        return f'{self.location}: {self.message}'
