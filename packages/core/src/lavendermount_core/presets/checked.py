"""A preset that was validated, beside the text from which it was read.

:errors: ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

from collections.abc import Sequence

from lavendermount_core.config.findings import Adjustment
from lavendermount_core.config.loader import load_text_steps
from lavendermount_core.config.preset import PresetSchema
from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_core.utils.steps import Steps


class CheckedPreset:
    """A snapshot and the values in its body.

    :param snapshot: the snapshot.
    :param schema: its body, validated.
    :param adjustments: values in it that differ from those that were asked for; none
        if it comes from another node.
    """

    __slots__ = ('snapshot', 'schema', 'adjustments')

    def __init__(
        self,
        snapshot: PresetSnapshot,
        schema: PresetSchema,
        adjustments: Sequence[Adjustment] = (),
    ) -> None:
        """Initialize the fields."""
        self.snapshot = snapshot
        self.schema = schema
        self.adjustments = adjustments


def check_steps(snapshot: PresetSnapshot) -> Steps[CheckedPreset]:
    """Validate the body of a snapshot in steps.

    :param snapshot: the snapshot; not trusted.
    :raises ConfigurationError: with all findings.
    """
    schema = yield from load_text_steps(PresetSchema, snapshot.body, snapshot.name)
    return CheckedPreset(snapshot, schema)
