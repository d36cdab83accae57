"""The budget of repeated work that all nodes share without speaking of it.

A service may get a number of repeats in any window: a share of the requests
for it, and a constant beside. Each node earns the share from the requests that
callers send to it, and an equal part of the constant as time passes. However
the load is spread, the sum over all nodes then stays within the budget.

:units: repeats; seconds on the node's monotonic clock.
"""

from __future__ import annotations

from lavendermount_core.config.preset import RetryOptions
from lavendermountd.routing.budgets import TokenBucket

# Room to save up what requests earn, even where there is no constant part.
MIN_BURST = 1


class RetryBudget:
    """Repeats that this node may cause, by service."""

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
        """Start without a preset; nothing may be repeated."""
        self.options: RetryOptions | None = None
        self.node_count = 1
        self.buckets: dict[str, TokenBucket] = {}
        self.rate: float = 0
        self.burst: float = 0
        self.tokens_per_request: float = 0
        self.spent = 0

    def configure(self, options: RetryOptions) -> None:
        """Take over a preset."""
        self.options = options
        self.recompute_limits()

    def share_among(self, nodes: int) -> None:
        """Take over another number of nodes.

        :param nodes: nodes that share the constant part, this one included;
            those that cannot be reached may still spend theirs and count.
        """
        if nodes != self.node_count:
            self.node_count = nodes
            self.recompute_limits()

    def recompute_limits(self) -> None:
        """Work out this node's part.

        A node that knows no other can't tell how many share the constant
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
        """Find the bucket of a service."""
        found = self.buckets.get(service)
        if found is None:
            found = TokenBucket(self.rate, self.burst)
            found.tokens = self.burst - MIN_BURST
            self.buckets[service] = found
        return found

    def earn(self, service: str) -> None:
        """Count a request of a caller."""
        self.bucket(service).earn(self.tokens_per_request)

    def try_spend(self, service: str) -> bool:
        """Spend one repeat.

        :returns: whether the budget allows it.
        """
        is_allowed = self.bucket(service).try_spend(1)
        self.spent += is_allowed
        return is_allowed
