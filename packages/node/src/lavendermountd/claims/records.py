"""Records of the claim streams; each service has its own stream.

:shapes: a stored record is a list of rows ``[kind, fields...]``, so that one
    append carries the claims of many requests.
:errors: ``RecordError`` for malformed bytes.
"""

from __future__ import annotations

from urllib.parse import quote

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.records import Record, pack, unpack
from lavendermount_core.utils.registry import Registry

claim_kinds: Registry[str, type[Record]] = Registry('claim record')


@claim_kinds.register('claim')
class Claim(Record):
    """A node's claim to the exclusive right to run the request of a key.

    The first claim of a key wins. A later one wins only if it supersedes the
    winner, whose node has then confirmed that nothing was run, or if the winner
    has been released or evicted from the log.

    :param claim_id: identifier of the claim.
    :param key: digest of service, tenant and idempotency key.
    :param payload: digest of method, path and body, to detect a key that is
        reused for a different request.
    :param node_id: node that makes the claim.
    :param incarnation: incarnation of that node's process.
    :param supersedes: identifier of the claim whose node confirmed that it will
        not run the request; empty for a first claim.
    """

    __slots__ = (
        'claim_id',
        'key',
        'payload',
        'node_id',
        'incarnation',
        'supersedes',
    )

    def __init__(
        self,
        claim_id: str,
        key: str,
        payload: str,
        node_id: str,
        incarnation: int,
        supersedes: str,
    ) -> None:
        """Initialize the fields."""
        self.claim_id = claim_id
        self.key = key
        self.payload = payload
        self.node_id = node_id
        self.incarnation = incarnation
        self.supersedes = supersedes


@claim_kinds.register('restored')
class RestoredClaim(Claim):
    """A claim that holds its key, appended again by the node that made it.

    It is appended when the log has come back from an older copy. It takes the key
    from any other claim: its request may have run.
    """

    __slots__ = Claim.__slots__


@claim_kinds.register('release')
class Release(Record):
    """The winner's confirmation that the request was not run and will not be.

    :param claim_id: identifier of the released claim.
    :param key: key of that claim.
    """

    __slots__ = ('claim_id', 'key')

    def __init__(self, claim_id: str, key: str) -> None:
        """Initialize the fields."""
        self.claim_id = claim_id
        self.key = key


def claim_stream_name(service: str) -> str:
    """Return the name of a service's claim stream."""
    return f'claims.{quote(service, safe="")}'


def encode_claims(records: list[Record]) -> bytes:
    """Encode claims and releases for one append."""
    kinds = {record_class: kind for kind, record_class in claim_kinds.entries.items()}
    return pack([[kinds[type(record)], *record.to_row()] for record in records])


def decode_claims(body: bytes) -> list[Record]:
    """Decode one stored record into claims and releases.

    :raises RecordError: if it is malformed.
    """
    rows = unpack(body)
    if not isinstance(rows, list):
        raise RecordError('claim record is not a list')
    return [_decode_row(row) for row in rows]


def _decode_row(row: object) -> Record:
    if not isinstance(row, list) or not row:
        raise RecordError('claim row is empty or not a list')
    record_class = claim_kinds.entries.get(str(row[0]))
    if record_class is None:
        raise RecordError(f'unknown kind of claim row: {row[0]!r}')
    return record_class.checked_from_row(row[1:])
