"""Registry of decoders for preset records that other systems write.

:shapes: a decoder validates a record in steps.
:errors: a decoder raises ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermount_core.presets.checked import CheckedPreset
from lavendermount_core.utils.registry import Registry
from lavendermount_core.utils.steps import Steps

PresetDecoder = Callable[[bytes], Steps[CheckedPreset]]
preset_decoders: Registry[str, PresetDecoder] = Registry('preset decoder')
