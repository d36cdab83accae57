"""Server that passes requests from other nodes to the gate.

:errors: a connection that sends an invalid frame is closed.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from functools import partial

from returns.result import Result, Success
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from lavendermount_core.exceptions import PeerLinkError
from lavendermount_core.models.calls import (
    CallClass,
    CallReply,
    CallRequest,
    Reason,
    Refusal,
    not_run_refusal,
)
from lavendermount_core.models.records import Record
from lavendermount_core.routing.candidates import Distance
from lavendermount_core.utils.registry import Registry
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.allotments.owner import AllotmentOwner
from lavendermountd.gate.attempts import Attempt, AttemptResult
from lavendermountd.gate.gate import Gate
from lavendermountd.memory import BodyKind, MemoryBudget
from lavendermountd.peer.bodies import BodyAssembler
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.frames import (
    MALFORMED_FRAME_ERRORS,
    MAX_PART_BYTES,
    Answer,
    BodyPart,
    Cancel,
    CrashSuspicion,
    Dispatch,
    LoanAsk,
    LoanGrant,
    OutcomeQuery,
    Ping,
    Pong,
    Refused,
    TokenAsk,
    TokenGrant,
)
from lavendermountd.supervision.freeze import FreezeGuard
from lavendermountd.traffic_meter import TrafficMeter

log = logging.getLogger(__name__)

CLOSE_POLL_S = 0.01
NO_MEMORY_RETRY_AFTER_S = 1.0

FrameHandler = Callable[['PeerSession', Record], Awaitable[None]]
frame_handlers: Registry[type[Record], FrameHandler] = Registry('frame handler')


class PeerSession:
    """One connection from another node.

    :param stream: the connection.
    :param gate: gate that runs the requests.
    :param memory: budget of the node; ``None`` for one of its own.
    """

    __slots__ = (
        'frames',
        'gate',
        'bodies',
        'tasks',
        'last_dispatch_at',
        'is_distant',
        'allotments',
    )

    def __init__(
        self, stream: FrameStream, gate: Gate, memory: MemoryBudget | None = None
    ) -> None:
        """Take ownership of the connection."""
        self.frames = stream
        self.gate = gate
        self.bodies = BodyAssembler(BodyKind.PEER_REQUEST, memory)
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_dispatch_at: float = 0
        # Whether the other node is in another zone.
        self.is_distant = False
        # Tokens of the tenants that this node owns.
        self.allotments: AllotmentOwner | None = None

    def send_or_close(self, frame: Record) -> None:
        """Send a frame; close the connection if that fails."""
        try:
            self.frames.send(frame)
        except PeerLinkError:
            self.frames.close()

    async def run(self, guard: FreezeGuard) -> None:
        """Serve frames until the connection closes.

        :param guard: detects that the process was frozen; the connection is then
            closed.
        """
        try:
            await self.serve_frames(guard)
        except PeerLinkError:
            log.debug('peer-disconnected')
        except MALFORMED_FRAME_ERRORS as error:
            log.warning('peer-frame-malformed', extra={'cause': str(error)})
        finally:
            self.bodies.incomplete.clear()
            self.frames.close()

    async def serve_frames(self, guard: FreezeGuard) -> None:
        """Pass each received frame to the handler of its class.

        :raises PeerLinkError: if the connection closes, or if the process was
            frozen since the last check.
        :raises RecordError: if a frame is invalid.
        """
        while True:
            frame = await self.frames.receive()
            if guard.check():
                raise PeerLinkError('the process was frozen')
            await frame_handlers.find(type(frame))(self, frame)

    def dispatch(self, frame: Dispatch) -> None:
        """Run a request in a separate task and send the outcome when it ends.

        A request addressed to an earlier incarnation of this node is run too:
        connections don't outlive a process, so the earlier process never
        received it. A later ``OutcomeQuery`` for it is still answered with ``unknown``.
        """
        if frame.call_class[0] != self.gate.target.service:
            self.refuse_other_service(frame)
            return
        self.last_dispatch_at = time.monotonic()
        pending_outcome = self.gate.execute(build_attempt(frame))
        self.send_outcome_when_known(frame.attempt_id, pending_outcome)

    def send_outcome_when_known(
        self,
        attempt_id: str,
        pending_outcome: Awaitable[AttemptResult],
    ) -> None:
        """Start a task that sends an outcome once it is known."""
        task = asyncio.create_task(self.await_and_send(attempt_id, pending_outcome))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def await_and_send(
        self,
        attempt_id: str,
        pending_outcome: Awaitable[AttemptResult],
    ) -> None:
        """Wait for an outcome and send it.

        If the connection is lost, a later ``OutcomeQuery`` finds the outcome in
        the attempt table of the gate for a limited time, unless the request may
        be repeated or its reply is too large to be stored.
        """
        outcome = await pending_outcome
        load = self.gate.load().to_row()
        try:
            await self.send_outcome(attempt_id, outcome, load)
        except (PeerLinkError, StreamClosedError):
            log.info('answer-undelivered', extra={'attempt': attempt_id})

    async def send_outcome(
        self,
        attempt_id: str,
        outcome: Result[CallReply, Refusal],
        load: list[object],
    ) -> None:
        """Send a reply or a refusal together with the load of the target.

        A node that stops waits until all of it has been written to the socket.
        """
        if not isinstance(outcome, Success):
            refusal = outcome.failure().to_row()
            await self.frames.send(Refused(attempt_id, refusal, load))
            return
        reply = outcome.unwrap()
        await self.frames.send(
            Answer(
                attempt_id,
                reply.status,
                reply.reason,
                reply.headers,
                load,
                len(reply.body),
                reply.body[:MAX_PART_BYTES],
            ),
        )
        await self.frames.send_body(attempt_id, reply.body)

    def refuse_other_service(self, frame: Dispatch) -> None:
        """Refuse a request for a service that the target doesn't provide."""
        self.refuse(
            frame.attempt_id,
            not_run_refusal(
                Reason.OTHER_SERVICE,
                'the node does not serve the service of the request',
            ),
        )

    def cancel(self, frame: Cancel) -> None:
        """Cancel an attempt, also one whose body is not complete."""
        if not self.bodies.drop(frame.attempt_id):
            self.gate.cancel(frame.attempt_id, frame.is_waiting_only)
            return
        detail = 'the attempt was cancelled before its body had arrived'
        self.refuse(frame.attempt_id, not_run_refusal(Reason.CANCELLED, detail))

    def refuse(self, attempt_id: str, refusal: Refusal) -> None:
        """Send the refusal of a request that did not reach the gate."""
        load = self.gate.load().to_row()
        self.frames.send(Refused(attempt_id, refusal.to_row(), load))


