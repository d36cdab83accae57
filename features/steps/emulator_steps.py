"""Steps that run emulator scenarios on simulated time."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from behave import then, when
from click.testing import CliRunner

from lavendermount.__main__ import cli
from lavendermount_core.config.loader import load_text
from lavendermount_core.exceptions import ConfigurationError
from lavendermount_testbed.emulator.experiment import Experiment
from lavendermount_testbed.emulator.scenario import (
    FaultOptions,
    ScenarioSchema,
    load_scenario,
)

SCENARIO_DIR = Path('examples/scenarios')
RUN_SECONDS = 12
MIN_REFUSED_SHARE = 0.1
MAX_FAILED_SHARE = 0.01


def scenario_path(name: str) -> Path:
    """Return the path of an example scenario."""
    return SCENARIO_DIR / f'{name}.toml'


def short_scenario(name: str) -> ScenarioSchema:
    """Load a scenario, shortened and without its faults."""
    scenario = load_scenario(scenario_path(name))
    scenario.checked['seconds'] = RUN_SECONDS
    scenario.checked['fault'] = []
    return scenario


def build_fault(**fields: Any) -> FaultOptions:
    """Build a fault that lasts for the whole run."""
    options, findings = FaultOptions.load({'at_s': 0, 'for_s': 99, **fields}, 'test')
    assert not findings, findings
    return options


@then('two simulations of "{name}" with one seed give the same results')
def check_same_results(context: Any, name: str) -> None:
    """Simulate a scenario twice with one seed and once with another.

    The other seed must give other results.
    """
    scenario = load_scenario(scenario_path(name))
    scenario.checked['seconds'] = RUN_SECONDS
    first, second, other = (
        Experiment(scenario, 'expected-time', seed=seed).run() for seed in (3, 3, 4)
    )
    assert first == second
    assert first['classes'] != other['classes']


@when(
    'a simulation of "{name}" runs with {nodes:d} targets, half of them {factor:d} times slower'
)
def simulate_slow_targets(context: Any, nodes: int, name: str, factor: int) -> None:
    """Simulate each policy with the same seed."""
    scenario = short_scenario(name)
    scenario.checked['fault'] = [build_fault(kind='slow', share=0.5, factor=factor)]
    context.runs = {
        policy: Experiment(scenario, policy, nodes).run()
        for policy in ('expected-time', 'round-robin', 'random')
    }


@then('expected-time answers more requests in time than round-robin and random')
def check_expected_time_share(context: Any) -> None:
    """Compare the shares of requests answered in time."""
    shares = {name: run['in_time'] for name, run in context.runs.items()}
    best = shares.pop('expected-time')
    assert best > max(shares.values()), (best, shares)


@when(
    'a simulation of "{name}" runs with {nodes:d} targets under {factor:d} times the load'
)
def simulate_overload(context: Any, nodes: int, name: str, factor: int) -> None:
    """Simulate a load far above the capacity."""
    scenario = short_scenario(name)
    scenario.checked['fault'] = [build_fault(kind='burst', factor=factor)]
    context.run = Experiment(scenario, 'expected-time', nodes).run()


@then('at most 1 of 100 requests ends without a reply or a refusal')
def check_failed_share(context: Any) -> None:
    """Check that excess requests are refused, and that few fail otherwise."""
    assert context.run['refused'] > MIN_REFUSED_SHARE, context.run
    assert context.run['failed'] <= MAX_FAILED_SHARE, context.run


@then('orders are answered in time at least as often as lookups of the same service')
def check_order_priority(context: Any) -> None:
    """Compare the shares in time of two classes; orders have the higher priority."""
    classes = context.run['classes']
    shares = [
        counts['in_time'] / sum(counts[name] for name in ('in_time', 'late', 'refused'))
        for counts in (classes['pump-order'], classes['stock-check'])
    ]
    assert shares[0] >= shares[1], shares


@then('a scenario file with three errors is rejected with three findings')
def check_findings(context: Any) -> None:
    """Load a scenario with a wrong type, an unknown key and a number below its minimum."""
    text = 'name = "x"\nseconds = "long"\nspeed = 3\nnodes = 0\n'
    try:
        load_text(ScenarioSchema, text, 'test')
    except ConfigurationError as error:
        assert len(error.findings) == 3, error.findings
        return
    raise AssertionError('the scenario was accepted')


@when('an operator simulates "{name}" for {nodes:d} nodes')
def run_simulate_command(context: Any, name: str, nodes: int) -> None:
    """Run the simulate command with two policies."""
    context.result = CliRunner().invoke(
        cli,
        [
            'simulate',
            str(scenario_path(name)),
            '--policy=expected-time',
            '--policy=random',
            f'--nodes={nodes}',
            '--json',
        ],
    )


@then('the results of both policies are printed as JSON')
def check_json_results(context: Any) -> None:
    """Check the printed results."""
    assert context.result.exit_code == 0, context.result.output
    runs = json.loads(context.result.output)
    assert [run['policy'] for run in runs] == ['expected-time', 'random']
    assert all(run['nodes'] == 5 and run['sent'] > 0 for run in runs)
