"""Digests and random identifiers.

:source: SHA-256 from the standard library, truncated to a readable length.
"""

from __future__ import annotations

import hashlib
import secrets

DIGEST_HEX_DIGITS = 12
IDENTIFIER_BYTES = 8


def short_digest(body: bytes) -> str:
    """Compute a short digest for display and comparison.

    :param body: the bytes to digest.
    :returns: the first 12 hexadecimal digits of the SHA-256 digest.
    """
    return hashlib.sha256(body).hexdigest()[:DIGEST_HEX_DIGITS]


def random_identifier() -> str:
    """Generate an identifier that is unique across processes.

    :returns: 16 hexadecimal digits.
    """
    return secrets.token_hex(IDENTIFIER_BYTES)
