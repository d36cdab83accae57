"""Steps that run the soak."""

from __future__ import annotations

from typing import Any

from behave import then

from lavendermount_testbed.soak import Soak


@then('a soak of {seconds:g} s with seed {seed:d} finds nothing')
def soak_finds_nothing(context: Any, seconds: float, seed: int) -> None:
    """Run real processes under load and faults."""
    findings = Soak(seed, seconds).run()
    assert not findings, findings
