"""Token buckets: retries, hedges and the cost of measuring.

:units: tokens are retries, hedges or bytes; seconds on the node's clock.
"""

from __future__ import annotations

import time


class TokenBucket:
    """Tokens that come at a rate and are saved up to a limit.

    :param rate: tokens a second.
    :param burst: tokens that may be saved up.
    """

    __slots__ = ('rate', 'burst', 'tokens', 'refilled_at', 'spent', 'refused')

    def __init__(self, rate: float, burst: float) -> None:
        """Start full."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = time.monotonic()
        self.spent: float = 0
        self.refused: float = 0

    def configure(self, rate: float, burst: float) -> None:
        """Take over another rate and limit from the preset."""
        self.fill()
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def fill(self) -> None:
        """Add the tokens that came since the last look."""
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now

    def try_spend(self, amount: float) -> bool:
        """Spend tokens if there are enough.

        :returns: whether they were spent.
        """
        self.fill()
        if self.tokens < amount:
            self.refused += amount
            return False
        self.tokens -= amount
        self.spent += amount
        return True

    def earn(self, amount: float) -> None:
        """Add tokens earned by work rather than by time."""
        self.tokens = min(self.burst, self.tokens + amount)


class MeasuringBudget:
    """Bytes spent on learning about targets and members.

    :shapes: one bucket within the region, one across regions.
    """

    __slots__ = ('local', 'paid', 'by_kind')

    def __init__(self, local: TokenBucket, paid: TokenBucket) -> None:
        """Keep the buckets."""
        self.local = local
        self.paid = paid
        self.by_kind: dict[tuple[str, bool], int] = {}

    def try_spend(self, kind: str, size: int, is_paid: bool) -> bool:
        """Spend bytes on something that can be left out.

        :param kind: what the bytes are for.
        :param size: bytes about to be sent.
        :param is_paid: whether they cross regions.
        :returns: whether they may be sent.
        """
        bucket = self.paid if is_paid else self.local
        if not bucket.try_spend(size):
            return False
        self.count(kind, size, is_paid)
        return True

    def count(self, kind: str, size: int, is_paid: bool) -> None:
        """Count bytes by kind."""
        key = (kind, is_paid)
        self.by_kind[key] = self.by_kind.get(key, 0) + size

    def charge(self, kind: str, size: int, is_paid: bool) -> None:
        """Count bytes that could not be left out against the bucket.

        The bucket may go below zero; whatever can be left out then waits.
        """
        bucket = self.paid if is_paid else self.local
        bucket.fill()
        bucket.tokens -= size
        bucket.spent += size
        self.count(kind, size, is_paid)
