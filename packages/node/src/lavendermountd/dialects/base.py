"""Base class and registry of the dialects of callers and targets.

:units: milliseconds for deadlines.
:shapes: a dialect converts headers to typed values and back; it makes no
    routing decisions.
"""

from __future__ import annotations

import abc

from lavendermount_core.models.calls import (
    CallReply,
    CallRequest,
    Headers,
    Refusal,
)
from lavendermount_core.utils.registry import Registry


class CallMetadata:
    """Metadata that a caller sends in the headers of its request.

    :param request_id: identifier that the caller assigned; empty if none.
    :param deadline_ms: how long the caller waits for the reply; ``None`` if not
        specified.
    :param key: key of the caller's tenant; empty if none. It must not be logged.
    """

    __slots__ = ('request_id', 'deadline_ms', 'key')

    def __init__(
        self, request_id: str, deadline_ms: float | None, key: str = ''
    ) -> None:
        """Initialize the fields."""
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.key = key


class TargetLoad:
    """Load that a target reports.

    :param running: number of requests that it is processing.
    :param waiting: number of requests in its own queue.
    :param slots: number of requests that it processes concurrently.
    :param slowness: factor by which work on its VM takes longer than usual; 1 is
        normal.
    """

    __slots__ = ('running', 'waiting', 'slots', 'slowness')

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        slowness: float,
    ) -> None:
        """Initialize the fields."""
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowness = slowness


class ReplyMetadata:
    """Metadata from the headers of a target's reply.

    :param request_id: request that the reply belongs to; empty if not
        specified.
    :param is_not_run: whether the target reports that it did not run the
        request.
    :param is_other_target: whether a target other than the expected one
        replied, without having run the request.
    :param is_genuine: whether the reply has the headers that a target must set for
        its status.
    :param load: load of the target; ``None`` if not reported.
    :param instance: identifier of the target's process, which changes with each
        start; empty if not specified.
    :param idle_s: how long the target keeps an idle connection open; 0 if not
        specified.
    :param limit_per_s: requests a second that the target accepts from all nodes
        together; ``None`` if it names no limit.
    :param is_leaving: whether the target says that it is leaving.
    :param cold_ms: how long the target stays cold; ``None`` if not reported.
    """

    __slots__ = (
        'request_id',
        'is_not_run',
        'is_other_target',
        'is_genuine',
        'load',
        'instance',
        'idle_s',
        'limit_per_s',
        'is_leaving',
        'cold_ms',
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
        limit_per_s: float | None = None,
        is_leaving: bool = False,
        cold_ms: int | None = None,
    ) -> None:
        """Initialize the fields."""
        self.request_id = request_id
        self.is_not_run = is_not_run
        self.is_other_target = is_other_target
        self.is_genuine = is_genuine
        self.load = load
        self.instance = instance
        self.idle_s = idle_s
        self.limit_per_s = limit_per_s
        self.is_leaving = is_leaving
        self.cold_ms = cold_ms


class Dialect(abc.ABC):
    """The headers that one kind of callers and targets uses.

    ``names_requests`` tells whether each reply of a target names its request.
    """

    names_requests = False

    @abc.abstractmethod
    def read_call_metadata(self, headers: Headers) -> CallMetadata:
        """Read the metadata of a caller's request."""

    @abc.abstractmethod
    def forwarded_headers(
        self,
        headers: Headers,
        request_id: str,
        origin: str,
        tenant: str | None = None,
    ) -> Headers:
        """Build the headers to forward to the target with a request.

        :param headers: end-to-end headers of the caller.
        :param request_id: identifier of the request.
        :param origin: service on the VM where the request originated.
        :param tenant: tenant that the request's key identifies; empty without a key,
            ``None`` if the preset has no tenants.
        """

    @abc.abstractmethod
    def target_headers(
        self,
        request: CallRequest,
        remaining_ms: int,
        instance: str,
    ) -> Headers:
        """Build the headers that the gate adds for its own target.

        :param request: the request.
        :param remaining_ms: time left until the deadline.
        :param instance: identifier of the target's process, which changes with
            each start; empty if unknown.
        """

    @abc.abstractmethod
    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Read the metadata of a target's reply."""

    @abc.abstractmethod
    def returned_headers(self, headers: Headers, request_id: str) -> Headers:
        """Build the headers to return to the caller with a reply."""

    @abc.abstractmethod
    def refusal_reply(self, refusal: Refusal, request_id: str) -> CallReply:
        """Build the reply that reports a refusal to a caller."""


dialects: Registry[str, type[Dialect]] = Registry('dialect')


def dialect_names() -> list[str]:
    """Return the names of the registered dialects.

    The import registers the native dialect.
    """
    from lavendermountd.dialects import native  # noqa: F401

    return dialects.names()


def create_dialect(name: str) -> Dialect:
    """Create a dialect by name.

    :param name: registered name.
    """
    # Registers the native dialect.
    dialect_names()
    return dialects.find(name)()
