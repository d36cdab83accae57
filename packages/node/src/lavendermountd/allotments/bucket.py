"""Token buckets, the tokens that an entry node holds, and its reserve.

:units: tokens are requests; seconds on a clock that counts suspended time.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable

# Tokens of a block expire this long after they were asked for. Tokens that are
# kept and then used together add their lifetime to the 5 s of a window; 0.4 s is 8%
# of it, within the 10% of headroom. A lifetime of 1 s would exceed the limit.
TOKEN_LIFETIME_S = 0.4
# Time whose expected need one block covers.
BLOCK_S = 0.3
# Period after which unused tokens of the reserve expire.
RESERVE_PERIOD_S = 1.0
# Part of the rate that all reserves hold together.
RESERVE_SHARE = 0.05
# Time over which demand is averaged.
DEMAND_S = 1.0
# Bucket sizes below one token would never let a request through.
MIN_CAPACITY = 1.0


class Bucket:
    """Token bucket of an owner; it starts empty.

    :param now: current time.
    :param starts_at: time from which tokens accrue.
    """

    __slots__ = ('rate_per_s', 'capacity', 'tokens', 'refilled_at')

    def __init__(self, now: float, starts_at: float) -> None:
        """Start empty and without a rate."""
        self.rate_per_s: float = 0
        self.capacity = MIN_CAPACITY
        self.tokens: float = 0
        self.refilled_at = max(now, starts_at)

    def refill(self, now: float, rate_per_s: float) -> None:
        """Add the tokens accrued since the last refill.

        The rate may have changed at any time since then, so the lower one counts.

        :param rate_per_s: the rate from now on.
        """
        if now >= self.refilled_at:
            accrued = (now - self.refilled_at) * min(self.rate_per_s, rate_per_s)
            self.tokens = min(self.capacity, self.tokens + accrued)
            self.refilled_at = now
        self.rate_per_s = rate_per_s

    def take(self, wanted: int) -> int:
        """Take whole tokens, at most as many as there are.

        :returns: number of tokens taken.
        """
        taken = min(wanted, math.floor(self.tokens))
        self.tokens -= taken
        return taken

    def wait_s(self, now: float, slowest_per_s: float) -> float:
        """Return the time until the next whole token.

        :param slowest_per_s: rate to assume if there is none now.
        """
        missing = max(0, 1 - self.tokens)
        rate_per_s = self.rate_per_s or slowest_per_s
        return max(0, self.refilled_at - now) + missing / rate_per_s


class Demand:
    """Requests a second, averaged with weights that decay over time.

    :param now: current time.
    """

    __slots__ = ('weight', 'updated_at')

    def __init__(self, now: float) -> None:
        """Start without demand."""
        self.weight: float = 0
        self.updated_at = now

    def add(self, now: float, count: float) -> None:
        """Count requests."""
        self.weight = self.per_s(now) * DEMAND_S + count
        self.updated_at = max(now, self.updated_at)

    def per_s(self, now: float) -> float:
        """Return the recent requests a second."""
        age_s = max(0, now - self.updated_at)
        return self.weight * math.exp(-age_s / DEMAND_S) / DEMAND_S


class TokenStock:
    """Tokens of one tenant that an entry node holds."""

    __slots__ = ('blocks',)

    def __init__(self) -> None:
        """Start without tokens."""
        # Expiry time of each token, the earliest first.
        self.blocks: deque[tuple[float, int]] = deque()

    def add(self, expires_at: float, count: int) -> None:
        """Add tokens, unless none were granted."""
        if count:
            self.blocks.append((expires_at, count))

    def take(self, now: float) -> float | None:
        """Take a token.

        :returns: expiry time of the token; ``None`` if there is none.
        """
        while self.blocks:
            expires_at, count = self.blocks.popleft()
            if expires_at <= now:
                continue
            if count > 1:
                self.blocks.appendleft((expires_at, count - 1))
            return expires_at
        return None

    def give_back(self, now: float, expires_at: float) -> None:
        """Return a token that was not used; it keeps its expiry time.

        With a later expiry time, callers that retry while targets refuse at once
        would collect tokens without bound.
        """
        if expires_at > now:
            self.blocks.appendleft((expires_at, 1))


class Reserve:
    """Tokens that an entry node may use while it does not reach the owner.

    In each period it holds the whole tokens of the rate, and one more with the
    probability of the remainder. They don't add up over periods: otherwise each of
    many nodes would save one token, and all could be used in the same window.

    :param now: current time; the first period starts empty.
    :param draw: source of random numbers from 0 to 1.
    """

    __slots__ = ('draw', 'period_ends_at', 'tokens')

    def __init__(self, now: float, draw: Callable[[], float] = random.random) -> None:
        """Start empty."""
        self.draw = draw
        self.period_ends_at = now + RESERVE_PERIOD_S
        self.tokens = 0

    def try_take(self, now: float, rate_per_s: float) -> bool:
        """Take a token.

        :param rate_per_s: this node's part of the reserve.
        :returns: whether there was one.
        """
        if now >= self.period_ends_at:
            self.period_ends_at = now + RESERVE_PERIOD_S
            expected = rate_per_s * RESERVE_PERIOD_S
            whole = math.floor(expected)
            self.tokens = whole + (self.draw() < expected - whole)
        if not self.tokens:
            return False
        self.tokens -= 1
        return True
