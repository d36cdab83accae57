"""One simulation of a scenario with one policy.

:units: seconds on the simulated clock; milliseconds in results.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_core.routing.candidates import Distance
from lavendermount_testbed.emulator.callers import CallerGroup
from lavendermount_testbed.emulator.network import Network
from lavendermount_testbed.emulator.node import EmulatedNode, Fleet
from lavendermount_testbed.emulator.outcome_stats import (
    FAILED,
    IN_TIME,
    LATE,
    REFUSED,
    OutcomeStats,
)
from lavendermount_testbed.emulator.scenario import (
    BURST,
    CRASH,
    FaultOptions,
    ScenarioSchema,
    ServiceOptions,
    build_preset,
    service_name,
)
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.presets.holder import compile_preset

ROUND_DIGITS = 4
SEED_BITS = 32
BYTES_PER_MB = 1000000


class Experiment:
    """Simulates a scenario with one policy.

    :param scenario: scenario to simulate.
    :param policy: name of the policy that chooses targets.
    :param nodes: number of VMs; 0 uses the scenario's number.
    :param seed: seed of all random numbers.
    """

    __slots__ = ('scenario', 'policy', 'node_count', 'seed', 'fleet', 'stats', 'rng')

    def __init__(
        self,
        scenario: ScenarioSchema,
        policy: str,
        nodes: int = 0,
        seed: int = 1,
    ) -> None:
        """Prepare the simulation without starting it."""
        self.scenario = scenario
        self.policy = policy
        self.node_count = nodes or scenario.nodes
        self.seed = seed
        self.stats = OutcomeStats()
        self.rng = random.Random(seed)
        preset = compile_preset(build_preset(scenario, policy))
        self.fleet = Fleet(scenario, preset, Network(scenario.network))

    def run(self) -> dict[str, object]:
        """Run the scenario on simulated time.

        Warnings and lower log levels are disabled meanwhile; the state of the global
        random generator is restored afterwards.

        :returns: the results by name.
        """
        disabled_level = logging.root.manager.disable
        logging.disable(logging.WARNING)
        random_state = random.getstate()
        random.seed(self.seed)
        try:
            with SimulatedTime() as simulated_time:
                simulated_time.run(self.simulate())
        finally:
            logging.disable(disabled_level)
            random.setstate(random_state)
        return self.collect_results()

    async def simulate(self) -> None:
        """Start the nodes, generate the load and wait for the last outcome."""
        self.build_nodes()
        background = [
            asyncio.create_task(coroutine)
            for node in self.fleet.nodes.values()
            for coroutine in (node.probe_target(), node.gossip())
        ]
        background.extend(
            asyncio.create_task(self.inject_fault(fault))
            for fault in self.scenario.fault
        )
        started_at = time.monotonic()
        callers = [
            CallerGroup(node, call_type, self.stats, started_at)
            for node in self.fleet.nodes.values()
            for call_type in self.scenario.call
            if call_type.per_s
        ]
        await asyncio.gather(*(group.run() for group in callers))
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    def build_nodes(self) -> None:
        """Create the nodes; services are assigned by share, zones in turn."""
        zones = self.scenario.zone
        for index, (service, name) in enumerate(self.assign_services()):
            zone = zones[index % len(zones)]
            member = Member(
                f'n{index:05}',
                1,
                0,
                MemberStatus.ALIVE,
                name,
                zone.region,
                zone.name,
                '',
                0,
                0,
            )
            seed = self.rng.getrandbits(SEED_BITS)
            node = EmulatedNode(self.fleet, member, service, seed)
            self.fleet.nodes[member.node_id] = node
            self.fleet.table.store(member)

    def assign_services(self) -> list[tuple[ServiceOptions, str]]:
        """Return the service of each VM and the name of its copy, in random order."""
        total_share = sum(service.share for service in self.scenario.service)
        assigned: list[tuple[ServiceOptions, str]] = []
        cumulative_count: float = 0
        for service in self.scenario.service:
            cumulative_count += service.share / total_share * self.node_count
            added_count = round(cumulative_count) - len(assigned)
            assigned.extend(
                (service, service_name(service, index % service.copies))
                for index in range(added_count)
            )
        self.rng.shuffle(assigned)
        return assigned

    async def inject_fault(self, fault: FaultOptions) -> None:
        """Apply a fault to randomly chosen VMs and revert it when it ends.

        Bursts are skipped here: ``CallerGroup.current_rate`` applies them.
        """
        if fault.kind == BURST:
            return
        await asyncio.sleep(fault.at_s)
        nodes = list(self.fleet.nodes.values())
        affected = self.rng.sample(nodes, round(fault.share * len(nodes)))
        for node in affected:
            if fault.kind == CRASH:
                node.target.crash()
            else:
                node.target.slowdown = fault.factor
        await asyncio.sleep(fault.for_s)
        for node in affected:
            node.target.slowdown = 1
            if fault.kind == CRASH:
                node.target.restart()
                node.gate.on_load_change()

    def collect_results(self) -> dict[str, object]:
        """Collect the outcomes that callers saw and the resources used."""
        nodes = self.fleet.nodes.values()
        bytes_sent = self.fleet.network.bytes_sent
        stats = self.stats
        return {
            'scenario': self.scenario.name,
            'policy': self.policy,
            'nodes': self.node_count,
            'seed': self.seed,
            'sent': stats.sent,
            'worth': round(stats.worth_share(), ROUND_DIGITS),
            'worst_seconds': round(stats.worst_seconds_share(), ROUND_DIGITS),
            'served': round(stats.outcome_share(IN_TIME, LATE), ROUND_DIGITS),
            'in_time': round(stats.outcome_share(IN_TIME), ROUND_DIGITS),
            'refused': round(stats.outcome_share(REFUSED), ROUND_DIGITS),
            'failed': round(stats.outcome_share(FAILED), ROUND_DIGITS),
            'decisions': sum(node.recorder.recorded for node in nodes),
            'retries': sum(node.router.retry_budget.spent for node in nodes),
            'region_mb': round(bytes_sent[Distance.OTHER_REGION] / BYTES_PER_MB, 2),
            'zone_mb': round(bytes_sent[Distance.SAME_REGION] / BYTES_PER_MB, 2),
            'classes': stats.results_by_call_type(),
            'seconds': [
                round(share, ROUND_DIGITS) for share in stats.worth_share_by_second()
            ],
        }
