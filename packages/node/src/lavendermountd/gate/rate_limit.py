"""Rate limit of a target: requests a second from all nodes together.

A target in need names a limit; a cold target has another. The lower one binds.

Every request to a target passes through the gate beside it, so this one count is that
of all nodes, whichever of them come, go, freeze or are cut off. It answers the load
that a target which has become slow can still take, without filling its queue.

:units: requests; seconds on the node's monotonic clock.
"""

from __future__ import annotations

import time

# Requests that may follow each other at once, as the time in which the limit allows
# that many, and the least number of them.
BURST_S = 0.5
MIN_BURST = 1.0
# Causes of a limit.
NAMED = 'named'
COLD = 'cold'
# Rate at which a target that accepts no requests is tried, so that it can answer
# without a limit again.
MIN_RATE_PER_S = 0.5


class RateLimit:
    """Token bucket whose rate is the lowest limit in force."""

    __slots__ = ('limits', 'limit_per_s', 'tokens', 'refilled_at')

    def __init__(self) -> None:
        """Start without a limit."""
        self.limits: dict[str, float] = {}
        self.limit_per_s: float | None = None
        self.tokens: float = 0
        self.refilled_at: float = 0

    def limit_of(self, cause: str) -> float | None:
        """Return the limit of one cause; ``None`` if there is none."""
        return self.limits.get(cause)

    @property
    def is_active(self) -> bool:
        """Whether a limit is in force."""
        return self.limit_per_s is not None

    @property
    def rate_per_s(self) -> float:
        """Requests a second that may start; meaningless without a limit."""
        return max(self.limit_per_s or 0, MIN_RATE_PER_S)

    @property
    def burst(self) -> float:
        """Requests that may follow each other at once."""
        return max(MIN_BURST, self.rate_per_s * BURST_S)

    def change(self, limit_per_s: float | None, cause: str = NAMED) -> None:
        """Apply another limit; the first one starts without tokens.

        The requests that are at the target already count for them.

        :param limit_per_s: requests a second; ``None`` to lift the limit.
        :param cause: cause of the limit; the limits of other causes stay.
        """
        if self.is_active:
            self.refill()
        else:
            self.tokens = 0
            self.refilled_at = time.monotonic()
        self.limits.pop(cause, None)
        if limit_per_s is not None:
            self.limits[cause] = limit_per_s
        self.limit_per_s = min(self.limits.values(), default=None)

    def refill(self) -> None:
        """Add the tokens accrued since the last refill."""
        now = time.monotonic()
        accrued = (now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + accrued)
        self.refilled_at = now

    def has_token(self) -> bool:
        """Whether a request may start now."""
        if not self.is_active:
            return True
        self.refill()
        return self.tokens >= 1

    def take(self) -> None:
        """Count a request that starts."""
        if self.is_active:
            self.tokens -= 1

    def give_back(self) -> None:
        """Take back the count of a request that was not sent after all."""
        if self.is_active:
            self.tokens = min(self.burst, self.tokens + 1)

    def wait_s(self, request_count: int = 1) -> float:
        """Return the time until a number of further requests may have started.

        :returns: seconds; 0 without a limit.
        """
        if not self.is_active:
            return 0
        self.refill()
        return max(0, request_count - self.tokens) / self.rate_per_s
