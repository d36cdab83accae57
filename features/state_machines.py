"""Hypothesis state machines that search for histories which violate an invariant.

A history is a generated sequence of rules and their arguments. Each machine runs
one component on simulated time. Its rules lose, repeat and delay messages, and
freeze and restart the processes around the component.

Usage: ``python features/state_machines.py [HISTORIES]``.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections import Counter
from unittest.mock import Mock

from builders import call_request, gate_without_target, ready_preset
from fakes import (
    FakeClaimLog,
    FakeClient,
    FakeHolders,
    FakeLog,
    FakeRouter,
    FakeTarget,
    SentAttempt,
    StoredLog,
    decode_fake_record,
)
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Failure, Success

from lavendermount_core.log.adapter import LogAdapter
from lavendermount_core.models.calls import (
    CallReply,
    CallRequest,
    Reason,
    not_run_refusal,
)
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.claims.claims import ClaimService
from lavendermountd.dialects.base import ReplyMetadata
from lavendermountd.gate.attempts import Attempt, AttemptResult
from lavendermountd.gate.reports import ReportedState, TargetReport
from lavendermountd.gate.target import TargetState
from lavendermountd.gate.target_client import TargetAnswer, TargetError
from lavendermountd.gate.target_monitor import TargetMonitor
from lavendermountd.http1.messages import WireReply
from lavendermountd.log_recovery import REWRITE_SPREAD_S
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.keyed_follower import KeyedPresetFollower

OK = 200
NODE_COUNT = 3
KEY = 'k'
GOSSIP_S = 2.0
REPORT_INTERVAL_S = 1.5
SERVER_ERROR = 500
STEPS_PER_HISTORY = 40
DEFAULT_HISTORIES = 10000
# Selects an element of a list, modulo the length of the list.
PICK = st.integers(0, 10**6)
DEADLINE_S = 3.0


def _has_pending_attempt(machine: AttemptMachineBase) -> bool:
    return bool(machine.pending_attempts())


def _has_not_run_attempt(machine: AttemptMachineBase) -> bool:
    return any(sent.is_not_run for sent in machine.sent_attempts)


def _is_target_busy(machine: AttemptMachineBase) -> bool:
    return bool(machine.target.running)


def _has_no_late_report(machine: AttemptMachineBase) -> bool:
    return machine.late_reports == 0


def _has_written_preset(machine: PresetMachine) -> bool:
    return bool(machine.written_revisions)


class AttemptMachineBase(RuleBasedStateMachine):
    """A gate with a fake target and senders, and the invariants of its attempts."""

    def __init__(self) -> None:
        """Start with a target that is up and has reported that it is ready."""
        super().__init__()
        self.time = SimulatedTime()
        self.time.__enter__()
        self.target = FakeTarget()
        self.sent_attempts: list[SentAttempt] = []
        self.attempt_counts: Counter[str] = Counter()
        self.reports: list[TargetReport] = []
        self.late_reports = 0
        self.sequence = 0
        self.incarnation = 0
        self.time.run(self.start_gate())
        # The first report of an unknown target must be confirmed by a second one
        # of the same start.
        self.report_state(ReportedState.READY)
        self.time.advance(REPORT_INTERVAL_S)
        self.report_state(ReportedState.READY)

    def teardown(self) -> None:
        """Close the event loop."""
        self.time.__exit__(None, None, None)

    async def start_gate(self) -> None:
        """Start the node's process with an empty gate."""
        self.incarnation += 1
        self.late_reports = 0
        self.gate, self.lifecycle = gate_without_target(self.incarnation)
        self.gate.client = FakeClient(self.target, self.gate)  # type: ignore[assignment]

    def settle(self) -> None:
        """Run every task that is ready and collect the outcomes of attempts."""
        self.time.advance(0.001)
        for sent in self.sent_attempts:
            if sent.outcome is None and sent.task is not None and sent.task.done():
                sent.outcome = sent.task.result()

    def report_state(self, state: ReportedState, has_start_time: bool = True) -> None:
        """Send a report of the target and let the gate process it.

        Once the gate has processed a departure, it must start no more work at
        that process of the target.

        :param state: state that is reported.
        :param has_start_time: whether the report tells when the target started.
        """
        self.sequence += 1
        report = TargetReport(
            'dealer-desk',
            '127.0.0.1',
            1,
            2,
            self.target.start[0],
            state,
            self.target.start[1] if has_start_time else 0,
            self.sequence,
        )
        self.reports.append(report)
        self.time.run(self.apply_report(report))
        if state != ReportedState.READY:
            self.target.departed_starts.add(self.target.start)
        self.settle()

    async def apply_report(self, report: TargetReport) -> None:
        """Pass a report to the lifecycle, inside the event loop."""
        self.lifecycle.handle_report(report)

    async def apply_health_reply(self, reply: WireReply) -> None:
        """Pass the reply to a health check to the monitor, inside the event loop."""
        TargetMonitor(self.gate, needs_health=True).handle_health_reply(reply)

    def pending_attempts(self) -> list[SentAttempt]:
        """List the attempts whose sender still waits for an outcome."""
        return [sent for sent in self.sent_attempts if sent.outcome is None]

    def add_attempt(self, request: CallRequest) -> None:
        """Send one more attempt of a request; it is not delivered yet."""
        self.attempt_counts[request.request_id] += 1
        attempt_id = f'{request.request_id}-{self.attempt_counts[request.request_id]}'
        sent = SentAttempt(attempt_id, request, self.incarnation, self.time.now)
        self.sent_attempts.append(sent)

    async def start_attempt(self, sent: SentAttempt, patience_s: float) -> None:
        """Run an attempt in a separate task, as the peer server does."""
        attempt = Attempt(
            sent.attempt_id, sent.request, sent.request.request_id, is_remote=True
        )
        attempt.patience_s = patience_s
        task = asyncio.create_task(self.gate.execute(attempt))
        if not sent.delivered_to_incarnation:
            sent.task = task
        sent.delivered_to_incarnation = self.incarnation

    async def start_outcome_query(
        self, sent: SentAttempt
    ) -> asyncio.Task[AttemptResult]:
        """Ask the gate for the outcome of an attempt, in a separate task."""
        age_ms = (self.time.now - sent.sent_at) * 1000
        query = self.gate.outcome_of(sent.attempt_id, sent.incarnation, age_ms)
        return asyncio.create_task(query)

    async def cancel_node_tasks(self) -> None:
        """Cancel all tasks of the node; the target sees its connections close."""
        own = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not own]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    @invariant()
    def unrepeatable_requests_run_once(self) -> None:
        """Check that requests which are not repeatable ran at most once."""
        runs: Counter[str] = Counter()
        for sent in self.sent_attempts:
            if not sent.request.call_class.is_repeatable:
                runs[sent.request.request_id] += self.target.execution_counts[
                    sent.attempt_id
                ]
        repeated = [name for name, times in runs.items() if times > 1]
        assert not repeated, repeated

    @invariant()
    def attempts_run_once(self) -> None:
        """Check that no attempt ran twice, even that of a repeatable request."""
        repeated = [
            name for name, times in self.target.execution_counts.items() if times > 1
        ]
        assert not repeated, repeated

    @invariant()
    def not_run_attempts_never_run(self) -> None:
        """Check that an attempt reported as not run has not run, also not later."""
        for sent in self.sent_attempts:
            if sent.is_not_run:
                assert not self.target.execution_counts[sent.attempt_id], (
                    sent.attempt_id
                )

    @invariant()
    def replies_match_attempts(self) -> None:
        """Check that each attempt got its own reply and not that of another."""
        for sent in self.sent_attempts:
            if isinstance(sent.outcome, Success):
                assert sent.outcome.unwrap().body == sent.attempt_id.encode()

    @invariant()
    def no_work_after_departure(self) -> None:
        """Check that no work started at a target after its departure was processed."""
        assert not self.target.started_after_departure

    @invariant()
    def nothing_is_sent_after_its_deadline(self) -> None:
        """Check that no request was sent late, also not after a freeze."""
        assert not self.target.sent_after_deadline

    @invariant()
    def slots_are_not_exceeded(self) -> None:
        """Check that the target never runs more requests than it has slots.

        The target always reports 2 slots. Its state at the gate must also be valid.
        """
        busy = [
            execution
            for execution in self.target.running
            if not execution.answer.done()
        ]
        assert len(busy) <= max(self.gate.target.slots, 2), len(busy)
        assert self.gate.target.state in TargetState


