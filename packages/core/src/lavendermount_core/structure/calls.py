"""Requests of callers, replies of targets and refusals of the system.

:units: milliseconds for deadlines, seconds for Retry-After.
"""

from __future__ import annotations

from enum import StrEnum

from lavendermount_core.structure.records import Record

MIN_SERVER_ERROR_STATUS = 500
TOO_MANY_REQUESTS = 429

Headers = list[tuple[str, str]]


class Outcome(StrEnum):
    """What the system knows of a request it did not complete."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(StrEnum):
    """Why a request was refused or given up on."""

    NO_ROUTE = 'no-route'
    NO_PRESET = 'no-preset'
    NO_TARGET = 'no-target'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    HEAD_TOO_LARGE = 'head-too-large'
    QUEUE_FULL = 'queue-full'
    BUSY = 'busy'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    TARGET_DOWN = 'target-down'
    TARGET_SHED = 'target-shed'
    OTHER_TARGET = 'other-target'
    TARGET_DIED = 'target-died'
    TARGET_REPLY = 'target-reply-broken'
    OTHER_SERVICE = 'other-service'
    LINK_LOST = 'link-lost'
    NOT_ARRIVED = 'not-arrived'
    CONNECTION_LOST = 'connection-lost'
    CANCELLED = 'cancelled'
    SUSPECT = 'crash-suspect'
    CLAIMED = 'key-claimed'
    LOG_DOWN = 'log-down'
    OVERLOADED = 'overloaded'
    INTERNAL = 'internal-error'


class CallClass(Record):
    """How a request is to be treated, from the preset's rules.

    :param service: service that the request is for.
    :param tenant: customer that the request belongs to.
    :param name: name of the class.
    :param is_repeatable: whether running it twice does no harm.
    """

    __slots__ = ('service', 'tenant', 'name', 'is_repeatable')

    def __init__(
        self,
        service: str,
        tenant: str,
        name: str,
        is_repeatable: bool,
    ) -> None:
        """Keep the fields as given."""
        self.service = service
        self.tenant = tenant
        self.name = name
        self.is_repeatable = is_repeatable


class CallRequest(Record):
    """A whole request of a caller.

    :param request_id: identifier for replay, the same on every attempt.
    :param method: HTTP method.
    :param path: path and query.
    :param headers: end-to-end headers in order.
    :param body: whole body.
    :param call_class: treatment from the preset.
    :param deadline: when the answer is worth nothing, on the node's
        monotonic clock in seconds.
    :param due: until when the answer is worth most, on the same clock; 0
        where the preset names no such time.
    :param max_targets: targets that may be tried; 0 takes the preset's number.
    """

    __slots__ = (
        'request_id',
        'method',
        'path',
        'headers',
        'body',
        'call_class',
        'deadline',
        'due',
        'max_targets',
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        call_class: CallClass,
        deadline: float,
        due: float = 0,
        max_targets: int = 0,
    ) -> None:
        """Keep the fields as given."""
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.call_class = call_class
        self.deadline = deadline
        self.due = due
        self.max_targets = max_targets


class CallReply(Record):
    """A whole reply of a target.

    :param status: HTTP status code.
    :param reason: HTTP reason phrase.
    :param headers: end-to-end headers in order.
    :param body: whole body.
    """

    __slots__ = ('status', 'reason', 'headers', 'body')

    def __init__(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Keep the fields as given."""
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body


def is_failure(reply: CallReply) -> bool:
    """Whether a reply says that the target failed or takes no more work."""
    return reply.status >= MIN_SERVER_ERROR_STATUS or reply.status == TOO_MANY_REQUESTS


class Refusal(Record):
    """Why there is no reply, and whether the request may have run.

    :param outcome: an ``Outcome``.
    :param reason: a ``Reason``.
    :param retry_after_s: when coming back makes sense; 0 for no advice.
    :param detail: a sentence for the caller.
    """

    __slots__ = ('outcome', 'reason', 'retry_after_s', 'detail')

    def __init__(
        self,
        outcome: str,
        reason: str,
        retry_after_s: float,
        detail: str,
    ) -> None:
        """Keep the fields as given."""
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.detail = detail

    @property
    def is_not_run(self) -> bool:
        """Whether no part of the request reached a target."""
        return self.outcome == Outcome.NOT_RUN


def not_run(reason: Reason, detail: str, retry_after_s: float = 0) -> Refusal:
    """Build a refusal of a request that reached no target."""
    return Refusal(str(Outcome.NOT_RUN), str(reason), retry_after_s, detail)


def unknown(reason: Reason, detail: str, retry_after_s: float = 0) -> Refusal:
    """Build a refusal of a request that may have run."""
    return Refusal(str(Outcome.UNKNOWN), str(reason), retry_after_s, detail)
