"""A connection to the gate of another node, shared by many requests.

:units: seconds on the node's monotonic clock.
:errors: ``PeerLinkError`` when the connection is lost while requests are pending.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable

from returns.result import Failure, Success
from tornado.iostream import IOStream, StreamClosedError

from lavendermount_core.exceptions import PeerLinkError
from lavendermount_core.models.calls import (
    Body,
    CallReply,
    Reason,
    Refusal,
    is_final_status,
    unknown_refusal,
)
from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member
from lavendermount_core.models.records import Record
from lavendermount_core.utils.deadlines import AfterReads, deadline_in
from lavendermount_core.utils.registry import Registry
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.memory import BodyKind, MemoryBudget
from lavendermountd.peer.bodies import BodyAssembler
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.frames import (
    MALFORMED_FRAME_ERRORS,
    Answer,
    BodyPart,
    CrashSuspicion,
    Dispatch,
    LoanGrant,
    Ping,
    Pong,
    Refused,
    TokenGrant,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.2
CHECKS_PER_SILENCE_TIMEOUT = 4
WRITING_TIMEOUT_FACTOR = 10

LinkHandler = Callable[['PeerLink', Record], None]
link_handlers: Registry[type[Record], LinkHandler] = Registry('link handler')


class PeerLink:
    """One connection to a gate.

    While attempts are pending and no frame arrives, the link sends a ping. It
    closes if nothing arrives within the silence timeout. An idle link sends no
    pings.

    :param member: the node to connect to.
    :param host: IP address of the node.
    :param on_load: called with each load report.
    :param on_suspect: called with each crash suspicion.
    :param silence_timeout_s: silence timeout, after which the link is closed.
    :param memory: budget of the node; ``None`` for one of its own.
    """

    __slots__ = (
        'member',
        'host',
        'frames',
        'bodies',
        'pending',
        'silence_timeout_s',
        'last_received_at',
        'last_ping_at',
        'silence_timer',
        'pong',
        'reader',
        'on_load',
        'on_suspect',
        'on_ping_sent',
        'on_sent',
        'on_grant',
    )

    def __init__(
        self,
        member: Member,
        host: str,
        on_load: Callable[[LoadReport], object],
        on_suspect: Callable[[CrashSuspicion], object],
        silence_timeout_s: float,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create the link without connecting it; ``open`` connects it."""
        self.member = member
        self.host = host
        self.on_load = on_load
        self.on_suspect = on_suspect
        self.bodies = BodyAssembler(BodyKind.PEER_REPLY, memory)
        self.silence_timeout_s = silence_timeout_s
        self.pending: dict[str, asyncio.Future[AttemptResult]] = {}
        self.last_received_at = time.monotonic()
        self.last_ping_at: float = 0
        self.silence_timer: asyncio.TimerHandle | AfterReads | None = None
        # Set while ``check`` waits for the reply to its ping.
        self.pong: asyncio.Future[None] | None = None
        self.reader: asyncio.Task[None] | None = None
        self.frames: FrameStream = None  # type: ignore[assignment]
        self.on_ping_sent: Callable[[Member, int], None] | None = None
        self.on_sent: Callable[[Record, int], None] | None = None
        # Called with each grant of tokens or rate.
        self.on_grant: Callable[[Record], None] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the link is connected, so that requests can be sent."""
        return self.reader is not None and not self.reader.done()

    async def open(self) -> None:
        """Connect to the node and start receiving frames.

        :raises PeerLinkError: if the node can't be reached.
        """
        stream = IOStream(socket.socket())
        address = (self.host, self.member.peer_port)
        try:
            async with deadline_in(CONNECT_TIMEOUT_S):
                await stream.connect(address)
        except (StreamClosedError, OSError, TimeoutError) as error:
            stream.close()
            raise PeerLinkError(
                f'cannot connect to node {self.member.node_id}: {error!r}'
            ) from error
        self.frames = FrameStream(stream)
        self.frames.on_sent = self.on_sent
        self.reader = asyncio.create_task(self.receive_frames())

    async def check(self) -> None:
        """Wait for the node's reply to a ping.

        :raises PeerLinkError: if it does not arrive within the silence timeout.
        """
        pong = asyncio.get_running_loop().create_future()
        self.pong = pong
        self.ping()
        try:
            async with deadline_in(self.silence_timeout_s):
                await pong
        except TimeoutError as error:
            detail = f'no pong from node {self.member.node_id}'
            raise PeerLinkError(detail) from error

    def on_pong(self) -> None:
        """End the wait of ``check``."""
        if self.pong is not None and not self.pong.done():
            self.pong.set_result(None)

    async def receive_frames(self) -> None:
        """Receive frames until the connection closes, then close the link."""
        try:
            await self.handle_frames()
        except PeerLinkError:
            log.debug('link-closed', extra={'peer': self.member.node_id})
        except MALFORMED_FRAME_ERRORS as error:
            log.warning(
                'link-frame-malformed',
                extra={'peer': self.member.node_id, 'cause': repr(error)},
            )
        finally:
            self.close()

    async def handle_frames(self) -> None:
        """Pass each received frame to the handler of its class."""
        while True:
            frame = await self.frames.receive()
            self.last_received_at = time.monotonic()
            link_handlers.find(type(frame))(self, frame)

    async def call(self, frame: Record, attempt_id: str) -> AttemptResult:
        """Send a frame and wait for the outcome of the attempt.

        :param frame: a ``Dispatch`` or an ``OutcomeQuery``.
        :param attempt_id: attempt whose outcome to wait for.
        :raises PeerLinkError: if the connection is lost first.
        :returns: the outcome.
        """
        waiter: asyncio.Future[AttemptResult]
        waiter = asyncio.get_running_loop().create_future()
        self.pending[attempt_id] = waiter
        try:
            self.send_monitored(frame)
            return await waiter
        finally:
            self.pending.pop(attempt_id, None)

    async def dispatch(self, frame: Dispatch, body: Body) -> AttemptResult:
        """Send a request and wait for its outcome; a large body is sent in parts.

        :param frame: the head frame with the first part of the body.
        :param body: the complete body.
        :raises PeerLinkError: if the connection is lost first.
        :returns: the outcome.
        """
        if frame.body_size == len(frame.body):
            return await self.call(frame, frame.attempt_id)
        sender = asyncio.create_task(self.send_remaining_body(frame, body))
        try:
            return await self.call(frame, frame.attempt_id)
        finally:
            sender.cancel()

    async def send_remaining_body(self, frame: Dispatch, body: Body) -> None:
        """Send the remaining parts of a large body.

        If the connection is lost, the link is closed, which fails the pending
        attempts; no error is raised here.
        """
        try:
            await self.frames.send_body(frame.attempt_id, body)
        except PeerLinkError:
            self.close()

    def send_monitored(self, frame: Record) -> None:
        """Send a frame and start the silence checks if they aren't running."""
        if self.silence_timer is None:
            self.last_received_at = time.monotonic()
            self.last_ping_at = 0
            self.schedule_silence_check()
        self.frames.send(frame)

    def schedule_silence_check(self) -> None:
        """Schedule the next check after a fraction of the silence timeout."""
        loop = asyncio.get_running_loop()
        check_interval_s = self.silence_timeout_s / CHECKS_PER_SILENCE_TIMEOUT
        self.silence_timer = loop.call_later(check_interval_s, self.check_silence)

    def check_silence(self) -> None:
        """Send a ping if no frame arrived lately; close an unresponsive link."""
        self.silence_timer = None
        if not self.pending or not self.is_open:
            return
        if self.is_silent():
            self.silence_timer = AfterReads(self.close_if_silent)
            return
        if self.silence_s() >= self.silence_timeout_s / CHECKS_PER_SILENCE_TIMEOUT:
            self.ping()
        self.schedule_silence_check()

    def close_if_silent(self) -> None:
        """Close the link unless a frame had arrived that was not processed."""
        if not self.pending or not self.is_open or not self.is_silent():
            self.check_silence()
            return
        log.warning('link-silent', extra={'peer': self.member.node_id})
        self.close()

    def silence_s(self) -> float:
        """Return the time since the last part of a frame was received."""
        heard_at = max(self.last_received_at, self.frames.last_received_at)
        return time.monotonic() - heard_at

    def is_silent(self) -> bool:
        """Return whether the peer failed to respond to a ping in time.

        The timeout is extended while data is being written, because the ping
        may be queued behind a large body.
        """
        timeout_s = self.silence_timeout_s
        if self.frames.stream.writing():
            timeout_s *= WRITING_TIMEOUT_FACTOR
        is_unanswered = self.last_ping_at > self.last_received_at
        return is_unanswered and self.silence_s() >= timeout_s

    def ping(self) -> None:
        """Send a ping unless one was sent since the last received frame."""
        if self.last_ping_at > self.last_received_at:
            return
        self.last_ping_at = time.monotonic()
        before = self.frames.bytes_sent
        self.frames.send(Ping(1))
        if self.on_ping_sent is not None:
            self.on_ping_sent(self.member, self.frames.bytes_sent - before)

    def resolve(self, attempt_id: str, outcome: AttemptResult) -> None:
        """Set the outcome of a pending attempt; a late outcome is dropped."""
        waiter = self.pending.get(attempt_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def close(self) -> None:
        """Close the connection and fail all pending attempts."""
        self.bodies.incomplete.clear()
        if self.frames is not None:
            self.frames.close()
        if self.reader is not None:
            self.reader.cancel()
        for waiter in self.pending.values():
            if not waiter.done():
                waiter.set_exception(PeerLinkError(self.member.node_id))
        self.pending.clear()
        if self.pong is not None and not self.pong.done():
            self.pong.set_exception(PeerLinkError(self.member.node_id))


@link_handlers.register(Answer)
def on_answer(link: PeerLink, frame: Record) -> None:
    """Resolve an attempt once its reply is complete, or without room for that."""
    assert isinstance(frame, Answer)
    if link.bodies.begin(frame):
        resolve_answer(link, frame)
        return
    if frame.attempt_id not in link.pending:
        link.bodies.drop(frame.attempt_id)
    if link.bodies.is_dropped(frame.attempt_id):
        refusal = unknown_refusal(
            Reason.NO_MEMORY, 'the node has no memory for the reply'
        )
        link.resolve(frame.attempt_id, Failure(refusal))


@link_handlers.register(BodyPart)
def on_body_part(link: PeerLink, frame: Record) -> None:
    """Append to a reply and resolve its attempt once it is complete."""
    assert isinstance(frame, BodyPart)
    head = link.bodies.add(frame)
    if isinstance(head, Answer):
        resolve_answer(link, head)


@link_handlers.register(Refused)
def on_refused(link: PeerLink, frame: Record) -> None:
    """Resolve an attempt with a refusal."""
    assert isinstance(frame, Refused)
    link.on_load(LoadReport.from_row(frame.load))
    refusal = Refusal.from_row(frame.refusal)
    link.resolve(frame.attempt_id, Failure(refusal))


@link_handlers.register(Pong)
def on_pong(link: PeerLink, frame: Record) -> None:
    """Pass the load report on."""
    assert isinstance(frame, Pong)
    link.on_load(LoadReport.from_row(frame.load))
    link.on_pong()


@link_handlers.register(CrashSuspicion)
def on_crash_suspicion(link: PeerLink, frame: Record) -> None:
    """Pass the crash suspicion on."""
    assert isinstance(frame, CrashSuspicion)
    link.on_suspect(frame)


@link_handlers.register(TokenGrant)
@link_handlers.register(LoanGrant)
def on_grant(link: PeerLink, frame: Record) -> None:
    """Pass granted tokens or lent rate on."""
    if link.on_grant is not None:
        link.on_grant(frame)


def resolve_answer(link: PeerLink, frame: Answer) -> None:
    """Resolve an attempt with its complete reply.

    A node of an earlier version passes replies on whose status HTTP does not define.
    """
    link.on_load(LoadReport.from_row(frame.load))
    if not is_final_status(frame.status):
        detail = f'the target replied with the status {frame.status:03}'
        refusal = unknown_refusal(Reason.TARGET_REPLY, detail)
        link.resolve(frame.attempt_id, Failure(refusal))
        return
    headers = [(name, text) for name, text in frame.headers]
    reply = CallReply(frame.status, frame.reason, headers, frame.body)
    link.resolve(frame.attempt_id, Success(reply))