class AttemptMachine(AttemptMachineBase):
    """Attempts at a gate whose links, processes and clock fail."""

    @rule(is_repeatable=st.booleans())
    def send(self, is_repeatable: bool) -> None:
        """Send the first attempt of a new request; it is not delivered yet."""
        request = call_request('GET' if is_repeatable else 'POST')
        request.request_id = f'r{len(self.sent_attempts)}'
        request.deadline = self.time.now + DEADLINE_S
        self.add_attempt(request)

    @precondition(_has_not_run_attempt)
    @rule(pick=PICK)
    def resend_not_run(self, pick: int) -> None:
        """Send another attempt of a request that was reported as not run."""
        last = {sent.request.request_id: sent for sent in self.sent_attempts}
        refused = [sent for sent in last.values() if sent.is_not_run]
        if refused:
            self.add_attempt(refused[pick % len(refused)].request)

    @precondition(_has_pending_attempt)
    @rule(pick=PICK, patience_s=st.sampled_from((0, 0.1)))
    def deliver_attempt(self, pick: int, patience_s: float) -> None:
        """Deliver an attempt to the gate, possibly for the second time.

        Connections end with the process, so an attempt that was delivered to
        an earlier incarnation is not delivered to a later one.
        """
        waiting = self.pending_attempts()
        sent = waiting[pick % len(waiting)]
        if sent.delivered_to_incarnation not in {0, self.incarnation}:
            return
        self.time.run(self.start_attempt(sent, patience_s))
        self.settle()

    @precondition(_has_pending_attempt)
    @rule(pick=PICK)
    def lose_reply(self, pick: int) -> None:
        """Lose a link together with the reply that it should carry."""
        waiting = self.pending_attempts()
        waiting[pick % len(waiting)].task = None

    @precondition(_has_pending_attempt)
    @rule(pick=PICK)
    def query_after_link_loss(self, pick: int) -> None:
        """Lose a link; the sender asks for the outcome over another one.

        The attempt itself may be delivered afterwards.
        """
        waiting = self.pending_attempts()
        sent = waiting[pick % len(waiting)]
        sent.task = self.time.run(self.start_outcome_query(sent))
        self.settle()

    @precondition(_has_pending_attempt)
    @rule(pick=PICK, is_waiting_only=st.booleans())
    def cancel_attempt(self, pick: int, is_waiting_only: bool) -> None:
        """Cancel an attempt at the gate.

        With ``is_waiting_only``, it continues if it was already sent to the target.
        """
        waiting = self.pending_attempts()
        sent = waiting[pick % len(waiting)]
        self.gate.cancel(sent.attempt_id, is_waiting_only)
        self.settle()

    @precondition(_is_target_busy)
    @rule(pick=PICK, status=st.sampled_from((OK, SERVER_ERROR)), is_shed=st.booleans())
    def finish_attempt(self, pick: int, status: int, is_shed: bool) -> None:
        """Let the target reply to an attempt, or report that it did not run it."""
        execution = self.target.running.pop(pick % len(self.target.running))
        if execution.answer.done():
            return
        metadata = ReplyMetadata()
        if is_shed:
            metadata.is_not_run = True
            self.target.execution_counts[execution.attempt_id] -= 1
        reply = CallReply(status, 'OK', [], execution.attempt_id.encode())
        execution.answer.set_result(TargetAnswer(reply, metadata))
        self.settle()

    @rule()
    def drop_next_connection(self) -> None:
        """Make the connection that is used next fail."""
        self.target.drops_next_connection = True

    @rule()
    def crash_target(self) -> None:
        """End the target's process; its connections close."""
        self.target.is_listening = False
        for execution in self.target.running:
            if not execution.answer.done():
                lost = TargetError(Reason.TARGET_DIED, 'the connection closed')
                execution.answer.set_exception(lost)
        self.target.running.clear()
        self.settle()

    @rule(keeps_instance_name=st.booleans())
    def start_target(self, keeps_instance_name: bool) -> None:
        """Restart the target under its previous instance name or a new one."""
        self.crash_target()
        name, born = self.target.start
        self.target.start = (name if keeps_instance_name else f'i-{born + 1}', born + 1)
        self.sequence = 0
        self.target.is_listening = True
        self.report_state(ReportedState.READY)

    @rule()
    def report_ready(self) -> None:
        """Report that the target is ready, unless it is down or has left."""
        if (
            self.target.start not in self.target.departed_starts
            and self.target.is_listening
        ):
            self.report_state(ReportedState.READY)

    @rule(
        state=st.sampled_from((ReportedState.DRAINING, ReportedState.STOPPED)),
        has_start_time=st.booleans(),
    )
    def report_departure(self, state: ReportedState, has_start_time: bool) -> None:
        """Report that the target drains or has stopped."""
        self.report_state(state, has_start_time)

    @precondition(_has_no_late_report)
    @rule(pick=PICK)
    def deliver_late_report(self, pick: int) -> None:
        """Deliver an earlier report again, possibly after newer ones.

        Happens at most once per incarnation of the node.
        """
        self.late_reports += 1
        self.time.run(self.apply_report(self.reports[pick % len(self.reports)]))
        self.settle()

    @rule()
    def check_health(self) -> None:
        """Check the health of a target that the node does not know to be up.

        A target that has left replies that it is not healthy.
        """
        if not self.target.is_listening:
            return
        status = (
            SERVER_ERROR if self.target.start in self.target.departed_starts else OK
        )
        reply = WireReply(status, 'OK', [('instance', self.target.start[0])], b'', True)
        self.time.run(self.apply_health_reply(reply))
        self.settle()

    @rule()
    def restart_node(self) -> None:
        """Kill the node's process and restart it without its state."""
        self.time.run(self.cancel_node_tasks())
        for sent in self.pending_attempts():
            sent.task = None
        self.time.run(self.start_gate())

    @rule(seconds=st.sampled_from((0.05, 0.4, 2.0, 31.0, 130.0)))
    def advance_time(self, seconds: float) -> None:
        """Let time pass."""
        self.time.advance(seconds)
        self.settle()

    @rule(seconds=st.sampled_from((2.0, 70.0)))
    def freeze(self, seconds: float) -> None:
        """Let time pass while the process is frozen."""
        self.time.jump(seconds)
        self.settle()


