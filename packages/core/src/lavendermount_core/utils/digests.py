"""Digests and identifiers.

:source: SHA-256 from the standard library, cut to a readable length.
"""

from __future__ import annotations

import hashlib
import secrets

DIGEST_LENGTH = 12
IDENTIFIER_BYTES = 8


def short_digest(body: bytes) -> str:
    """Digest a body for display and comparison.

    :param body: any bytes.
    :returns: the first 12 hexadecimal digits of its SHA-256.
    """
    return hashlib.sha256(body).hexdigest()[:DIGEST_LENGTH]


def random_identifier() -> str:
    """Make an identifier that no other process makes.

    :returns: 16 hexadecimal digits.
    """
    return secrets.token_hex(IDENTIFIER_BYTES)
