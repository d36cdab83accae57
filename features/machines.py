"""State machines that search for a history which breaks a promise.

Each machine plays one part of the product on simulated time, with everything
around it that may be lost, repeated, late, frozen or started again as its
moves, and the promises as invariants.

Usage: ``python features/machines.py [HISTORIES]``.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections import Counter

from builders import call_request, machine_gate, stated_preset
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from played import Frame, PlayedClient, PlayedLog, PlayedTarget, decode_played
from returns.result import Success

from lavendermount_core.structure.calls import CallReply, CallRequest, Reason
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.dialects.base import ReplyFacts
from lavendermountd.gate.attempts import Attempt, AttemptResult
from lavendermountd.gate.reports import ReportedState, TargetReport
from lavendermountd.gate.target import TargetState
from lavendermountd.gate.target_client import TargetAnswer, TargetError
from lavendermountd.gate.watch import TargetWatch
from lavendermountd.http1.messages import WireReply
from lavendermountd.presets.holder import PresetHolder
from lavendermountd.presets.newest import NewestPresetFollower

OK = 200
FAILED = 500
STEPS = 40
DEFAULT_HISTORIES = 10000
PICK = st.integers(0, 10**6)
DEADLINE_S = 3.0


def _is_any_open(world: AttemptWorld) -> bool:
    return bool(world.open_frames())


def _is_any_refused(world: AttemptWorld) -> bool:
    return any(frame.is_not_run for frame in world.frames)


def _is_target_busy(world: AttemptWorld) -> bool:
    return bool(world.target.running)


def _is_none_late(world: AttemptWorld) -> bool:
    return world.late_since_start == 0


def _is_any_written(machine: PresetMachine) -> bool:
    return bool(machine.written)


class AttemptWorld(RuleBasedStateMachine):
    """A gate with what surrounds it, and the promises that it keeps."""

    def __init__(self) -> None:
        """Start with a target that is up and has said so."""
        super().__init__()
        self.time = SimulatedTime()
        self.time.__enter__()
        self.target = PlayedTarget()
        self.frames: list[Frame] = []
        self.attempts: Counter[str] = Counter()
        self.reports: list[TargetReport] = []
        self.late_since_start = 0
        self.sequence = 0
        self.incarnation = 0
        self.time.run(self.open_gate())
        self.say(ReportedState.READY)
        self.say(ReportedState.READY)

    def teardown(self) -> None:
        """End the loop."""
        self.time.__exit__(None, None, None)

    async def open_gate(self) -> None:
        """Start the node's process."""
        self.incarnation += 1
        self.late_since_start = 0
        self.gate, self.keeper = machine_gate(self.incarnation)
        self.gate.client = PlayedClient(self.target, self.gate)  # type: ignore[assignment]

    def settle(self) -> None:
        """Let everything that can happen now happen."""
        self.time.advance(0.001)
        for frame in self.frames:
            if frame.outcome is None and frame.task is not None and frame.task.done():
                frame.outcome = frame.task.result()

    def say(self, state: ReportedState, says_born: bool = True) -> None:
        """Let the target report, and note what the answer promises.

        :param says_born: whether it says when its start began.
        """
        self.sequence += 1
        report = TargetReport(
            'dealer-desk',
            '127.0.0.1',
            1,
            2,
            self.target.start[0],
            state,
            self.target.start[1] if says_born else 0,
            self.sequence,
        )
        self.reports.append(report)
        self.time.run(self.take(report))
        if state != ReportedState.READY:
            self.target.left.add(self.target.start)
        self.settle()

    async def take(self, report: TargetReport) -> None:
        """Hand a report to the keeper, in the loop."""
        self.keeper.take_report(report)

    async def take_health(self, reply: WireReply) -> None:
        """Hand an answer about health to the watch, in the loop."""
        TargetWatch(self.gate, needs_health=True).take(reply)

    def open_frames(self) -> list[Frame]:
        """List the attempts whose sender still waits for an outcome."""
        return [frame for frame in self.frames if frame.outcome is None]

    def put_frame(self, request: CallRequest) -> None:
        """Put one more attempt of a request on its way."""
        self.attempts[request.request_id] += 1
        attempt_id = f'{request.request_id}-{self.attempts[request.request_id]}'
        frame = Frame(attempt_id, request, self.incarnation, self.time.now)
        self.frames.append(frame)

    async def start_attempt(self, frame: Frame, patience_s: float) -> None:
        """Run an attempt in a task of its own, as the peer server does."""
        attempt = Attempt(
            frame.attempt_id, frame.request, frame.request.request_id, is_remote=True
        )
        attempt.patience_s = patience_s
        task = asyncio.create_task(self.gate.execute(attempt))
        if not frame.delivered_to:
            frame.task = task
        frame.delivered_to = self.incarnation

    async def start_asking(self, frame: Frame) -> asyncio.Task[AttemptResult]:
        """Ask in a task of its own."""
        age_ms = (self.time.now - frame.sent_at) * 1000
        asked = self.gate.outcome_of(frame.attempt_id, frame.incarnation, age_ms)
        return asyncio.create_task(asked)

    async def kill(self) -> None:
        """End every task; the target notices that its connections close."""
        own = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not own]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    @invariant()
    def no_second_run(self) -> None:
        """Check that work which may not be repeated ran at most once."""
        runs: Counter[str] = Counter()
        for frame in self.frames:
            if not frame.request.call_class.is_repeatable:
                runs[frame.request.request_id] += self.target.begun[frame.attempt_id]
        twice = [name for name, times in runs.items() if times > 1]
        assert not twice, twice

    @invariant()
    def attempts_begin_once(self) -> None:
        """Check that no attempt began twice, even one that may be repeated."""
        twice = [name for name, times in self.target.begun.items() if times > 1]
        assert not twice, twice

    @invariant()
    def not_run_is_true(self) -> None:
        """Check that what was told not to have run has not, and never will."""
        for frame in self.frames:
            if frame.is_not_run:
                assert not self.target.begun[frame.attempt_id], frame.attempt_id

    @invariant()
    def answers_are_their_own(self) -> None:
        """Check that a reply belongs to its attempt."""
        for frame in self.frames:
            if isinstance(frame.outcome, Success):
                assert frame.outcome.unwrap().body == frame.attempt_id.encode()

    @invariant()
    def nothing_after_leaving(self) -> None:
        """Check that no work began at a start whose leaving was taken."""
        assert not self.target.begun_after_leaving

    @invariant()
    def slots_are_kept(self) -> None:
        """Check that the target never works on more than it said it can."""
        busy = [work for work in self.target.running if not work.answer.done()]
        assert len(busy) <= max(self.gate.target.slots, 2), len(busy)
        assert self.gate.target.state in TargetState


