"""Command that puts a preset in force."""

from __future__ import annotations

import asyncio
import time

import click
import grpc

from lavendermount.context import CliContext
from lavendermount.nodes import NodeClient
from lavendermount.presets import PresetStream, find_published
from lavendermount_core.exceptions import (
    LavendermountError,
    PresetNotAcceptedError,
)
from lavendermount_core.models.members import MemberStatus
from lavendermount_core.presets.fold import PresetFold, SwitchResult
from lavendermount_core.presets.records import Switch
from lavendermount_core.utils.digests import random_identifier
from lavendermount_core.utils.units import MS_PER_S

POLL_INTERVAL_S = 0.2
SETTLE_TIMEOUT_S = 15.0


class RolloutTimeoutError(LavendermountError):
    """The switch was accepted but did not reach every node in time."""

    exit_code = 6


def switch_preset(
    context: CliContext,
    reference: str,
    expected: int | None,
    wait_s: float | None,
) -> None:
    """Switch to a published preset.

    :param reference: ``NAME`` or ``NAME@VERSION``.
    :param expected: revision expected to be in force; ``None`` takes the
        current one.
    :param wait_s: seconds to wait for all nodes; ``None`` does not wait.
    :raises PresetNotAcceptedError: if another switch came first.
    :raises RolloutTimeoutError: if a node is still behind after the wait.
    """
    asyncio.run(_switch(context, reference, expected, wait_s))


async def _switch(
    context: CliContext,
    reference: str,
    expected: int | None,
    wait_s: float | None,
) -> None:
    stream = PresetStream(context.open_log())
    fold = await _read_settled_fold(context, stream)
    published = find_published(fold, reference)
    record = Switch(
        random_identifier(),
        fold.in_force.revision if expected is None else expected,
        published.name,
        published.version,
        published.body,
        context.operator,
        int(time.time() * MS_PER_S),
    )
    await stream.append_until_found(record, record.record_id)
    switch_result = fold.switch_results.get(record.record_id)
    _require_accepted(record, switch_result)
    assert switch_result is not None
    click.echo(
        f'accepted {record.name}@{record.version} as revision {switch_result.offset}',
    )
    if wait_s is not None:
        await _wait_for_all_nodes(context, switch_result.offset, wait_s)


async def _read_settled_fold(context: CliContext, stream: PresetStream) -> PresetFold:
    """Read the stream; ask a node if the log does not show what is in force."""
    fold = await stream.read_all()
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    while not fold.is_settled and context.nodes:
        async with NodeClient(context.first_node()) as node:
            snapshot = await node.preset()
        if snapshot is not None:
            fold.adopt(snapshot)
        if time.monotonic() > deadline:
            break
        await stream.read_all()
    if fold.is_settled:
        return fold
    raise PresetNotAcceptedError(
        'the preset in force is unknown to the log; '
        'pass --node with a node that knows it'
    )


def _require_accepted(record: Switch, switch_result: SwitchResult | None) -> None:
    if switch_result is None:
        raise PresetNotAcceptedError('the switch was not found on the log')
    if not switch_result.is_winner:
        raise PresetNotAcceptedError(
            f'not accepted: revision {switch_result.revision} is in force, '
            f'the switch expected {record.expected}',
        )


async def _wait_for_all_nodes(
    context: CliContext, revision: int, wait_s: float
) -> None:
    """Poll all nodes until each has the revision or a newer one in force."""
    started_at = time.monotonic()
    while True:
        ready, total = await _count_ready_nodes(context, revision)
        elapsed = time.monotonic() - started_at
        if ready == total:
            click.echo(f'in force on {ready} of {total} nodes after {elapsed:.1f} s')
            return
        if elapsed > wait_s:
            raise RolloutTimeoutError(f'in force on only {ready} of {total} nodes')
        click.echo(f'in force on {ready} of {total} nodes', err=True)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _count_ready_nodes(context: CliContext, revision: int) -> tuple[int, int]:
    async with NodeClient(context.first_node()) as node:
        status = await node.status()
    addresses = [
        f'{member.host}:{member.control_port}'
        for member in status.members
        if member.status != MemberStatus.DEAD
    ]
    revisions = await asyncio.gather(*map(_fetch_revision, addresses))
    ready = sum(1 for seen in revisions if seen >= revision)
    return ready, len(addresses)


async def _fetch_revision(address: str) -> int:
    try:
        async with NodeClient(address) as node:
            return int((await node.status()).revision)
    except (LavendermountError, grpc.aio.AioRpcError):
        return -1
