"""Recorded decisions and the batches in which they are stored.

:shapes: a batch is a msgpack row. A digest chain links the batches of a
    process, so that a missing or modified batch is detected.
:errors: ``RecordError`` for bytes that do not encode a batch.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Sequence
from typing import Any

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.records import (
    Record,
    pack,
    unpack,
    unpack_all,
)
from lavendermount_core.routing.candidates import (
    Candidate,
    Decision,
    DecisionInputs,
    Tuning,
)

DECISION_STREAM = 'decisions'
DIGEST_LENGTH = 16
NO_PREVIOUS_DIGEST = ''


class DecisionRecord(Record):
    """One decision with its inputs and the outcome of the attempt.

    :param request_id: identifier of the request.
    :param attempt: number of the attempt, from 1; 0 if none was made.
    :param cause: cause of the attempt: ``first``, ``retry`` or ``hedge``.
    :param time_ms: time of the record, in milliseconds since the epoch.
    :param revision: revision of the preset in force.
    :param service: service of the request.
    :param call_class: class of the request.
    :param tenant: tenant of the request.
    :param policy: name of the policy.
    :param tuning: row of a ``Tuning``.
    :param seed: seed of the random number generator.
    :param turn: number of the decision among those of the node for the
        service.
    :param is_link_allowed: whether the budget for traffic between regions
        covered the request's body.
    :param candidates: rows of the candidates.
    :param chosen: node id of the selected target; empty if there was none.
    :param scores: node ids and expected milliseconds of the compared targets.
    :param outcome: outcome of the attempt, such as ``whole:200`` or
        ``not-run:queue-full``.
    :param elapsed_ms: duration of the attempt.
    :param reply_kb: average reply size of the class in kilobytes.
    :param is_abroad: whether only targets of other regions could serve the request.
    :param excluded: names of the constraints that excluded targets of the service,
        each with the number of targets.
    """

    __slots__ = (
        'request_id',
        'attempt',
        'cause',
        'time_ms',
        'revision',
        'service',
        'call_class',
        'tenant',
        'policy',
        'tuning',
        'seed',
        'turn',
        'is_link_allowed',
        'candidates',
        'chosen',
        'scores',
        'outcome',
        'elapsed_ms',
        'reply_kb',
        'is_abroad',
        'excluded',
    )

    # The constructor takes each field of the stored row.
    def __init__(  # noqa: WPS211
        self,
        request_id: str,
        attempt: int,
        cause: str,
        time_ms: int,
        revision: int,
        service: str,
        call_class: str,
        tenant: str,
        policy: str,
        tuning: list[Any],
        seed: int,
        turn: int,
        is_link_allowed: bool,
        candidates: list[list[Any]],
        chosen: str,
        scores: list[Any],
        outcome: str,
        elapsed_ms: float,
        reply_kb: float = 0,
        is_abroad: bool = False,
        excluded: Sequence[Sequence[Any]] = (),
    ) -> None:
        """Initialize the fields."""
        self.request_id = request_id
        self.attempt = attempt
        self.cause = cause
        self.time_ms = time_ms
        self.revision = revision
        self.service = service
        self.call_class = call_class
        self.tenant = tenant
        self.policy = policy
        self.tuning = tuning
        self.seed = seed
        self.turn = turn
        self.is_link_allowed = is_link_allowed
        self.candidates = candidates
        self.chosen = chosen
        self.scores = scores
        self.outcome = outcome
        self.elapsed_ms = elapsed_ms
        self.reply_kb = reply_kb
        self.is_abroad = is_abroad
        self.excluded = excluded

    def to_inputs(self) -> DecisionInputs:
        """Rebuild the inputs of the decision.

        :raises RecordError: if a row is malformed.
        """
        return DecisionInputs(
            self.policy,
            Tuning.from_row(self.tuning),
            self.seed,
            self.turn,
            self.is_link_allowed,
            [Candidate.from_row(row) for row in self.candidates],
            self.reply_kb,
            self.is_abroad,
        )

    def to_decision(self) -> Decision:
        """Rebuild the recorded decision."""
        scores = [(node_id, score) for node_id, score in self.scores]
        return Decision(self.chosen, scores)


class DecisionBatch(Record):
    """A batch of decisions of one process.

    :param node_id: node that made the decisions.
    :param incarnation: incarnation of that node.
    :param sequence: number of the batch, from 0.
    :param previous: chain digest of the previous batch; empty for the first.
    :param dropped: number of decisions dropped since the previous batch.
    :param rows: compressed concatenation of the packed decision rows.
    :param era: era of the log in which the batch was appended.
    """

    __slots__ = (
        'node_id',
        'incarnation',
        'sequence',
        'previous',
        'dropped',
        'rows',
        'era',
    )

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        sequence: int,
        previous: str,
        dropped: int,
        rows: bytes,
        era: int = 0,
    ) -> None:
        """Initialize the fields."""
        self.node_id = node_id
        self.incarnation = incarnation
        self.sequence = sequence
        self.previous = previous
        self.dropped = dropped
        self.rows = rows
        self.era = era

    def digest(self) -> str:
        """Return the digest of this batch, which covers all previous ones.

        Era 0 is left out, as in batches that were stored before the log had eras.
        """
        row = self.to_row() if self.era else self.row_without_era()
        digest = hashlib.sha256(pack(row))
        return digest.hexdigest()[:DIGEST_LENGTH]

    def row_without_era(self) -> list[Any]:
        """Return the row as it was before the log had eras."""
        return self.to_row()[:-1]

    def decisions(self) -> list[DecisionRecord]:
        """Decode the decisions of the batch.

        :raises RecordError: if the rows are malformed.
        """
        try:
            rows = unpack_all(zlib.decompress(self.rows))
        except zlib.error as error:
            raise RecordError(f'malformed batch: {error}') from error
        return [DecisionRecord.from_row(row) for row in rows]


def compress_rows(packed: Iterable[bytes]) -> bytes:
    """Concatenate and compress packed decisions for a batch.

    :param packed: packed rows of ``DecisionRecord``.
    """
    return zlib.compress(b''.join(packed))


def decode_batch(body: bytes) -> DecisionBatch:
    """Decode a record of the decision stream.

    :raises RecordError: if the bytes do not encode a batch.
    """
    row = unpack(body)
    # Batches written before the log had eras.
    if isinstance(row, list) and len(row) == len(DecisionBatch.__slots__) - 1:
        row.append(0)
    return DecisionBatch.checked_from_row(row)
