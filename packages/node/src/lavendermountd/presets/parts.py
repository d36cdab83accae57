"""Presets in compressed parts, as nodes fetch them from each other.

A time limit on one call for a whole preset would grow with the preset and shrink with
the bandwidth of the slowest VM. Each part has a call and a time limit of its own.

:units: bytes.
:source: ``zlib`` from the standard library.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from lavendermount_core.exceptions import RecordError
from lavendermount_core.presets.records import PresetSnapshot
from lavendermountd.control.generated import control_pb2
from lavendermountd.control.messages import (
    preset_message,
    preset_record,
    zone_message,
)
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.presets.relay import PresetRelay

PART_BYTES = 32768
MAX_PART_BYTES = 262144
MAX_PRESET_BYTES = 67_108_864
COMPRESSION_LEVEL = 3


class PresetParts:
    """Answers the requests of other nodes for the preset.

    Parts are those of the newest preset that can be passed on. A request for the whole
    is answered with the preset in force.

    :param relay: holds the newest preset.
    :param evacuations: states of the zones.
    :param log_position: returns the position of the log below which all records have
        been applied; 0 if there is none.
    """

    __slots__ = (
        'relay',
        'evacuations',
        'log_position',
        'compressed_text',
        'compressed',
    )

    def __init__(
        self,
        relay: PresetRelay,
        evacuations: EvacuationTable,
        log_position: Callable[[], int],
    ) -> None:
        """Start with nothing compressed."""
        self.relay = relay
        self.evacuations = evacuations
        self.log_position = log_position
        self.compressed_text = ''
        self.compressed = b''

    def reply(self, request: control_pb2.PresetRequest) -> control_pb2.PresetReply:
        """Return the preset, or a part of it.

        If there is none, or the fold isn't settled, ``is_settled`` is false.

        :param request: names the part; the reply contains the whole preset in force if
            its part has no size.
        """
        pending = self.relay.pending
        if pending is not None and request.part_bytes > 0:
            if pending.compressed:
                self.keep_compressed(pending.snapshot.body, pending.compressed)
            position = pending.reply.log_position
            reply = self.part_message(pending.snapshot, request, position)
            reply.zones.extend(pending.reply.zones)
            return reply
        holder = self.relay.holder
        fold = holder.fold
        is_known = fold is not None and (fold.is_settled or fold.must_carry_over)
        if fold is None or not is_known or holder.current is None:
            return control_pb2.PresetReply(is_settled=False)
        snapshot = fold.snapshot()
        if request.part_bytes <= 0:
            return preset_message(snapshot)
        return self.part_message(snapshot, request, self.log_position())

    def part_message(
        self,
        snapshot: PresetSnapshot,
        request: control_pb2.PresetRequest,
        position: int,
    ) -> control_pb2.PresetReply:
        """Build the reply to a request for a part.

        :param snapshot: the preset.
        :param request: names the part.
        :param position: position of the log that the preset stands for; 0 if unknown.
        """
        if self.compressed_text != snapshot.body:
            body = snapshot.body.encode()
            self.keep_compressed(snapshot.body, zlib.compress(body, COMPRESSION_LEVEL))
        start = max(0, request.part_offset)
        end = start + min(request.part_bytes, MAX_PART_BYTES)
        return control_pb2.PresetReply(
            is_settled=True,
            revision=snapshot.revision,
            as_of=snapshot.as_of,
            name=snapshot.name,
            version=snapshot.version,
            part=self.compressed[start:end],
            compressed_bytes=len(self.compressed),
            log_position=position,
            zones=map(zone_message, self.evacuations.states.values()),
        )

    def keep_compressed(self, text: str, compressed: bytes) -> None:
        """Keep the compressed body of a preset for further requests."""
        self.compressed_text = text
        self.compressed = compressed


class PartialPreset:
    """Collects the parts of a preset.

    If another version comes into force at the sender meanwhile, its parts replace those
    of the version before.
    """

    __slots__ = ('received', 'head')

    def __init__(self) -> None:
        """Start without a part."""
        self.received = bytearray()
        self.head = control_pb2.PresetReply()

    def next_request(self) -> control_pb2.PresetRequest:
        """Return the request for the next part."""
        return control_pb2.PresetRequest(
            part_offset=len(self.received), part_bytes=PART_BYTES
        )

    def add(self, reply: control_pb2.PresetReply) -> bool:
        """Add the reply to the latest request.

        :param reply: a settled reply.
        :raises RecordError: if the reply has no part, or the preset is too large.
        :returns: whether the preset is complete.
        """
        if reply.body:
            # The sender is of a version that knows no parts.
            self.head = reply
            return True
        if self.received and not self.is_continued_by(reply):
            self.received.clear()
            return False
        self.head = reply
        self.received += reply.part
        if not reply.part or reply.compressed_bytes > MAX_PRESET_BYTES:
            raise RecordError('the part of a preset is empty, or the preset too large')
        return len(self.received) >= reply.compressed_bytes

    def is_continued_by(self, reply: control_pb2.PresetReply) -> bool:
        """Return whether a reply is of the version whose parts were received."""
        head = self.head
        return (head.revision, head.version, head.compressed_bytes) == (
            reply.revision,
            reply.version,
            reply.compressed_bytes,
        )

    def snapshot(self) -> PresetSnapshot:
        """Build the snapshot of a complete preset.

        :raises RecordError: if the parts do not decompress to text.
        """
        if not self.head.body:
            self.head.body = _decompress(bytes(self.received))
        return preset_record(self.head)


def _decompress(compressed: bytes) -> str:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_PRESET_BYTES)
        text = body.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise RecordError(f'malformed preset: {error}') from error
    if not decompressor.eof:
        raise RecordError('the compressed preset is truncated or too large')
    return text
