"""Steps that play scenarios on simulated time."""

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
    """Find a scenario."""
    return SCENARIO_DIR / f'{name}.toml'


def short_scenario(name: str) -> ScenarioSchema:
    """Read a scenario and cut it short, without what happens in it."""
    scenario = load_scenario(scenario_path(name))
    scenario.checked['seconds'] = RUN_SECONDS
    scenario.checked['fault'] = []
    return scenario


def build_fault(**fields: Any) -> FaultOptions:
    """Build something that happens all the time."""
    options, findings = FaultOptions.load({'at_s': 0, 'for_s': 99, **fields}, 'test')
    assert not findings, findings
    return options


@then('the scenario "{name}" gives the same figures twice')
def check_same_results(context: Any, name: str) -> None:
    """Play a scenario twice with one seed, and once with another."""
    scenario = load_scenario(scenario_path(name))
    scenario.checked['seconds'] = RUN_SECONDS
    first, second, other = (
        Experiment(scenario, 'expected-time', seed=seed).run() for seed in (3, 3, 4)
    )
    assert first == second
    assert first['classes'] != other['classes']


@when('{nodes:d} targets play "{name}" with half of them {factor:d} times slower')
def simulate_slow_targets(context: Any, nodes: int, name: str, factor: int) -> None:
    """Play each policy with the same seed."""
    scenario = short_scenario(name)
    scenario.checked['fault'] = [build_fault(kind='slow', share=0.5, factor=factor)]
    context.runs = {
        policy: Experiment(scenario, policy, nodes).run()
        for policy in ('expected-time', 'round-robin', 'random')
    }


@then('expected time answers more in time than round robin and than random')
def check_expected_time_share(context: Any) -> None:
    """Compare what callers got."""
    shares = {name: run['in_time'] for name, run in context.runs.items()}
    best = shares.pop('expected-time')
    assert best > max(shares.values()), (best, shares)


@when('{nodes:d} targets play "{name}" under {factor:d} times the load')
def simulate_overload(context: Any, nodes: int, name: str, factor: int) -> None:
    """Play far more load than there is room for."""
    scenario = short_scenario(name)
    scenario.checked['fault'] = [build_fault(kind='burst', factor=factor)]
    context.run = Experiment(scenario, 'expected-time', nodes).run()


@then('at most 1 of 100 requests ends without an answer or a refusal')
def check_failed_share(context: Any) -> None:
    """Check that callers know where they are."""
    assert context.run['refused'] > MIN_REFUSED_SHARE, context.run
    assert context.run['failed'] <= MAX_FAILED_SHARE, context.run


@then('orders are served no worse than lookups of the same service')
def check_order_priority(context: Any) -> None:
    """Compare the shares in time of two classes, the higher priority first."""
    classes = context.run['classes']
    shares = [
        counts['in_time'] / sum(counts[name] for name in ('in_time', 'late', 'refused'))
        for counts in (classes['pump-order'], classes['stock-check'])
    ]
    assert shares[0] >= shares[1], shares


@then('a scenario with three faults is refused with three findings')
def check_findings(context: Any) -> None:
    """Load a scenario with a wrong type, an unknown key and no zone."""
    text = 'name = "x"\nseconds = "long"\nspeed = 3\nnodes = 0\n'
    try:
        load_text(ScenarioSchema, text, 'test')
    except ConfigurationError as error:
        assert len(error.findings) == 3, error.findings
        return
    raise AssertionError('the scenario was taken')


@when('an operator simulates "{name}" for {nodes:d} nodes')
def run_simulate_command(context: Any, name: str, nodes: int) -> None:
    """Run the command."""
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


@then('the figures of both policies are printed as JSON')
def check_json_results(context: Any) -> None:
    """Read what was printed."""
    assert context.result.exit_code == 0, context.result.output
    runs = json.loads(context.result.output)
    assert [run['policy'] for run in runs] == ['expected-time', 'random']
    assert all(run['nodes'] == 5 and run['sent'] > 0 for run in runs)
