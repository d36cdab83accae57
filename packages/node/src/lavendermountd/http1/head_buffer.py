"""Header lines of a request, kept as received until the request is complete.

Decoded, a line takes some hundred bytes however short it is, and a head within its
limit may have thousands.

:units: bytes.
"""

from __future__ import annotations

from array import array
from itertools import islice
from typing import Final

from lavendermount_core.models.calls import Headers
from lavendermountd.http1.messages import CONTENT_LENGTH, TRANSFER_ENCODING
from lavendermountd.memory import MemoryBudget, hold_share

EXPECT: Final = 'expect'
# Headers that are read before the request is complete.
EARLY_NAMES: Final = frozenset(
    name.encode() for name in (CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT)
)
# What a line takes in memory once it is decoded, besides its text.
DECODED_LINE_BYTES: Final = 200
# A head of up to this many lines takes no share of the memory.
FEW_LINES: Final = 64


class HeldHeaders(list[tuple[str, str]]):  # noqa: WPS600
    """Headers whose share of the memory is given back when they are freed."""

    __slots__ = ('__weakref__',)


class HeadBuffer:
    """Collects the header lines of one request."""

    __slots__ = ('text', 'sizes', 'early')

    def __init__(self) -> None:
        """Start without a line."""
        self.text = bytearray()
        # Sizes of the name and of the value of each line.
        self.sizes = array('I')
        self.early: dict[bytes, str] = {}

    @property
    def line_count(self) -> int:
        """Number of lines."""
        return len(self.sizes) // 2

    @property
    def held_bytes(self) -> int:
        """Size of what is held."""
        return len(self.text) + len(self.sizes) * self.sizes.itemsize

    def add(self, name: bytes, text: bytes) -> None:
        """Append a line."""
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
        return self.early.get(name.encode(), '')

    def decode(self, most_lines: int | None = None) -> Headers:
        """Decode the lines in their order.

        :param most_lines: number of lines that are decoded at most.
        """
        text = self.text.decode('latin-1')
        sizes = iter(self.sizes)
        headers = []
        end = 0
        for name_size, text_size in islice(zip(sizes, sizes, strict=True), most_lines):
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
        if self.line_count <= FEW_LINES:
            return self.decode(), True
        size = len(self.text) + self.line_count * DECODED_LINE_BYTES
        if not memory.try_take(size, memory.capacity_bytes):
            return self.decode(FEW_LINES), False
        headers = HeldHeaders(self.decode())
        hold_share(memory, headers, size)
        return headers, True
