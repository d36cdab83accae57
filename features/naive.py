"""Naive implementations that the tests compare the real ones with.

They are written for clarity, not for speed.
"""

from __future__ import annotations

import math
import random
from statistics import fmean, median
from typing import Any

from lavendermount_core.presets.records import PresetSnapshot, Publish, Switch


def naive_in_force(history: list[Any]) -> tuple[int, str]:
    """Read a whole history from offset 0 and find the preset in force.

    ``PresetSnapshot`` records are ignored: they add nothing to the switches that a
    full read sees.

    :returns: revision and name.
    """
    revision, name = -1, ''
    for offset, record in enumerate(history):
        if isinstance(record, Switch) and record.expected == revision:
            revision, name = offset, record.name
    return revision, name


def naive_published(history: list[Any]) -> set[tuple[str, str]]:
    """List the presets that a whole history published."""
    return {
        (record.name, record.version)
        for record in history
        if isinstance(record, Publish)
    }


def is_true_snapshot(history: list[Any], record: PresetSnapshot) -> bool:
    """Whether a snapshot has the revision in force after all records below ``as_of``."""
    return naive_in_force(history[: record.as_of])[0] == record.revision


class NaiveAdmission:
    """Admission with the running and waiting tickets in plain lists."""

    def __init__(self, slots: int, rules: list[Any]) -> None:
        """Start without any ticket."""
        self.slots = slots
        self.rules = {rule.name: rule for rule in rules}
        self.running: list[Any] = []
        self.waiting: list[Any] = []

    def may_run(self, ticket: Any) -> bool:
        """Whether a ticket may take a slot now."""
        if any(other.is_exclusive for other in self.running):
            return False
        if ticket.is_exclusive:
            return not self.running
        if len(self.running) >= self.slots:
            return False
        same_class = sum(
            1 for other in self.running if other.call_class == ticket.call_class
        )
        if same_class < self.rules[ticket.call_class].reserved:
            return True
        held_back = 0
        for rule in self.rules.values():
            used = sum(1 for other in self.running if other.call_class == rule.name)
            if rule.name != ticket.call_class:
                held_back += max(0, rule.reserved - used)
        return self.slots - len(self.running) > min(held_back, self.slots - 1)

    def first_of_each_class(self) -> list[Any]:
        """List the waiting ticket with the earliest deadline for each class.

        The list is ordered by the priority and name of the class.
        """
        names = sorted(self.rules, key=lambda name: (self.rules[name].priority, name))
        heads = []
        for name in names:
            same_class = [other for other in self.waiting if other.call_class == name]
            if same_class:
                heads.append(min(same_class, key=lambda other: other.deadline))
        return heads

    def offer(self, ticket: Any) -> str:
        """Offer a ticket.

        :returns: ``run``, ``wait`` or ``full``.
        """
        blocked = any(first.is_exclusive for first in self.first_of_each_class())
        if not blocked and self.may_run(ticket):
            self.running.append(ticket)
            return 'run'
        same_class = [
            other for other in self.waiting if other.call_class == ticket.call_class
        ]
        if len(same_class) >= self.rules[ticket.call_class].queue_limit:
            return 'full'
        self.waiting.append(ticket)
        return 'wait'

    def release(self, ticket: Any) -> list[Any]:
        """Release a ticket and start the waiting ones that may run.

        :returns: the tickets that were started, in order.
        """
        self.running.remove(ticket)
        started = []
        while True:
            ready = self.next_ready()
            if ready is None:
                return started
            self.waiting.remove(ready)
            self.running.append(ready)
            started.append(ready)

    def next_ready(self) -> Any:
        """Find the next waiting ticket that may run.

        An exclusive ticket blocks those after it until it can run.
        """
        for first in self.first_of_each_class():
            if self.may_run(first):
                return first
            if first.is_exclusive:
                return None
        return None


