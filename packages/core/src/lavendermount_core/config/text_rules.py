"""Rules for texts that become a part of the head of a request.

:shapes: each rule is a predicate, and the message of its finding.
"""

from __future__ import annotations

import re
from typing import Final

CONTROL_CHARACTER: Final = re.compile(r'[\x00-\x1f\x7f]')
CONTROL_CHARACTER_MESSAGE: Final = 'must not contain control characters'
HEALTH_PATH: Final = re.compile('[!-~]*')
HEALTH_PATH_MESSAGE: Final = 'must have visible ASCII characters only'


def has_control_character(text: str) -> bool:
    """Return whether a text has a character that would end or break a header."""
    return CONTROL_CHARACTER.search(text) is not None


def is_health_path(text: str) -> bool:
    """Return whether a text can be the path of a request; empty for none."""
    return HEALTH_PATH.fullmatch(text) is not None