class PresetMachine(RuleBasedStateMachine):
    """A follower of presets whose log becomes unavailable and evicts records."""

    def __init__(self) -> None:
        """Start with nothing in force."""
        super().__init__()
        self.time = SimulatedTime()
        self.time.__enter__()
        self.log = FakeLog()
        self.written_revisions: list[int] = []
        self.newest_revision = 0
        self.last_revision = -1
        self.restart_node()

    def teardown(self) -> None:
        """Close the event loop."""
        self.time.__exit__(None, None, None)

    @rule()
    def restart_node(self) -> None:
        """Restart the node without its state."""
        self.time.run(self.start_follower())
        self.last_revision = -1

    async def start_follower(self) -> None:
        """Create the follower of the log."""
        self.holder = PresetHolder()
        self.follower = KeyedPresetFollower(
            self.log,
            self.holder,
            's',
            'config',
            decode_fake_record,  # type: ignore[arg-type]
            EvacuationTable(),
        )

    @rule()
    def write_preset(self) -> None:
        """Append the preset of the next revision."""
        self.newest_revision += 1
        self.written_revisions.append(self.newest_revision)
        self.log.records.append(json.dumps(self.newest_revision).encode())

    @precondition(_has_written_preset)
    @rule(pick=PICK)
    def write_older_preset(self, pick: int) -> None:
        """Append an earlier preset once more."""
        older = self.written_revisions[pick % len(self.written_revisions)]
        self.log.records.append(json.dumps(older).encode())

    @rule()
    def write_malformed_record(self) -> None:
        """Append a record that cannot be decoded."""
        self.log.records.append(b'{"cut')

    @rule()
    def evict_old_records(self) -> None:
        """Evict all records but the newest one of the key."""
        self.log.oldest = len(self.log.records)

    @rule(is_unavailable=st.booleans())
    def set_log_availability(self, is_unavailable: bool) -> None:
        """Make the log unavailable or available again."""
        self.log.is_unavailable = is_unavailable

    @precondition(_has_written_preset)
    @rule(pick=PICK)
    def adopt_from_peer(self, pick: int) -> None:
        """Adopt the preset that another node has in force."""
        self.holder.put_in_force(
            ready_preset(self.written_revisions[pick % len(self.written_revisions)])
        )

    @rule()
    def freeze(self) -> None:
        """Mark the follower as out of date, as the node does after a freeze."""
        self.follower.is_caught_up.clear()

    @rule(times=st.integers(1, 3))
    def read_log(self, times: int) -> None:
        """Let the follower read, and check that it caught up if it could.

        Three reads suffice to see the newest record of an available log.
        """
        for _ in range(times):
            self.time.run(self.follower.step())
        if self.log.is_unavailable or times < 3:
            return
        readable = self.log.records and self.log.records[-1].isdigit()
        if readable:
            assert self.holder.revision >= int(self.log.records[-1])

    @invariant()
    def revision_never_decreases(self) -> None:
        """Check that no preset is replaced by an older one."""
        assert self.holder.revision >= self.last_revision, (
            self.holder.revision,
            self.last_revision,
        )
        self.last_revision = self.holder.revision

    @invariant()
    def only_written_revisions_in_force(self) -> None:
        """Check that only presets that were written come into force."""
        assert self.holder.revision in {-1, *self.written_revisions}


