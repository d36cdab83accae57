"""Command that replays recorded decisions."""

from __future__ import annotations

import asyncio
import json
import sys

import click

from lavendermount.context import CliContext
from lavendermount.decisions import read_decisions
from lavendermount.presets import PresetStream
from lavendermount_core.exceptions import LavendermountError
from lavendermount_core.presets.fold import PresetFold
from lavendermount_core.replay.replay import Replay, ReplayReport


class ReplayMismatchError(LavendermountError):
    """Replay found differences from the recorded decisions."""

    exit_code = 5


def replay_decisions(context: CliContext, is_json: bool) -> None:
    """Replay all decisions that the log holds.

    :raises ReplayMismatchError: if there is any difference.
    """
    report = asyncio.run(_replay(context))
    if is_json:
        click.echo(
            json.dumps(
                {
                    'replayed': report.replayed,
                    'dropped': report.dropped,
                    'unjudged': report.unjudged,
                    'losses': [str(entry) for entry in report.losses],
                    'differences': [str(entry) for entry in report.differences],
                },
            ),
        )
    else:
        click.echo(
            f'replayed={report.replayed} dropped={report.dropped} '
            f'unjudged={report.unjudged} losses={len(report.losses)} '
            f'differences={len(report.differences)}',
        )
        for loss in report.losses:
            click.echo(str(loss))
    if report.differences:
        raise ReplayMismatchError('\n'.join(map(str, report.differences)))


async def _replay(context: CliContext) -> ReplayReport:
    log = context.open_log()
    stream = PresetStream(log)
    fold = await stream.read_all()
    stored = await read_decisions(log)
    replay = Replay(_preset_bodies(stream, fold))
    replay.report.differences.extend(stored.findings)
    replay.report.losses.extend(stored.chain.losses)
    replay.report.dropped = stored.dropped
    with click.progressbar(
        length=len(stored.decisions),
        label='replaying',
        file=sys.stderr,
    ) as progress:
        for entry in stored.decisions:
            replay.check(entry)
            progress.update(1)
    return replay.report


def _preset_bodies(stream: PresetStream, fold: PresetFold) -> dict[int, str]:
    """Map each revision that the log still holds to its preset source."""
    bodies = {offset: switch.body for offset, switch in stream.switches}
    bodies[fold.in_force.revision] = fold.in_force.body
    return bodies
