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

TYPICAL = 0.5


def hedge_wait_s(
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
        return _wait_until_due_s(options, request, window, now)
    learned = window.quantile(options.quantile)
    return None if learned is None else max(learned, options.floor_ms) / MS_PER_S


def _wait_until_due_s(
    options: HedgeOptions,
    request: CallRequest,
    window: LatencyWindow,
    now: float,
) -> float | None:
    typical_ms = window.quantile(TYPICAL)
    if typical_ms is None:
        return None
    latest = request.due - (typical_ms + options.margin_ms) / MS_PER_S
    wait_s = max(latest - now, options.floor_ms / MS_PER_S)
    is_late = now + wait_s + typical_ms / MS_PER_S > request.due
    return None if is_late else wait_s


class SlowAlarms:
    """Wakes those who wait for a target when it becomes slow.

    Those who have waited longest are woken first: hedges are few.
    """

    __slots__ = ('waiting',)

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.waiting: dict[str, dict[asyncio.Event, None]] = defaultdict(dict)

    @contextmanager
    def watch(self, node_id: str) -> Iterator[asyncio.Event]:
        """Wait for a target.

        :param node_id: node beside the target.
        :returns: set when the target becomes slow.
        """
        alarm = asyncio.Event()
        self.waiting[node_id][alarm] = None
        try:
            yield alarm
        finally:
            self.waiting[node_id].pop(alarm, None)

    def ring(self, node_id: str) -> None:
        """Wake all who wait for a target."""
        for alarm in tuple(self.waiting.get(node_id, ())):
            alarm.set()
