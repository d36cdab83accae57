"""Steps that play presets with faults through the check of the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from unittest import mock

import review_presets as presets
from behave import then, when
from click.testing import CliRunner
from fakes import FakeLog

from lavendermount.__main__ import cli
from lavendermount.nodes import NodeClient
from lavendermount_core.config.review import reviewers
from lavendermount_core.log.adapter import log_adapters
from lavendermount_core.presets.fold import NO_REVISION
from lavendermount_core.presets.records import Switch, encode_record
from lavendermount_core.utils.digests import short_digest

EXAMPLES = Path(__file__).parents[2] / 'examples'
EXIT_CODES = {'warning': 1, 'error': 2}
SOURCES = {
    'a file': (),
    'the log': ('--log', 'x', '--log-adapter', 'log-of-old-version'),
    'the node': ('--node', '127.0.0.1:1'),
}
SHOP = 'route shop /a (any method)'
C = 'route c / (any method)'
DIFFERENCES = {
    "class 'main': deadline_ms: 400 -> 300",
    "route old / (any method): removed: service 'docs', class 'main'",
    "route new / (any method): added: service 'docs', class 'main', attempts 2",
    "route b / (any method): methods: [] -> ['GET']",
    'route b / (any method): timeout_ms: 0 -> 300',
    f'routes: order: {SHOP}; {C}; route b / (any method) -> {SHOP}; route b / (GET); {C}',
    "tenant 'gamma': added: 1 keys",
    "tenant 'alpha': keys: 2 -> 3 (2 added, 1 withdrawn)",
}


@log_adapters.register('log-of-old-version')
def log_of_old_version(url: str, timeout_s: float) -> Any:
    """Create a log on which the old version was published and put in force."""
    body = presets.OLD_VERSION
    version = short_digest(body.encode())
    log = FakeLog()
    log.era = 0
    switch = Switch('s', NO_REVISION, 'reviewed', version, body, 'operator', 1)
    log.records.append(encode_record(switch))
    return log


def run_check(context: Any, text: str, *options: str, before: tuple = ()) -> None:
    """Write a preset to a file and check it, once with text and once with JSON."""
    runner = CliRunner()
    arguments = [*before, 'check', 'new.toml', *options]
    with runner.isolated_filesystem():
        Path('new.toml').write_text(text, encoding='utf-8')
        Path('old.toml').write_text(presets.OLD_VERSION, encoding='utf-8')
        context.result = runner.invoke(cli, arguments)
        json_result = runner.invoke(cli, [*arguments, '--json'])
    assert json_result.exit_code == context.result.exit_code, json_result.output
    assert 'secret' not in context.result.output + json_result.output
    context.row = json.loads(json_result.stdout)[0]


@when('a preset with the fault "{fault}" is checked: {entries}')
def check_fault(context: Any, fault: str, entries: str) -> None:
    """Check a preset whose only fault is in the given entries."""
    run_check(context, presets.reviewed_preset(entries))


@then('the only finding is a {severity} at "{place}"')
def only_finding(context: Any, severity: str, place: str) -> None:
    """Guards against a wrong place or severity, and findings about sound entries."""
    (line,) = context.result.stderr.splitlines()
    assert line.startswith(f'{severity}: new.toml: {place}: '), line
    assert context.result.exit_code == EXIT_CODES[severity], context.result.exit_code
    (finding,) = context.row['findings']
    found = finding['severity'], finding['place']
    assert found == (severity, f'new.toml: {place}'), finding
    assert bool(finding['expected']) == (severity == 'warning'), finding


@then('nothing is found with {entries}')
def nothing_found(context: Any, entries: str) -> None:
    """Guards against warnings that operators would learn to ignore."""
    run_check(context, presets.reviewed_preset(entries))
    assert (context.result.exit_code, context.row['findings']) == (0, []), context.row


@then('nothing is found in the examples, and each reviewer has a fault in this feature')
def nothing_found_in_examples(context: Any) -> None:
    """Guards against needless warnings, and against reviewers without a test."""
    paths = [str(path) for path in EXAMPLES.glob('[!s]*/*.toml')]
    result = CliRunner().invoke(cli, ['preset', 'check', *paths])
    assert result.exit_code == 0, result.output
    rows = context.feature.scenarios[0].examples[0].table
    assert set(reviewers.names()) <= {row['fault'] for row in rows}


@when('the new version is checked against the old one from {source}')
def check_against(context: Any, source: str) -> None:
    """Take the old version from a file, a fake log or a fake answer of a node."""
    before = SOURCES[source]
    snapshot = mock.Mock(body=presets.OLD_VERSION)
    against = 'in-force' if before else 'old.toml'
    with mock.patch.object(NodeClient, 'preset', return_value=snapshot):
        run_check(context, presets.NEW_VERSION, '--against', against, before=before)


@then('the differences are one line for each entry or key that differs')
def difference_lines(context: Any) -> None:
    """Guards against missing, additional and unreadable differences."""
    lines = context.result.stdout.splitlines()[1:]
    texts = {line.partition('new.toml: ')[2] for line in lines}
    assert texts == DIFFERENCES, texts
    assert len(context.row['differences']) == len(lines) == len(DIFFERENCES), lines
    assert context.result.exit_code == 0, context.result.output
