"""Validation errors, warnings and adjustments of settings and presets.

:shapes: a finding is a location and an actionable message.
"""

from __future__ import annotations

SEVERITY_ERROR = 'error'
SEVERITY_WARNING = 'warning'


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


class ReviewFinding(Finding):
    """A finding with a severity, from the review of a preset.

    :param severity: ``error`` if nodes reject the preset, else ``warning``.
    :param location: file and key path.
    :param message: what is wrong.
    :param expected: what is expected; empty if the message says it.
    """

    __slots__ = ('severity', 'expected')

    def __init__(
        self, severity: str, location: str, message: str, expected: str = ''
    ) -> None:
        """Initialize the fields."""
        super().__init__(location, message)
        self.severity = severity
        self.expected = expected

    def __str__(self) -> str:
        """Format the finding as one line."""
        suffix = f'; expected: {self.expected}' if self.expected else ''
        return f'{self.severity}: {super().__str__()}{suffix}'

    def to_row(self) -> dict[str, str]:
        """Return the fields for JSON."""
        return {
            'severity': self.severity,
            'place': self.location,
            'message': self.message,
            'expected': self.expected,
        }


class Adjustment(Finding):
    """A value that is in force in place of the one that was asked for.

    :param location: entry and key, such as ``routes 'export': timeout_ms``.
    :param asked: what was asked for, or why it is not possible; not a secret.
    :param in_force: what is in force instead.
    """

    __slots__ = ('asked', 'in_force')

    def __init__(self, location: str, asked: str, in_force: str) -> None:
        """Initialize the fields."""
        super().__init__(location, f'{asked}; in force: {in_force}')
        self.asked = asked
        self.in_force = in_force
