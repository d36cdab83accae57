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
from lavendermountd.routing.hedging import TYPICAL, SlowAlarms, hedge_wait_s
from lavendermountd.routing.journey import Cause, Choice, Journey
from lavendermountd.routing.latency import LatencyWindow
from lavendermountd.routing.retry_budget import RetryBudget
from lavendermountd.routing.sender import Sender
from lavendermountd.routing.trial import Trial, decision_record

log = logging.getLogger(__name__)

NO_TARGET_RETRY_S = 1.0
CANCELLED = 'cancelled'
MAX_REDIRECTS = 3
ENDLESS_S = 60.0
PATIENT_FROM = 3
PATIENCE_SHARE = 0.3
LEAST_PATIENCE_S = 0.01


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
        self.journeys: dict[str, Journey] = {}
        self.hedges = TokenBucket(0, 0)
        self.alarms = SlowAlarms()
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
        journey = Journey(request, preset)
        self.journeys[request.request_id] = journey
        try:
            return await self.travel(journey)
        finally:
            self.journeys.pop(request.request_id, None)

    async def travel(self, journey: Journey) -> AttemptResult:
        """Make attempts until one of them is the last."""
        preset = journey.preset
        if self.suspects.verdict(journey.fingerprint) == Verdict.REFUSED:
            return Failure(self.refuse_suspect(journey))
        self.retries.share_among(len(self.chooser.table.members))
        self.retries.earn(journey.request.call_class.service)
        self.hedges.earn(preset.schema.hedge.share)
        cause = Cause.FIRST
        while True:
            outcome = await self.attempt(journey, cause)
            if not self.may_retry(journey, outcome):
                return journey.final(outcome)
            cause = Cause.RETRY

    def abandon(self, request_id: str) -> None:
        """Start nothing more for a request whose caller has left.

        What has reached a target goes on.
        """
        journey = self.journeys.get(request_id)
        if journey is None:
            return
        journey.is_abandoned = True
        for attempt_id, member in tuple(journey.under_way.items()):
            self.sender.cancel(member, attempt_id, is_waiting_only=True)

    async def attempt(self, journey: Journey, cause: Cause) -> AttemptResult:
        """Make one attempt, and a hedge beside it if it is slow."""
        choice = self.chooser.choose(journey)
        if choice.member is None:
            return self.refuse_without_target(journey, choice, cause)
        trial = Trial(journey, choice, cause)
        if not journey.request.call_class.is_repeatable:
            return await self.send(trial)
        first = asyncio.create_task(self.send(trial))
        if await self.is_in_time(first, trial):
            return first.result()
        return await _await_or_cancel({first} | self.start_hedge(journey))

    async def is_in_time(self, first: Task, trial: Trial) -> bool:
        """Wait for the first copy until a second one is worth sending.

        :returns: whether the first copy ended before that.
        """
        request = trial.journey.request
        wait_s = hedge_wait_s(
            trial.journey.preset.schema.hedge,
            request,
            self.latencies[trial.journey.class_key],
            time.monotonic(),
        )
        if wait_s is None:
            wait_s = max(0, request.deadline - time.monotonic()) + ENDLESS_S
        with self.alarms.watch(trial.node_id) as alarm:
            rung = asyncio.ensure_future(alarm.wait())
            try:
                await _wait_for_any({first}, wait_s, rung)
            finally:
                rung.cancel()
        return first.done()

    def take_load(self, report: LoadReport) -> None:
        """Take a load report; wake who waits for a target that became slow."""
        if self.chooser.view.take_report(report) and report.slowness >= SLOW:
            self.alarms.ring(report.node_id)

    def start_hedge(self, journey: Journey) -> Tasks:
        """Send a second copy within the region, if the budget allows.

        A suspected request is never hedged: it must run alone.
        """
        if self.suspects.verdict(journey.fingerprint) != Verdict.FREE:
            return set()
        limit = journey.request.max_targets or journey.preset.schema.retry.attempts
        if journey.arrivals + len(journey.under_way) >= limit:
            return set()
        choice = self.chooser.choose(journey, is_same_region=True)
        if choice.member is None or choice.is_slow():
            return set()
        if not self.hedges.try_spend(1):
            return set()
        if not self.retries.try_spend(journey.request.call_class.service):
            return set()
        trial = Trial(journey, choice, Cause.HEDGE)
        return {asyncio.create_task(self.send(trial))}

    async def send(self, trial: Trial) -> AttemptResult:
        """Send one attempt and record its decision with the outcome."""
        journey = trial.journey
        self.chooser.note_try(journey, trial.member)
        journey.under_way[trial.attempt_id] = trial.member
        self.chooser.view.begin(trial.node_id, trial.attempt_id)
        label = CANCELLED
        try:
            outcome = await self.sender.send(
                journey,
                trial.member,
                trial.attempt_id,
                self.patience_s(journey),
            )
            label = outcome_label(outcome)
            journey.note(outcome, trial.node_id)
        finally:
            self.conclude(trial, label)
        if isinstance(outcome, Success):
            size = len(outcome.unwrap().body)
            self.chooser.learn_reply(journey, size)
            if not is_failure(outcome.unwrap()):
                self.suspects.clear(journey.fingerprint)
            self.chooser.charge_link(trial.member, size)
            self.latencies[journey.class_key].add(trial.elapsed_ms())
        return outcome

    def patience_s(self, journey: Journey) -> float:
        """How long an attempt may wait at a gate before others are asked.

        The last one that may be asked is asked to wait as long as the answer
        can be in time. Until then a request spends no more than a part of the
        time that it has left beyond its service.
        """
        patience_s = journey.preset.schema.choosing.patience_ms / MS_PER_S
        is_last = journey.attempts >= PATIENT_FROM or not self.has_others(journey)
        if is_last or not patience_s or not journey.request.due:
            return 0 if is_last else patience_s
        typical_ms = self.latencies[journey.class_key].quantile(TYPICAL) or 0
        left_s = journey.request.due - time.monotonic() - typical_ms / MS_PER_S
        return min(patience_s, max(left_s * PATIENCE_SHARE, LEAST_PATIENCE_S))

    def conclude(self, trial: Trial, label: str) -> None:
        """Note that an attempt ended, however it did.

        :param label: its outcome as recorded.
        """
        trial.journey.under_way.pop(trial.attempt_id, None)
        self.chooser.view.end(trial.node_id, trial.attempt_id)
        self.chooser.charge_link(trial.member, len(trial.journey.request.body))
        record = trial.to_record(label)
        self.recorder.add(record)
        log.info(
            'attempt-sent',
            extra={
                'attempt': trial.attempt_id,
                'cause': record.cause,
                'service': record.service,
                'class': record.call_class,
                'revision': record.revision,
                'target': record.chosen,
                'scores': _scores_text(record.scores),
                'outcome': label,
                'elapsed_ms': round(record.elapsed_ms),
            },
        )

    def refuse_without_target(
        self,
        journey: Journey,
        choice: Choice,
        cause: Cause,
    ) -> AttemptResult:
        """Refuse a request for which no target may be chosen."""
        service = journey.request.call_class.service
        detail = f'no target of {service} takes work now'
        refusal = Failure(not_run(Reason.NO_TARGET, detail, NO_TARGET_RETRY_S))
        record = decision_record(journey, choice, cause)
        record.outcome = outcome_label(refusal)
        self.recorder.add(record)
        return refusal

    def refuse_suspect(self, journey: Journey) -> Refusal:
        """Refuse a request that two targets died of."""
        return not_run(
            Reason.SUSPECT,
            'two targets died while they ran this request',
            self.suspects.remaining_s(journey.fingerprint),
        )

    def may_retry(self, journey: Journey, outcome: AttemptResult) -> bool:
        """Whether to try again: provably not run, or repeatable.

        The order matters: the budget is spent last.
        """
        if isinstance(outcome, Success) and not is_failure(outcome.unwrap()):
            return False
        if journey.is_abandoned or not _is_safe(journey, outcome):
            return False
        if not self.has_others(journey) or self.is_used_up(journey, outcome):
            return False
        if time.monotonic() >= journey.request.deadline:
            return False
        if not journey.arrivals:
            return True
        return self.retries.try_spend(journey.request.call_class.service)

    def is_used_up(self, journey: Journey, outcome: AttemptResult) -> bool:
        """Whether no further target may be tried for a request.

        What a gate refuses has reached no target; such refusals are bounded
        by a limit of their own.
        """
        if _has_waited_out(journey, outcome):
            return True
        limit = journey.request.max_targets or journey.preset.schema.retry.attempts
        return journey.arrivals >= limit or journey.attempts >= limit + MAX_REDIRECTS

    def has_others(self, journey: Journey) -> bool:
        """Whether a target is left that may be tried."""
        return bool(self.chooser.eligible(journey))


