"""The errors that an operator may see.

:errors: every error raised on purpose derives from ``LavendermountError``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lavendermount_core.config.findings import Finding


class LavendermountError(Exception):
    """Root of all errors; the message is fit for a terminal."""

    exit_code = 1


class ConfigurationError(LavendermountError):
    """Settings or a preset did not pass validation.

    :param findings: every problem found, in file order.
    """

    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        """Join the findings into one message, a line each."""
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class LogUnavailableError(LavendermountError):
    """The platform's log did not answer, or refused, a request."""

    exit_code = 3


class LogEvictedError(LavendermountError):
    """The offset asked for is no longer retained.

    :param oldest: the oldest offset the log still has.
    """

    exit_code = 3

    def __init__(self, stream: str, oldest: int) -> None:
        """Keep the oldest retained offset for the reader to resume at."""
        super().__init__(f'stream {stream} is evicted below offset {oldest}')
        self.oldest = oldest


class PresetNotAcceptedError(LavendermountError):
    """A publish or switch did not become the winner on the log."""

    exit_code = 4


class RecordError(LavendermountError):
    """A record or frame could not be decoded."""


class PeerLinkError(LavendermountError):
    """The link to another node broke or never opened."""
