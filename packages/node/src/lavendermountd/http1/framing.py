"""Limit on the bytes around the parts of a body: sizes of chunks, and trailers.

The parser reports a trailer only once it is complete, and chunk extensions never, so a
line that never ends is limited by the bytes received.

:units: bytes.
"""

from __future__ import annotations


class FramingLimit:
    """Counts what is received while the parser of a body reports nothing.

    :param max_bytes: most that may be received without a report.
    """

    __slots__ = ('max_bytes', 'unreported_bytes', 'has_reported')

    def __init__(self, max_bytes: int) -> None:
        """Start with nothing received."""
        self.max_bytes = max_bytes
        self.unreported_bytes = 0
        self.has_reported = False

    def note_report(self) -> None:
        """Note that the parser has reported a part, a chunk or a trailer."""
        self.has_reported = True

    def exceeds_after(self, size: int) -> bool:
        """Count a chunk of data that the parser was given.

        :param size: its length.
        :returns: whether the limit is exceeded.
        """
        self.unreported_bytes = 0 if self.has_reported else self.unreported_bytes + size
        self.has_reported = False
        return self.unreported_bytes > self.max_bytes