class AttemptMachine(AttemptWorld):
    """The gate's life of an attempt, with links, processes and time at odds."""

    @rule(is_repeatable=st.booleans())
    def send(self, is_repeatable: bool) -> None:
        """Send a new request; its frame is on its way."""
        request = call_request('GET' if is_repeatable else 'POST')
        request.request_id = f'r{len(self.frames)}'
        request.deadline = self.time.now + DEADLINE_S
        self.put_frame(request)

    @precondition(_is_any_refused)
    @rule(pick=PICK)
    def send_again(self, pick: int) -> None:
        """Send a request again that was told not to have run."""
        last = {frame.request.request_id: frame for frame in self.frames}
        refused = [frame for frame in last.values() if frame.is_not_run]
        if refused:
            self.put_frame(refused[pick % len(refused)].request)

    @precondition(_is_any_open)
    @rule(pick=PICK, patience_s=st.sampled_from((0, 0.1)))
    def deliver(self, pick: int, patience_s: float) -> None:
        """Let the frame of an attempt arrive, perhaps once more.

        A connection ends with a process, so what a former one got does not
        arrive again.
        """
        waiting = self.open_frames()
        frame = waiting[pick % len(waiting)]
        if frame.delivered_to not in {0, self.incarnation}:
            return
        self.time.run(self.start_attempt(frame, patience_s))
        self.settle()

    @precondition(_is_any_open)
    @rule(pick=PICK)
    def cut_link(self, pick: int) -> None:
        """Lose a link with all that it had to bring back."""
        waiting = self.open_frames()
        waiting[pick % len(waiting)].task = None

    @precondition(_is_any_open)
    @rule(pick=PICK)
    def lose_link(self, pick: int) -> None:
        """Lose a link; its sender asks over another what became of an attempt.

        The frame may still be on its way.
        """
        waiting = self.open_frames()
        frame = waiting[pick % len(waiting)]
        frame.task = self.time.run(self.start_asking(frame))
        self.settle()

    @precondition(_is_any_open)
    @rule(pick=PICK, is_waiting_only=st.booleans())
    def call_off(self, pick: int, is_waiting_only: bool) -> None:
        """Call an attempt off."""
        waiting = self.open_frames()
        frame = waiting[pick % len(waiting)]
        self.gate.cancel(frame.attempt_id, is_waiting_only)
        self.settle()

    @precondition(_is_target_busy)
    @rule(pick=PICK, status=st.sampled_from((OK, FAILED)), is_shed=st.booleans())
    def answer(self, pick: int, status: int, is_shed: bool) -> None:
        """Let the target answer one attempt, or say that it took none."""
        work = self.target.running.pop(pick % len(self.target.running))
        if work.answer.done():
            return
        facts = ReplyFacts()
        if is_shed:
            facts.is_not_run = True
            self.target.begun[work.attempt_id] -= 1
        reply = CallReply(status, 'OK', [], work.attempt_id.encode())
        work.answer.set_result(TargetAnswer(reply, facts))
        self.settle()

    @rule()
    def lose_next(self) -> None:
        """Let the connection that is used next turn out to be dead."""
        self.target.loses_next = True

    @rule()
    def crash_target(self) -> None:
        """End the target's process."""
        self.target.is_listening = False
        for work in self.target.running:
            if not work.answer.done():
                lost = TargetError(Reason.TARGET_DIED, 'the connection closed')
                work.answer.set_exception(lost)
        self.target.running.clear()
        self.settle()

    @rule(keeps_name=st.booleans())
    def start_target(self, keeps_name: bool) -> None:
        """Start the target again, under its former name or another one."""
        self.crash_target()
        name, born = self.target.start
        self.target.start = (name if keeps_name else f'i-{born + 1}', born + 1)
        self.sequence = 0
        self.target.is_listening = True
        self.say(ReportedState.READY)

    @rule()
    def report_ready(self) -> None:
        """Let the target say that it is ready, unless it has left."""
        if self.target.start not in self.target.left and self.target.is_listening:
            self.say(ReportedState.READY)

    @rule(
        state=st.sampled_from((ReportedState.DRAINING, ReportedState.STOPPED)),
        says_born=st.booleans(),
    )
    def leave(self, state: ReportedState, says_born: bool) -> None:
        """Let the target say that it leaves; the answer promises no new work."""
        self.say(state, says_born)

    @precondition(_is_none_late)
    @rule(pick=PICK)
    def deliver_late(self, pick: int) -> None:
        """Let a report arrive that is older than others."""
        self.late_since_start += 1
        self.time.run(self.take(self.reports[pick % len(self.reports)]))
        self.settle()

    @rule()
    def ask_health(self) -> None:
        """Let the node ask a target that it does not know to be up for health.

        A target that has left says that it is not healthy.
        """
        if not self.target.is_listening:
            return
        status = FAILED if self.target.start in self.target.left else OK
        reply = WireReply(status, 'OK', [('instance', self.target.start[0])], b'', True)
        self.time.run(self.take_health(reply))
        self.settle()

    @rule()
    def restart_node(self) -> None:
        """Kill the node's process and start it again; its memory is gone."""
        self.time.run(self.kill())
        for frame in self.open_frames():
            frame.task = None
        self.time.run(self.open_gate())

    @rule(seconds=st.sampled_from((0.05, 0.4, 2.0, 31.0, 130.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.time.advance(seconds)
        self.settle()

    @rule(seconds=st.sampled_from((2.0, 70.0)))
    def freeze(self, seconds: float) -> None:
        """Let time pass in which the process does not run."""
        self.time.jump(seconds)
        self.settle()


class PresetMachine(RuleBasedStateMachine):
    """The fold of presets, with a log that goes away and forgets."""

    def __init__(self) -> None:
        """Start with nothing in force."""
        super().__init__()
        self.time = SimulatedTime()
        self.time.__enter__()
        self.log = PlayedLog()
        self.written: list[int] = []
        self.version = 0
        self.seen = -1
        self.restart_node()

    def teardown(self) -> None:
        """End the loop."""
        self.time.__exit__(None, None, None)

    @rule()
    def restart_node(self) -> None:
        """Start the node again; it knows nothing."""
        self.time.run(self.open_follower())
        self.seen = -1

    async def open_follower(self) -> None:
        """Build what follows the log."""
        self.holder = PresetHolder()
        self.follower = NewestPresetFollower(
            self.log,
            self.holder,
            's',
            'config',
            decode_played,  # type: ignore[arg-type]
        )

    @rule()
    def write(self) -> None:
        """Let the operator write the next version."""
        self.version += 1
        self.written.append(self.version)
        self.log.records.append(json.dumps(self.version).encode())

    @precondition(_is_any_written)
    @rule(pick=PICK)
    def write_older(self, pick: int) -> None:
        """Let an older version come again."""
        older = self.written[pick % len(self.written)]
        self.log.records.append(json.dumps(older).encode())

    @rule()
    def write_malformed(self) -> None:
        """Let a record come that cannot be read."""
        self.log.records.append(b'{"cut')

    @rule()
    def evict(self) -> None:
        """Let the log forget all but the newest record of the key."""
        self.log.oldest = len(self.log.records)

    @rule(is_away=st.booleans())
    def switch_log(self, is_away: bool) -> None:
        """Let the log go away or come back."""
        self.log.is_away = is_away

    @precondition(_is_any_written)
    @rule(pick=PICK)
    def hear_of(self, pick: int) -> None:
        """Let another node tell what it has in force."""
        self.holder.adopt(stated_preset(self.written[pick % len(self.written)]))

    @rule()
    def freeze(self) -> None:
        """Let the node trust nothing that it read."""
        self.follower.is_caught_up.clear()

    @rule(times=st.integers(1, 3))
    def follow(self, times: int) -> None:
        """Let the node read."""
        for _ in range(times):
            self.time.run(self.follower.step())
        if self.log.is_away or times < 3:
            return
        readable = self.log.records and self.log.records[-1].isdigit()
        if readable:
            assert self.holder.revision >= int(self.log.records[-1])

    @invariant()
    def never_older(self) -> None:
        """Check that no preset gives way to an older one."""
        assert self.holder.revision >= self.seen, (self.holder.revision, self.seen)
        self.seen = self.holder.revision

    @invariant()
    def only_what_was_written(self) -> None:
        """Check that only valid versions come into force."""
        assert self.holder.revision in {-1, *self.written}


MACHINES = (AttemptMachine, PresetMachine)


def search(machine: type[RuleBasedStateMachine], histories: int, seeded: bool) -> None:
    """Search for a history that breaks a promise.

    :param machine: what is played.
    :param histories: how many are tried.
    :param seeded: whether the same ones are tried each time.
    :raises AssertionError: with the shortest history found.
    """
    logging.disable(logging.WARNING)
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=histories,
                stateful_step_count=STEPS,
                derandomize=seeded,
                deadline=None,
                database=None,
                print_blob=not seeded,
                suppress_health_check=list(HealthCheck),
            ),
        )
    finally:
        logging.disable(logging.NOTSET)


if __name__ == '__main__':
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_HISTORIES
    for played in MACHINES:
        search(played, wanted, seeded=False)
        sys.stdout.write(f'machine={played.__name__} histories={wanted} broken=0\n')
