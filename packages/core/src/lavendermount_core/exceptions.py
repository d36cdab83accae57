"""Exceptions that may be shown to operators.

:errors: every error meant for operators derives from ``LavendermountError``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavendermount_core.config.findings import Finding


class LavendermountError(Exception):
    """Base class of these errors; the message is suitable for a terminal."""

    exit_code = 1


class ConfigurationError(LavendermountError):
    """The settings or a preset are invalid.

    :param findings: all validation errors, in file order.
    """

    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        """Join the findings into a message with one line per finding."""
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class PresetWarningsError(LavendermountError):
    """The review of a preset found warnings but no errors.

    :param findings: the warnings.
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        """Join the findings into a message with one line per finding."""
        super().__init__('\n'.join(str(finding) for finding in findings))


class LogUnavailableError(LavendermountError):
    """The platform's log did not respond to a request, or refused it."""

    exit_code = 3


class LogEvictedError(LavendermountError):
    """The requested offset is no longer retained.

    :param stream: name of the stream.
    :param oldest: oldest offset that the log retains.
    """

    exit_code = 3

    def __init__(self, stream: str, oldest: int) -> None:
        """Store the oldest retained offset, at which the reader can resume."""
        super().__init__(
            f'records of stream {stream} below offset {oldest} were evicted'
        )
        self.oldest = oldest


class PresetNotAcceptedError(LavendermountError):
    """A publish or switch was not accepted, or no such preset was found."""

    exit_code = 4


class RecordError(LavendermountError):
    """A record or frame could not be decoded."""


class PeerLinkError(LavendermountError):
    """The link to another node was lost or could not be opened."""


class PeerSilentError(PeerLinkError):
    """The link to another node was opened, but lost before the node answered."""
