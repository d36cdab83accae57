"""Requests of callers, replies of targets and refusals of the load balancer.

:units: seconds; deadlines and due times are on the node's monotonic clock.
"""

from __future__ import annotations

from enum import StrEnum

from lavendermount_core.models.records import Record

MIN_SERVER_ERROR_STATUS = 500
TOO_MANY_REQUESTS = 429
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
CLASS_PRIORITY = -1

Headers = list[tuple[str, str]]
Body = bytes | bytearray


class Outcome(StrEnum):
    """Whether a request without a reply may have been executed."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(StrEnum):
    """Reason why a request got no reply."""

    NO_ROUTE = 'no-route'
    # The preset refuses all requests of the route.
    CLOSED = 'route-closed'
    NO_PRESET = 'no-preset'
    NO_TARGET = 'no-target'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    REQUEST_TIMEOUT = 'request-timeout'
    HEAD_TOO_LARGE = 'head-too-large'
    QUEUE_FULL = 'queue-full'
    # Another target may answer sooner.
    BUSY = 'busy'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    TARGET_DOWN = 'target-down'
    # The target refused the request without running it.
    TARGET_SHED = 'target-shed'
    OTHER_TARGET = 'other-target'
    TARGET_DIED = 'target-died'
    TARGET_REPLY = 'target-reply-broken'
    OTHER_SERVICE = 'other-service'
    # The link to the target's node failed, and no reply of the target is available.
    LINK_LOST = 'link-lost'
    # The outcome of the attempt was queried before the attempt arrived, or its
    # identifier was already used.
    NOT_ARRIVED = 'not-arrived'
    # A reused connection to the target failed.
    CONNECTION_LOST = 'connection-lost'
    CANCELLED = 'cancelled'
    SUSPECT = 'crash-suspect'
    CLAIMED = 'key-claimed'
    # The node has no memory for the body of the request or the reply.
    NO_MEMORY = 'no-memory'
    LOG_DOWN = 'log-down'
    # All connections to the target are in use.
    OVERLOADED = 'overloaded'
    # The request names no key, or one that no tenant has.
    UNKNOWN_KEY = 'unknown-key'
    # The tenant has used up its allotment.
    OVER_ALLOTMENT = 'over-allotment'
    # The availability zone of the target has been evacuated.
    EVACUATED = 'zone-evacuated'
    # The node that received the request stops before it could be answered.
    STOPPING = 'stopping'
    INTERNAL = 'internal-error'


class CallClass(Record):
    """Classification of a request by the rules of the preset.

    :param service: service that handles the request.
    :param tenant: customer that the request belongs to.
    :param name: name of the traffic class.
    :param is_repeatable: whether the request is idempotent.
    :param priority: priority of the tenant, which replaces that of the class;
        ``CLASS_PRIORITY`` for that of the class.
    """

    __slots__ = ('service', 'tenant', 'name', 'is_repeatable', 'priority')

    def __init__(
        self,
        service: str,
        tenant: str,
        name: str,
        is_repeatable: bool,
        priority: int = CLASS_PRIORITY,
    ) -> None:
        """Initialize the fields."""
        self.service = service
        self.tenant = tenant
        self.name = name
        self.is_repeatable = is_repeatable
        self.priority = priority


class CallRequest(Record):
    """A request of a caller with its complete body.

    :param request_id: identifier for replay, the same for every attempt.
    :param method: HTTP method.
    :param path: path and query.
    :param headers: end-to-end headers in order.
    :param body: complete body.
    :param call_class: classification by the preset.
    :param deadline: time after which the reply is useless, in seconds on the
        node's monotonic clock.
    :param due: time until which the reply has its full value, on the same
        clock; 0 if the preset sets no such time.
    :param max_targets: maximum number of targets to try; 0 for the number in
        the preset.
    :param allowed_regions: regions whose targets may serve the request; ``None``
        for all.
    :param caller: service on the VM where the request originated; empty if unknown.
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
        'allowed_regions',
        'caller',
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        headers: Headers,
        body: Body,
        call_class: CallClass,
        deadline: float,
        due: float = 0,
        max_targets: int = 0,
        allowed_regions: frozenset[str] | None = None,
        caller: str = '',
    ) -> None:
        """Initialize the fields."""
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.call_class = call_class
        self.deadline = deadline
        self.due = due
        self.max_targets = max_targets
        self.allowed_regions = allowed_regions
        self.caller = caller


class CallReply(Record):
    """A reply of a target with its complete body.

    :param status: HTTP status code.
    :param reason: HTTP reason phrase.
    :param headers: end-to-end headers in order.
    :param body: complete body.
    """

    __slots__ = ('status', 'reason', 'headers', 'body')

    def __init__(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: Body,
    ) -> None:
        """Initialize the fields."""
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body


def is_final_status(status: int) -> bool:
    """Return whether HTTP defines a status for final replies (RFC 9110, section 15)."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def is_failure(reply: CallReply) -> bool:
    """Return whether a reply signals an error or overload of the target."""
    return reply.status >= MIN_SERVER_ERROR_STATUS or reply.status == TOO_MANY_REQUESTS


class Refusal(Record):
    """Why there is no reply, and whether the request may have been executed.

    :param outcome: an ``Outcome``.
    :param reason: a ``Reason``.
    :param retry_after_s: delay after which to try again; 0 for no advice.
    :param detail: explanation for the caller.
    """

    __slots__ = ('outcome', 'reason', 'retry_after_s', 'detail')

    def __init__(
        self,
        outcome: str,
        reason: str,
        retry_after_s: float,
        detail: str,
    ) -> None:
        """Initialize the fields."""
        self.outcome = outcome
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.detail = detail

    @property
    def is_not_run(self) -> bool:
        """Whether the request was certainly not executed."""
        return self.outcome == Outcome.NOT_RUN


def not_run_refusal(reason: Reason, detail: str, retry_after_s: float = 0) -> Refusal:
    """Build a refusal of a request that was not executed."""
    return Refusal(str(Outcome.NOT_RUN), str(reason), retry_after_s, detail)


def unknown_refusal(reason: Reason, detail: str, retry_after_s: float = 0) -> Refusal:
    """Build a refusal of a request that may have been executed."""
    return Refusal(str(Outcome.UNKNOWN), str(reason), retry_after_s, detail)
