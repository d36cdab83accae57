"""Steps for requests that gates refuse under overload."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from builders import DEALER, call_request, member, preset_text
from returns.result import Failure

from lavendermount_core.models.calls import Reason, not_run_refusal
from lavendermount_core.presets.records import PresetSnapshot
from lavendermountd.gate.suspects import SuspectTable
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.table import MemberTable
from lavendermountd.peer.backoff import NodeBackoff
from lavendermountd.presets.holder import compile_preset
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.load_view import LoadView
from lavendermountd.routing.router import Router
from lavendermountd.routing.target_selector import TargetSelector

GATES = 12
DUE_S = 2


class RefusingSender:
    """Sends attempts to gates that all refuse."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.patiences: list[float] = []

    async def send(
        self, state: object, target: object, attempt_id: str, patience_s: float
    ) -> object:
        """Refuse an attempt and store how long it was allowed to wait."""
        self.patiences.append(patience_s)
        return Failure(not_run_refusal(Reason.BUSY, 'the target is busy', 1))


@given('a node whose preset allows half a redirect for each request')
def limited_redirects(context: Any) -> None:
    """Build a router that knows some gates."""
    text = preset_text(retry='redirect_share = 0.5\nattempts = 4\n')
    context.preset = compile_preset(PresetSnapshot(1, 2, 'ordinary', '1', text))
    own = member('self', service='')
    known = MemberTable(own)
    for number in range(GATES):
        known.merge(member(f'gate-{number}', DEALER))
    selector = TargetSelector(
        known,
        LoadView(Mock(member=own)),
        TokenBucket(0, 0),
        NodeBackoff(),
        EvacuationTable(),
    )
    context.sender = RefusingSender()
    context.router = Router(selector, context.sender, Mock(), SuspectTable())


@when('{count:d} requests are sent while every gate refuses')
def send_refused(context: Any, count: int) -> None:
    """Send requests that may not be repeated, one after the other."""

    async def send_all() -> list[Any]:
        results = []
        for _ in range(count):
            request = call_request('POST')
            request.due = time.monotonic() + DUE_S
            request.deadline = request.due
            results.append(await context.router.route(request, context.preset))
        return results

    context.results = asyncio.run(send_all())


@then('the gates got at most {count:d} attempts, not 4 for each request')
def few_attempts(context: Any, count: int) -> None:
    """Count the attempts: one for each request, half a redirect, and the burst."""
    assert len(context.sender.patiences) <= count, len(context.sender.patiences)


@then("an attempt that can't be redirected has no limit on its wait but the due time")
def waits_at_its_gate(context: Any) -> None:
    """Check the attempts after the burst of redirects is used up."""
    late = context.sender.patiences[len(context.sender.patiences) // 2 :]
    assert late.count(0) > len(late) / 3, late


@then('every caller was told that its request has not run')
def all_not_run(context: Any) -> None:
    """Check the refusals."""
    assert all(result.failure().is_not_run for result in context.results)
