"""Conversion between records and gRPC messages.

:shapes: the fields of a message have the names of the slots of its record.
"""

from __future__ import annotations

from typing import TypeVar

from google.protobuf.message import Message

from lavendermount_core.models.loads import LoadReport
from lavendermount_core.models.members import Member
from lavendermount_core.models.records import Record
from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.control.generated import control_pb2
from lavendermountd.membership.evacuations import ZoneState
from lavendermountd.peer.frames import CrashSuspicion
from lavendermountd.presets.refusals import RefusedPreset

RecordType = TypeVar('RecordType', bound=Record)


def _from_message(record_class: type[RecordType], message: Message) -> RecordType:
    return record_class.from_row(_message_row(record_class, message))


def _message_row(record_class: type[Record], message: Message) -> list[object]:
    return [getattr(message, name) for name in record_class.__slots__]


def _record_fields(record: Record) -> dict[str, object]:
    return dict(zip(record.__slots__, record.to_row(), strict=True))


def member_message(member: Member) -> control_pb2.Member:
    """Convert a member to a message."""
    return control_pb2.Member(**_record_fields(member))  # type: ignore[arg-type]


def member_record(message: control_pb2.Member) -> Member:
    """Convert a message to a member.

    :raises RecordError: if a field is out of range.
    """
    return Member.checked_from_row(_message_row(Member, message))


def load_message(report: LoadReport, age_ms: float) -> control_pb2.AgedLoad:
    """Convert a load report and its age to a message."""
    converted = control_pb2.LoadReport(**_record_fields(report))  # type: ignore[arg-type]
    return control_pb2.AgedLoad(report=converted, age_ms=int(age_ms))


def load_record(message: control_pb2.AgedLoad) -> LoadReport:
    """Convert a message to a load report, without its age."""
    return _from_message(LoadReport, message.report)


def refused_message(source: str, refused: RefusedPreset) -> control_pb2.RefusedPreset:
    """Convert a refused preset to a message."""
    return control_pb2.RefusedPreset(
        source=source,
        revision=refused.revision,
        reason=refused.reason,
        age_ms=round(refused.age_s * MS_PER_S),
    )


def suspicion_message(suspicion: CrashSuspicion) -> control_pb2.Suspicion:
    """Convert a suspicion to a message."""
    return control_pb2.Suspicion(**_record_fields(suspicion))  # type: ignore[arg-type]


def suspicion_record(message: control_pb2.Suspicion) -> CrashSuspicion:
    """Convert a message to a suspicion."""
    return CrashSuspicion(
        message.fingerprint,
        list(message.victims),
        message.remaining_ms,
    )


def zone_message(state: ZoneState) -> control_pb2.ZoneState:
    """Convert the state of a zone to a message."""
    return control_pb2.ZoneState(**_record_fields(state))  # type: ignore[arg-type]


def zone_record(message: control_pb2.ZoneState) -> ZoneState:
    """Convert a message to the state of a zone."""
    return _from_message(ZoneState, message)


def preset_message(snapshot: PresetSnapshot) -> control_pb2.PresetReply:
    """Convert a snapshot of the preset in force to a message."""
    return control_pb2.PresetReply(
        is_settled=True,
        **_record_fields(snapshot),  # type: ignore[arg-type]
    )


def preset_record(message: control_pb2.PresetReply) -> PresetSnapshot:
    """Convert a message to a snapshot of the preset in force."""
    return _from_message(PresetSnapshot, message)