def _has_waited_out(journey: Journey, outcome: AttemptResult) -> bool:
    """Whether a request has waited at a gate until it could not be in time."""
    if isinstance(outcome, Success) or journey.attempts < PATIENT_FROM:
        return False
    return bool(outcome.failure().reason == Reason.DEADLINE)


def _is_safe(journey: Journey, outcome: AttemptResult) -> bool:
    if isinstance(outcome, Success):
        return journey.request.call_class.is_repeatable
    refusal = outcome.failure()
    if refusal.reason == Reason.CANCELLED:
        return False
    return refusal.is_not_run or journey.request.call_class.is_repeatable


def _scores_text(scores: list[tuple[str, float]]) -> str:
    return ','.join(f'{node_id}:{round(score)}' for node_id, score in scores)


async def _wait_for_any(
    tasks: Tasks,
    timeout_s: float | None,
    alarm: asyncio.Future[Any] | None = None,
) -> tuple[Tasks, Tasks]:
    awaited: set[asyncio.Future[Any]] = set(tasks)
    if alarm is not None:
        awaited.add(alarm)
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
        outcome = _best([task.result() for task in done])
        if not pending or _is_good(outcome):
            break
    for loser in pending:
        loser.cancel()
    return outcome


def _best(outcomes: list[AttemptResult]) -> AttemptResult:
    return next(filter(_is_good, outcomes), outcomes[0])


def _is_good(outcome: AttemptResult) -> bool:
    return isinstance(outcome, Success) and not is_failure(outcome.unwrap())
