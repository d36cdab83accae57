"""Command that runs a node."""

from __future__ import annotations

import asyncio
from pathlib import Path

from lavendermount_core.config.loader import load_file
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.utils.logs import configure_logging
from lavendermountd.process import run_process
from lavendermountd.process_signals import ProcessSignals


def run_node(settings_file: Path, signals: ProcessSignals) -> None:
    """Run a node until it is asked to stop.

    :param settings_file: TOML file.
    :param signals: signals that the process receives.
    :raises ConfigurationError: if it is invalid; carries every finding.
    :raises SupervisionError: if the supervisor tree fails too often.
    """
    settings = load_file(NodeSchema, settings_file)
    configure_logging(settings.log_level)
    asyncio.run(run_process(settings, signals))
