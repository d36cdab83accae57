"""Reassembly of bodies that are split over several frames.

The limits of the preset are applied where a body enters: by the node that receives it
from a caller or a target. While a preset changes them, the nodes have different limits.

:units: bytes.
:errors: ``RecordError`` for more bytes than announced.
"""

from __future__ import annotations

from lavendermount_core.exceptions import RecordError
from lavendermount_core.utils.units import MAX_BODY_BYTES
from lavendermountd.peer.frames import Answer, BodyPart, Dispatch


class PartialBody:
    """A body that has been received in part.

    :param head: the frame that announced the body and carries its first part.
    """

    __slots__ = ('head', 'parts', 'received_bytes')

    def __init__(self, head: Dispatch | Answer) -> None:
        """Start with the part in the head frame."""
        self.head = head
        self.parts = [head.body]
        self.received_bytes = len(head.body)

    @property
    def is_complete(self) -> bool:
        """Return whether all bytes have been received."""
        return self.received_bytes == self.head.body_size

    def add(self, part: bytes) -> None:
        """Append the next part."""
        self.parts.append(part)
        self.received_bytes += len(part)
        if self.received_bytes > self.head.body_size:
            raise RecordError('body is longer than its announced size')

    def assemble(self) -> Dispatch | Answer:
        """Store the joined body in the head frame and return the frame."""
        self.head.body = b''.join(self.parts)
        return self.head


class BodyAssembler:
    """The partially received bodies of one connection, by attempt."""

    __slots__ = ('incomplete',)

    def __init__(self) -> None:
        """Start with no partial body."""
        self.incomplete: dict[str, PartialBody] = {}

    def begin(self, head: Dispatch | Answer) -> bool:
        """Process a head frame.

        :raises RecordError: if no preset allows the announced size, or if it is
            smaller than the first part.
        :returns: whether its body is already complete.
        """
        if head.body_size > MAX_BODY_BYTES or head.body_size < len(head.body):
            raise RecordError('announced body size is out of bounds')
        if head.body_size == len(head.body):
            return True
        self.incomplete[head.attempt_id] = PartialBody(head)
        return False

    def add(self, part: BodyPart) -> Dispatch | Answer | None:
        """Process a body part.

        :raises RecordError: if the part exceeds the announced size.
        :returns: the head frame with the complete body; ``None`` if parts are
            missing, or if the body was discarded.
        """
        body = self.incomplete.get(part.attempt_id)
        if body is None:
            return None
        body.add(part.body)
        if not body.is_complete:
            return None
        self.incomplete.pop(part.attempt_id)
        return body.assemble()

    def discard(self, attempt_id: str) -> bool:
        """Discard the body of an attempt; parts that follow are ignored.

        :returns: whether it was incomplete.
        """
        return self.incomplete.pop(attempt_id, None) is not None
