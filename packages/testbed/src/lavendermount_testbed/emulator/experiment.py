"""One run of a scenario with one policy.

:units: seconds on the simulated clock; milliseconds in figures.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

from lavendermount_core.routing.candidates import Distance
from lavendermount_core.structure.members import Member, MemberStatus
from lavendermount_testbed.emulator.callers import Callers
from lavendermount_testbed.emulator.network import Network
from lavendermount_testbed.emulator.node import EmulatedNode, Fleet
from lavendermount_testbed.emulator.scenario import (
    BURST,
    CRASH,
    FaultOptions,
    ScenarioSchema,
    ServiceOptions,
    preset_of,
    service_name,
)
from lavendermount_testbed.emulator.tally import FAILED, IN_TIME, LATE, REFUSED, Tally
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.presets.holder import InForcePreset

ROUND_TO = 4
SEED_BITS = 32
BYTES_PER_MB = 1000000


class Experiment:
    """Plays a scenario.

    :param scenario: what is played.
    :param policy: name of the policy that chooses targets.
    :param nodes: VMs; 0 takes the scenario's number.
    :param seed: draws everything.
    """

    __slots__ = ('scenario', 'policy', 'count', 'seed', 'fleet', 'tally', 'draw')

    def __init__(
        self,
        scenario: ScenarioSchema,
        policy: str,
        nodes: int = 0,
        seed: int = 1,
    ) -> None:
        """Prepare; nothing is played yet."""
        self.scenario = scenario
        self.policy = policy
        self.count = nodes or scenario.nodes
        self.seed = seed
        self.tally = Tally()
        self.draw = random.Random(seed)
        preset = InForcePreset(preset_of(scenario, policy))
        self.fleet = Fleet(scenario, preset, Network(scenario.network))

    def run(self) -> dict[str, object]:
        """Play the scenario on simulated time.

        :returns: its figures.
        """
        level = logging.root.manager.disable
        logging.disable(logging.WARNING)
        state = random.getstate()
        random.seed(self.seed)
        try:
            with SimulatedTime() as simulated:
                simulated.run(self.play())
        finally:
            logging.disable(level)
            random.setstate(state)
        return self.figures()

    async def play(self) -> None:
        """Start the nodes, send, and wait until the last caller has left."""
        self.build_nodes()
        background = [
            asyncio.create_task(work)
            for node in self.fleet.nodes.values()
            for work in (node.watch(), node.gossip())
        ]
        background.extend(
            asyncio.create_task(self.strike(fault)) for fault in self.scenario.fault
        )
        started_at = time.monotonic()
        callers = [
            Callers(node, kind, self.tally, started_at)
            for node in self.fleet.nodes.values()
            for kind in self.scenario.call
            if kind.per_s
        ]
        await asyncio.gather(*(each.run() for each in callers))
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    def build_nodes(self) -> None:
        """Spread targets over zones and services by their shares."""
        zones = self.scenario.zone
        for number, (service, name) in enumerate(self.services()):
            zone = zones[number % len(zones)]
            member = Member(
                f'n{number:05}',
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
            seed = self.draw.getrandbits(SEED_BITS)
            node = EmulatedNode(self.fleet, member, service, seed)
            self.fleet.nodes[member.node_id] = node
            self.fleet.table.store(member)

    def services(self) -> list[tuple[ServiceOptions, str]]:
        """List the service of each VM and its name, in a shuffled order."""
        total = sum(service.share for service in self.scenario.service)
        listed: list[tuple[ServiceOptions, str]] = []
        reached: float = 0
        for service in self.scenario.service:
            reached += service.share / total * self.count
            missing = round(reached) - len(listed)
            listed.extend(
                (service, service_name(service, number % service.copies))
                for number in range(missing)
            )
        self.draw.shuffle(listed)
        return listed

    async def strike(self, fault: FaultOptions) -> None:
        """Let a fault happen to some VMs, and end."""
        if fault.kind == BURST:
            return
        await asyncio.sleep(fault.at_s)
        nodes = list(self.fleet.nodes.values())
        struck = self.draw.sample(nodes, round(fault.share * len(nodes)))
        for node in struck:
            if fault.kind == CRASH:
                node.target.crash()
            else:
                node.target.factor = fault.factor
        await asyncio.sleep(fault.for_s)
        for node in struck:
            node.target.factor = 1
            if fault.kind == CRASH:
                node.target.restart()
                node.gate.on_load_change()

    def figures(self) -> dict[str, object]:
        """Collect what callers got and what it took."""
        nodes = self.fleet.nodes.values()
        carried = self.fleet.network.carried
        tally = self.tally
        return {
            'scenario': self.scenario.name,
            'policy': self.policy,
            'nodes': self.count,
            'seed': self.seed,
            'sent': tally.sent,
            'worth': round(tally.worth(), ROUND_TO),
            'worst_seconds': round(tally.worst(), ROUND_TO),
            'served': round(tally.share_of(IN_TIME, LATE), ROUND_TO),
            'in_time': round(tally.share_of(IN_TIME), ROUND_TO),
            'refused': round(tally.share_of(REFUSED), ROUND_TO),
            'failed': round(tally.share_of(FAILED), ROUND_TO),
            'decisions': sum(node.recorder.recorded for node in nodes),
            'retries': sum(node.router.retries.spent for node in nodes),
            'region_mb': round(carried[Distance.OTHER_REGION] / BYTES_PER_MB, 2),
            'zone_mb': round(carried[Distance.SAME_REGION] / BYTES_PER_MB, 2),
            'classes': tally.classes(),
            'seconds': [round(share, ROUND_TO) for share in tally.seconds()],
        }
