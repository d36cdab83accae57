"""The dialect of callers and targets, and a registry of dialects.

:units: milliseconds for deadlines.
:shapes: a dialect turns headers into typed facts and back; it decides nothing.
"""

from __future__ import annotations

import abc

from lavendermount_core.structure.calls import (
    CallReply,
    CallRequest,
    Headers,
    Refusal,
)
from lavendermount_core.utils.registry import Registry


class CallTerms:
    """What a caller says of its request beside method, path and body.

    :param request_id: the caller's name for this request; empty if it gives
        none.
    :param deadline_ms: how long the caller waits; ``None`` if it doesn't say.
    """

    __slots__ = ('request_id', 'deadline_ms')

    def __init__(self, request_id: str, deadline_ms: float | None) -> None:
        """Keep the fields as given."""
        self.request_id = request_id
        self.deadline_ms = deadline_ms


class TargetLoad:
    """What a target says of its load.

    :param running: requests it works on.
    :param waiting: requests in its own queue.
    :param slots: requests it works on at once.
    :param slowness: how many times longer than usual work takes on its VM.
    """

    __slots__ = ('running', 'waiting', 'slots', 'slowness')

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        slowness: float,
    ) -> None:
        """Keep the fields as given."""
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowness = slowness


class ReplyFacts:
    """What the headers of a target's reply say.

    :param request_id: request that the reply belongs to; empty if not said.
    :param is_not_run: whether the target says that it did not run the request.
    :param is_other_target: whether another target than the expected one
        answered, without having run the request.
    :param is_genuine: whether the reply bears what each reply of a target
        bears.
    :param load: the target's load; ``None`` if it doesn't tell.
    :param instance: name of the target's start; empty if not said.
    :param idle_s: how long the target keeps an idle connection; 0 if not said.
    """

    __slots__ = (
        'request_id',
        'is_not_run',
        'is_other_target',
        'is_genuine',
        'load',
        'instance',
        'idle_s',
    )

    def __init__(
        self,
        request_id: str = '',
        is_not_run: bool = False,
        is_other_target: bool = False,
        is_genuine: bool = True,
        load: TargetLoad | None = None,
        instance: str = '',
        idle_s: float = 0,
    ) -> None:
        """Keep the fields as given."""
        self.request_id = request_id
        self.is_not_run = is_not_run
        self.is_other_target = is_other_target
        self.is_genuine = is_genuine
        self.load = load
        self.instance = instance
        self.idle_s = idle_s


class Dialect(abc.ABC):
    """Headers of one kind of callers and targets."""

    @abc.abstractmethod
    def read_terms(self, headers: Headers) -> CallTerms:
        """Read what a caller says of its request."""

    @abc.abstractmethod
    def forwarded(self, headers: Headers, request_id: str, origin: str) -> Headers:
        """Choose the headers that go to the target with a request.

        :param headers: end-to-end headers of the caller.
        :param request_id: the request's identifier.
        :param origin: service on the VM where the request began.
        """

    @abc.abstractmethod
    def expectations(
        self,
        request: CallRequest,
        remaining_ms: int,
        instance: str,
    ) -> Headers:
        """Build the headers that the gate adds for its own target.

        :param request: the request.
        :param remaining_ms: time left to answer.
        :param instance: name of the target's start; empty if unknown.
        """

    @abc.abstractmethod
    def read_reply(self, status: int, headers: Headers) -> ReplyFacts:
        """Read what a target says beside its answer."""

    @abc.abstractmethod
    def returned(self, headers: Headers, request_id: str) -> Headers:
        """Choose the headers that go back to the caller with a reply."""

    @abc.abstractmethod
    def refusal_reply(self, refusal: Refusal, request_id: str) -> CallReply:
        """Build the reply that tells a caller of a refusal."""


dialects: Registry[str, type[Dialect]] = Registry('dialect')


def dialect_names() -> list[str]:
    """List the registered dialects."""
    from lavendermountd.dialects import native  # noqa: F401

    return dialects.names()


def open_dialect(name: str) -> Dialect:
    """Make a dialect.

    :param name: its registered name.
    """
    dialect_names()
    return dialects.find(name)()
