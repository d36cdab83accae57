"""How long a preset takes to reach each node of a deployment, on simulated time.

The nodes are real ones in one process; only the control calls between them, the log and
the time that a preset takes to prepare are simulated.

:units: seconds of simulated time; bytes as encoded, without those of the transport.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from ipaddress import ip_address
from itertools import repeat
from statistics import median
from typing import Any, Final
from unittest.mock import patch

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.presets.checked import CheckedPreset, check_steps
from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_core.utils.registry import Registry
from lavendermount_core.utils.steps import Steps
from lavendermount_testbed.emulator.control_network import (
    SimulatedNetwork,
    control_address,
)
from lavendermount_testbed.emulator.simulated_log import (
    KEY,
    SimulatedLog,
    StoredRecords,
)
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.node import Node
from lavendermountd.presets.decoders import preset_decoders
from lavendermountd.presets.holder import InForcePreset, compile_preset
from lavendermountd.presets.reader_selection import is_log_reader
from lavendermountd.slices import run_in_slices
from lavendermountd.supervisor_tree import NodeTree

REGIONS: Final = ('accra', 'kumasi')
ZONES_PER_REGION: Final = 2
READERS_PER_ZONE: Final = 2
WARM_UP_S: Final = 3
# Time in which the nodes open connections to most others of their zones.
CONNECTING_S: Final = 30
# A node counts as undisturbed this long after its connections fell silent.
SILENT_FOR_S: Final = 4
LIMIT_S: Final = 12
# Longest time from the loss of the log to the change.
MAX_CUT_S: Final = 3
STEP_S: Final = 0.05
# A preset is checked and compiled, each in a run of slices.
STAGES: Final = 2
FIRST_REVISION: Final = 1
FIRST_HOST: Final = ip_address('10.0.0.1')
SPREADING_TASKS: Final = ('gossip', 'preset-catch-up', 'preset-announcer')
FOLLOWER_TASK: Final = 'preset-follower'
DECODER: Final = 'simulated'
PRESET_TEXT: Final = """name = "p"
[choosing]
zone_cost_ratio = 0.25
[budget]
local_bytes_s = 100000
[[class]]
name = "c"
[[route]]
service = "s"
class = "c"
"""

NodeTasks = list[asyncio.Task[None]]
Loss = Callable[['SimulatedDeployment'], list[Node]]
losses: Registry[str, Loss] = Registry('loss of nodes')
cuts: Registry[str, Loss] = Registry('cut from the log')


class SpreadScenario:
    """What is simulated.

    :param nodes: number of nodes.
    :param loss: name of the way in which nodes are lost.
    :param dead_ratio: share of the nodes that are lost just before the change.
    :param is_refused: whether calls to lost nodes fail at once instead of never.
    :param prepare_s: time in which a node prepares a preset.
    :param has_log: whether the nodes read the log, and the preset is written there.
        Otherwise the nodes that would read it have the preset at once.
    :param silent_ratio: share of the nodes whose connections have fallen silent
        ``SILENT_FOR_S`` before the change; new ones work.
    :param lost_calls: share of the calls that get no answer.
    :param loss_after_s: how long after the change nodes are lost.
    :param cut: name of the way in which nodes lose the log alone, up to
        ``MAX_CUT_S`` before the change; empty if none does.
    """

    __slots__ = (
        'nodes',
        'loss',
        'dead_ratio',
        'is_refused',
        'prepare_s',
        'has_log',
        'silent_ratio',
        'lost_calls',
        'loss_after_s',
        'cut',
    )

    def __init__(
        self,
        nodes: int = 56,
        loss: str = 'random',
        dead_ratio: float = 0.55,
        is_refused: bool = False,
        prepare_s: float = 0.2,
        has_log: bool = False,
        silent_ratio: float = 0,
        lost_calls: float = 0,
        loss_after_s: float = 0,
        cut: str = '',
    ) -> None:
        """Initialize the fields."""
        self.nodes = nodes
        self.loss = loss
        self.dead_ratio = dead_ratio
        self.is_refused = is_refused
        self.prepare_s = prepare_s
        self.has_log = has_log
        self.silent_ratio = silent_ratio
        self.lost_calls = lost_calls
        self.loss_after_s = loss_after_s
        self.cut = cut

    @property
    def dead_count(self) -> int:
        """Number of nodes that are lost."""
        return int(self.dead_ratio * self.nodes)


class SpreadResult:
    """What one run has shown.

    :param delays: time until the preset was in force at each living node; infinite if
        it was not within the limit.
    :param sent: number of calls, and bytes by distance, from the change on.
    """

    __slots__ = ('delays', 'sent')

    def __init__(self, delays: list[float], sent: Counter[str]) -> None:
        """Initialize the fields."""
        self.delays = sorted(delays)
        self.sent = sent


class SimulatedDeployment:
    """Nodes that have a preset in force and learn of a newer one.

    :param scenario: what is simulated.
    :param seed: seed of everything that is drawn.
    """

    def __init__(self, scenario: SpreadScenario, seed: int) -> None:
        """Build the nodes, which know each other."""
        random.seed(seed)
        self.scenario = scenario
        self.network = SimulatedNetwork(scenario.is_refused, scenario.lost_calls)
        self.stored = StoredRecords()
        self.nodes = [
            _build_node(number, self.stored) for number in range(scenario.nodes)
        ]
        members = [node.identity.member for node in self.nodes]
        for node in self.nodes:
            self.network.add(node)
            for member in members:
                node.table.merge(member)
            _settle(node)
        self.tasks: dict[Node, NodeTasks] = defaultdict(list)

    async def start(self) -> None:
        """Put the first preset in force, and run the tasks of the nodes."""
        await self.stored.append(_record(FIRST_REVISION))
        for node in self.nodes:
            node.holder.put_in_force(_preset(FIRST_REVISION))
            node.joiner.has_asked_peers.set()
            node.follower.skip_to(len(self.stored.bodies))
            tree = NodeTree(node)
            for child in (*tree.members().children, *tree.log().children):
                if self.is_run(child.name):
                    task = asyncio.ensure_future(child.run())
                    self.tasks[node].append(task)

    def is_run(self, name: str) -> bool:
        """Return whether the task with a name is part of the simulation."""
        return name in SPREADING_TASKS or (
            name == FOLLOWER_TASK and self.scenario.has_log
        )

    async def write(self, living: list[Node]) -> None:
        """Write the second preset to the log, or put it in force at its readers."""
        if self.scenario.has_log:
            await self.stored.append(_record(FIRST_REVISION + 1))
            return
        readers = [node for node in living if _reads_log(node)] or living[:1]
        for reader in readers:
            reader.holder.put_in_force(_preset(FIRST_REVISION + 1))

    def lose_nodes(self) -> list[Node]:
        """Lose nodes, and return the others."""
        lost = losses.find(self.scenario.loss)(self)
        self.network.lost = {control_address(node) for node in lost}
        self.stop(lost)
        return [node for node in self.nodes if node not in lost]

    def cut_from_log(self, nodes: list[Node]) -> None:
        """Let nothing pass any more between some nodes and the log."""
        for node in nodes:
            assert isinstance(node.platform_log, SimulatedLog)
            node.platform_log.is_cut = True

    def silence_nodes(self) -> None:
        """Let the connections of nodes drawn at random fall silent."""
        count = int(self.scenario.silent_ratio * len(self.nodes))
        self.network.silence(random.sample(self.nodes, count))

    def stop(self, nodes: list[Node]) -> None:
        """Cancel the tasks of some nodes."""
        for node in nodes:
            for task in self.tasks[node]:
                task.cancel()


def simulate_spread(scenario: SpreadScenario, seed: int) -> SpreadResult:
    """Let nodes be lost, and a preset be written at once after it or shortly before.

    :param scenario: what is simulated.
    :param seed: seed of everything that is drawn.
    """
    with ExitStack() as stack:
        clock = stack.enter_context(SimulatedTime())
        deployment = SimulatedDeployment(scenario, seed)
        stack.enter_context(_patched(deployment))
        _warm_up(clock, deployment)
        delay_s = scenario.loss_after_s
        if delay_s:
            deployment.network.sent.clear()
            clock.run(deployment.write(deployment.nodes))
            clock.advance(delay_s)
        living = deployment.lose_nodes()
        if scenario.cut:
            cut = cuts.find(scenario.cut)(deployment)
            deployment.cut_from_log(cut)
            clock.advance(random.uniform(0, MAX_CUT_S))
            living = [node for node in living if node not in cut]
        if not delay_s:
            deployment.network.sent.clear()
            clock.run(deployment.write(living))
        delays = [delay_s + each for each in _watch(clock, living)]
        deployment.stop(living)
        return SpreadResult(delays, deployment.network.sent)


def report_spread(scenario: SpreadScenario, seeds: int) -> str:
    """Simulate some runs and describe their results in one line.

    :param scenario: what is simulated.
    :param seeds: number of runs.
    """
    worst: list[float] = []
    sent: Counter[str] = Counter()
    for seed in range(seeds):
        spread = simulate_spread(scenario, seed)
        worst.append(spread.delays[-1])
        sent.update(spread.sent)
    means = ' '.join(f'{kind}={sent[kind] // seeds}' for kind in sorted(sent))
    return (
        f'runs={seeds} last_node_s: median={median(worst):.2f} worst={max(worst):.2f}'
        f' sent: {means}'
    )


def _warm_up(clock: SimulatedTime, deployment: SimulatedDeployment) -> None:
    """Run the nodes until they may be disturbed."""
    clock.run(deployment.start())
    clock.advance(WARM_UP_S)
    if deployment.scenario.silent_ratio:
        clock.advance(CONNECTING_S)
        deployment.silence_nodes()
        clock.advance(SILENT_FOR_S)


def _watch(clock: SimulatedTime, nodes: list[Node]) -> list[float]:
    """Return after which time each node has the second preset in force."""
    delays: list[float] = []
    waiting = nodes
    began_at = clock.now
    while waiting and clock.now < began_at + LIMIT_S:
        waiting = [node for node in nodes if node.holder.revision == FIRST_REVISION]
        newly_done = len(nodes) - len(waiting) - len(delays)
        delays.extend(repeat(clock.now - began_at, newly_done))
        clock.advance(STEP_S)
    return delays + list(repeat(math.inf, len(waiting)))


@losses.register('random')
def lose_random(deployment: SimulatedDeployment) -> list[Node]:
    """Lose nodes drawn at random."""
    return random.sample(deployment.nodes, deployment.scenario.dead_count)


@losses.register('readers')
def lose_readers(deployment: SimulatedDeployment) -> list[Node]:
    """Lose the readers of the log, and others up to the share."""
    readers = [node for node in deployment.nodes if _reads_log(node)]
    others = [node for node in deployment.nodes if node not in readers]
    count = max(0, deployment.scenario.dead_count - len(readers))
    return readers + random.sample(others, count)


@cuts.register('readers')
def cut_readers(deployment: SimulatedDeployment) -> list[Node]:
    """Cut all nodes that wait at the log."""
    return [node for node in deployment.nodes if _reads_log(node)]


@cuts.register('all-but-one')
def cut_all_but_one(deployment: SimulatedDeployment) -> list[Node]:
    """Cut all nodes but one that does not wait at the log."""
    others = [node for node in deployment.nodes if not _reads_log(node)]
    spared = random.choice(others)
    return [node for node in deployment.nodes if node is not spared]


def _reads_log(node: Node) -> bool:
    return is_log_reader(node.table, READERS_PER_ZONE)


def _settle(node: Node) -> None:
    """Let a node have known the others for long."""
    updates = node.gossip.exchange.updates
    updates.transmission_counts.clear()


def _build_node(number: int, stored: StoredRecords) -> Node:
    region = REGIONS[number % len(REGIONS)]
    zone = number // len(REGIONS) % ZONES_PER_REGION
    host = FIRST_HOST + number
    text = (
        f'node_id = "node-{number}"\nregion = "{region}"\nzone = "{region}-{zone}"\n'
        f'[listen]\nhost = "{host}"\ncaller_port = 1\nadmin_port = 2\npeer_port = 3\n'
        f'control_port = 4\n[log]\nurl = "http://127.0.0.1:9"\n'
        f'[presets]\nsource = "keyed"\nstream = "s"\nkey = "{KEY}"\n'
        f'decoder = "{DECODER}"\nreaders_per_zone = {READERS_PER_ZONE}\n'
    )
    with patch('lavendermountd.node.open_log', lambda *_: SimulatedLog(stored)):
        return Node(load_text(NodeSchema, text, 'spread'))


def _record(revision: int) -> bytes:
    return str(revision).encode()


def _snapshot(revision: int) -> PresetSnapshot:
    return PresetSnapshot(revision, revision + 1, 'p', str(revision), PRESET_TEXT)


def _preset(revision: int) -> InForcePreset:
    return compile_preset(_snapshot(revision))


@preset_decoders.register(DECODER)
def decode_record(body: bytes) -> Steps[CheckedPreset]:
    """Decode a record, which is the number of its revision."""
    return (yield from check_steps(_snapshot(int(body))))


def _patched(deployment: SimulatedDeployment) -> ExitStack:
    """Replace the calls between nodes, and the time that a preset takes to prepare."""
    stack = ExitStack()
    slices = partial(_run_slowly, deployment.scenario.prepare_s / STAGES)
    stack.enter_context(patch('lavendermountd.presets.holder.run_in_slices', slices))
    return stack


async def _run_slowly(seconds: float, steps: Steps[Any]) -> Any:
    await asyncio.sleep(seconds)
    return await run_in_slices(steps)
