"""Runs the features and compares their failures with KNOWN-RED.txt.

:shapes: an entry of KNOWN-RED.txt begins with ``test: NAME OF SCENARIO``.
:errors: exit code 1 for a failure that is not listed there.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

KNOWN_RED = Path('KNOWN-RED.txt')
ENTRY = 'test: '
ERROR_CHARS = 2000
PASSED = 'passed'
RED = frozenset(('failed', 'error', 'undefined', 'untested'))


class Tally:
    """What became of all scenarios.

    :param known: scenarios that may fail.
    """

    def __init__(self, known: set[str]) -> None:
        """Start with nothing run."""
        self.known = known
        self.passed = 0
        self.known_failed: list[str] = []
        self.failed: list[str] = []

    def take(self, name: str, status: str) -> None:
        """Count one scenario."""
        if status == PASSED:
            self.passed += 1
        elif name in self.known:
            self.known_failed.append(name)
        else:
            self.failed.append(f'{name} ({status})')


def run_features(paths: tuple[str, ...]) -> int:
    """Run features one after the other.

    :param paths: feature files or folders.
    :returns: exit code for CI.
    """
    tally = Tally(_known_red())
    for path in paths:
        for feature in _run_behave(path):
            _take_feature(tally, feature)
    for name in tally.known_failed:
        click.echo(f'known red: {name}')
    for name in tally.failed:
        click.echo(f'failed: {name}')
    click.echo(f'{tally.passed} passed, {len(tally.failed)} failed')
    return int(bool(tally.failed) or not tally.passed)


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(ENTRY) for line in lines if line.startswith(ENTRY)}


def _run_behave(path: str) -> list[dict[str, object]]:
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        command = [
            sys.executable,
            '-m',
            'behave',
            '--format=progress3',
            '--format=json',
            f'--outfile={report.name}.text',
            f'--outfile={report.name}',
            path,
        ]
        subprocess.run(command, check=False)  # noqa: S603
        text = Path(report.name).read_text()
    return json.loads(text) if text else [{'name': path, 'status': 'error'}]


def _take_feature(tally: Tally, feature: dict[str, object]) -> None:
    elements = feature.get('elements', [])
    if not elements:
        tally.take(str(feature['name']), str(feature['status']))
    for scenario in elements:  # type: ignore[attr-defined]
        tally.take(scenario['name'], scenario['status'])
        _show_errors(scenario)


def _show_errors(scenario: dict[str, Any]) -> None:
    """Print what failed steps found, with their figures."""
    for step in scenario.get('steps', ()):
        outcome = step.get('result', {})
        if outcome.get('status') in RED and outcome.get('error_message'):
            told = _text_of(outcome['error_message'])[:ERROR_CHARS]
            click.echo(f'{scenario["name"]}: {step["name"]}\n{told}')


def _text_of(message: str | list[str]) -> str:
    """Join what behave gives as lines or as one text."""
    return message if isinstance(message, str) else '\n'.join(message)
