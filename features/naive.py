"""Naive versions, written for clarity, that the real ones are compared with."""

from __future__ import annotations

import math
import random
from statistics import fmean, median
from typing import Any

from lavendermount_core.presets.records import InForce, Publish, Switch


def naive_in_force(history: list[Any]) -> tuple[int, str]:
    """Read a whole history from offset 0 and tell what is in force.

    Statements of nodes change nothing for who has read everything.

    :returns: revision and name.
    """
    revision, name = -1, ''
    for offset, record in enumerate(history):
        if isinstance(record, Switch) and record.expected == revision:
            revision, name = offset, record.name
    return revision, name


def naive_published(history: list[Any]) -> set[tuple[str, str]]:
    """List what a whole history has published."""
    return {
        (record.name, record.version)
        for record in history
        if isinstance(record, Publish)
    }


def is_true_statement(history: list[Any], record: InForce) -> bool:
    """Whether a statement says what was in force below its ``as_of``."""
    return naive_in_force(history[: record.as_of])[0] == record.revision


class NaiveAdmission:
    """Slots and queue as plain lists, looked through from the start."""

    def __init__(self, slots: int, rules: list[Any]) -> None:
        """Start empty."""
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
        mine = sum(1 for other in self.running if other.call_class == ticket.call_class)
        if mine < self.rules[ticket.call_class].reserved:
            return True
        kept = 0
        for rule in self.rules.values():
            used = sum(1 for other in self.running if other.call_class == rule.name)
            if rule.name != ticket.call_class:
                kept += max(0, rule.reserved - used)
        return self.slots - len(self.running) > min(kept, self.slots - 1)

    def first_of_each_class(self) -> list[Any]:
        """List the first waiting ticket of each class, in order of rank."""
        names = sorted(self.rules, key=lambda name: (self.rules[name].priority, name))
        firsts = []
        for name in names:
            mine = [other for other in self.waiting if other.call_class == name]
            if mine:
                firsts.append(min(mine, key=lambda other: other.deadline))
        return firsts

    def offer(self, ticket: Any) -> str:
        """Take in a ticket: ``run``, ``wait`` or ``full``."""
        blocked = any(first.is_exclusive for first in self.first_of_each_class())
        if not blocked and self.may_run(ticket):
            self.running.append(ticket)
            return 'run'
        mine = [
            other for other in self.waiting if other.call_class == ticket.call_class
        ]
        if len(mine) >= self.rules[ticket.call_class].queue_limit:
            return 'full'
        self.waiting.append(ticket)
        return 'wait'

    def release(self, ticket: Any) -> list[Any]:
        """End a ticket and start those that may run."""
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
        """Find the next ticket that may run."""
        for first in self.first_of_each_class():
            if self.may_run(first):
                return first
            if first.is_exclusive:
                return None
        return None


def naive_expected_time(situation: Any) -> str:
    """Choose by expected time, every term written out."""
    tuning = situation.tuning
    near = [seen for seen in situation.candidates if seen.distance != 3]
    far = [seen for seen in situation.candidates if seen.distance == 3]
    chooser = random.Random(situation.seed)
    sample = chooser.sample(near, min(tuning.sample, len(near)))
    if far and (situation.is_link_allowed or not near):
        sample += chooser.sample(far, min(max(1, tuning.sample // 3), len(far)))
    everyone = situation.candidates
    known = [seen.service_ms for seen in everyone if seen.service_ms]
    usual_service = median(known) if known else 5.0
    usual_failures = median([seen.failure_ratio for seen in everyone])
    usual_crowd = fmean([(s.in_flight + s.queued) / max(s.slots, 1) for s in everyone])
    best = None
    for seen in sample:
        trust = math.exp(-seen.age_ms / tuning.stale_ms)
        slots = max(seen.slots, 1)
        service = (
            trust * (seen.service_ms or 0.5 * usual_service)
            + (1 - trust) * usual_service
        )
        failures = trust * seen.failure_ratio + (1 - trust) * usual_failures
        service = max(service, 0.1)
        if seen.slowness < 4:
            service *= max(1, seen.slowness)
        if seen.oldest_ms > 8 * usual_service:
            service = max(service, seen.oldest_ms)
        fresh = math.exp(-seen.age_ms / (4 * service))
        backlog = fresh * (seen.in_flight + seen.queued)
        backlog += (1 - fresh) * usual_crowd * seen.slots
        crowd = (backlog + seen.sent_since) / slots
        waiting = max(0, crowd + 1 / slots - 1)
        time_ms = service * (1 + 0.25 * crowd + waiting)
        if seen.warm_ms < tuning.ramp_ms:
            time_ms *= 1 + 3 * (1 - seen.warm_ms / tuning.ramp_ms)
        path = {0: 0, 1: 0, 2: 2 * tuning.zone_ms, 3: 2 * tuning.region_ms}
        per_kb = {0: 0, 1: 0, 2: tuning.zone_kb_ms, 3: tuning.region_kb_ms}
        news = math.exp(-seen.age_ms / 500)
        time_ms += path[seen.distance] + per_kb[seen.distance] * situation.reply_kb
        time_ms += tuning.slow_ms * (news * (seen.slowness >= 4) + (1 - news) * 0.25)
        time_ms += failures * tuning.failure_ms
        entry = (round(time_ms, 3), seen.node_id)
        best = entry if best is None else min(best, entry)
    return best[1]
