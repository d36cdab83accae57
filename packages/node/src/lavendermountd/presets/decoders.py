"""Registry of decoders for preset records that other systems write.

:errors: a decoder raises ``ConfigurationError`` with all findings.
"""

from __future__ import annotations

from collections.abc import Callable

from lavendermount_core.presets.records import PresetSnapshot
from lavendermount_core.utils.registry import Registry

PresetDecoder = Callable[[bytes], PresetSnapshot]
preset_decoders: Registry[str, PresetDecoder] = Registry('preset decoder')
