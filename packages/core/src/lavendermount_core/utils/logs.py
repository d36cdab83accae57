"""Structured logging: one line of key=value pairs per event.

:source: formatter classes of ``python-json-logger``.
"""

from __future__ import annotations

import json
import logging
import string
import sys
from typing import Any, TextIO

from pythonjsonlogger.core import BaseJsonFormatter

from lavendermount_core.utils.rate_limited_handler import RateLimitedHandler

_UNQUOTED_CHARACTERS = frozenset(f'{string.ascii_letters}{string.digits}._:/@+-')
_LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


def quote(text: str) -> str:
    """Quote a value that contains characters with a meaning in key=value lines.

    :param text: value of a field.
    :returns: the unchanged text, or the text in double quotes with escapes.
    """
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=False)


class KeyValueFormatter(BaseJsonFormatter):
    """Formats a log record and its extra fields as key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Format the fields in order, without those whose value is ``None``.

        :param log_data: field names and their values.
        :returns: the log line.
        """
        present = (pair for pair in log_data.items() if pair[1] is not None)
        return ' '.join(f'{key}={quote(str(field))}' for key, field in present)


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Configure logging to write one line per event to a stream.

    :param level: name of a standard logging level.
    :param stream: stream for the log lines; ``None`` for standard error.
    """
    log_handler = RateLimitedHandler((stream or sys.stderr).fileno())
    log_handler.setFormatter(
        KeyValueFormatter(
            _LOG_FORMAT,
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
        ),
    )
    logging.basicConfig(level=level.upper(), handlers=[log_handler], force=True)