@frame_handlers.register(Dispatch)
async def on_dispatch(session: PeerSession, frame: Record) -> None:
    """Run a request once its body is complete; refuse it without room for that."""
    assert isinstance(frame, Dispatch)
    if session.bodies.begin(frame):
        session.dispatch(frame)
    elif session.bodies.is_dropped(frame.attempt_id):
        detail = 'the node of the target has no memory for the body'
        refusal = not_run_refusal(Reason.NO_MEMORY, detail, NO_MEMORY_RETRY_AFTER_S)
        session.refuse(frame.attempt_id, refusal)


@frame_handlers.register(BodyPart)
async def on_body_part(session: PeerSession, frame: Record) -> None:
    """Append to a body and run its request once the body is complete."""
    assert isinstance(frame, BodyPart)
    head = session.bodies.add(frame)
    if isinstance(head, Dispatch):
        session.dispatch(head)


@frame_handlers.register(Cancel)
async def on_cancel(session: PeerSession, frame: Record) -> None:
    """Cancel an attempt; one whose body is not complete never runs."""
    assert isinstance(frame, Cancel)
    session.cancel(frame)


@frame_handlers.register(OutcomeQuery)
async def on_outcome_query(session: PeerSession, frame: Record) -> None:
    """Send the outcome of an attempt as soon as it is known."""
    assert isinstance(frame, OutcomeQuery)
    pending_outcome = session.gate.outcome_of(
        frame.attempt_id,
        frame.incarnation,
        frame.age_ms,
    )
    session.send_outcome_when_known(frame.attempt_id, pending_outcome)


@frame_handlers.register(Ping)
async def on_ping(session: PeerSession, frame: Record) -> None:
    """Reply to a ping with the load of the target."""
    assert isinstance(frame, Ping)
    session.frames.send(Pong(frame.nonce, session.gate.load().to_row()))


@frame_handlers.register(CrashSuspicion)
async def on_crash_suspicion(session: PeerSession, frame: Record) -> None:
    """Merge a crash suspicion into the table of the gate."""
    assert isinstance(frame, CrashSuspicion)
    session.gate.merge_suspicion(frame)


