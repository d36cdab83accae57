"""Commands that show the status of a node and drain nodes."""

from __future__ import annotations

import asyncio

import click
from google.protobuf.json_format import MessageToJson

from lavendermount.context import CliContext
from lavendermount.nodes import NodeClient
from lavendermount_core.models.members import MemberStatus
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.control.generated import control_pb2

SHOWN_ADJUSTMENTS = 10


def show_status(context: CliContext, is_json: bool) -> None:
    """Print the status of the first node in the context."""
    status = asyncio.run(_fetch_status(context.first_node()))
    if is_json:
        click.echo(
            MessageToJson(
                status,
                preserving_proto_field_name=True,
                always_print_fields_with_no_presence=True,
            ),
        )
        return
    _print_status(status)


def drain_nodes(context: CliContext, stop: bool) -> None:
    """Drain every node in the context.

    :param stop: whether each node also stops once it is drained.
    """
    # Raises ``UsageError`` if no node is given.
    context.first_node()
    for address in context.nodes:
        answer = asyncio.run(_drain(address, stop))
        click.echo(
            f'{address}: draining, {answer.in_flight} in flight, '
            f'{answer.queued} queued',
        )


async def _fetch_status(address: str) -> control_pb2.StatusReply:
    async with NodeClient(address) as node:
        return await node.status()


async def _drain(address: str, stop: bool) -> control_pb2.DrainReply:
    async with NodeClient(address) as node:
        return await node.drain(stop)


def _print_status(status: control_pb2.StatusReply) -> None:
    node = status.node
    log = 'reachable' if status.is_log_reachable else 'unreachable'
    click.echo(f'node     {node.node_id} in {node.region}/{node.zone}, {status.phase}')
    click.echo(f'preset   {status.preset}@{status.version}, revision {status.revision}')
    for refused in status.refused_presets:
        age_s = refused.age_ms // MS_PER_S
        source = f'{refused.source}, revision {refused.revision}'
        click.echo(f'refused  from {source}, {age_s} s ago: {refused.reason}')
    for adjustment in status.adjustments[:SHOWN_ADJUSTMENTS]:
        click.echo(f'adjusted {adjustment}')
    if len(status.adjustments) > SHOWN_ADJUSTMENTS:
        click.echo(f'adjusted {len(status.adjustments)} values in all')
    click.echo(f'log      {log}')
    click.echo(f'recorded {status.decisions}, dropped {status.decisions_dropped}')
    loads = {aged.report.node_id: aged for aged in status.loads}
    click.echo('member              service         zone         status   load')
    for member in sorted(status.members, key=lambda entry: entry.node_id):
        state = MemberStatus(member.status).name.lower()
        click.echo(
            f'{member.node_id:<19} {member.service:<15} {member.zone:<12} '
            f'{state:<8} {_format_load(loads.get(member.node_id))}',
        )


def _format_load(aged: control_pb2.AgedLoad | None) -> str:
    if aged is None:
        return 'not reported'
    report = aged.report
    return (
        f'{report.in_flight}+{report.queued}/{report.slots} '
        f'{report.service_ms:.1f} ms, {aged.age_ms} ms ago'
    )
