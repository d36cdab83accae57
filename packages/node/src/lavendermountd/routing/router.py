"""Takes a request from its arrival to its final answer.

:units: seconds on the node's monotonic clock; milliseconds in records.
:errors: none; every failure becomes a refusal.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict

from returns.result import Failure, Success

from lavendermount_core.structure.calls import (
    CallRequest,
    Reason,
    Refusal,
    is_failure,
    not_run,
)
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.gate.suspects import SuspectTable, Verdict
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.recorder.recorder import Recorder
from lavendermountd.routing.budgets import TokenBucket
from lavendermountd.routing.chooser import Chooser
from lavendermountd.routing.journey import Cause, Choice, Journey
from lavendermountd.routing.latency import LatencyWindow
from lavendermountd.routing.retry_budget import RetryBudget
from lavendermountd.routing.sender import Sender
from lavendermountd.routing.trial import Trial, decision_record

NO_TARGET_RETRY_S = 1.0
CANCELLED = 'cancelled'
MAX_REDIRECTS = 4


Tasks = set[asyncio.Task[AttemptResult]]


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
        self.latencies: dict[str, LatencyWindow] = defaultdict(LatencyWindow)

    def configure(self, preset: InForcePreset) -> None:
        """Take over the budgets of a preset."""
        retry = preset.schema.retry
        hedge = preset.schema.hedge
        self.retries.configure(retry, max(1, len(self.chooser.table.members)))
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
        hedge_after_s = self.hedge_after_s(journey)
        if hedge_after_s is None:
            return await self.send(Trial(journey, choice, cause))
        first = asyncio.create_task(self.send(Trial(journey, choice, cause)))
        done, _ = await _wait_for_any({first}, hedge_after_s)
        if done:
            return first.result()
        hedge = self.start_hedge(journey)
        return await _await_or_cancel({first} | hedge)

    def hedge_after_s(self, journey: Journey) -> float | None:
        """Time after which a second copy is worth sending.

        :returns: seconds, or ``None`` for work that is never hedged.
        """
        hedge = journey.preset.schema.hedge
        call_class = journey.request.call_class
        if not call_class.is_repeatable or not hedge.share:
            return None
        window = self.latencies[_latency_key(journey)]
        learned = window.quantile(hedge.quantile)
        if learned is None:
            return None
        return max(learned, hedge.floor_ms) / MS_PER_S

    def start_hedge(self, journey: Journey) -> Tasks:
        """Send a second copy within the region, if the budget allows.

        A suspected request is never hedged: it must run alone.
        """
        if self.suspects.verdict(journey.fingerprint) != Verdict.FREE:
            return set()
        if not self.hedges.try_spend(1):
            return set()
        choice = self.chooser.choose(journey, is_same_region=True)
        if choice.member is None:
            return set()
        trial = Trial(journey, choice, Cause.HEDGE)
        return {asyncio.create_task(self.send(trial))}

    async def send(self, trial: Trial) -> AttemptResult:
        """Send one attempt and record its decision with the outcome."""
        journey = trial.journey
        journey.tried.add(trial.node_id)
        journey.under_way[trial.attempt_id] = trial.member
        self.chooser.view.begin(trial.node_id, trial.attempt_id)
        label = CANCELLED
        try:
            outcome = await self.sender.send(journey, trial.member, trial.attempt_id)
            label = _label(outcome)
            journey.note(outcome, trial.node_id)
        finally:
            self.conclude(trial, label)
        if isinstance(outcome, Success):
            self.chooser.charge_link(trial.member, len(outcome.unwrap().body))
            self.latencies[_latency_key(journey)].add(trial.elapsed_ms())
        return outcome

    def conclude(self, trial: Trial, label: str) -> None:
        """Note that an attempt ended, however it did.

        :param label: its outcome as recorded.
        """
        trial.journey.under_way.pop(trial.attempt_id, None)
        self.chooser.view.end(trial.node_id, trial.attempt_id)
        self.chooser.charge_link(trial.member, len(trial.journey.request.body))
        self.recorder.add(trial.to_record(label))

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
        record.outcome = _label(refusal)
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
        if not self.has_others(journey) or self.is_used_up(journey):
            return False
        if time.monotonic() >= journey.request.deadline:
            return False
        if not journey.arrivals:
            return True
        return self.retries.try_spend(journey.request.call_class.service)

    def is_used_up(self, journey: Journey) -> bool:
        """Whether no further target may be tried for a request.

        What a gate refuses has reached no target; such refusals are bounded
        by a limit of their own.
        """
        limit = journey.request.max_targets or journey.preset.schema.retry.attempts
        return journey.arrivals >= limit or journey.attempts >= limit + MAX_REDIRECTS

    def has_others(self, journey: Journey) -> bool:
        """Whether a target is left that was not tried."""
        service = journey.request.call_class.service
        return bool(self.chooser.eligible(service, journey.tried))


def _is_safe(journey: Journey, outcome: AttemptResult) -> bool:
    if isinstance(outcome, Success):
        return journey.request.call_class.is_repeatable
    refusal = outcome.failure()
    if refusal.reason == Reason.CANCELLED:
        return False
    return refusal.is_not_run or journey.request.call_class.is_repeatable


def _label(outcome: AttemptResult) -> str:
    if isinstance(outcome, Success):
        return f'whole:{outcome.unwrap().status}'
    refusal = outcome.failure()
    return f'{refusal.outcome}:{refusal.reason}'


def _latency_key(journey: Journey) -> str:
    call_class = journey.request.call_class
    return f'{call_class.service}/{call_class.name}'


async def _wait_for_any(
    tasks: Tasks,
    timeout_s: float | None,
) -> tuple[Tasks, Tasks]:
    try:
        return await asyncio.wait(
            tasks,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
    except asyncio.CancelledError:
        for task in tasks:
            task.cancel()
        raise


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
