"""Reassembly of bodies that are split over several frames.

The limits of the preset are applied where a body enters: by the node that receives it
from a caller or a target. While a preset changes them, the nodes have different limits.

:units: bytes.
:errors: ``RecordError`` for more bytes than announced.
"""

from __future__ import annotations

from lavendermount_core.exceptions import RecordError
from lavendermount_core.models.calls import Body
from lavendermount_core.utils.units import MAX_BODY_BYTES
from lavendermountd.memory import BodyBuffer, BodyKind, MemoryBudget
from lavendermountd.peer.frames import Answer, BodyPart, Dispatch


class PartialBody:
    """A body that has been received in part.

    :param head: the frame that announced the body and carries its first part.
    :param buffer: has room for the body.
    """

    __slots__ = ('head', 'buffer')

    def __init__(self, head: Dispatch | Answer, buffer: BodyBuffer) -> None:
        """Start with the part in the head frame."""
        self.head = head
        self.buffer = buffer
        buffer.add(head.body)
        head.body = b''

    @property
    def missing_bytes(self) -> int:
        """Return how many bytes have not been received."""
        return self.head.body_size - len(self.buffer.body)

    def add(self, part: Body) -> None:
        """Append the next part."""
        if len(part) > self.missing_bytes:
            raise RecordError('body is longer than its announced size')
        self.buffer.add(part)

    def assemble(self) -> Dispatch | Answer:
        """Store the complete body in the head frame and return the frame."""
        self.head.body = self.buffer.finish()
        return self.head


class BodyAssembler:
    """The partially received bodies of one connection, by attempt.

    :param kind: whose bodies they are.
    :param memory: budget of the node; ``None`` for one of its own.
    """

    __slots__ = ('kind', 'memory', 'incomplete')

    def __init__(
        self,
        kind: BodyKind = BodyKind.PEER_REQUEST,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Start with no partial body."""
        self.kind = kind
        self.memory = memory or MemoryBudget()
        self.incomplete: dict[str, PartialBody] = {}

    def begin(self, head: Dispatch | Answer) -> bool:
        """Process a head frame.

        Other frames share the connection, so it is read on when there is no room for
        a body; ``is_dropped`` then tells that the body is not kept.

        :raises RecordError: if no preset allows the announced size, or if it is
            smaller than the first part.
        :returns: whether its body is already complete.
        """
        if head.body_size > MAX_BODY_BYTES or head.body_size < len(head.body):
            raise RecordError('announced body size is out of bounds')
        if head.body_size == len(head.body):
            return True
        buffer = BodyBuffer(self.memory, self.kind, head.body_size)
        buffer.reserve(head.body_size)
        self.incomplete[head.attempt_id] = PartialBody(head, buffer)
        if buffer.missing_bytes:
            buffer.count_refusal()
            self.drop(head.attempt_id)
        return False

    def is_dropped(self, attempt_id: str) -> bool:
        """Return whether the body of an attempt that has begun is not kept."""
        return attempt_id not in self.incomplete

    def drop(self, attempt_id: str) -> bool:
        """Free what was received of a body; its further parts are ignored.

        :returns: whether the body was incomplete.
        """
        return self.incomplete.pop(attempt_id, None) is not None

    def add(self, part: BodyPart) -> Dispatch | Answer | None:
        """Process a body part.

        :raises RecordError: if the part exceeds the announced size.
        :returns: the head frame with the complete body; ``None`` if parts are
            missing, or if the body was dropped.
        """
        body = self.incomplete.get(part.attempt_id)
        if body is None:
            return None
        body.add(part.body)
        if body.missing_bytes:
            return None
        self.incomplete.pop(part.attempt_id)
        return body.assemble()