class ClaimMachine(RuleBasedStateMachine):
    """Three nodes that claim one key on a log that fails, evicts and loses records.

    A key whose record was evicted is old, so its runs are no longer counted. When
    records are lost, every node learns of it within ``GOSSIP_S``, or from its next
    answer of the log.
    """

    def __init__(self) -> None:
        """Start three nodes."""
        super().__init__()
        self.time = SimulatedTime()
        self.time.__enter__()
        self.stored = StoredLog()
        self.router = FakeRouter()
        self.services: dict[int, ClaimService] = {}
        self.incarnations = 0
        self.rewriting: list[asyncio.Task[None]] = []
        self.calls: list[asyncio.Task[AttemptResult]] = []
        for _ in range(NODE_COUNT):
            self.time.run(self.start_node())

    def teardown(self) -> None:
        """Close the event loop."""
        self.time.__exit__(None, None, None)

    async def start_node(self) -> None:
        """Start a node without claims."""
        self.incarnations += 1
        identity = Mock(node_id=f'n{self.incarnations}', incarnation=self.incarnations)
        claim_log = FakeClaimLog(self.stored)
        service = ClaimService(
            identity,
            claim_log,
            self.router,  # type: ignore[arg-type]
            FakeHolders(self.services),  # type: ignore[arg-type]
        )
        claim_log.note_era(self.stored.era)
        claim_log.era_listeners.append(lambda: self.recover(service))
        self.services[self.incarnations] = service

    def recover(self, service: ClaimService) -> None:
        """Let a node recover its claims, as it does when it sees a new era."""
        service.begin_recovery()
        self.rewriting.append(asyncio.create_task(self.rewrite(service)))

    async def rewrite(self, service: ClaimService) -> None:
        """Append the claims of a node again, after it has waited for its turn."""
        await asyncio.sleep(REWRITE_SPREAD_S)
        await service.rewrite()

    def service(self, pick: int) -> ClaimService:
        """Choose a running node."""
        services = list(self.services.values())
        return services[pick % len(services)]

    @rule(pick=PICK, delay_s=st.sampled_from((0.0, 0.0, 0.3, 1.2)))
    def send(self, pick: int, delay_s: float) -> None:
        """Send a request to a node, which the log answers late from now on."""
        service = self.service(pick)
        service.platform_log.delay_s = delay_s  # type: ignore[attr-defined]
        request = call_request('POST', key=KEY)
        request.deadline = self.time.now + DEADLINE_S
        self.calls.append(self.time.run(self.start(service, request)))
        self.time.advance(0.001)

    async def start(
        self, service: ClaimService, request: CallRequest
    ) -> asyncio.Task[AttemptResult]:
        """Run a request in a separate task, as a caller's connection does."""
        key = service.key_digest(request)
        assert key is not None
        return asyncio.create_task(service.run_once(key, request, Mock()))

    @rule(pick=PICK, has_run=st.booleans())
    def end_run(self, pick: int, has_run: bool) -> None:
        """Let a target run a request, or let every target refuse it."""
        if not self.router.pending:
            return
        key, outcome = self.router.pending.pop(pick % len(self.router.pending))
        if outcome.done():
            return
        if has_run:
            self.router.run_counts[key] += 1
            outcome.set_result(Success(CallReply(OK, 'OK', [], key.encode())))
        else:
            outcome.set_result(Failure(not_run_refusal(Reason.QUEUE_FULL, 'full')))
        self.time.advance(0.001)

    @rule(is_unavailable=st.booleans())
    def set_log_availability(self, is_unavailable: bool) -> None:
        """Make the log unavailable or available again."""
        self.stored.is_unavailable = is_unavailable

    @rule()
    def evict(self) -> None:
        """Evict all records; runs of the keys so far are no longer counted.

        A key that runs at the moment would be held by no record, so nothing is
        evicted then: records are kept much longer than a request lasts.
        """
        if any(not outcome.done() for _, outcome in self.router.pending):
            return
        self.stored.oldest = len(self.stored.records)
        self.router.run_counts.clear()

    @rule(count=st.integers(1, 4))
    def lose_latest_records(self, count: int) -> None:
        """Bring the log back from a copy that lacks its latest records."""
        self.stored.lose_latest(count)
        self.stored.is_unavailable = False
        for number, service in enumerate(self.services.values()):
            delay_s = GOSSIP_S * number / NODE_COUNT
            self.time.run(self.announce_era(service.platform_log, delay_s))

    async def announce_era(self, platform_log: LogAdapter, delay_s: float) -> None:
        """Tell a node of the new era later, as gossip does."""
        platform_log.delay_s = 0  # type: ignore[attr-defined]
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, platform_log.note_era, self.stored.era)

    @rule(seconds=st.sampled_from((0.05, 0.6, 3.5, 8.0)))
    def advance_time(self, seconds: float) -> None:
        """Let time pass."""
        self.time.advance(seconds)

    @invariant()
    def keys_run_once(self) -> None:
        """Check that no key ran twice."""
        repeated = [key for key, runs in self.router.run_counts.items() if runs > 1]
        assert not repeated, repeated


MACHINES = (AttemptMachine, PresetMachine, ClaimMachine)


def search_for_violations(
    machine: type[RuleBasedStateMachine], histories: int, is_derandomized: bool
) -> None:
    """Search for a history that violates an invariant.

    :param machine: state machine to run.
    :param histories: number of histories to generate.
    :param is_derandomized: whether every run generates the same histories.
    :raises AssertionError: with the shortest history found.
    """
    logging.disable(logging.WARNING)
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=histories,
                stateful_step_count=STEPS_PER_HISTORY,
                derandomize=is_derandomized,
                deadline=None,
                database=None,
                print_blob=not is_derandomized,
                suppress_health_check=list(HealthCheck),
            ),
        )
    finally:
        logging.disable(logging.NOTSET)


if __name__ == '__main__':
    history_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_HISTORIES
    for machine_class in MACHINES:
        search_for_violations(machine_class, history_count, is_derandomized=False)
        sys.stdout.write(
            f'machine={machine_class.__name__} histories={history_count} broken=0\n'
        )
