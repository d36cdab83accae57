"""A non-blocking log handler that limits the rate of log lines.

:units: lines per second; bytes.
"""

from __future__ import annotations

import logging
import os
import time

MAX_LINES_PER_S = 400
MAX_WARNINGS_PER_S = 200
MAX_BUFFERED_BYTES = 262144


class RateLimitedHandler(logging.Handler):
    """Writes log lines to a file descriptor; drops and counts excess lines.

    Warnings and errors have a separate limit, so that a flood of lines of lower
    levels never causes one of them to be dropped. If the reader of the
    descriptor is too slow, lines are dropped once the buffer is full. The number
    of dropped lines is logged ahead of the first line of a later second in which
    the buffer has room.

    :param descriptor: file descriptor for the lines; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        """Create the handler with an empty buffer."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.current_second = 0
        # Lines admitted in the current second, keyed by ``is_warning``.
        self.line_counts = {True: 0, False: 0}
        self.dropped = 0
        self.buffered = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        if not self.try_admit(record.levelno >= logging.WARNING):
            self.dropped += 1
            return
        try:
            line = self.format(record)
        except Exception:  # noqa: BLE001
            self.handleError(record)
            return
        self.write(line)

    def try_admit(self, is_warning: bool) -> bool:
        """Count a line towards the limit of the current second.

        :param is_warning: whether the line is a warning or an error.
        :returns: whether the line is within the limits.
        """
        now = int(time.monotonic())
        if now != self.current_second:
            self.current_second = now
            self.line_counts = {True: 0, False: 0}
            self.report_dropped()
        limit = MAX_WARNINGS_PER_S if is_warning else MAX_LINES_PER_S
        if (
            len(self.buffered) > MAX_BUFFERED_BYTES
            or self.line_counts[is_warning] >= limit
        ):
            return False
        self.line_counts[is_warning] += 1
        return True

    def report_dropped(self) -> None:
        """Log the number of lines dropped since the last report."""
        if self.dropped and len(self.buffered) <= MAX_BUFFERED_BYTES:
            count = self.dropped
            self.dropped = 0
            self.write(f'level=WARNING event=log-lines-dropped count={count}')

    def write(self, line: str) -> None:
        """Buffer a line, and write as much as the descriptor accepts now."""
        self.buffered += f'{line}\n'.encode()
        try:
            size = os.write(self.descriptor, self.buffered)
        except BlockingIOError:
            return
        self.buffered = self.buffered[size:]
