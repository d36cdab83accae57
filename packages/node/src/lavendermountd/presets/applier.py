"""Applies the values of a preset to the components of the node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavendermount_core.config.preset import ALONE, LimitOptions, PresetSchema
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.admission import ClassRule
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.routing.load_view import NEVER_S

if TYPE_CHECKING:
    from lavendermountd.node import Node

CLOSED_EXPIRY_S = 3.0


class PresetApplier:
    """Configures the node with each preset that is put in force.

    :param node: node whose components are configured.
    """

    __slots__ = ('node',)

    def __init__(self, node: Node) -> None:
        """Store the node."""
        self.node = node

    def apply(self, preset: InForcePreset) -> None:
        """Configure all components with a new preset."""
        self.apply_to_gate(preset)
        self.apply_limits(preset.schema.limits)
        self.node.router.configure(preset)
        self.apply_budgets(preset.schema)
        self.node.allotments.configure(preset.schema)

    def apply_to_gate(self, preset: InForcePreset) -> None:
        """Configure the gate and the health checks of the target.

        The connection limit of the service that runs on the VM takes precedence
        over the general one.
        """
        node = self.node
        gate = node.gate
        schema = preset.schema
        rules = [ClassRule.from_options(entry) for entry in schema.class_]
        gate.admission.replace_rules(rules)
        gate.queue.tickets.has_tenants = bool(schema.tenant)
        gate.queue.set_order(schema.overload.order)
        gate.client.max_connections = schema.limits.connections
        service = preset.services.get(node.settings.origin)
        if service is not None:
            gate.client.max_connections = (
                service.connections or schema.limits.connections
            )
            node.target_monitor.health_path = service.health_path
            gate.target.cold_phase.configure(
                service.cold_per_s, service.warmup_ms / MS_PER_S
            )
            gate.limits.apply_cold_phase()
        node.peer_server.is_zone_local = schema.choosing.zone_cost_ratio > 0
        node.gossip.is_zone_local = schema.choosing.zone_cost_ratio > 0
        node.gossip.exchange.is_zone_local = schema.choosing.zone_cost_ratio > 0
        # Reports of other zones are rare there, so a target may have opened again.
        node.view.closed_expiry_s = (
            CLOSED_EXPIRY_S if schema.choosing.zone_cost_ratio else NEVER_S
        )
        node.target_monitor.probe_s = schema.choosing.probe_ms / MS_PER_S
        gate.suspects.configure(
            schema.suspects.victims,
            schema.suspects.isolation == ALONE,
        )

    def apply_limits(self, limits: LimitOptions) -> None:
        """Configure body sizes, silence timeouts and caller limits."""
        node = self.node
        silence_timeout_s = limits.silent_ms / MS_PER_S
        node.gate.client.silence_timeout_s = silence_timeout_s
        node.links.silence_timeout_s = silence_timeout_s
        node.gate.client.max_body = limits.reply_bytes
        node.service.apply_limits(limits)

    def apply_budgets(self, schema: PresetSchema) -> None:
        """Configure the bandwidth budgets for measuring and inter-region links."""
        node = self.node
        budget = schema.budget
        node.budget.local.configure(
            budget.local_bytes_s,
            budget.local_bytes_s * budget.burst_s,
        )
        node.budget.paid.configure(
            budget.paid_bytes_s,
            budget.paid_bytes_s * budget.burst_s,
        )
        link_rate = schema.choosing.link_bytes_s
        node.link_bucket.configure(link_rate, link_rate)
        # ``configure`` adds no tokens, so the bucket is filled here.
        node.link_bucket.earn(link_rate)
