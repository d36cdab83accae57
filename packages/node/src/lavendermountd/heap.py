"""Keeps large blocks of memory out of the heap of the C library.

Blocks of their own are given back to the operating system when they are freed. By
default the C library raises the size from which a block gets one with each large block
that is freed, up to 32 MB: bodies that grow beside each other then leave holes in the
heap, and the process takes a multiple of what they hold.

:units: bytes.
:errors: none are raised; a C library without ``mallopt`` keeps its behaviour.
:source: ``mallopt(3)`` of the GNU C library.
"""

from __future__ import annotations

import ctypes
import logging
from typing import Final

log = logging.getLogger(__name__)

MMAP_THRESHOLD_OPTION: Final = -3
LARGE_BLOCK_BYTES: Final = 131072


def keep_large_blocks_out() -> bool:
    """Fix the size from which a block of memory is kept out of the heap.

    :returns: whether the C library supports it.
    """
    try:
        is_set = ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, LARGE_BLOCK_BYTES)
    except (OSError, AttributeError) as error:
        log.info('heap-unchanged', extra={'cause': str(error)})
        return False
    return bool(is_set)
