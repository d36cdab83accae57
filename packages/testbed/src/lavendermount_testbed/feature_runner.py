"""Runs the feature files and compares failures with the list in KNOWN-RED.txt.

:shapes: an entry of KNOWN-RED.txt begins with ``test: NAME OF SCENARIO``.
:errors: exit code 1 for a failure that is not listed, or if nothing passed.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

KNOWN_FAILURES_FILE = Path('KNOWN-RED.txt')
ENTRY_PREFIX = 'test: '
MAX_ERROR_CHARS = 2000
PASSED = 'passed'
FAILED_STATUSES = frozenset(('failed', 'error', 'undefined', 'untested'))


class ResultSummary:
    """Results of all scenarios that were run.

    :param known_failures: names of the scenarios that may fail.
    """

    def __init__(self, known_failures: set[str]) -> None:
        """Start without results."""
        self.known_failures = known_failures
        self.passed = 0
        self.known_failed: list[str] = []
        self.failed: list[str] = []

    def record(self, name: str, status: str) -> None:
        """Record the status of one scenario."""
        if status == PASSED:
            self.passed += 1
        elif name in self.known_failures:
            self.known_failed.append(name)
        else:
            self.failed.append(f'{name} ({status})')


def run_features(paths: tuple[str, ...]) -> int:
    """Run feature files one after another and print a summary.

    :param paths: feature files or folders.
    :returns: exit code.
    """
    summary = ResultSummary(_load_known_failures())
    for path in paths:
        for feature in _run_behave(path):
            _record_feature(summary, feature)
    for name in summary.known_failed:
        click.echo(f'known red: {name}')
    for name in summary.failed:
        click.echo(f'failed: {name}')
    click.echo(f'{summary.passed} passed, {len(summary.failed)} failed')
    return int(bool(summary.failed) or not summary.passed)


def _load_known_failures() -> set[str]:
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX)
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


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


def _record_feature(summary: ResultSummary, feature: dict[str, object]) -> None:
    elements = feature.get('elements', [])
    if not elements:
        summary.record(str(feature['name']), str(feature['status']))
    for scenario in elements:  # type: ignore[attr-defined]
        summary.record(scenario['name'].strip(), scenario['status'])
        _show_errors(scenario)


def _show_errors(scenario: dict[str, Any]) -> None:
    """Print the error messages of failed steps, shortened."""
    for step in scenario.get('steps', ()):
        outcome = step.get('result', {})
        if outcome.get('status') in FAILED_STATUSES and outcome.get('error_message'):
            message = _join_message(outcome['error_message'])[:MAX_ERROR_CHARS]
            click.echo(f'{scenario["name"]}: {step["name"]}\n{message}')


def _join_message(message: str | list[str]) -> str:
    """Join an error message, which behave reports as text or as lines."""
    return message if isinstance(message, str) else '\n'.join(message)
