"""Takes a request from its arrival to its final answer.

:units: seconds on the node's monotonic clock; milliseconds in records.
:errors: none; every failure becomes a refusal.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import defaultdict
from typing import Any

from returns.result import Failure, Success

from lavendermount_core.routing.expected_time import SLOW
from lavendermount_core.structure.calls import (
    CallRequest,
    Reason,
    Refusal,
    is_failure,
    not_run,
)
from lavendermount_core.structure.loads import LoadReport
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.attempts import AttemptResult, outcome_label
from lavendermountd.gate.suspects import SuspectTable, Verdict
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.recorder.recorder import Recorder
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.chooser import Chooser
from lavendermountd.routing.hedging import MEDIAN, SlowTargetNotifier, hedge_delay_s
from lavendermountd.routing.journey import Cause, Choice, Journey
from lavendermountd.routing.latency import LatencyWindow
from lavendermountd.routing.retry_budget import RetryBudget
from lavendermountd.routing.sender import Sender
from lavendermountd.routing.trial import OutboundAttempt, decision_record

log = logging.getLogger(__name__)

NO_TARGET_RETRY_AFTER_S = 1.0
CANCELLED = 'cancelled'
MAX_UNDELIVERED_ATTEMPTS = 3
NO_HEDGE_EXTRA_S = 60.0
UNLIMITED_PATIENCE_FROM = 3
PATIENCE_SHARE = 0.3
MIN_PATIENCE_S = 0.01


Task = asyncio.Task[AttemptResult]
Tasks = set[Task]


class Router:
    """Chooses, sends, retries and hedges.

    :param chooser: takes the decisions.
    :param sender: sends the attempts.
    :param recorder: keeps the decisions.
    :param suspects: requests that may not run.
    """

    def __init__(
        self,
        chooser: Chooser,
        sender: Sender,
        recorder: Recorder,
        suspects: SuspectTable,
    ) -> None:
        """Start with full retry and hedge buckets."""
        self.chooser = chooser
        self.sender = sender
        self.recorder = recorder
        self.suspects = suspects
        self.retries = RetryBudget()
        self.active_requests: dict[str, Journey] = {}
        self.hedges = TokenBucket(0, 0)
        self.slow_notifier = SlowTargetNotifier()
        self.latencies: dict[str, LatencyWindow] = defaultdict(LatencyWindow)

    def configure(self, preset: InForcePreset) -> None:
        """Take over the budgets of a preset."""
        retry = preset.schema.retry
        hedge = preset.schema.hedge
        self.retries.configure(retry)
        if self.hedges.burst != hedge.burst:
            self.hedges = TokenBucket(0, hedge.burst)

    async def route(
        self,
        request: CallRequest,
        preset: InForcePreset,
    ) -> AttemptResult:
        """Take a request to its final answer.

        :param request: the request.
        :param preset: preset in force when it arrived.
        :returns: the reply, or why there is none.
        """
        state = Journey(request, preset)
        self.active_requests[request.request_id] = state
        try:
            return await self.run_attempts(state)
        finally:
            self.active_requests.pop(request.request_id, None)

    async def run_attempts(self, state: Journey) -> AttemptResult:
        """Make attempts until one of them is the last."""
        preset = state.preset
        if self.suspects.verdict(state.fingerprint) == Verdict.REFUSED:
            return Failure(self.refuse_suspect(state))
        self.retries.share_among(len(self.chooser.table.members))
        self.retries.earn(state.request.call_class.service)
        self.hedges.earn(preset.schema.hedge.share)
        cause = Cause.FIRST
        while True:
            outcome = await self.make_attempt(state, cause)
            if not self.should_retry(state, outcome):
                return state.final_outcome(outcome)
            cause = Cause.RETRY

    def abandon(self, request_id: str) -> None:
        """Start nothing more for a request whose caller has left.

        What has reached a target goes on.
        """
        state = self.active_requests.get(request_id)
        if state is None:
            return
        state.is_abandoned = True
        for attempt_id, member in tuple(state.active_attempts.items()):
            self.sender.cancel(member, attempt_id, is_waiting_only=True)

    async def make_attempt(self, state: Journey, cause: Cause) -> AttemptResult:
        """Make one attempt, and a hedge beside it if it is slow."""
        choice = self.chooser.choose(state)
        if choice.member is None:
            return self.refuse_without_target(state, choice, cause)
        attempt = OutboundAttempt(state, choice, cause)
        if not state.request.call_class.is_repeatable:
            return await self.send(attempt)
        first = asyncio.create_task(self.send(attempt))
        if await self.finishes_before_hedge(first, attempt):
            return first.result()
        return await _await_or_cancel({first} | self.start_hedge(state))

    async def finishes_before_hedge(
        self, first: Task, attempt: OutboundAttempt
    ) -> bool:
        """Wait for the first copy until a second one is worth sending.

        :returns: whether the first copy ended before that.
        """
        request = attempt.state.request
        delay_s = hedge_delay_s(
            attempt.state.preset.schema.hedge,
            request,
            self.latencies[attempt.state.class_key],
            time.monotonic(),
        )
        if delay_s is None:
            delay_s = max(0, request.deadline - time.monotonic()) + NO_HEDGE_EXTRA_S
        with self.slow_notifier.watch(attempt.node_id) as slow_event:
            slow_signal = asyncio.ensure_future(slow_event.wait())
            try:
                await _wait_for_any({first}, delay_s, slow_signal)
            finally:
                slow_signal.cancel()
        return first.done()

    def take_load(self, report: LoadReport) -> None:
        """Take a load report; wake who waits for a target that became slow."""
        if self.chooser.view.take_report(report) and report.slowness >= SLOW:
            self.slow_notifier.notify(report.node_id)

    def start_hedge(self, state: Journey) -> Tasks:
        """Send a second copy within the region, if the budget allows.

        A suspected request is never hedged: it must run alone.
        """
        if self.suspects.verdict(state.fingerprint) != Verdict.FREE:
            return set()
        limit = state.request.max_targets or state.preset.schema.retry.attempts
        if state.delivered_attempts + len(state.active_attempts) >= limit:
            return set()
        choice = self.chooser.choose(state, is_same_region=True)
        if choice.member is None or choice.is_slow():
            return set()
        if not self.hedges.try_spend(1):
            return set()
        if not self.retries.try_spend(state.request.call_class.service):
            return set()
        attempt = OutboundAttempt(state, choice, Cause.HEDGE)
        return {asyncio.create_task(self.send(attempt))}

    async def send(self, attempt: OutboundAttempt) -> AttemptResult:
        """Send one attempt and record its decision with the outcome."""
        state = attempt.state
        self.chooser.record_attempt(state, attempt.member)
        state.active_attempts[attempt.attempt_id] = attempt.member
        self.chooser.view.attempt_started(attempt.node_id, attempt.attempt_id)
        label = CANCELLED
        try:
            outcome = await self.sender.send(
                state,
                attempt.member,
                attempt.attempt_id,
                self.patience_s(state),
            )
            label = outcome_label(outcome)
            state.record_outcome(outcome, attempt.node_id)
        finally:
            self.finish_attempt(attempt, label)
        if isinstance(outcome, Success):
            size = len(outcome.unwrap().body)
            self.chooser.record_reply_size(state, size)
            if not is_failure(outcome.unwrap()):
                self.suspects.clear(state.fingerprint)
            self.chooser.charge_link(attempt.member, size)
            self.latencies[state.class_key].add(attempt.elapsed_ms())
        return outcome

    def patience_s(self, state: Journey) -> float:
        """How long an attempt may wait at a gate before others are asked.

        The last one that may be asked is asked to wait as long as the answer
        can be in time. Until then a request spends no more than a part of the
        time that it has left beyond its service.
        """
        patience_s = state.preset.schema.choosing.patience_ms / MS_PER_S
        is_last = (
            state.attempts >= UNLIMITED_PATIENCE_FROM
            or not self.has_untried_target(state)
        )
        if is_last or not patience_s or not state.request.due:
            return 0 if is_last else patience_s
        median_ms = self.latencies[state.class_key].quantile(MEDIAN) or 0
        left_s = state.request.due - time.monotonic() - median_ms / MS_PER_S
        return min(patience_s, max(left_s * PATIENCE_SHARE, MIN_PATIENCE_S))

    def finish_attempt(self, attempt: OutboundAttempt, label: str) -> None:
        """Note that an attempt ended, however it did.

        :param label: its outcome as recorded.
        """
        attempt.state.active_attempts.pop(attempt.attempt_id, None)
        self.chooser.view.attempt_ended(attempt.node_id, attempt.attempt_id)
        self.chooser.charge_link(attempt.member, len(attempt.state.request.body))
        record = attempt.to_record(label)
        self.recorder.add(record)
        log.info(
            'attempt-sent',
            extra={
                'attempt': attempt.attempt_id,
                'cause': record.cause,
                'service': record.service,
                'class': record.call_class,
                'revision': record.revision,
                'target': record.chosen,
                'scores': _format_scores(record.scores),
                'outcome': label,
                'elapsed_ms': round(record.elapsed_ms),
            },
        )

    def refuse_without_target(
        self,
        state: Journey,
        choice: Choice,
        cause: Cause,
    ) -> AttemptResult:
        """Refuse a request for which no target may be chosen."""
        service = state.request.call_class.service
        detail = f'no target of {service} takes work now'
        refusal = Failure(not_run(Reason.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_S))
        record = decision_record(state, choice, cause)
        record.outcome = outcome_label(refusal)
        self.recorder.add(record)
        return refusal

    def refuse_suspect(self, state: Journey) -> Refusal:
        """Refuse a request that two targets died of."""
        return not_run(
            Reason.SUSPECT,
            'two targets died while they ran this request',
            self.suspects.remaining_s(state.fingerprint),
        )

    def should_retry(self, state: Journey, outcome: AttemptResult) -> bool:
        """Whether to try again: provably not run, or repeatable.

        The order matters: the budget is spent last.
        """
        if isinstance(outcome, Success) and not is_failure(outcome.unwrap()):
            return False
        if state.is_abandoned or not _is_safe_to_retry(state, outcome):
            return False
        if not self.has_untried_target(state) or self.is_exhausted(state, outcome):
            return False
        if time.monotonic() >= state.request.deadline:
            return False
        if not state.delivered_attempts:
            return True
        return self.retries.try_spend(state.request.call_class.service)

    def is_exhausted(self, state: Journey, outcome: AttemptResult) -> bool:
        """Whether no further target may be tried for a request.

        What a gate refuses has reached no target; such refusals are bounded
        by a limit of their own.
        """
        if _has_queue_wait_expired(state, outcome):
            return True
        limit = state.request.max_targets or state.preset.schema.retry.attempts
        return (
            state.delivered_attempts >= limit
            or state.attempts >= limit + MAX_UNDELIVERED_ATTEMPTS
        )

    def has_untried_target(self, state: Journey) -> bool:
        """Whether a target is left that may be tried."""
        return bool(self.chooser.eligible_members(state))


def _has_queue_wait_expired(state: Journey, outcome: AttemptResult) -> bool:
    """Whether a request has waited at a gate until it could not be in time."""
    if isinstance(outcome, Success) or state.attempts < UNLIMITED_PATIENCE_FROM:
        return False
    return bool(outcome.failure().reason == Reason.DEADLINE)


def _is_safe_to_retry(state: Journey, outcome: AttemptResult) -> bool:
    if isinstance(outcome, Success):
        return state.request.call_class.is_repeatable
    refusal = outcome.failure()
    if refusal.reason == Reason.CANCELLED:
        return False
    return refusal.is_not_run or state.request.call_class.is_repeatable


def _format_scores(scores: list[tuple[str, float]]) -> str:
    return ','.join(f'{node_id}:{round(score)}' for node_id, score in scores)


async def _wait_for_any(
    tasks: Tasks,
    timeout_s: float | None,
    slow_signal: asyncio.Future[Any] | None = None,
) -> tuple[Tasks, Tasks]:
    awaited: set[asyncio.Future[Any]] = set(tasks)
    if slow_signal is not None:
        awaited.add(slow_signal)
    try:
        await asyncio.wait(
            awaited,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
    except asyncio.CancelledError:
        for task in tasks:
            task.cancel()
        raise
    done = set(filter(asyncio.Task.done, tasks))
    return done, tasks - done


async def _await_or_cancel(
    tasks: Tasks,
) -> AttemptResult:
    """Take the first good reply and cancel the rest."""
    pending = tasks
    outcome: AttemptResult
    while True:
        done, pending = await _wait_for_any(pending, None)
        outcome = _first_success([task.result() for task in done])
        if not pending or _is_success(outcome):
            break
    for task in pending:
        task.cancel()
    return outcome


def _first_success(outcomes: list[AttemptResult]) -> AttemptResult:
    return next(filter(_is_success, outcomes), outcomes[0])


def _is_success(outcome: AttemptResult) -> bool:
    return isinstance(outcome, Success) and not is_failure(outcome.unwrap())
