"""Frames that nodes exchange to forward requests.

:shapes: a frame is a msgpack array (row) ``[kind, fields...]``; rows are
    self-delimiting, so a connection carries a plain sequence of them.
:units: milliseconds and bytes.
:errors: ``RecordError`` for a row that is not a valid frame.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import Any

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.calls import Body
from lavendermount_core.models.records import Record, pack
from lavendermount_core.utils.registry import Registry

frame_kinds: Registry[int, type[Record]] = Registry('frame')
# Largest part of a body in one frame.
MAX_PART_BYTES = 65536
TOKEN_GRANT_KIND = 11
LOAN_ASK_KIND = 12
LOAN_GRANT_KIND = 13


@frame_kinds.register(1)
class Dispatch(Record):
    """Asks the gate of another node to run a request on its target.

    :param attempt_id: identifier of this attempt, unique in the system.
    :param incarnation: incarnation of the gate that it is addressed to.
    :param method: HTTP method.
    :param path: path and query.
    :param headers: end-to-end headers as pairs.
    :param call_class: row of a ``CallClass``.
    :param remaining_ms: time left until the deadline.
    :param due_ms: time left within which a reply has its full value; 0 if not
        set.
    :param patience_ms: longest time to wait in the queue of the gate; 0 for no
        limit.
    :param fingerprint: digest that identifies the request in crash suspicions.
    :param body_size: size of the complete body.
    :param body: first part of the body.
    """

    __slots__ = (
        'attempt_id',
        'incarnation',
        'method',
        'path',
        'headers',
        'call_class',
        'remaining_ms',
        'due_ms',
        'patience_ms',
        'fingerprint',
        'body_size',
        'body',
    )

    def __init__(
        self,
        attempt_id: str,
        incarnation: int,
        method: str,
        path: str,
        headers: list[Any],
        call_class: list[Any],
        remaining_ms: float,
        due_ms: float,
        patience_ms: int,
        fingerprint: str,
        body_size: int,
        body: Body,
    ) -> None:
        """Initialize the fields."""
        self.attempt_id = attempt_id
        self.incarnation = incarnation
        self.method = method
        self.path = path
        self.headers = headers
        self.call_class = call_class
        self.remaining_ms = remaining_ms
        self.due_ms = due_ms
        self.patience_ms = patience_ms
        self.fingerprint = fingerprint
        self.body_size = body_size
        self.body = body


@frame_kinds.register(2)
class BodyPart(Record):
    """The next part of a body larger than one frame.

    :param attempt_id: attempt that the body belongs to.
    :param body: the bytes of this part.
    """

    __slots__ = ('attempt_id', 'body')

    def __init__(self, attempt_id: str, body: bytes) -> None:
        """Initialize the fields."""
        self.attempt_id = attempt_id
        self.body = body


@frame_kinds.register(3)
class Answer(Record):
    """Carries the reply of the target.

    :param attempt_id: attempt that the reply belongs to.
    :param status: HTTP status code.
    :param reason: HTTP reason phrase.
    :param headers: end-to-end headers as pairs.
    :param load: row of a ``LoadReport``.
    :param body_size: size of the complete body.
    :param body: first part of the body.
    """

    __slots__ = (
        'attempt_id',
        'status',
        'reason',
        'headers',
        'load',
        'body_size',
        'body',
    )

    def __init__(
        self,
        attempt_id: str,
        status: int,
        reason: str,
        headers: list[Any],
        load: list[Any],
        body_size: int,
        body: Body,
    ) -> None:
        """Initialize the fields."""
        self.attempt_id = attempt_id
        self.status = status
        self.reason = reason
        self.headers = headers
        self.load = load
        self.body_size = body_size
        self.body = body


@frame_kinds.register(4)
class Refused(Record):
    """Reports why an attempt ended without a reply, and whether it may have run.

    :param attempt_id: attempt that got no reply.
    :param refusal: row of a ``Refusal``.
    :param load: row of a ``LoadReport``.
    """

    __slots__ = ('attempt_id', 'refusal', 'load')

    def __init__(
        self,
        attempt_id: str,
        refusal: list[Any],
        load: list[Any],
    ) -> None:
        """Initialize the fields."""
        self.attempt_id = attempt_id
        self.refusal = refusal
        self.load = load


@frame_kinds.register(5)
class Cancel(Record):
    """Cancels an attempt whose result is no longer needed.

    :param attempt_id: attempt to cancel.
    :param is_waiting_only: whether to cancel only an attempt that still waits
        at the gate; one that has reached the target continues.
    """

    __slots__ = ('attempt_id', 'is_waiting_only')

    def __init__(self, attempt_id: str, is_waiting_only: bool) -> None:
        """Initialize the fields."""
        self.attempt_id = attempt_id
        self.is_waiting_only = is_waiting_only


@frame_kinds.register(6)
class OutcomeQuery(Record):
    """Queries the outcome of an attempt whose link was lost.

    :param attempt_id: attempt to look up.
    :param incarnation: incarnation of the gate it was sent to.
    :param age_ms: time since it was sent.
    """

    __slots__ = ('attempt_id', 'incarnation', 'age_ms')

    def __init__(self, attempt_id: str, incarnation: int, age_ms: float) -> None:
        """Initialize the fields."""
        self.attempt_id = attempt_id
        self.incarnation = incarnation
        self.age_ms = age_ms


@frame_kinds.register(7)
class Ping(Record):
    """Checks that the peer is alive; it replies with a ``Pong``.

    :param nonce: value to return in the ``Pong``.
    """

    __slots__ = ('nonce',)

    def __init__(self, nonce: int) -> None:
        """Initialize the field."""
        self.nonce = nonce


@frame_kinds.register(8)
class Pong(Record):
    """Reports the load of the target, as reply to a ping or unsolicited.

    :param nonce: nonce of the ping; 0 if unsolicited.
    :param load: row of a ``LoadReport``.
    """

    __slots__ = ('nonce', 'load')

    def __init__(self, nonce: int, load: list[Any]) -> None:
        """Initialize the fields."""
        self.nonce = nonce
        self.load = load


@frame_kinds.register(9)
class CrashSuspicion(Record):
    """Reports a request that was in flight when its target died.

    :param fingerprint: digest of the request.
    :param victims: targets that died while running it, as ``node:start``.
    :param remaining_ms: time until the suspicion expires.
    """

    __slots__ = ('fingerprint', 'victims', 'remaining_ms')

    def __init__(
        self,
        fingerprint: str,
        victims: list[str],
        remaining_ms: int,
    ) -> None:
        """Initialize the fields."""
        self.fingerprint = fingerprint
        self.victims = victims
        self.remaining_ms = remaining_ms


@frame_kinds.register(10)
class TokenAsk(Record):
    """Asks the owner of some tenants for tokens.

    :param ask_id: identifier to return in the ``TokenGrant``.
    :param wanted: pairs of a tenant and a number of tokens.
    """

    __slots__ = ('ask_id', 'wanted')

    def __init__(self, ask_id: int, wanted: list[Any]) -> None:
        """Initialize the fields."""
        self.ask_id = ask_id
        self.wanted = wanted


@frame_kinds.register(TOKEN_GRANT_KIND)
class TokenGrant(Record):
    """Grants tokens, in the order in which the tenants were named.

    :param ask_id: identifier of the ``TokenAsk``.
    :param granted: pairs of a number of tokens, negative if the node does not own
        the tenant, and the milliseconds until the next one; 0 if all were granted.
    """

    __slots__ = ('ask_id', 'granted')

    def __init__(self, ask_id: int, granted: list[Any]) -> None:
        """Initialize the fields."""
        self.ask_id = ask_id
        self.granted = granted


@frame_kinds.register(LOAN_ASK_KIND)
class LoanAsk(Record):
    """Asks the owner of a tenant in another zone to lend some of its rate.

    :param ask_id: identifier to return in the ``LoanGrant``.
    :param tenant: name of the tenant.
    :param rate_per_s: rate that is missing.
    :param borrower: node that asks; an earlier loan to it is replaced.
    """

    __slots__ = ('ask_id', 'tenant', 'rate_per_s', 'borrower')

    def __init__(
        self, ask_id: int, tenant: str, rate_per_s: float, borrower: str
    ) -> None:
        """Initialize the fields."""
        self.ask_id = ask_id
        self.tenant = tenant
        self.rate_per_s = rate_per_s
        self.borrower = borrower


@frame_kinds.register(LOAN_GRANT_KIND)
class LoanGrant(Record):
    """Lends rate for the time of a lease, which started when it was asked for.

    :param ask_id: identifier of the ``LoanAsk``.
    :param rate_per_s: rate that is lent; 0 for none.
    """

    __slots__ = ('ask_id', 'rate_per_s')

    def __init__(self, ask_id: int, rate_per_s: float) -> None:
        """Initialize the fields."""
        self.ask_id = ask_id
        self.rate_per_s = rate_per_s


# What handling a frame raises if a field has the wrong type or value.
MALFORMED_FRAME_ERRORS = (
    RecordError,
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    AssertionError,
)
KIND_BY_CLASS = MappingProxyType(
    {frame_class: kind for kind, frame_class in frame_kinds.entries.items()},
)


def encode_frame(frame: Record) -> bytes:
    """Encode a frame.

    :param frame: an instance of a registered frame class.
    :returns: the encoded frame.
    """
    return pack([KIND_BY_CLASS[type(frame)], *frame.to_row()])


def decode_frame(row: Any) -> Record:
    """Decode a row read from a connection.

    :param row: decoded msgpack value; untrusted.
    :raises RecordError: if it is not a valid frame.
    :returns: the frame.
    """
    if not isinstance(row, list) or not row or not isinstance(row[0], int):
        raise RecordError('frame is not an array that starts with its kind')
    frame_class = frame_kinds.entries.get(row[0])
    if frame_class is None:
        raise RecordError(f'unknown frame kind {row[0]}')
    return frame_class.from_row(row[1:])
