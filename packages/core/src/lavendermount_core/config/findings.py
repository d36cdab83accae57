"""Problems found in settings and presets.

:shapes: a finding is a place and a sentence a person can act on.
"""

from __future__ import annotations


class Finding:
    """One problem and where it stands.

    :param place: file and key path, such as ``peak.toml: route[2].class``.
    :param message: what is wrong and what would be right.
    """

    __slots__ = ('message', 'place')

    def __init__(self, place: str, message: str) -> None:
        """Keep the place and the message."""
        self.place = place
        self.message = message

    def __str__(self) -> str:
        """Write the finding as one line."""
        return f'{self.place}: {self.message}'
