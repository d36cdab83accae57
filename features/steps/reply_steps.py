"""Steps for replies of targets of unusual size or form."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from builders import preset_text
from stall_builders import (
    HeldReplies,
    attempt_of,
    gate_for,
    lookup,
    threaded_target,
)

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.preset import PresetSchema
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.gate.gate import Gate
from lavendermountd.presets.applier import PresetApplier

DEADLINE_S = 5.0


@given('a preset that limits the bodies of requests to {size:d} bytes')
def small_request_limit(context: Any, size: int) -> None:
    """Prepare the limits to be applied to a gate."""
    text = f'{preset_text()}\n[limits]\nbody_bytes = {size}\n'
    context.limits = load_text(PresetSchema, text, 'test').limits


@when('a target replies with {size:d} bytes')
def reply_of_size(context: Any, size: int) -> None:
    """Send a request to a target that is not limited as callers are."""
    context.reply_body = bytes(size)
    target = HeldReplies(context.reply_body)
    target.may_reply.set()
    with threaded_target(target.serve) as port:
        gate = gate_for(port)
        PresetApplier(Mock(gate=gate)).apply_limits(context.limits)
        context.outcome = asyncio.run(_execute(gate))


async def _execute(gate: Gate) -> AttemptResult:
    try:
        return await gate.execute(attempt_of(lookup(DEADLINE_S)))
    finally:
        gate.client.close_idle()


@then('the caller gets the whole reply')
def whole_reply(context: Any) -> None:
    """Compare the body."""
    assert context.outcome.unwrap().body == context.reply_body
