"""Steps for what a gate believes of its target after an answer, or without one."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import then
from builders import call_request, gate_with_target

from lavendermount_core.models.calls import CallReply
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate.attempts import Attempt
from lavendermountd.gate.suspects import Verdict
from lavendermountd.gate.target_client import TargetAnswer


class AnsweringClient:
    """Client of a target that gives every request the same answer."""

    def __init__(self, status: int, is_not_run: bool) -> None:
        """Store the answer."""
        metadata = ReplyMetadata(is_not_run=is_not_run)
        self.answer = TargetAnswer(CallReply(status, '', [], b''), metadata)

    async def exchange(self, attempt: Attempt) -> TargetAnswer:
        """Answer at once."""
        return self.answer


@then(
    'a request that a target refuses stays suspected, '
    'and one that a target completes does not'
)
def refused_stays_suspected(context: Any) -> None:
    """Answer a suspected request without running it, with a result, and an error."""
    for status, is_not_run, verdict in (
        (503, True, Verdict.EXCLUSIVE),
        (200, False, Verdict.FREE),
        (500, False, Verdict.FREE),
    ):
        assert asyncio.run(_answer_suspect(status, is_not_run)) == verdict, status


async def _answer_suspect(status: int, is_not_run: bool) -> Verdict:
    gate = gate_with_target(1)
    gate.client = AnsweringClient(status, is_not_run)
    gate.suspects.add_victim('f', 'n:1')
    request = call_request()
    request.deadline = time.monotonic() + 5
    await gate.execute(Attempt('a-1', request, 'f'))
    return gate.suspects.verdict('f')
