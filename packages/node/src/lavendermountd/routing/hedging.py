"""When a second copy of repeatable work is worth sending.

:units: seconds on the node's monotonic clock; milliseconds as the names say.

Load this answers: targets whose VM becomes several times slower for a fraction
of a second while a request is at work there. A second copy elsewhere is
answered in time if it is sent at once when the target says that it is slow, or
else at the latest moment at which it can still be in time.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from lavendermount_core.config.preset import HedgeOptions
from lavendermount_core.structure.calls import CallRequest
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.routing.latency import LatencyWindow

MEDIAN = 0.5


def hedge_delay_s(
    options: HedgeOptions,
    request: CallRequest,
    window: LatencyWindow,
    now: float,
) -> float | None:
    """Time to wait for the first copy before a second one is sent.

    :param options: numbers from the preset.
    :param request: repeatable work.
    :param window: recent answer times of its class.
    :param now: the present.
    :returns: seconds, or ``None`` if a second copy is never worth it.
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
    """Wakes those who wait for a target when it becomes slow.

    Those who have waited longest are woken first: hedges are few.
    """

    __slots__ = ('waiters',)

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.waiters: dict[str, dict[asyncio.Event, None]] = defaultdict(dict)

    @contextmanager
    def watch(self, node_id: str) -> Iterator[asyncio.Event]:
        """Wait for a target.

        :param node_id: node beside the target.
        :returns: set when the target becomes slow.
        """
        slow_event = asyncio.Event()
        self.waiters[node_id][slow_event] = None
        try:
            yield slow_event
        finally:
            self.waiters[node_id].pop(slow_event, None)

    def notify(self, node_id: str) -> None:
        """Wake all who wait for a target."""
        for slow_event in tuple(self.waiters.get(node_id, ())):
            slow_event.set()
