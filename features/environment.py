"""Hooks of behave: every scenario ends the processes it started."""

from __future__ import annotations

from typing import Any

from hypothesis import settings

settings.register_profile(
    'ci',
    deadline=None,
    derandomize=True,
    print_blob=False,
    database=None,
)
settings.load_profile('ci')


def before_scenario(context: Any, scenario: Any) -> None:
    """Start without a deployment."""
    context.deployment = None
    context.closers = []


def after_scenario(context: Any, scenario: Any) -> None:
    """End what the scenario started; show what it logged if it failed."""
    if context.deployment is not None:
        if scenario.status in ('failed', 'error'):
            _show_logs(context.deployment)
        context.deployment.close()
    for close in reversed(context.closers):
        close()


def _show_logs(deployment: Any) -> None:
    for name, process in deployment.bench.processes.items():
        text = process.text()[-3000:]
        if text:
            print(f'--- {name}\n{text}')  # noqa: WPS421
