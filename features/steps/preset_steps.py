"""Steps for presets: generated histories and faults of the log."""

from __future__ import annotations

import json
import time
from typing import Any
from urllib.request import Request, urlopen

from behave import then, when
from builders import preset_text
from deployment_steps import instance_of, status_of
from hypothesis import given as generated
from hypothesis import strategies as st
from naive import is_true_snapshot, naive_in_force, naive_published

from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.presets.records import (
    PresetSnapshot,
    Publish,
    Switch,
    encode_record,
)
from lavendermount_core.utils.digests import short_digest

BODIES = {name: preset_text(name) for name in ('a', 'b', 'c')}
CORRUPT_RECORDS = (b'', b'\xc1', b'\x93\x01\x02', b'\x91\xa6switch', b'\xa5hello')


def _publish(name: str) -> Publish:
    body = BODIES[name]
    return Publish(f'p-{name}', name, short_digest(body.encode()), body, 'x', 1)


def _switch(number: int, name: str, expected: int) -> Switch:
    body = BODIES[name]
    version = short_digest(body.encode())
    return Switch(f's-{number}', expected, name, version, body, 'x', 1)


@st.composite
def histories(draw: Any) -> list[Any]:
    """Generate a history of the preset stream.

    It contains concurrent switches, repeated records, stale ``PresetSnapshot`` records
    and corrupt ones.
    """
    history: list[Any] = []
    for _ in range(draw(st.integers(1, 14))):
        history.append(draw_record(draw, history))
    return history


def draw_record(draw: Any, history: list[Any]) -> Any:
    """Generate the next record of a history."""
    kind = draw(
        st.sampled_from(['publish', 'switch', 'race', 'repeat', 'state', 'corrupt'])
    )
    name = draw(st.sampled_from(list(BODIES)))
    if kind == 'publish':
        return _publish(name)
    if kind == 'repeat' and history:
        return draw(st.sampled_from(history))
    if kind == 'state':
        as_of = draw(st.integers(0, len(history)))
        revision, snapshot_name = naive_in_force(history[:as_of])
        if revision >= 0:
            body = BODIES[snapshot_name]
            return PresetSnapshot(
                revision, as_of, snapshot_name, short_digest(body.encode()), body
            )
    if kind == 'corrupt':
        return draw(st.sampled_from(CORRUPT_RECORDS))
    revision = naive_in_force(history)[0]
    expected = draw(st.integers(-1, len(history))) if kind == 'race' else revision
    return _switch(len(history), name, expected)


def fold_from(history: list[Any], start: int) -> PresetFold:
    """Apply the records of a history from an offset on to a new fold."""
    fold = PresetFold(start)
    for offset, record in enumerate(history[start:], start=start):
        body = record if isinstance(record, bytes) else encode_record(record)
        fold.apply(offset, body)
    return fold


@then('the fold matches the naive implementation on generated histories')
def fold_agrees(context: Any) -> None:
    """Compare the fold from offset 0 with the naive implementation."""

    @generated(histories())
    def check(history: list[Any]) -> None:
        fold = fold_from(history, 0)
        seen = (fold.in_force.revision, fold.in_force.name)
        assert seen == naive_in_force(history)
        assert set(fold.published) == naive_published(history)

    check()


@then('folds that start at a later offset match the full fold on generated histories')
def late_folds_agree(context: Any) -> None:
    """Compare folds that start at any offset with the naive implementation.

    They settle with the first true ``PresetSnapshot`` record whose author had read
    everything below their start, and never get ahead of the full history.
    """

    @generated(histories(), st.integers(1, 14))
    def check(history: list[Any], start: int) -> None:
        start = min(start, len(history))
        late = fold_from(history, start)
        revision = naive_in_force(history)[0]
        settled = any(
            isinstance(record, PresetSnapshot)
            and start <= record.as_of <= offset
            and is_true_snapshot(history, record)
            for offset, record in enumerate(history[start:], start=start)
        )
        assert late.is_settled == settled
        if settled:
            assert late.in_force.revision == revision
        assert late.in_force.revision <= revision

    check()


@when('two operators switch concurrently from the same revision')
def race_switches(context: Any) -> None:
    """Start two switches that expect the same revision."""
    deployment = context.deployment
    revision = str(status_of(context, instance_of(context, 1))['revision'])
    context.switch_processes = []
    for name in ('peak', 'maintenance'):
        path = deployment.process_manager.write_file(f'{name}.toml', preset_text(name))
        assert deployment.run_cli('preset', 'publish', str(path)).popen.returncode == 0
    for name in ('peak', 'maintenance'):
        command = [
            '-m',
            'lavendermount',
            '--log',
            deployment.log_url,
            'preset',
            'switch',
        ]
        process = deployment.process_manager.start(
            f'race-{name}', [*command, name, '--expected', revision]
        )
        context.switch_processes.append((name, process))


