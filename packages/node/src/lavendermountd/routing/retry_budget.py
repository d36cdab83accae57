"""Retry budget that all nodes share without communicating about it.

The budget of a service in any window is a fraction of its requests plus a
constant. Each node earns the fraction from the requests that it receives from
callers, and an equal part of the constant as time passes. The sum over all
nodes therefore stays within the budget however the load is distributed.

:units: retries and hedges; seconds on the node's monotonic clock.
"""

from __future__ import annotations

from lavendermount_core.config.preset import RetryOptions
from lavendermountd.routing.budgets import TokenBucket

# Capacity for the tokens that requests earn, even without a constant part.
MIN_BURST = 1


class RetryBudget:
    """Limits the retries and hedges that this node may send, by service."""

    __slots__ = (
        'options',
        'node_count',
        'buckets',
        'rate',
        'burst',
        'tokens_per_request',
        'spent',
    )

    def __init__(self) -> None:
        """Start without a preset; no retry is allowed."""
        self.options: RetryOptions | None = None
        self.node_count = 1
        self.buckets: dict[str, TokenBucket] = {}
        self.rate: float = 0
        self.burst: float = 0
        self.tokens_per_request: float = 0
        self.spent = 0

    def configure(self, options: RetryOptions) -> None:
        """Apply the retry options of a preset."""
        self.options = options
        self.recompute_limits()

    def update_node_count(self, nodes: int) -> None:
        """Set the number of nodes that share the budget.

        :param nodes: number of nodes that share the constant part, including
            this one; unreachable nodes count too, since they may still spend
            their part.
        """
        if nodes != self.node_count:
            self.node_count = nodes
            self.recompute_limits()

    def recompute_limits(self) -> None:
        """Recompute this node's part of the budget.

        A node that knows no other can't tell how many nodes share the constant
        part, and takes none of it.
        """
        options = self.options
        if options is None:
            return
        node_share = 1 / self.node_count if self.node_count > 1 else 0
        self.tokens_per_request = options.share
        self.rate = options.shared_per_s * node_share
        self.burst = options.burst + MIN_BURST + options.shared_burst * node_share
        for bucket in self.buckets.values():
            bucket.configure(self.rate, self.burst)

    def bucket(self, service: str) -> TokenBucket:
        """Return the bucket of a service; create it on first use."""
        found = self.buckets.get(service)
        if found is None:
            found = TokenBucket(self.rate, self.burst)
            found.tokens = self.burst - MIN_BURST
            self.buckets[service] = found
        return found

    def earn(self, service: str) -> None:
        """Add the tokens that a caller's request earns."""
        self.bucket(service).earn(self.tokens_per_request)

    def try_spend(self, service: str) -> bool:
        """Spend one token on a retry or hedge.

        :returns: whether the budget allows it.
        """
        is_allowed = self.bucket(service).try_spend(1)
        self.spent += is_allowed
        return is_allowed
