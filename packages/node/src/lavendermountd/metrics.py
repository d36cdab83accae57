"""Prometheus metrics of the node.

:units: seconds, bytes and counts, as the metric names say.
:source: ``aioprometheus``.
"""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from returns.result import Success

from lavendermount_core.models.calls import CallClass
from lavendermountd.gate.attempts import AttemptResult

CALL_SECONDS_BUCKETS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
)
MAX_TENANTS = 1000
OTHER_TENANT = 'other'
# The library does not escape these characters in labels.
LABEL_CHARACTERS = str.maketrans({'"': "'", '\\': '/', '\n': ' '})


def label_text(text: str) -> str:
    """Return a text without the characters that would end a label."""
    return text.translate(LABEL_CHARACTERS)


class NodeMetrics:
    """All metrics of one node, in a separate registry."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = Registry()
        self.tenants: set[str] = set()
        self.calls = Histogram(
            'lavendermount_call_seconds',
            'Time to the final answer, by service, class, tenant and outcome.',
            registry=self.registry,
            buckets=list(CALL_SECONDS_BUCKETS),
        )
        self.preset_stages = Histogram(
            'lavendermount_preset_seconds',
            'Time of each stage until a preset is in force: receive, decode and apply.',
            registry=self.registry,
            buckets=list(CALL_SECONDS_BUCKETS),
        )
        self.restarts = Counter(
            'lavendermount_task_restarts_total',
            'Tasks restarted by their supervisor.',
            registry=self.registry,
        )
        self.closed_connections = Counter(
            'lavendermount_closed_connections_total',
            'Connections of callers that have ended, by cause.',
            registry=self.registry,
        )
        self.unanswered_requests = Counter(
            'lavendermount_unanswered_requests_total',
            'Requests whose connection ended before their reply, by cause.',
            registry=self.registry,
        )
        self.loop_lag = Histogram(
            'lavendermount_event_loop_lag_seconds',
            'Time by which periodic ticks were late because the event loop was busy.',
            registry=self.registry,
            buckets=list(CALL_SECONDS_BUCKETS),
        )
        self.measuring_bytes = Gauge(
            'lavendermount_measuring_bytes',
            'Bytes spent on measuring, by kind and link.',
            registry=self.registry,
        )
        self.measuring_budget = Gauge(
            'lavendermount_measuring_budget_bytes_per_second',
            'Bytes that measuring may cost, by link.',
            registry=self.registry,
        )
        self.sent_bytes = Gauge(
            'lavendermount_sent_bytes',
            'Bytes sent to other nodes, by kind of message and distance.',
            registry=self.registry,
        )
        self.excluded = Gauge(
            'lavendermount_excluded_targets',
            'Targets that constraints excluded from selections, by constraint.',
            registry=self.registry,
        )
        self.body_memory = Gauge(
            'lavendermount_body_memory_bytes',
            'Memory for large bodies: budget, held now and the most ever held.',
            registry=self.registry,
        )
        self.refused_bodies = Gauge(
            'lavendermount_refused_bodies',
            'Bodies for which there was no memory, by kind.',
            registry=self.registry,
        )
        self.refused_presets = Gauge(
            'lavendermount_refused_preset_age_seconds',
            'Time since a preset was refused that is not in force, by source.',
            registry=self.registry,
        )
        self.state = Gauge(
            'lavendermount_node_state',
            'What the node holds, by name.',
            registry=self.registry,
        )

    def observe_call(
        self,
        call_class: CallClass,
        seconds: float,
        outcome: AttemptResult,
    ) -> None:
        """Record one answered request.

        :param seconds: time from the receipt of the complete request to the reply.
        """
        label = 'whole'
        if not isinstance(outcome, Success):
            label = outcome.failure().outcome
        labels = {
            'service': label_text(call_class.service),
            'class': label_text(call_class.name),
            'tenant': label_text(self.tenant_label(call_class.tenant)),
            'outcome': label,
        }
        self.calls.observe(labels, seconds)

    def observe_preset_stage(self, stage: str, seconds: float) -> None:
        """Record how long a stage of putting a preset in force took."""
        self.preset_stages.observe({'stage': str(stage)}, seconds)

    def count_closed_connection(self, cause: str, unanswered_count: int) -> None:
        """Count a connection of a caller that has ended.

        :param unanswered_count: its requests that got no reply.
        """
        labels = {'cause': str(cause)}
        self.closed_connections.inc(labels)
        if unanswered_count:
            self.unanswered_requests.add(labels, unanswered_count)

    def observe_loop_lag(self, lag_s: float) -> None:
        """Record by how much a tick of the event loop was late."""
        self.loop_lag.observe({}, max(0, lag_s))

    def tenant_label(self, tenant: str) -> str:
        """Return the label of a tenant; ``OTHER_TENANT`` beyond ``MAX_TENANTS``."""
        if tenant in self.tenants:
            return tenant
        if len(self.tenants) >= MAX_TENANTS:
            return OTHER_TENANT
        self.tenants.add(tenant)
        return tenant

    def count_restart(self, path: str) -> None:
        """Count a task restarted by its supervisor."""
        self.restarts.inc({'task': path})
