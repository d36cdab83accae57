"""Steps that run the soak."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

from behave import then, when
from deployment_steps import instance_of

from lavendermount_testbed.soak import Soak, kill_target, slow_target


@then('a soak of {seconds:g} s with seed {seed:d} finds nothing')
def check_soak(context: Any, seconds: float, seed: int) -> None:
    """Run real processes under load and faults."""
    findings = Soak(seed, seconds).run()
    assert not findings, findings


@when('the target of node {number:d} is killed by the soak and the fault is taken off')
def kill_and_restart_target(context: Any, number: int) -> None:
    """Put the fault on and take it off again."""
    kill_target(Mock(), instance_of(context, number))()


@then('the next fault is put on the target of node {number:d} at once')
def inject_next_fault(context: Any, number: int) -> None:
    """Put another fault on the target; it must be there to take it."""
    slow_target(Mock(), instance_of(context, number))()