@frame_handlers.register(TokenAsk)
async def on_token_ask(session: PeerSession, frame: Record) -> None:
    """Grant tokens of the tenants that this node owns."""
    assert isinstance(frame, TokenAsk)
    assert session.allotments is not None
    wanted = [(str(tenant), max(0, int(count))) for tenant, count in frame.wanted]
    granted = session.allotments.grant_all(wanted)
    session.frames.send(TokenGrant(frame.ask_id, [list(pair) for pair in granted]))


@frame_handlers.register(LoanAsk)
async def on_loan_ask(session: PeerSession, frame: Record) -> None:
    """Lend rate of a tenant that this node owns and that it does not use."""
    assert isinstance(frame, LoanAsk)
    assert session.allotments is not None
    lent_per_s = session.allotments.lend(frame.tenant, frame.rate_per_s, frame.borrower)
    session.frames.send(LoanGrant(frame.ask_id, lent_per_s))


def build_attempt(frame: Dispatch) -> Attempt:
    """Build an attempt, converting its times to the clock of this node."""
    now = time.monotonic()
    # An attempt identifier is the request identifier, "-" and the attempt number.
    request = CallRequest(
        frame.attempt_id.rpartition('-')[0],
        frame.method,
        frame.path,
        frame.headers,
        frame.body,
        CallClass.from_row(frame.call_class),
        now + frame.remaining_ms / MS_PER_S,
        frame.due_ms and now + frame.due_ms / MS_PER_S,
    )
    attempt = Attempt(frame.attempt_id, request, frame.fingerprint, is_remote=True)
    attempt.patience_s = frame.patience_ms / MS_PER_S
    return attempt


class PeerServer(TCPServer):
    """Accepts connections from other nodes.

    :param gate: gate that runs the requests.
    :param guard: detects that the process was frozen.
    """

    def __init__(self, gate: Gate, guard: FreezeGuard) -> None:
        """Create the server without listening; ``run`` starts to listen."""
        super().__init__()
        self.gate = gate
        self.guard = guard
        self.memory: MemoryBudget | None = None
        self.sessions: set[PeerSession] = set()
        self.meter: TrafficMeter | None = None
        self.allotments: AllotmentOwner | None = None
        # Whether traffic to other zones is kept low.
        self.is_zone_local = False

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection until it closes."""
        session = PeerSession(FrameStream(stream), self.gate, self.memory)
        session.allotments = self.allotments
        if self.meter is not None:
            host = str(stream.socket.getpeername()[0])
            distance = self.meter.distance_to_host(host)
            session.frames.on_sent = partial(self.meter.add_frame, distance=distance)
            session.is_distant = distance > Distance.SAME_ZONE
        self.sessions.add(session)
        try:
            await session.run(self.guard)
        finally:
            self.sessions.discard(session)

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        self.listen(port, address=host)
        try:
            await asyncio.Event().wait()
        finally:
            self.stop()

    def cancel_attempts(self) -> None:
        """Cancel the attempts of other nodes, which are sent an outcome for each."""
        for attempt in tuple(self.gate.attempt_table.running.values()):
            if attempt.is_remote:
                self.gate.cancel(attempt.attempt_id)

    async def close_after_replies(self, timeout_s: float) -> None:
        """Close the sending side, and wait until the other nodes close theirs.

        Closing a connection with unread data resets it, and the other node could lose
        the last replies.

        :param timeout_s: time that a node that does not respond is waited for.
        """
        for session in tuple(self.sessions):
            session.frames.close_sending()
        deadline = time.monotonic() + timeout_s
        while self.sessions and time.monotonic() < deadline:
            await asyncio.sleep(CLOSE_POLL_S)

    def broadcast(self, frame: Record) -> None:
        """Send a frame on every open connection."""
        for session in tuple(self.sessions):
            session.send_or_close(frame)

    def broadcast_recent(self, frame: Record, recent_s: float) -> None:
        """Send a frame to the nodes that sent requests recently.

        Where leaving the zone has a cost, nodes of other zones get it only while
        a request of theirs is at this gate.

        :param recent_s: how long ago the last request may be.
        """
        since = time.monotonic() - recent_s
        for session in tuple(self.sessions):
            if session.last_dispatch_at < since:
                continue
            if self.is_zone_local and session.is_distant and not session.tasks:
                continue
            session.send_or_close(frame)

    def close_all(self) -> None:
        """Close every open connection; stored outcomes stay in the attempt table."""
        for session in tuple(self.sessions):
            session.frames.close()
