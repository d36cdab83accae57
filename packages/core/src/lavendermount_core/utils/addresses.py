"""Addresses of VMs.

:source: ``ipaddress`` from the standard library.
"""

from __future__ import annotations

import ipaddress
from functools import lru_cache

CACHED_ADDRESSES = 16384


@lru_cache(maxsize=CACHED_ADDRESSES)
def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address.

    A name is none: resolving it would block the node.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
