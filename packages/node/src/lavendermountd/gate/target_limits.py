"""What limits the requests that the gate may send to its target.

These are the rate limit that the target names, its cold phase, and the evacuation
of its zone.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.queue import SlotQueue
from lavendermountd.gate.rate_limit import COLD, NAMED
from lavendermountd.gate.target import Target

log = logging.getLogger(__name__)


class TargetLimits:
    """Applies the limits to the queue in front of the target.

    :param target: the target.
    :param queue: queue in front of it.
    """

    __slots__ = ('target', 'queue', 'cold_timer', 'on_change')

    def __init__(self, target: Target, queue: SlotQueue) -> None:
        """Start without limits."""
        self.target = target
        self.queue = queue
        self.cold_timer: asyncio.TimerHandle | None = None
        # Tells senders of a change; installed by the node.
        self.on_change: Callable[[], None] = _ignore_change

    def record_named(self, limit_per_s: float | None, evidence: str) -> None:
        """Apply the rate limit that an answer of the target names.

        :param limit_per_s: requests a second; ``None`` if the answer names no limit.
        :param evidence: kind of answer.
        """
        if limit_per_s == self.queue.rate_limit.limit_of(NAMED):
            return
        self.queue.change_limit(limit_per_s, NAMED)
        log.info(
            'target-limit',
            extra={
                'instance': self.target.instance,
                'limit_per_s': limit_per_s,
                'evidence': evidence,
                'in_flight': self.queue.admission.in_flight,
            },
        )
        self.on_change()

    def apply_cold_phase(self) -> None:
        """Limit the requests of a cold target, and lift the limit once it is warm."""
        cold_phase = self.target.cold_phase
        if self.cold_timer is not None:
            self.cold_timer.cancel()
            self.cold_timer = None
        limit_per_s = cold_phase.limit_per_s
        if limit_per_s is not None:
            loop = asyncio.get_running_loop()
            self.cold_timer = loop.call_later(
                cold_phase.remaining_s, self.apply_cold_phase
            )
        if limit_per_s == self.queue.rate_limit.limit_of(COLD):
            return
        self.queue.change_limit(limit_per_s, COLD)
        log.info(
            'target-warm' if limit_per_s is None else 'target-cold',
            extra={
                'instance': self.target.instance,
                'limit_per_s': limit_per_s,
                'remaining_ms': round(cold_phase.remaining_s * MS_PER_S),
            },
        )
        self.on_change()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Close the gate while its zone is evacuated; running requests continue.

        Waiting requests are refused at once, so that they reach other zones in time.
        A target of a zone that is opened again counts as cold until it says otherwise.

        :param is_evacuated: whether the zone of the target is evacuated.
        """
        if is_evacuated == self.queue.is_evacuated:
            return
        self.queue.is_evacuated = is_evacuated
        log.info('gate-evacuated' if is_evacuated else 'gate-reopened')
        if is_evacuated:
            self.queue.refuse_waiting()
        else:
            self.target.cold_phase.begin()
            self.apply_cold_phase()
        self.on_change()


def _ignore_change() -> None:
    """Do nothing; the node installs the real callback."""
