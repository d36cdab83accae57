"""Steps that run the soak test."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

from behave import then, when
from deployment_steps import instance_of

from lavendermount_testbed.loss_callers import Ending, SentRequest
from lavendermount_testbed.loss_soak import LossSoak
from lavendermount_testbed.loss_verdicts import RunReport, verdicts
from lavendermount_testbed.soak import Soak, kill_target, slow_target

# Faults that the kept seeds did not draw from.
LATER_FAULTS = ('log-restored', 'log-silent', 'switch-preset')
LOSS_SOAK_CONNECTIONS = 24
SENT_AT = 1000.0


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


@then('a loss soak of {seconds:d} s with seed {seed:d} finds no violation')
def check_loss_soak(context: Any, seconds: int, seed: int) -> None:
    """Disturb real processes under load on many kept connections."""
    violations = LossSoak(seed, seconds, LOSS_SOAK_CONNECTIONS).run()
    assert not violations, '\n'.join(violations)


def ended_order(ending: str, waited_ms: float, place: str = 'alone') -> SentRequest:
    """Build an order that has ended."""
    order = SentRequest('order', 'desk-1', 'POST', is_behind=place == 'behind')
    is_answered = ending in {'refused', 'mixed'}
    order.ending = Ending.ANSWERED if is_answered else Ending(ending)
    order.status = 503 if ending == 'refused' else 0
    order.is_matching = ending != 'mixed'
    order.sent_at = SENT_AT
    order.ended_at = SENT_AT + waited_ms / 1000
    return order


def judge(report: RunReport, order: SentRequest) -> list[str]:
    """Apply all verdicts to an order."""
    return [name for name in verdicts.names() if verdicts.find(name)(report, order)]


@then(
    'of an order that is {ending:w} after {waited_ms:d} ms, is {place:w} '
    'and ran {runs:d} times it says "{expected}"'
)
@then(
    'of an order that is {ending:w} after {waited_ms:d} ms, is {place:w} '
    'and ran {runs:d} times it says ""'
)
def check_verdicts(
    context: Any,
    ending: str,
    waited_ms: int,
    place: str,
    runs: int,
    expected: str = '',
) -> None:
    """Judge one order."""
    order = ended_order(ending, waited_ms, place)
    report = RunReport([order], {'order': runs}, lambda start, end: 0.0)
    assert judge(report, order) == expected.split(), judge(report, order)


@then(
    'no order is counted whose node was killed, or whose callers were late themselves'
)
def check_excuses(context: Any) -> None:
    """Judge an order on a killed node, and one that ended while callers were late."""
    order = ended_order('closed', 900)
    killed = RunReport([order], {'order': 1}, lambda start, end: 0.0)
    assert judge(killed, order)
    killed.kills.append(('desk-1', order.ended_at))
    assert not judge(killed, order)
    late = RunReport([order], {}, lambda start, end: 0.8)
    assert not judge(late, order)
