"""Token buckets that limit retries, hedges, measuring and inter-region traffic.

:units: tokens are retries, hedges or bytes; seconds on the node's monotonic
    clock.
"""

from __future__ import annotations

import time


class TokenBucket:
    """Tokens that accrue at a fixed rate up to the capacity of the bucket.

    :param rate: tokens added per second.
    :param burst: capacity of the bucket.
    """

    __slots__ = ('rate', 'burst', 'tokens', 'refilled_at', 'spent', 'refused')

    def __init__(self, rate: float, burst: float) -> None:
        """Start with a full bucket."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = time.monotonic()
        self.spent: float = 0
        self.refused: float = 0

    def configure(self, rate: float, burst: float) -> None:
        """Set a new rate and capacity."""
        self.refill()
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def refill(self) -> None:
        """Add the tokens accrued since the last refill."""
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now

    def try_spend(self, amount: float) -> bool:
        """Spend tokens if enough are available.

        :returns: whether they were spent.
        """
        self.refill()
        if self.tokens < amount:
            self.refused += amount
            return False
        self.tokens -= amount
        self.spent += amount
        return True

    def earn(self, amount: float) -> None:
        """Add tokens earned by requests instead of elapsed time."""
        self.tokens = min(self.burst, self.tokens + amount)


class MeasuringBudget:
    """Limits the bytes spent on gossip and on pings between nodes.

    Gossip and the replies to pings carry load reports.

    :param local: bucket for traffic within the region.
    :param paid: bucket for traffic between regions, which is metered.
    """

    __slots__ = ('local', 'paid', 'by_kind')

    def __init__(self, local: TokenBucket, paid: TokenBucket) -> None:
        """Start without traffic."""
        self.local = local
        self.paid = paid
        self.by_kind: dict[tuple[str, bool], int] = {}

    def try_spend(self, kind: str, size: int, is_paid: bool) -> bool:
        """Spend bytes on an optional message.

        :param kind: kind of message.
        :param size: bytes about to be sent.
        :param is_paid: whether they are sent to another region.
        :returns: whether they may be sent.
        """
        bucket = self.paid if is_paid else self.local
        if not bucket.try_spend(size):
            return False
        self.count_bytes(kind, size, is_paid)
        return True

    def count_bytes(self, kind: str, size: int, is_paid: bool) -> None:
        """Add bytes to the count of a kind."""
        key = (kind, is_paid)
        self.by_kind[key] = self.by_kind.get(key, 0) + size

    def charge(self, kind: str, size: int, is_paid: bool) -> None:
        """Charge the bytes of a mandatory message.

        The bucket may go below zero; optional messages then wait.
        """
        bucket = self.paid if is_paid else self.local
        bucket.refill()
        bucket.tokens -= size
        bucket.spent += size
        self.count_bytes(kind, size, is_paid)
