"""Header lines of a request; those of a long head are decoded once it is complete.

Decoded, a line takes some hundred bytes however short it is, and a head within its
limit may have thousands.

:units: bytes.
"""

from __future__ import annotations

from array import array
from typing import Final

from lavendermount_core.models.calls import Headers
from lavendermountd.http1.messages import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    find_header,
)
from lavendermountd.memory import MemoryBudget, hold_share

EXPECT: Final = 'expect'
# Headers that are read before the rest is decoded.
EARLY_NAMES: Final = frozenset(
    name.encode() for name in (CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT)
)
# What a line takes in memory once it is decoded, besides its text.
DECODED_LINE_BYTES: Final = 200
# Lines that are decoded at once; a head of no more takes no share of the memory.
FEW_LINES: Final = 64


class HeldHeaders(list[tuple[str, str]]):  # noqa: WPS600
    """Headers whose share of the memory is given back when they are freed."""

    __slots__ = ('__weakref__',)


class HeadBuffer:
    """Collects the header lines of one request."""

    __slots__ = ('first', 'text', 'sizes', 'early')

    def __init__(self) -> None:
        """Start without a line."""
        # The first ``FEW_LINES``; the others are kept as received.
        self.first: Headers = []
        self.text = bytearray()
        # Sizes of the name and of the value of each line.
        self.sizes = array('I')
        self.early: dict[bytes, str] = {}

    @property
    def held_bytes(self) -> int:
        """Size of what is held, without the text of the first lines."""
        sizes_bytes = len(self.sizes) * self.sizes.itemsize
        return len(self.first) * DECODED_LINE_BYTES + len(self.text) + sizes_bytes

    def add(self, name: bytes, text: bytes) -> None:
        """Append a line."""
        if len(self.first) < FEW_LINES:
            self.first.append((name.decode('latin-1'), text.decode('latin-1')))
            return
        self.text += name
        self.text += text
        self.sizes.append(len(name))
        self.sizes.append(len(text))
        lower_name = name.lower()
        if lower_name in EARLY_NAMES:
            self.early.setdefault(lower_name, text.decode('latin-1'))

    def find(self, name: str) -> str:
        """Return the value of the first line with one of ``EARLY_NAMES``.

        :param name: name in lower case.
        :returns: its value; empty if there is none.
        """
        return find_header(self.first, name) or self.early.get(name.encode(), '')

    def decode(self) -> Headers:
        """Return all lines in their order."""
        if not self.sizes:
            return self.first
        text = self.text.decode('latin-1')
        sizes = iter(self.sizes)
        headers = list(self.first)
        end = 0
        for name_size, text_size in zip(sizes, sizes, strict=True):
            start = end
            middle = start + name_size
            end = middle + text_size
            headers.append((text[start:middle], text[middle:end]))
        return headers

    def decode_within(self, memory: MemoryBudget) -> tuple[Headers, bool]:
        """Decode the lines as far as there is memory for them.

        :param memory: budget of the node.
        :returns: the headers, and whether they are all; without room, they are the
            first ``FEW_LINES``.
        """
        if not self.sizes:
            return self.first, True
        line_count = len(self.first) + len(self.sizes) // 2
        size = len(self.text) + line_count * DECODED_LINE_BYTES
        if not memory.try_take(size, memory.capacity_bytes):
            return self.first, False
        headers = HeldHeaders(self.decode())
        hold_share(memory, headers, size)
        return headers, True
