"""When to hedge a request, that is, to send a second copy of it.

:units: seconds on the node's monotonic clock; milliseconds as the names say.

Hedging protects against VMs that become several times slower for a fraction of
a second while they process a request. A second copy at another target completes
in time if it is sent as soon as the first target reports that it is slow, or
else at the latest time at which it can still complete in time.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from lavendermount_core.config.preset import HedgeOptions
from lavendermount_core.models.calls import CallRequest
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.routing.latency import LatencyWindow

MEDIAN = 0.5


def hedge_delay_s(
    options: HedgeOptions,
    request: CallRequest,
    window: LatencyWindow,
    now: float,
) -> float | None:
    """Return how long to wait for the first copy before sending a second one.

    :param options: hedging options of the preset.
    :param request: an idempotent request.
    :param window: recent response times of its class.
    :param now: current time.
    :returns: seconds; ``None`` if hedging is off, there are too few samples or a
        hedge could not complete in time.
    """
    if not options.share:
        return None
    if options.margin_ms and request.due:
        return _delay_until_due_s(options, request, window, now)
    quantile_ms = window.quantile(options.quantile)
    return (
        None if quantile_ms is None else max(quantile_ms, options.floor_ms) / MS_PER_S
    )


def _delay_until_due_s(
    options: HedgeOptions,
    request: CallRequest,
    window: LatencyWindow,
    now: float,
) -> float | None:
    median_ms = window.quantile(MEDIAN)
    if median_ms is None:
        return None
    latest_start = request.due - (median_ms + options.margin_ms) / MS_PER_S
    delay_s = max(latest_start - now, options.floor_ms / MS_PER_S)
    is_too_late = now + delay_s + median_ms / MS_PER_S > request.due
    return None if is_too_late else delay_s


class SlowTargetNotifier:
    """Notifies pending attempts when their target becomes slow.

    The attempts that have waited longest are notified first, since the budget
    allows only a few hedges.
    """

    __slots__ = ('waiters',)

    def __init__(self) -> None:
        """Start without waiters."""
        self.waiters: dict[str, dict[asyncio.Event, None]] = defaultdict(dict)

    @contextmanager
    def watch(self, node_id: str) -> Iterator[asyncio.Event]:
        """Register a waiter for a target while the context is active.

        :param node_id: node that serves the target.
        :returns: event that is set when the target becomes slow.
        """
        slow_event = asyncio.Event()
        self.waiters[node_id][slow_event] = None
        try:
            yield slow_event
        finally:
            self.waiters[node_id].pop(slow_event, None)

    def notify(self, node_id: str) -> None:
        """Notify all waiters of a target."""
        for slow_event in tuple(self.waiters.get(node_id, ())):
            slow_event.set()
