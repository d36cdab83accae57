"""Steps that run the soak test."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

from behave import then, when
from deployment_steps import instance_of

from lavendermount_testbed.soak import Soak, kill_target, slow_target

# Faults that the kept seeds did not draw from.
LATER_FAULTS = ('log-restored', 'log-silent', 'switch-preset')


@then('a soak test of {seconds:g} s with seed {seed:d} finds no violation')
def check_soak(context: Any, seconds: float, seed: int) -> None:
    """Run real processes under load and the faults from which the seed drew."""
    findings = Soak(seed, seconds, without=LATER_FAULTS).run()
    assert not findings, findings


@then(
    'a soak test of {seconds:d} s with seed {seed:d} and all faults finds no violation'
)
def soak_all_faults(context: Any, seconds: int, seed: int) -> None:
    """Run the soak test with every registered fault."""
    violations = Soak(seed, seconds).run()
    assert not violations, violations


@when('the soak test kills the target of node {number:d} and reverts the fault')
def kill_and_restart_target(context: Any, number: int) -> None:
    """Inject the fault and revert it."""
    kill_target(Mock(), instance_of(context, number))()


@then('the next fault can be injected into the target of node {number:d} at once')
def inject_next_fault(context: Any, number: int) -> None:
    """Inject another fault; the restarted target must already listen for it."""
    slow_target(Mock(), instance_of(context, number))()
