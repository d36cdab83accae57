"""Gauges that are read from the node's components on each scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavendermountd.memory import BodyKind
from lavendermountd.metrics import label_text
from lavendermountd.traffic_meter import DISTANCE_LABELS

if TYPE_CHECKING:
    from lavendermountd.node import Node

# Characters of a reason that its label shows.
REASON_CHARACTERS = 200


def refresh_metrics(node: Node) -> None:
    """Set the gauges to the node's current values."""
    for (kind, is_paid), size in node.budget.by_kind.items():
        link = 'paid' if is_paid else 'local'
        node.metrics.measuring_bytes.set({'kind': kind, 'link': link}, size)
    node.metrics.measuring_budget.set({'link': 'local'}, node.budget.local.rate)
    node.metrics.measuring_budget.set({'link': 'paid'}, node.budget.paid.rate)
    for (kind, distance), size in node.gossip.meter.sent.items():
        labels = {'kind': kind, 'distance': DISTANCE_LABELS[distance]}
        node.metrics.sent_bytes.set(labels, size)
    for name, count in node.selector.excluded_counts.items():
        node.metrics.excluded.set({'constraint': name}, count)
    refresh_memory(node)
    refresh_refused_presets(node)
    for name, amount in read_state(node).items():
        node.metrics.state.set({'name': name}, amount)


def refresh_memory(node: Node) -> None:
    """Set the gauges of the memory for bodies."""
    memory = node.gate.client.memory
    for name, size in (
        ('budget', memory.capacity_bytes),
        ('held', memory.held_bytes),
        ('peak', memory.peak_bytes),
    ):
        node.metrics.body_memory.set({'name': name}, size)
    for kind in BodyKind:
        node.metrics.refused_bodies.set({'kind': str(kind)}, memory.refused[kind])


def refresh_refused_presets(node: Node) -> None:
    """Set the gauge of refused presets; those that are not refused have no sample."""
    gauge = node.metrics.refused_presets
    gauge.values.clear()
    for source, refused in node.holder.refusals.by_source.items():
        reason = label_text(refused.reason[:REASON_CHARACTERS])
        gauge.set({'source': source, 'reason': reason}, round(refused.age_s, 1))


def read_state(node: Node) -> dict[str, float]:
    """Collect the values of the node state gauge, by name."""
    current = node.holder.current
    return {
        'in_flight': node.gate.admission.in_flight,
        'queued': node.gate.admission.queued,
        'revision': node.holder.revision,
        'presets_refused': len(node.holder.refusals.by_source),
        'adjustments': len(current.adjustments) if current else 0,
        'members': len(node.table.members),
        'decisions': node.recorder.recorded,
        'decisions_dropped': node.recorder.dropped,
        'log_reachable': int(node.follower.reachability.is_reachable),
        'log_answer_age_s': round(node.follower.reachability.answer_age_s(), 1),
        'retries': node.router.retry_budget.spent,
        'hedges': node.router.hedge_bucket.spent,
        'freezes': node.freeze_guard.freezes,
        'suspects': len(node.gate.suspects.suspects),
        'evacuated_zones': len(node.evacuations.evacuated),
        **node.allotments.state(),
        'cold_remaining_s': round(node.gate.target.cold_phase.remaining_s, 1),
    }
