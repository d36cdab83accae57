"""A connection to another node's gate, shared by many requests.

:units: seconds on the node's monotonic clock.
:errors: ``PeerLinkError`` when the connection is lost with work under way.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable

from returns.result import Failure, Success
from tornado.iostream import IOStream, StreamClosedError

from lavendermount_core.exceptions import PeerLinkError, RecordError
from lavendermount_core.structure.calls import CallReply, Refusal
from lavendermount_core.structure.loads import LoadReport
from lavendermount_core.structure.members import Member
from lavendermount_core.structure.records import Record
from lavendermount_core.utils.registry import Registry
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.peer.bodies import BodyAssembler
from lavendermountd.peer.frame_stream import FrameStream
from lavendermountd.peer.frames import (
    Answer,
    BodyPart,
    Dispatch,
    Ping,
    Pong,
    Refused,
    Suspected,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.2
CHECKS_PER_SILENCE_TIMEOUT = 4
WRITING_TIMEOUT_FACTOR = 10

LinkHandler = Callable[['PeerLink', Record], None]
link_handlers: Registry[type[Record], LinkHandler] = Registry('link handler')


class PeerLink:
    """One open connection to a gate.

    While work is under way and the connection is silent, the link asks for
    a sign of life; without one it closes. An idle link sends nothing.

    :param member: the node it leads to.
    :param host: IP number by which the node is reached.
    :param on_load: takes each load report.
    :param on_suspect: takes each suspicion.
    """

    __slots__ = (
        'member',
        'host',
        'frames',
        'bodies',
        'pending',
        'silent_s',
        'last_received',
        'last_ping',
        'silence_timer',
        'reader',
        'on_load',
        'on_suspect',
        'count_ping',
    )

    def __init__(
        self,
        member: Member,
        host: str,
        on_load: Callable[[LoadReport], object],
        on_suspect: Callable[[Suspected], object],
        max_body: int,
        silent_s: float,
    ) -> None:
        """Prepare the link; ``open`` connects it."""
        self.member = member
        self.host = host
        self.on_load = on_load
        self.on_suspect = on_suspect
        self.bodies = BodyAssembler(max_body)
        self.silent_s = silent_s
        self.pending: dict[str, asyncio.Future[AttemptResult]] = {}
        self.last_received = time.monotonic()
        self.last_ping: float = 0
        self.silence_timer: asyncio.TimerHandle | None = None
        self.reader: asyncio.Task[None] | None = None
        self.frames: FrameStream = None  # type: ignore[assignment]
        self.count_ping: Callable[[Member, int], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether requests may be sent."""
        return self.reader is not None and not self.reader.done()

    async def open(self) -> None:
        """Connect.

        :raises PeerLinkError: if the node can't be reached.
        """
        stream = IOStream(socket.socket())
        address = (self.host, self.member.peer_port)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(address)
        except (StreamClosedError, OSError, TimeoutError) as error:
            stream.close()
            raise PeerLinkError(f'{self.member.node_id}: {error}') from error
        self.frames = FrameStream(stream)
        self.reader = asyncio.create_task(self.receive_frames())

    async def receive_frames(self) -> None:
        """Take frames until the connection closes."""
        try:
            await self.handle_frames()
        except PeerLinkError:
            log.debug('link-closed', extra={'peer': self.member.node_id})
        except RecordError as error:
            log.warning(
                'link-frame-malformed',
                extra={'peer': self.member.node_id, 'cause': str(error)},
            )
        finally:
            self.close()

    async def handle_frames(self) -> None:
        """Hand each frame to its handler."""
        while True:
            frame = await self.frames.receive()
            self.last_received = time.monotonic()
            link_handlers.find(type(frame))(self, frame)

    async def call(self, frame: Record, attempt_id: str) -> AttemptResult:
        """Send a frame and wait for the outcome of its attempt.

        :param frame: a ``Dispatch`` or an ``Ask``.
        :param attempt_id: whose outcome is awaited.
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

    async def dispatch(self, frame: Dispatch, body: bytes) -> AttemptResult:
        """Send a request, its body in parts if it is large.

        :param frame: the head with the first part of the body.
        :param body: the whole body.
        :raises PeerLinkError: if the connection is lost first.
        """
        if frame.body_size == len(frame.body):
            return await self.call(frame, frame.attempt_id)
        sender = asyncio.create_task(self.send_remaining_body(frame, body))
        try:
            return await self.call(frame, frame.attempt_id)
        finally:
            sender.cancel()

    async def send_remaining_body(self, frame: Dispatch, body: bytes) -> None:
        """Send the rest of a large body; a lost link shows elsewhere."""
        try:
            await self.frames.send_body(frame.attempt_id, body)
        except PeerLinkError:
            self.close()

    def send_monitored(self, frame: Record) -> None:
        """Send a frame and watch for silence from now on."""
        if self.silence_timer is None:
            self.last_received = time.monotonic()
            self.last_ping = 0
            self.schedule_silence_check()
        self.frames.send(frame)

    def schedule_silence_check(self) -> None:
        """Look again after a part of the silence allowed."""
        loop = asyncio.get_running_loop()
        delay = self.silent_s / CHECKS_PER_SILENCE_TIMEOUT
        self.silence_timer = loop.call_later(delay, self.check_silence)

    def check_silence(self) -> None:
        """Ask for a sign of life, or close a link that gave none."""
        self.silence_timer = None
        if not self.pending or not self.is_open:
            return
        silence = time.monotonic() - self.last_received
        if self.is_silent(silence):
            log.warning('link-silent', extra={'peer': self.member.node_id})
            self.close()
            return
        if silence >= self.silent_s / CHECKS_PER_SILENCE_TIMEOUT:
            self.ping()
        self.schedule_silence_check()

    def is_silent(self, silence: float) -> bool:
        """Whether the other side should have answered a ping by now.

        A ping may stand behind a large body that is still being written.
        """
        allowed = self.silent_s
        if self.frames.stream.writing():
            allowed *= WRITING_TIMEOUT_FACTOR
        return silence >= allowed and self.last_ping > self.last_received

    def ping(self) -> None:
        """Ask for a sign of life, once for each silence."""
        if self.last_ping > self.last_received:
            return
        self.last_ping = time.monotonic()
        before = self.frames.bytes_sent
        self.frames.send(Ping(1))
        if self.count_ping is not None:
            self.count_ping(self.member, self.frames.bytes_sent - before)

    def resolve(self, attempt_id: str, outcome: AttemptResult) -> None:
        """Hand an outcome to who waits for it; a late one is dropped."""
        waiter = self.pending.get(attempt_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def close(self) -> None:
        """Close the connection; who waits is told that it is lost."""
        if self.frames is not None:
            self.frames.close()
        if self.reader is not None:
            self.reader.cancel()
        for waiter in self.pending.values():
            if not waiter.done():
                waiter.set_exception(PeerLinkError(self.member.node_id))
        self.pending.clear()


@link_handlers.register(Answer)
def on_answer(link: PeerLink, frame: Record) -> None:
    """Settle an attempt once its reply is whole."""
    assert isinstance(frame, Answer)
    if link.bodies.begin(frame):
        resolve_answer(link, frame)


@link_handlers.register(BodyPart)
def on_body_part(link: PeerLink, frame: Record) -> None:
    """Add to a reply; settle its attempt once it is whole."""
    assert isinstance(frame, BodyPart)
    head = link.bodies.add(frame)
    if isinstance(head, Answer):
        resolve_answer(link, head)


@link_handlers.register(Refused)
def on_refused(link: PeerLink, frame: Record) -> None:
    """Settle an attempt that has no reply."""
    assert isinstance(frame, Refused)
    link.on_load(LoadReport.from_row(frame.load))
    refusal = Refusal.from_row(frame.refusal)
    link.resolve(frame.attempt_id, Failure(refusal))


@link_handlers.register(Pong)
def on_pong(link: PeerLink, frame: Record) -> None:
    """Take over the load report."""
    assert isinstance(frame, Pong)
    link.on_load(LoadReport.from_row(frame.load))


@link_handlers.register(Suspected)
def on_suspected(link: PeerLink, frame: Record) -> None:
    """Take over a suspicion."""
    assert isinstance(frame, Suspected)
    link.on_suspect(frame)


def resolve_answer(link: PeerLink, frame: Answer) -> None:
    """Settle an attempt with its whole reply."""
    link.on_load(LoadReport.from_row(frame.load))
    headers = [(name, text) for name, text in frame.headers]
    reply = CallReply(frame.status, frame.reason, headers, frame.body)
    link.resolve(frame.attempt_id, Success(reply))
