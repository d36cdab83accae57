"""Command that publishes a preset."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click

from lavendermount.context import CliContext
from lavendermount.presets import PresetStream
from lavendermount_core.config.loader import load_file
from lavendermount_core.config.preset import PresetSchema
from lavendermount_core.presets.records import Publish
from lavendermount_core.utils.digests import random_identifier, short_digest
from lavendermount_core.utils.units import MS_PER_S


def publish_preset(context: CliContext, path: Path) -> None:
    """Check a preset file and publish it, unless its version is published already.

    :raises ConfigurationError: if it is invalid; carries every finding, and
        nothing is published.
    :raises LogUnavailableError: if the stream can't be read.
    :raises PresetNotAcceptedError: if the record is not found on the log in time.
    """
    name = load_file(PresetSchema, path).name
    body = path.read_text(encoding='utf-8')
    record = Publish(
        random_identifier(),
        name,
        short_digest(body.encode()),
        body,
        context.operator,
        int(time.time() * MS_PER_S),
    )
    asyncio.run(_publish(context, record))
    click.echo(f'published {name}@{record.version}')


async def _publish(context: CliContext, record: Publish) -> None:
    stream = PresetStream(context.open_log())
    fold = await stream.read_all()
    if (record.name, record.version) in fold.published:
        return
    await stream.append_until_found(record, record.record_id)