def naive_sample(inputs: Any, near: list[Any], far: list[Any]) -> list[Any]:
    """Draw the targets to compare: the own zone first if leaving it has a cost."""
    tuning = inputs.tuning
    rng = random.Random(inputs.seed)
    first, others = near, []
    if tuning.zone_cost_ms:
        first = [candidate for candidate in near if candidate.distance < 2]
        others = [candidate for candidate in near if candidate.distance == 2]
    sample = rng.sample(first, min(tuning.sample, len(first)))
    if tuning.zone_cost_ms:
        size = max(1, tuning.sample // 2) if first else tuning.sample
        sample += rng.sample(others, min(size, len(others)))
    if far and (inputs.is_link_allowed or not near):
        size = tuning.sample if inputs.is_abroad else max(1, tuning.sample // 3)
        sample += rng.sample(far, min(size, len(far)))
    return sample


def naive_zone_cost(tuning: Any, sample: list[Any]) -> float:
    """Charge for leaving the zone only while a target there has a free slot."""
    for candidate in sample:
        pending = candidate.in_flight + candidate.queued + candidate.sent_since
        is_free = pending < candidate.slots and candidate.slowness < 4
        if candidate.distance < 2 and is_free:
            return tuning.zone_cost_ms
    return 0


def naive_expected_time(inputs: Any) -> str:
    """Choose the target with the least expected time, every term written out."""
    tuning = inputs.tuning
    near = [candidate for candidate in inputs.candidates if candidate.distance != 3]
    far = [candidate for candidate in inputs.candidates if candidate.distance == 3]
    sample = naive_sample(inputs, near, far)
    candidates = inputs.candidates
    known = [candidate.service_ms for candidate in candidates if candidate.service_ms]
    typical_service_ms = median(known) if known else 5.0
    typical_failures = median([candidate.failure_ratio for candidate in candidates])
    typical_load = fmean(
        [(s.in_flight + s.queued) / max(s.slots, 1) for s in candidates]
    )
    zone_cost_ms = naive_zone_cost(tuning, sample)
    best = None
    for candidate in sample:
        confidence = math.exp(-candidate.age_ms / tuning.stale_ms)
        slots = max(candidate.slots, 1)
        service_ms = (
            confidence * (candidate.service_ms or 0.5 * typical_service_ms)
            + (1 - confidence) * typical_service_ms
        )
        failures = (
            confidence * candidate.failure_ratio + (1 - confidence) * typical_failures
        )
        service_ms = max(service_ms, 0.1)
        if candidate.slowness < 4:
            service_ms *= max(1, candidate.slowness)
        if candidate.oldest_ms > 8 * typical_service_ms:
            service_ms = max(service_ms, candidate.oldest_ms)
        backlog_confidence = math.exp(-candidate.age_ms / (4 * service_ms))
        backlog = backlog_confidence * (candidate.in_flight + candidate.queued)
        backlog += (1 - backlog_confidence) * typical_load * candidate.slots
        load = (backlog + candidate.sent_since) / slots
        waiting = max(0, load + 1 / slots - 1)
        time_ms = service_ms * (1 + 0.25 * load + waiting)
        if candidate.warm_ms < tuning.ramp_ms:
            time_ms *= 1 + 3 * (1 - candidate.warm_ms / tuning.ramp_ms)
        network_ms = {0: 0, 1: 0, 2: 2 * tuning.zone_ms, 3: 2 * tuning.region_ms}
        per_kb_ms = {0: 0, 1: 0, 2: tuning.zone_kb_ms, 3: tuning.region_kb_ms}
        freshness = math.exp(-candidate.age_ms / 500)
        time_ms += (
            network_ms[candidate.distance]
            + per_kb_ms[candidate.distance] * inputs.reply_kb
            + zone_cost_ms * (candidate.distance > 1)
        )
        time_ms += tuning.slow_ms * (
            freshness * (candidate.slowness >= 4) + (1 - freshness) * 0.25
        )
        time_ms += failures * tuning.failure_ms
        if candidate.limit_per_s:
            passed_ms = min(candidate.age_ms, candidate.limit_wait_ms)
            time_ms += candidate.limit_wait_ms - passed_ms
            time_ms += candidate.sent_since / candidate.limit_per_s * 1000
        scored = (round(time_ms, 3), candidate.node_id)
        best = scored if best is None else min(best, scored)
    return best[1]
