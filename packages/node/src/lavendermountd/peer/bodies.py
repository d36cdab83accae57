"""Putting bodies together that come in several frames.

:units: bytes.
:errors: ``RecordError`` for a part nobody waits for or one too many.
"""

from __future__ import annotations

from lavendermount_core.exceptions import RecordError
from lavendermountd.peer.frames import Answer, BodyPart, Dispatch


class PartialBody:
    """A body of which some parts are missing.

    :param head: the frame that announced it.
    """

    __slots__ = ('head', 'parts', 'received')

    def __init__(self, head: Dispatch | Answer) -> None:
        """Start with the part in the head."""
        self.head = head
        self.parts = [head.body]
        self.received = len(head.body)

    @property
    def is_complete(self) -> bool:
        """Whether no part is missing."""
        return self.received == self.head.body_size

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.parts.append(part)
        self.received += len(part)
        if self.received > self.head.body_size:
            raise RecordError('body is longer than announced')

    def assemble(self) -> Dispatch | Answer:
        """Put the parts together in the head frame."""
        self.head.body = b''.join(self.parts)
        return self.head


class BodyAssembler:
    """Bodies under way on one connection, by attempt.

    :param limit: largest body accepted.
    """

    __slots__ = ('limit', 'incomplete')

    def __init__(self, limit: int) -> None:
        """Start with no body under way."""
        self.limit = limit
        self.incomplete: dict[str, PartialBody] = {}

    def begin(self, head: Dispatch | Answer) -> bool:
        """Take a head frame.

        :returns: whether its body is whole already.
        """
        if head.body_size > self.limit or head.body_size < len(head.body):
            raise RecordError('body size is out of bounds')
        if head.body_size == len(head.body):
            return True
        self.incomplete[head.attempt_id] = PartialBody(head)
        return False

    def add(self, part: BodyPart) -> Dispatch | Answer | None:
        """Take a part.

        :returns: the head frame with the whole body, once it is whole.
        """
        body = self.incomplete.get(part.attempt_id)
        if body is None:
            raise RecordError('body part without a head')
        body.add(part.body)
        if not body.is_complete:
            return None
        self.incomplete.pop(part.attempt_id)
        return body.assemble()
