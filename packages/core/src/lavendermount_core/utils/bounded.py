"""A log handler that never blocks and writes only so much.

:units: lines a second; bytes.
"""

from __future__ import annotations

import logging
import os
import time

MAX_LINES_PER_S = 400
MAX_WARNINGS_PER_S = 200
MAX_BUFFERED_BYTES = 262144


class RateLimitedHandler(logging.Handler):
    """Writes lines to a descriptor; what is too much is counted, not written.

    Warnings and errors have an allowance of their own, so a flood of ordinary
    lines never costs one of them. A reader that does not read costs lines once
    the bytes not yet written are too many. The count of dropped lines is
    written as soon as there is room.

    :param descriptor: where the lines go; made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        """Start with nothing written."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.current_second = 0
        self.line_counts = {True: 0, False: 0}
        self.dropped = 0
        self.buffered = b''

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
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
        """Whether the allowance of this second takes one more line.

        :param is_reserved: whether it is a warning or an error.
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
        """Write how many lines were dropped since the last time."""
        if self.dropped and len(self.buffered) <= MAX_BUFFERED_BYTES:
            count = self.dropped
            self.dropped = 0
            self.write(f'level=WARNING event=log-lines-dropped count={count}')

    def write(self, line: str) -> None:
        """Write as much as the descriptor takes now."""
        self.buffered += f'{line}\n'.encode()
        try:
            size = os.write(self.descriptor, self.buffered)
        except BlockingIOError:
            return
        self.buffered = self.buffered[size:]