@then('one switch is accepted and the other operator is told that it was not')
def one_switch_accepted(context: Any) -> None:
    """Check the exit codes of both commands and the message of the rejected one."""
    codes = {name: process.wait() for name, process in context.switch_processes}
    assert sorted(codes.values()) == [0, 4], codes
    context.winner = next(name for name, code in codes.items() if code == 0)
    loser = next(
        process for name, process in context.switch_processes if name != context.winner
    )
    assert 'not accepted' in loser.read_output(), loser.read_output()


@then('the accepted preset is in force on all running nodes')
def accepted_in_force(context: Any) -> None:
    """Check that every running node has the preset of the accepted switch."""
    context.execute_steps(
        f'Then preset "{context.winner}" is in force on all running nodes'
    )


@then('the history shows one accepted switch to "{name}"')
def one_winner(context: Any, name: str) -> None:
    """Check that a switch that was appended twice is accepted once."""
    history = json.loads(
        context.deployment.run_cli('preset', 'history', '--json').read_output()
    )
    won = [
        row
        for row in history
        if row['preset'].startswith(name) and row['outcome'] == 'won'
    ]
    assert len(won) == 1, history


@when('an operator tries to switch to "{name}"')
def try_switch(context: Any, name: str) -> None:
    """Run a switch that may fail."""
    context.operator = context.deployment.run_cli('preset', 'switch', name)


@then('the operator is told that the switch was not accepted')
def switch_not_accepted(context: Any) -> None:
    """Check the exit code, and that the message names the log."""
    assert context.operator.popen.returncode in {3, 4}, context.operator.read_output()
    assert 'log at' in context.operator.read_output(), context.operator.read_output()


@when('preset "{name}" is accepted')
@when('preset "{name}" is put in force while a node is suspended')
def switch_without_waiting(context: Any, name: str) -> None:
    """Publish and switch without waiting until all nodes use the preset."""
    deployment = context.deployment
    path = deployment.process_manager.write_file(f'{name}.toml', preset_text(name))
    assert deployment.run_cli('preset', 'publish', str(path)).popen.returncode == 0
    switched = deployment.run_cli('preset', 'switch', name)
    assert switched.popen.returncode == 0, switched.read_output()


@when('node {number:d} runs alone for longer than the retention time')
def run_alone(context: Any, number: int) -> None:
    """Wait for longer than the log keeps records."""
    time.sleep(5)
    assert instance_of(context, number).node.is_running


@then('the log alone shows that "{name}" is in force')
def log_shows_preset(context: Any, name: str) -> None:
    """Read the stream from its oldest record, without asking any node."""
    shown = context.deployment.run_cli('preset', 'show')
    assert shown.popen.returncode == 0, shown.read_output()
    assert f'name = "{name}"' in shown.read_output(), shown.read_output()


@when('an operator publishes a preset with three errors')
def publish_bad(context: Any) -> None:
    """Publish a file with an unknown key, two wrong types and an undefined class.

    The class is not reported, because references are checked only if all options
    are valid.
    """
    bad = preset_text('bad').replace('priority = 5', 'priority = "high"')
    bad = bad.replace('class = "lookup"', 'class = "lookups"', 1)
    bad = 'colour = 1\n' + bad + '[[route]]\nservice = 4\nclass = "dealer"\n'
    path = context.deployment.process_manager.write_file('bad.toml', bad)
    context.operator = context.deployment.run_cli('preset', 'publish', str(path))


@then('all three errors are reported with their locations')
def findings_reported(context: Any) -> None:
    """Check that one message reports all errors."""
    text = context.operator.read_output()
    assert context.operator.popen.returncode == 2, text
    for place in ('bad.toml: colour', 'class[1].priority', 'route[3].service'):
        assert place in text, text


def append_directly(context: Any, body: bytes) -> None:
    """Append a record to the preset stream without using the command line."""
    url = f'{context.deployment.log_url}/streams/presets'
    with urlopen(Request(url, body, method='POST')) as response:
        assert response.status == 200


@when('a switch to an invalid preset is appended directly to the log')
def append_invalid(context: Any) -> None:
    """Append a switch whose body the command line would reject."""
    revision = int(status_of(context, instance_of(context, 1))['revision'])
    body = 'name = "bad"\n'
    record = Switch('bad', revision, 'bad', short_digest(body.encode()), body, 'x', 1)
    append_directly(context, encode_record(record))


@when('corrupt records are appended directly to the log')
def append_corrupt(context: Any) -> None:
    """Append bytes that are not valid records."""
    for body in CORRUPT_RECORDS:
        append_directly(context, body or b'\x00')
