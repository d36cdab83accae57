"""Routes requests: selects targets, sends attempts, retries and hedges.

:units: seconds on the node's monotonic clock; milliseconds in records.
:errors: none; every failure becomes a refusal.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from lavendermount_core.models.calls import (
    CallClass,
    CallRequest,
    Reason,
    Refusal,
    is_failure,
    not_run_refusal,
)
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.routing.expected_time import SLOWNESS_THRESHOLD
from lavendermount_core.utils.deadlines import process_arrived
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.attempts import AttemptResult, outcome_label
from lavendermountd.gate.suspects import SuspectTable, Verdict
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.recorder.recorder import Recorder
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.hedging import MEDIAN, SlowTargetNotifier, hedge_delay_s
from lavendermountd.routing.latency import LatencyWindow
from lavendermountd.routing.outbound_attempt import OutboundAttempt, decision_record
from lavendermountd.routing.request_state import Cause, RequestState, Selection
from lavendermountd.routing.retry_budget import RetryBudget
from lavendermountd.routing.sender import Sender
from lavendermountd.routing.target_selector import TargetSelector
from lavendermountd.stop_schedule import stopping_refusal

log = logging.getLogger(__name__)

NO_TARGET_RETRY_AFTER_S = 1.0
CANCELLED_LABEL = 'cancelled'
# Attempts that reach no target don't count towards the limit of targets for a
# request. All attempts together may exceed that limit by this number.
MAX_UNDELIVERED_ATTEMPTS = 3
# If no hedge is scheduled, the wait for the first copy ends this long after the
# deadline, that is, after the copy itself has timed out.
NO_HEDGE_EXTRA_S = 60.0
# From this attempt on, the wait in a queue has no limit besides the time at
# which the reply would be too late.
FIRST_UNLIMITED_ATTEMPT = 3
# Share of a request's spare time that one attempt may spend in a queue.
PATIENCE_SHARE = 0.3
REDIRECT_BURST = 10
MIN_PATIENCE_S = 0.01
# Shortest time that an attempt at a stopping node is expected to take.
MIN_RESPONSE_S = 0.3


Task = asyncio.Task[AttemptResult]
Tasks = set[Task]


class Router:
    """Routes requests to targets, with retries and hedges.

    :param selector: selects the targets.
    :param sender: sends the attempts.
    :param recorder: records the decisions.
    :param suspects: requests that are suspected of crashing targets.
    """

    def __init__(
        self,
        selector: TargetSelector,
        sender: Sender,
        recorder: Recorder,
        suspects: SuspectTable,
    ) -> None:
        """Start without budgets; ``configure`` sets them."""
        self.selector = selector
        self.sender = sender
        self.recorder = recorder
        self.suspects = suspects
        self.retry_budget = RetryBudget()
        self.active_requests: dict[str, RequestState] = {}
        self.hedge_bucket = TokenBucket(0, 0)
        self.redirect_bucket = TokenBucket(0, REDIRECT_BURST)
        # Takes a token of a tenant's allotment for a hedge; returns whether it got one.
        self.take_hedge_token: Callable[[str], bool] | None = None
        self.slow_notifier = SlowTargetNotifier()
        self.latencies: dict[str, LatencyWindow] = defaultdict(LatencyWindow)
        # Time by which a stopping node must have answered its callers.
        self.stops_at = math.inf

    def configure(self, preset: InForcePreset) -> None:
        """Apply the retry and hedge budgets of a preset."""
        retry = preset.schema.retry
        hedge = preset.schema.hedge
        self.retry_budget.configure(retry)
        if self.hedge_bucket.burst != hedge.burst:
            self.hedge_bucket = TokenBucket(0, hedge.burst)

    async def route(
        self,
        request: CallRequest,
        preset: InForcePreset,
    ) -> AttemptResult:
        """Route a request until it has a final outcome.

        :param request: the request.
        :param preset: preset in force when the request arrived.
        :returns: the reply, or the refusal if there is none.
        """
        state = RequestState(request, preset)
        self.active_requests[request.request_id] = state
        try:
            return await self.run_attempts(state)
        finally:
            self.active_requests.pop(request.request_id, None)

    async def run_attempts(self, state: RequestState) -> AttemptResult:
        """Make attempts until one succeeds or no retry is allowed."""
        preset = state.preset
        if self.suspects.verdict(state.fingerprint) == Verdict.REFUSED:
            return Failure(self.refuse_suspect(state))
        self.retry_budget.update_node_count(len(self.selector.table.members))
        self.retry_budget.earn(state.request.call_class.service)
        self.hedge_bucket.earn(preset.schema.hedge.share)
        self.redirect_bucket.earn(preset.schema.retry.redirect_share)
        if self.is_too_late(state):
            return Failure(stopping_refusal())
        cause = Cause.FIRST
        while True:
            outcome = await self.make_attempt(state, cause)
            if not self.should_retry(state, outcome):
                return state.final_outcome(outcome)
            cause = Cause.RETRY

    def is_in_progress(self, request_id: str) -> bool:
        """Return whether an attempt of a request waits for its outcome."""
        state = self.active_requests.get(request_id)
        return state is not None and bool(state.active_attempts)

    def may_have_run(self, request_id: str) -> bool:
        """Return whether a target may have run a request in progress."""
        state = self.active_requests.get(request_id)
        return state is not None and state.was_passed_on

    def abandon(self, request_id: str) -> None:
        """Stop retrying a request whose caller has disconnected.

        Attempts that wait in a queue are cancelled; those that have reached a
        target continue.
        """
        state = self.active_requests.get(request_id)
        if state is None:
            return
        state.is_abandoned = True
        for attempt_id, member in tuple(state.active_attempts.items()):
            self.sender.cancel(member, attempt_id, is_waiting_only=True)

    def abandon_late(self) -> None:
        """Abandon the requests that a stopping node can't expect to answer."""
        for request_id, state in tuple(self.active_requests.items()):
            if not state.is_abandoned and self.is_too_late(state):
                self.abandon(request_id)

    def is_too_late(self, state: RequestState) -> bool:
        """Return whether an attempt begun now would outlast a stopping node.

        It is expected to take as long as half of those before it.
        """
        median_ms = self.latencies[state.class_key].quantile(MEDIAN)
        expected_s = MIN_RESPONSE_S if median_ms is None else median_ms / MS_PER_S
        return time.monotonic() + max(expected_s, MIN_RESPONSE_S) > self.stops_at

    async def make_attempt(self, state: RequestState, cause: Cause) -> AttemptResult:
        """Make one attempt.

        If the request is idempotent, a second copy is sent when the reply is late
        or the target becomes slow, if the budgets allow.
        """
        selection = self.selector.select(state)
        if selection.member is None:
            return self.refuse_without_target(state, selection, cause)
        attempt = OutboundAttempt(state, selection, cause)
        if not state.request.call_class.is_repeatable:
            return await self.send(attempt)
        first = asyncio.create_task(self.send(attempt))
        if await self.finishes_before_hedge(first, attempt):
            return first.result()
        return await _await_first_success({first} | self.start_hedge(state))

    async def finishes_before_hedge(
        self, first: Task, attempt: OutboundAttempt
    ) -> bool:
        """Wait for the first copy until it is time to send a second one.

        :returns: whether the first copy finished before that.
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

    def on_load_report(self, report: LoadReport) -> None:
        """Store a load report; notify the attempts at a target that is slow."""
        if (
            self.selector.view.take_report(report)
            and report.slowness >= SLOWNESS_THRESHOLD
        ):
            self.slow_notifier.notify(report.node_id)

    def start_hedge(self, state: RequestState) -> Tasks:
        """Send a second copy within the region, if the budgets allow.

        A request suspected of crashing targets must run alone, so it is never
        hedged.

        :returns: the task of the second copy, or an empty set.
        """
        if self.suspects.verdict(state.fingerprint) != Verdict.FREE:
            return set()
        limit = state.request.max_targets or state.preset.schema.retry.attempts
        if state.delivered_count + len(state.active_attempts) >= limit:
            return set()
        selection = self.selector.select(state, is_same_region=True)
        if selection.member is None or selection.is_slow():
            return set()
        if self.selector.backoff.is_avoided(selection.member.node_id):
            return set()
        if not self.try_spend_hedge(state.request.call_class):
            return set()
        attempt = OutboundAttempt(state, selection, Cause.HEDGE)
        return {asyncio.create_task(self.send(attempt))}

    def try_spend_hedge(self, call_class: CallClass) -> bool:
        """Return whether the budgets and the tenant's allotment allow a hedge.

        The token is taken last, because one that is not used would be lost.
        """
        if not self.hedge_bucket.try_spend(1):
            return False
        if not self.retry_budget.try_spend(call_class.service):
            return False
        return self.take_hedge_token is None or self.take_hedge_token(call_class.tenant)

    async def send(self, attempt: OutboundAttempt) -> AttemptResult:
        """Send one attempt and record its decision and outcome."""
        state = attempt.state
        self.selector.record_attempt(state, attempt.member)
        state.active_attempts[attempt.attempt_id] = attempt.member
        self.selector.view.attempt_started(attempt.node_id, attempt.attempt_id)
        label = CANCELLED_LABEL
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
            self.selector.record_reply_size(state, size)
            if not is_failure(outcome.unwrap()):
                self.suspects.clear(state.fingerprint)
            self.selector.charge_link(attempt.member, size)
            self.latencies[state.class_key].add(attempt.elapsed_ms())
        return outcome

    def patience_s(self, state: RequestState) -> float:
        """Return how long an attempt may wait in a node's queue.

        The last attempt may wait as long as the reply can still be in time.
        Each attempt before it is limited by ``patience_ms`` of the preset. If the
        request has a due time, the limit is also a share of the time left after
        subtracting the median response time, so that others can follow.

        :returns: seconds; 0 for no limit.
        """
        patience_s = state.preset.schema.choosing.patience_ms / MS_PER_S
        is_last = (
            state.attempt_count >= FIRST_UNLIMITED_ATTEMPT
            or not self.has_untried_target(state)
            or not self.has_redirect(state)
        )
        if is_last or not patience_s or not state.request.due:
            return 0 if is_last else patience_s
        median_ms = self.latencies[state.class_key].quantile(MEDIAN) or 0
        left_s = state.request.due - time.monotonic() - median_ms / MS_PER_S
        return min(patience_s, max(left_s * PATIENCE_SHARE, MIN_PATIENCE_S))

    def has_redirect(self, state: RequestState) -> bool:
        """Return whether a request may be sent to another gate if one refuses it.

        Under overload most gates refuse, and attempts at further gates cost them
        time that other requests need. An attempt that can't be redirected waits in
        the queue of its gate instead.
        """
        is_limited = state.preset.schema.retry.redirect_share > 0
        return not is_limited or self.redirect_bucket.tokens >= 1

    def try_redirect(self, state: RequestState) -> bool:
        """Spend a redirect, if the preset limits them."""
        is_limited = state.preset.schema.retry.redirect_share > 0
        return not is_limited or self.redirect_bucket.try_spend(1)

    def finish_attempt(self, attempt: OutboundAttempt, label: str) -> None:
        """Record the end of an attempt and charge its request to the link budget.

        :param attempt: the attempt.
        :param label: outcome to be recorded.
        """
        attempt.state.active_attempts.pop(attempt.attempt_id, None)
        self.selector.view.attempt_ended(attempt.node_id, attempt.attempt_id)
        self.selector.charge_link(attempt.member, len(attempt.state.request.body))
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
        state: RequestState,
        selection: Selection,
        cause: Cause,
    ) -> AttemptResult:
        """Refuse a request for which no target is available."""
        service = state.request.call_class.service
        detail = f'no target of {service} accepts requests now'
        refusal = Failure(
            not_run_refusal(Reason.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_S)
        )
        record = decision_record(state, selection, cause)
        record.outcome = outcome_label(refusal)
        self.recorder.add(record)
        return refusal

    def refuse_suspect(self, state: RequestState) -> Refusal:
        """Refuse a request that is suspected of crashing targets."""
        return not_run_refusal(
            Reason.SUSPECT,
            'targets died while they ran this request',
            self.suspects.remaining_s(state.fingerprint),
        )

    def should_retry(self, state: RequestState, outcome: AttemptResult) -> bool:
        """Return whether to retry a request.

        Only requests that were certainly not executed or that are idempotent are
        retried. The order of the checks matters: the budget is spent last, and
        only if an attempt has reached a target.
        """
        if isinstance(outcome, Success) and not is_failure(outcome.unwrap()):
            return False
        if state.is_abandoned or not _is_safe_to_retry(state, outcome):
            return False
        if not self.has_untried_target(state) or self.is_exhausted(state, outcome):
            return False
        if time.monotonic() >= state.request.deadline or self.is_too_late(state):
            return False
        if not state.delivered_count:
            return self.try_redirect(state)
        return self.retry_budget.try_spend(state.request.call_class.service)

    def is_exhausted(self, state: RequestState, outcome: AttemptResult) -> bool:
        """Return whether a request has used up its attempts.

        Attempts that the target's node refuses reach no target, so they don't
        count towards the limit of targets; a separate limit bounds them. A request
        is also exhausted if an attempt without a patience limit missed its deadline.
        """
        if _has_last_attempt_missed_deadline(state, outcome):
            return True
        limit = state.request.max_targets or state.preset.schema.retry.attempts
        return (
            state.delivered_count >= limit
            or state.attempt_count >= limit + MAX_UNDELIVERED_ATTEMPTS
        )

    def has_untried_target(self, state: RequestState) -> bool:
        """Return whether there is a target left to try."""
        return bool(self.selector.eligible_targets(state).members)


def _has_last_attempt_missed_deadline(
    state: RequestState, outcome: AttemptResult
) -> bool:
    """Return whether an attempt without a patience limit missed its deadline."""
    if isinstance(outcome, Success) or state.attempt_count < FIRST_UNLIMITED_ATTEMPT:
        return False
    return bool(outcome.failure().reason == Reason.DEADLINE)


def _is_safe_to_retry(state: RequestState, outcome: AttemptResult) -> bool:
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
        if not any(map(asyncio.Future.done, awaited)):
            await process_arrived()
    except asyncio.CancelledError:
        for task in tasks:
            task.cancel()
        raise
    done = set(filter(asyncio.Task.done, tasks))
    return done, tasks - done


async def _await_first_success(
    tasks: Tasks,
) -> AttemptResult:
    """Return the first successful reply and cancel the other tasks.

    If no task succeeds, return the outcome of the last one.
    """
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
