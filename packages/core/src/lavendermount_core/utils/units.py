"""Unit conversions and defaults that several modules use.

:units: given in the name of each constant.
"""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000
NS_PER_MS: Final = 1_000_000
DEFAULT_MAX_BODY_BYTES: Final = 16_777_216
# Largest limit that a preset may set.
MAX_BODY_BYTES: Final = 1_073_741_824
# Longest time limit of a request, a connection or a warm-up: a year.
MAX_TIME_LIMIT_MS: Final = 31_536_000_000
