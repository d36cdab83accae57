"""Budget for the bodies that a node holds in memory, shared by all connections.

:units: bytes; seconds.
:errors: none are raised; a body without room is refused by its reader.

A body of at most ``SMALL_BODY_BYTES`` takes no share; until its request is complete, it
is counted with the connections of callers, see ``Intake``.
"""

from __future__ import annotations

import asyncio
import logging
import weakref
from collections import Counter, deque
from enum import StrEnum
from typing import Final

from lavendermount_core.models.calls import Body

log = logging.getLogger(__name__)

SMALL_BODY_BYTES: Final = 16384
DEFAULT_BUDGET_BYTES: Final = 268_435_456
# Part of the budget that bodies of requests may use; the rest is kept for replies, so
# that requests in progress can end.
REQUEST_SHARE: Final = 0.8
# Bodies up to this size may use all of the budget.
MEDIUM_BODY_BYTES: Final = 262_144
# Steps by which a body of unknown size extends its share.
GROWTH_BYTES: Final = 262_144
GROWTH_DIVISOR: Final = 4
RETRY_INTERVAL_S: Final = 0.01
# Time for which a connection isn't read while there is no room for a body.
MAX_WAIT_S: Final = 0.5


class BodyKind(StrEnum):
    """Whose body it is, and where it came from."""

    CALLER_REQUEST = 'caller-request'
    PEER_REQUEST = 'peer-request'
    TARGET_REPLY = 'target-reply'
    PEER_REPLY = 'peer-reply'

    @property
    def is_request(self) -> bool:
        """Return whether it is the body of a request."""
        return self in {BodyKind.CALLER_REQUEST, BodyKind.PEER_REQUEST}


class MemoryBudget:
    """Counts the bytes of the large bodies that a node holds.

    :param capacity_bytes: bytes that all of them together may take.
    """

    __slots__ = ('capacity_bytes', 'counted_bytes', 'peak_bytes', 'freed', 'refused')

    def __init__(self, capacity_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        """Start without bodies."""
        self.capacity_bytes = capacity_bytes
        self.counted_bytes = 0
        self.peak_bytes = 0
        # Shares whose body was freed. The garbage collector may free one in another
        # thread, so they are subtracted when the count is read.
        self.freed: deque[Share] = deque()
        self.refused: Counter[str] = Counter()

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are taken now."""
        while self.freed:
            self.counted_bytes -= self.freed.popleft().size
        return self.counted_bytes

    def limit_of(self, kind: BodyKind, size: int) -> int:
        """Return up to which sum a body may take from the budget.

        :param size: bytes that the body takes in all.
        """
        if kind.is_request and size > MEDIUM_BODY_BYTES:
            return int(self.capacity_bytes * REQUEST_SHARE)
        return self.capacity_bytes

    def try_take(self, size: int, limit_bytes: int) -> bool:
        """Take bytes if the sum then stays within a limit."""
        if self.held_bytes + size > limit_bytes:
            return False
        self.take(size)
        return True

    def take(self, size: int) -> None:
        """Take bytes, or give some back if the size is negative."""
        self.counted_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.counted_bytes)

    def count_refusal(self, kind: BodyKind, size: int) -> None:
        """Count and log a body for which there is no room."""
        self.refused[kind] += 1
        log.warning(
            'body-refused',
            extra={
                'kind': str(kind),
                'bytes': size,
                'held_bytes': self.held_bytes,
                'budget_bytes': self.capacity_bytes,
            },
        )


class Share:
    """What one body has taken from the budget.

    :param size: its bytes.
    """

    __slots__ = ('size',)

    def __init__(self, size: int = 0) -> None:
        """Initialize the field."""
        self.size = size


def hold_share(budget: MemoryBudget, holder: object, size: int) -> Share:
    """Give a share back when the object that holds it is freed.

    :param budget: budget from which the share is or will be taken.
    :param holder: object that can be referenced weakly.
    :param size: bytes that were taken so far.
    :returns: the share, whose size may change meanwhile.
    """
    share = Share(size)
    finalizer = weakref.finalize(holder, budget.freed.append, share)
    finalizer.atexit = False
    return share


class HeldBody(bytearray):  # noqa: WPS600
    """Bytes of a large body; their share is given back when they are freed.

    Unlike a plain ``bytearray``, it can be referenced weakly.
    """

    __slots__ = ('__weakref__',)


class BodyBuffer:
    """Collects a large body in one buffer that takes its share of the budget.

    Parts are always added. When ``missing_bytes`` is not 0 after that, the reader must
    read nothing further until ``retry`` has found room, or drop the body.

    :param budget: budget of the node.
    :param kind: whose body it is.
    :param max_bytes: largest accepted size.
    """

    __slots__ = ('budget', 'kind', 'max_bytes', 'body', 'share', 'missing_bytes')

    def __init__(self, budget: MemoryBudget, kind: BodyKind, max_bytes: int) -> None:
        """Start with an empty body that has no share."""
        self.budget = budget
        self.kind = kind
        self.max_bytes = max_bytes
        self.body = HeldBody()
        self.share = hold_share(budget, self.body, 0)
        self.missing_bytes = 0

    @property
    def can_fit(self) -> bool:
        """Return whether the body fits once other bodies have been freed."""
        size = self.share.size + self.missing_bytes
        return size <= self.budget.limit_of(self.kind, size)

    def reserve(self, size: int) -> None:
        """Take the share of a body that has a given size; see ``missing_bytes``."""
        self.missing_bytes = max(0, size - self.share.size)
        self.retry()

    def retry(self) -> None:
        """Try again to take the missing part of the share."""
        size = self.share.size + self.missing_bytes
        limit_bytes = self.budget.limit_of(self.kind, size)
        if self.budget.try_take(self.missing_bytes, limit_bytes):
            self.share.size = size
            self.missing_bytes = 0

    def add(self, part: Body) -> None:
        """Append a part; extend the share if the size was not known."""
        self.body.extend(part)
        size = len(self.body)
        if size > self.share.size and not self.missing_bytes:
            step = max(GROWTH_BYTES, size // GROWTH_DIVISOR)
            self.reserve(max(size, min(size + step, self.max_bytes)))

    def finish(self) -> HeldBody:
        """Set the share to the size of the complete body and return the body.

        It may exceed the budget by the last part that was read.
        """
        excess = self.share.size - len(self.body)
        self.share.size -= excess
        self.budget.take(-excess)
        self.missing_bytes = 0
        return self.body

    async def wait_for_room(self) -> bool:
        """Wait until the share is taken, for ``MAX_WAIT_S`` at most.

        :returns: whether it is; if not, the refusal has been counted.
        """
        loop = asyncio.get_running_loop()
        gives_up_at = loop.time() + MAX_WAIT_S
        while self.missing_bytes and self.can_fit and loop.time() < gives_up_at:
            await asyncio.sleep(RETRY_INTERVAL_S)
            self.retry()
        if not self.missing_bytes:
            return True
        self.count_refusal()
        return False

    def count_refusal(self) -> None:
        """Count this body as refused."""
        size = self.share.size + self.missing_bytes
        self.budget.count_refusal(self.kind, size)
