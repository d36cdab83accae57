"""Behave hooks that clean up after each scenario and print logs of failed ones."""

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
    """Reset the deployment and the cleanup callbacks."""
    context.deployment = None
    context.closers = []


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop what the scenario started; print the process logs if it failed."""
    if context.deployment is not None:
        if scenario.status in ('failed', 'error'):
            _print_logs(context.deployment)
        context.deployment.close()
    for close in reversed(context.closers):
        close()


def _print_logs(deployment: Any) -> None:
    for name, process in deployment.process_manager.processes.items():
        text = process.read_output()[-3000:]
        if text:
            print(f'--- {name}\n{text}')  # noqa: WPS421
