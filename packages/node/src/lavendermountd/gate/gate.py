"""The gate: every request to the node's own target passes through it.

The gate therefore knows exactly what runs on the target. It reports ``not-run``
only for requests of which no byte was sent or which the target reports as not
run, and ``unknown`` whenever a request may have run.

:units: seconds on the node's monotonic clock; milliseconds in reports.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Final

from returns.result import Failure, Success

from lavendermount_core.models.calls import (
    Reason,
    Refusal,
    is_failure,
    not_run_refusal,
    unknown_refusal,
)
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.utils.deadlines import Deadline
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.dialects.base import Dialect, ReplyMetadata, TargetLoad
from lavendermountd.gate.admission import Admission
from lavendermountd.gate.attempt_table import (
    ID_RETENTION_S,
    AttemptTable,
    refuse_tombstoned,
)
from lavendermountd.gate.attempts import (
    Attempt,
    AttemptResult,
    outcome_label,
    wait_and_refusal,
)
from lavendermountd.gate.concurrency_limit import ConcurrencyLimit
from lavendermountd.gate.queue import SlotQueue
from lavendermountd.gate.suspects import SuspectTable, Verdict
from lavendermountd.gate.target import Target, TargetState
from lavendermountd.gate.target_client import TargetClient, TargetError
from lavendermountd.gate.target_limits import TargetLimits
from lavendermountd.identity import Identity
from lavendermountd.peer.frames import CrashSuspicion

log = logging.getLogger(__name__)

TARGET_DOWN_RETRY_AFTER_S = 1.0
NO_RETRY_AFTER: Final = 0
# Failed exchanges that say nothing about the target.
NODE_FAULTS = frozenset((Reason.CONNECTION_LOST, Reason.NO_MEMORY))
# Time within which a terminating process closes the connections that it has accepted.
EXIT_GRACE_S = 0.03
# Older lookups of an identifier that has no record are answered with ``unknown``: after
# ``ID_RETENTION_S``, an attempt that ran looks like one that never arrived. Half of
# that time leaves a margin.
MAX_LOOKUP_AGE_MS = ID_RETENTION_S * MS_PER_S / 2


class Gate:
    """Admits attempts, dispatches them to the target and records their outcomes.

    :param identity: the node's own name and incarnation.
    :param dialect: header dialect that the target speaks.
    """

    def __init__(self, identity: Identity, dialect: Dialect) -> None:
        """Create a gate without a known target."""
        self.identity = identity
        self.target = Target()
        self.client = TargetClient(self.target, dialect)
        self.queue = SlotQueue(self.target)
        self.limits = TargetLimits(self.target, self.queue)
        self.attempt_table = AttemptTable()
        self.concurrency_limit = ConcurrencyLimit()
        self.suspects = SuspectTable()
        self.sequence = 0
        self.on_suspect: Callable[[CrashSuspicion], None] = _ignore_suspect
        self.on_load_change: Callable[[], None] = _ignore_change
        self.on_slowness_change: Callable[[], None] = _ignore_change
        self.refresh_load: Callable[[], Awaitable[None]] = _refresh_nothing
        self.on_other_target: Callable[[], None] = _ignore_change
        # Called with the instance that says it is leaving, and the kind of answer.
        self.on_leaving: Callable[[str, str], None] = _ignore_leaving

    @property
    def admission(self) -> Admission:
        """Slots of the target and the requests that hold or await them."""
        return self.queue.admission

    @property
    def is_accepting(self) -> bool:
        """Whether the target may get new requests."""
        is_open = not self.queue.is_closed and not self.queue.is_evacuated
        return is_open and self.target.is_accepting

    def load(self) -> LoadReport:
        """Create a report of the target's current load."""
        self.sequence += 1
        target = self.target
        rate_limit = self.queue.rate_limit
        now = time.monotonic()
        return LoadReport(
            self.identity.node_id,
            self.identity.incarnation,
            self.sequence,
            self.admission.in_flight,
            self.admission.queued,
            target.slots,
            round(target.current_service_ms(now), 2),
            round(target.current_failure_ratio(now), 3),
            target.warm_ms(now),
            self.is_accepting,
            round(target.current_slowness(now), 2),
            round(rate_limit.rate_per_s, 3) if rate_limit.is_active else 0,
            round(rate_limit.wait_s(self.admission.queued + 1) * MS_PER_S),
        )

    async def execute(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt in the calling task and record its outcome.

        If the task is cancelled, the attempt ends but this method still returns:
        the outcome then tells whether the request may have run.

        :param attempt: a new attempt.
        :returns: the reply, or the reason why there is none.
        """
        if not self.attempt_table.open(attempt):
            return refuse_tombstoned()
        attempt.task = asyncio.current_task()
        try:
            outcome = await self.admit_and_run(attempt)
        except asyncio.CancelledError:
            outcome = Failure(_refuse_interrupted(attempt, Reason.CANCELLED))
        except Exception:
            log.exception('attempt-failed', extra={'attempt': attempt.attempt_id})
            outcome = Failure(_refuse_interrupted(attempt, Reason.INTERNAL))
        self.attempt_table.close(attempt, outcome, time.monotonic())
        self.log_outcome(attempt, outcome)
        return outcome

    def log_outcome(self, attempt: Attempt, outcome: AttemptResult) -> None:
        """Log the outcome of an attempt, its times and the current load."""
        now = time.monotonic()
        started_at = attempt.started_at or now
        label = outcome_label(outcome)
        log.info(
            'attempt-ended',
            extra={
                'attempt': attempt.attempt_id,
                'class': attempt.request.call_class.name,
                'outcome': label,
                'waited_ms': round((started_at - attempt.arrived_at) * MS_PER_S),
                'ran_ms': round((now - started_at) * MS_PER_S),
                'left_ms': round((attempt.request.deadline - now) * MS_PER_S),
                'instance': self.target.instance,
                'in_flight': self.admission.in_flight,
                'queued': self.admission.queued,
                'slowness': round(self.target.current_slowness(now), 2),
                **wait_and_refusal(attempt, outcome),
            },
        )

    async def admit_and_run(self, attempt: Attempt) -> AttemptResult:
        """Wait for a slot and run the attempt while holding it."""
        refusal = self.refusal_before_queue(attempt)
        if refusal is not None:
            return Failure(refusal)
        verdict = self.suspects.verdict(attempt.fingerprint)
        ticket = self.queue.tickets.build(
            attempt.request, verdict == Verdict.EXCLUSIVE, attempt.patience_s
        )
        attempt.ticket = ticket
        refusal = await self.queue.acquire_slot(ticket)
        if refusal is not None:
            return Failure(refusal)
        try:
            return await self.run_unless_slow(attempt)
        finally:
            self.queue.release_slot(ticket, attempt.is_sent)

    async def run_unless_slow(self, attempt: Attempt) -> AttemptResult:
        """Run an attempt that holds a slot, unless the target's VM is slow.

        The last load report of the target may be older than the state of its VM.
        If other targets may still accept the request, the target is therefore
        asked for its load again right before the request is sent.
        """
        if attempt.patience_s:
            await self.refresh_load()
            if self.target.is_slow:
                return Failure(
                    self.queue.refuse(Reason.BUSY, 'the VM of the target is slow')
                )
        return await self.run(attempt)

    def refusal_before_queue(self, attempt: Attempt) -> Refusal | None:
        """Return the refusal of a request that can't run here; ``None`` if it may."""
        if self.queue.is_evacuated:
            return self.queue.refuse_evacuated()
        if self.queue.is_closed or self.target.state == TargetState.DRAINING:
            return self.queue.refuse_draining()
        if not self.target.is_accepting:
            return not_run_refusal(
                Reason.TARGET_DOWN,
                'the target does not accept connections',
                TARGET_DOWN_RETRY_AFTER_S,
            )
        if self.suspects.verdict(attempt.fingerprint) != Verdict.REFUSED:
            return None
        return not_run_refusal(
            Reason.SUSPECT,
            'targets died while they ran this request',
            self.suspects.remaining_s(attempt.fingerprint),
        )

    def record_slowness(self, load: TargetLoad) -> None:
        """Store the slowness that the target reports.

        When the target becomes slow, queued requests that other targets may
        accept are refused, so that they are retried there.
        """
        was_slow = self.target.is_slow
        self.target.record_slowness(load.slowness, time.monotonic())
        if self.target.is_slow == was_slow:
            return
        self.on_slowness_change()
        if self.target.is_slow:
            self.queue.refuse_waiting(is_limited_wait_only=True)

    def apply_state(self, metadata: ReplyMetadata) -> None:
        """Apply what a genuine reply of the current start says about the target."""
        if metadata.is_other_target or not metadata.is_genuine:
            return
        self.limits.record_named(metadata.limit_per_s, 'reply')
        if metadata.is_leaving:
            self.on_leaving(self.target.instance, 'reply')

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Send the request of an attempt that holds a slot and await the reply.

        A request whose deadline has passed is not sent: the process may have been
        frozen since the attempt was accepted. Nor is one whose zone was evacuated
        since then.
        """
        if self.queue.is_evacuated:
            return Failure(self.queue.refuse_evacuated())
        started_at = time.monotonic()
        if started_at > attempt.request.deadline:
            detail = 'the deadline passed before the request was sent'
            return Failure(not_run_refusal(Reason.DEADLINE, detail))
        in_flight = self.admission.in_flight
        attempt.started_at = started_at
        self.target.begin(attempt.attempt_id, started_at)
        try:
            async with Deadline(attempt.request.deadline):
                answer = await self.client.exchange(attempt)
        except TargetError as error:
            return Failure(await self.refusal_for(attempt, error))
        except TimeoutError:
            self.observe(started_at, is_failure=True)
            return Failure(_refuse_interrupted(attempt, Reason.DEADLINE))
        except asyncio.CancelledError:
            self.observe_cancelled(started_at)
            raise
        finally:
            self.record_end(attempt, started_at)
        refusal = self.refusal_from(answer.metadata)
        if attempt.target_start_number == self.target.start_number:
            self.apply_state(answer.metadata)
        is_failed = refusal is not None or is_failure(answer.reply)
        self.observe(started_at, is_failure=is_failed)
        if refusal is not None:
            return Failure(refusal)
        self.suspects.clear(attempt.fingerprint)
        if not is_failed:
            self.update_concurrency_limit(attempt, started_at, in_flight)
        return Success(answer.reply)

    def record_end(self, attempt: Attempt, started_at: float) -> None:
        """Record that a request has ended at the target."""
        now = time.monotonic()
        self.target.end(attempt.attempt_id, now)
        self.queue.tickets.record_end(attempt.request.call_class, now - started_at, now)

    def update_concurrency_limit(
        self, attempt: Attempt, started_at: float, in_flight: int
    ) -> None:
        """Update run times and the concurrency limit with a completed request.

        For the limit, requests that ran while the target's VM was slow are not counted.
        """
        call_class = attempt.request.call_class
        ran_s = time.monotonic() - started_at
        self.queue.tickets.record_completed(call_class, ran_s)
        if self.target.is_slow or self.target.last_above_normal_at > started_at:
            return
        self.concurrency_limit.observe(
            call_class.name, in_flight, self.target.slots, ran_s * MS_PER_S
        )
        self.queue.set_slots(self.concurrency_limit.slots_to_use(self.target.slots))

    def refusal_from(self, metadata: ReplyMetadata) -> Refusal | None:
        """Return the refusal that the headers of a reply imply, if any."""
        if metadata.load is not None:
            self.record_slowness(metadata.load)
        if metadata.is_other_target:
            self.on_other_target()
            detail = 'another target answered at this address'
            return not_run_refusal(
                Reason.OTHER_TARGET, detail, TARGET_DOWN_RETRY_AFTER_S
            )
        if metadata.is_not_run:
            return self.queue.refuse(
                Reason.TARGET_SHED, 'the target accepts no more work'
            )
        if not metadata.is_genuine:
            return unknown_refusal(
                Reason.TARGET_REPLY,
                'the reply lacks the headers that every reply of the target carries',
            )
        return None

    def observe_cancelled(self, started_at: float) -> None:
        """Add an exchange that was cancelled before its reply.

        Another copy of the request was answered first, or the request was abandoned.
        """
        self.target.observe_cancelled((time.monotonic() - started_at) * MS_PER_S)

    def observe(self, started_at: float, is_failure: bool) -> None:
        """Add a finished exchange to the target's averages."""
        elapsed_ms = (time.monotonic() - started_at) * MS_PER_S
        self.target.observe(elapsed_ms, is_failure)

    async def refusal_for(self, attempt: Attempt, error: TargetError) -> Refusal:
        """Return the refusal for a failed exchange and update the target's state.

        A target that can't be reached is marked as down. If the target died after
        the request was sent, the request is suspected of having crashed it.
        """
        if error.reason == Reason.OVERLOADED:
            return self.queue.refuse(Reason.OVERLOADED, str(error))
        if error.reason == Reason.TARGET_DOWN:
            self.mark_down()
        if not attempt.is_sent:
            return not_run_refusal(error.reason, str(error), TARGET_DOWN_RETRY_AFTER_S)
        if not await self.is_target_down():
            if error.reason not in NODE_FAULTS:
                self.target.observe(0, is_failure=True)
            return unknown_refusal(error.reason, str(error), NO_RETRY_AFTER)
        self.target.observe(0, is_failure=True)
        self.suspect_request(attempt)
        return unknown_refusal(
            Reason.TARGET_DIED, str(error), TARGET_DOWN_RETRY_AFTER_S
        )

    async def is_target_down(self) -> bool:
        """Whether the target refuses connections now.

        A terminating process may still accept a connection and reset it at
        once; in that case a second connection attempt decides.
        """
        for _ in range(2):
            try:
                connection = await self.client.connect()
            except TargetError as error:
                return error.reason == Reason.TARGET_DOWN
            try:
                await asyncio.wait({connection.reader}, timeout=EXIT_GRACE_S)
            finally:
                self.client.put_back(connection)
            if not connection.reader.done():
                return False
        return False

    def suspect_request(self, attempt: Attempt) -> None:
        """Record the request as a possible cause of the target's death."""
        victim = f'{self.identity.node_id}:{attempt.target_start_number}'
        frame = self.suspects.add_victim(attempt.fingerprint, victim)
        if frame is None:
            return
        log.warning(
            'crash-suspect',
            extra={
                'attempt': attempt.attempt_id,
                'fingerprint': attempt.fingerprint,
                'victims': ','.join(frame.victims),
            },
        )
        self.on_suspect(frame)

    def merge_suspicion(self, frame: CrashSuspicion) -> None:
        """Merge a suspicion from another node and forward it if it was new."""
        if self.suspects.merge(frame):
            self.on_suspect(self.suspects.describe(frame.fingerprint))

    def mark_down(self) -> None:
        """Mark the target as down.

        New requests are refused until the target monitor or a report of the
        target marks it as up again.
        """
        if self.target.state != TargetState.UP:
            return
        self.target.state = TargetState.DOWN
        self.client.close_idle()
        log.warning('target-down', extra={'service': self.target.service})
        self.on_load_change()

    def cancel(self, attempt_id: str, is_waiting_only: bool = False) -> None:
        """Cancel an attempt.

        :param attempt_id: identifier of the attempt.
        :param is_waiting_only: whether to cancel the attempt only if no byte of its
            request has been sent, because the target may already be running it.
        """
        attempt = self.attempt_table.running.get(attempt_id)
        if attempt is None or attempt.task is None:
            return
        if is_waiting_only and attempt.is_sent:
            return
        attempt.task.cancel()

    async def outcome_of(
        self,
        attempt_id: str,
        incarnation: int,
        age_ms: float,
    ) -> AttemptResult:
        """Return the outcome of an attempt whose link was lost.

        If the attempt has never arrived, its identifier gets a tombstone, so
        that it can no longer run. One that runs is found however long it has taken.

        :param attempt_id: identifier of the attempt.
        :param incarnation: incarnation of the gate that it was sent to.
        :param age_ms: time since it was sent.
        :returns: the outcome, as soon as there is one.
        """
        if incarnation != self.identity.incarnation:
            return Failure(
                unknown_refusal(
                    Reason.LINK_LOST, 'the gate no longer has a record of the attempt'
                )
            )
        table = self.attempt_table
        if age_ms <= MAX_LOOKUP_AGE_MS and table.add_tombstone(
            attempt_id, time.monotonic()
        ):
            return refuse_tombstoned()
        attempt = table.running.get(attempt_id)
        if attempt is None:
            return table.outcome_of(attempt_id)
        return await asyncio.shield(attempt.finished)


def _refuse_interrupted(attempt: Attempt, reason: Reason) -> Refusal:
    if attempt.is_sent:
        return unknown_refusal(
            reason, 'the request was interrupted before the target answered'
        )
    return not_run_refusal(reason, 'the request was interrupted before it was sent')


def _ignore_suspect(frame: CrashSuspicion) -> None:
    """Do nothing; the node installs the real callback."""


def _ignore_leaving(instance: str, evidence: str) -> None:
    """Do nothing; the node installs the real callback."""


async def _refresh_nothing() -> None:
    """Do nothing; the node installs the real callback."""


def _ignore_change() -> None:
    """Do nothing; the node installs the real callback."""
