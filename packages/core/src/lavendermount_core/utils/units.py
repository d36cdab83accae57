"""Units and limits that several modules use.

:units: as the names say.
"""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000
NS_PER_MS: Final = 1_000_000
DEFAULT_BODY_BYTES: Final = 16_777_216
