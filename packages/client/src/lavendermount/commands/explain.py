"""Command that explains how a request was routed."""

from __future__ import annotations

import asyncio
import json

import click

from lavendermount.context import CliContext
from lavendermount.decisions import read_decisions
from lavendermount_core.exceptions import LavendermountError
from lavendermount_core.replay.explain import explain_decision
from lavendermount_core.replay.records import DecisionRecord


def explain_request(context: CliContext, request_id: str, is_json: bool) -> None:
    """Explain every routing decision made for a request.

    :param request_id: identifier of the request; the native dialect returns it in
        ``X-Request-Id``.
    :raises LavendermountError: if the log holds no decision for it.
    """
    found = asyncio.run(_find_decisions(context, request_id))
    if not found:
        raise LavendermountError(f'the log holds no decision for request {request_id}')
    if is_json:
        rows = [
            dict(zip(entry.__slots__, entry.to_row(), strict=True)) for entry in found
        ]
        click.echo(json.dumps(rows))
        return
    for entry in found:
        click.echo('\n'.join(explain_decision(entry)))


async def _find_decisions(context: CliContext, request_id: str) -> list[DecisionRecord]:
    stored = await read_decisions(context.open_log())
    found = [entry for entry in stored.decisions if entry.request_id == request_id]
    return sorted(found, key=lambda entry: (entry.attempt, entry.time_ms))
