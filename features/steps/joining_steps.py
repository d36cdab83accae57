"""Steps for nodes that join through the log at the same moment."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

from behave import then, when
from builders import member

from lavendermount_core.log.adapter import LogBatch, LogRecord
from lavendermount_core.models.members import Member
from lavendermountd.membership.joining import Joiner
from lavendermountd.membership.table import MemberTable

RETENTION_S = 60.0
READ_S = 0.01


class SharedLog:
    """A log whose reads take a moment and show what was there at their start."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record."""
        self.records.append(body)
        return len(self.records) - 1

    async def read(self, stream: str, offset: int, wait_s: float = 0) -> LogBatch:
        """Read the records from an offset on."""
        rows = [
            LogRecord(offset + index, body)
            for index, body in enumerate(self.records[offset:])
        ]
        end = len(self.records)
        await asyncio.sleep(READ_S)
        return LogBatch(0, end, end, rows)


class SeedGossip:
    """Gossip that reaches only the other node of the own region, by its seed."""

    def __init__(self, own: Member, neighbour: Member) -> None:
        """Start with a table that holds only the own node."""
        self.table = MemberTable(own)
        self.neighbour = neighbour
        self.channels = Mock()

    async def exchange_with(self, seed: Member, timeout_s: float) -> bool:
        """Learn of the other node of the region."""
        self.table.merge(self.neighbour)
        return True


@when(
    'four nodes of two regions read the members at the same moment, and know a seed of'
    ' their region'
)
def join_at_once(context: Any) -> None:
    """Run the first two steps of four joiners at once."""
    members = {
        name: member(name, region=region)
        for name, region in (('a', 'n'), ('b', 'n'), ('c', 's'), ('d', 's'))
    }
    neighbours = {'a': 'b', 'b': 'a', 'c': 'd', 'd': 'c'}

    async def join() -> list[MemberTable]:
        shared = SharedLog()
        joiners = [
            Joiner(
                SeedGossip(own, members[neighbours[name]]),
                shared,
                ['127.0.0.1:1'],
                RETENTION_S,
            )
            for name, own in members.items()
        ]
        for _ in range(2):
            await asyncio.gather(*(joiner.step() for joiner in joiners))
        return [joiner.table for joiner in joiners]

    context.tables = asyncio.run(join())


@then('at least one of them knows all the others')
def one_knows_all(context: Any) -> None:
    """Count the members that each node knows."""
    counts = [len(table.living()) for table in context.tables]
    assert max(counts) == len(context.tables) - 1, counts
