"""Steps for the time until a preset is in force on every node."""

from __future__ import annotations

from typing import Any

from behave import given, then

from lavendermount_testbed.emulator.spread import SpreadScenario, simulate_spread

LOSSES = {
    'those lost never answer': {},
    'those lost refuse calls': {'is_refused': True},
    'all readers of the log are among those lost': {'loss': 'readers'},
}


@given('{dead:d} of 100 nodes are lost just before a preset is read from the log')
def lose_nodes(context: Any, dead: int) -> None:
    """Note the share of the nodes that are lost."""
    context.dead_ratio = dead / 100


@then(
    'each living node of {nodes:d} has it in force within {limit_s:f} s in {runs:d} of'
    ' {runs:d} runs if {loss}'
)
def in_force_in_time(
    context: Any, nodes: int, limit_s: float, runs: int, loss: str
) -> None:
    """Simulate the runs, each with a seed of its own."""
    scenario = SpreadScenario(nodes, dead_ratio=context.dead_ratio, **LOSSES[loss])
    worst = [simulate_spread(scenario, seed).delays[-1] for seed in range(runs)]
    assert max(worst) <= limit_s, worst
