"""Steps for large versions that one node of a region reads from the log."""

from __future__ import annotations

import asyncio
import random
import time
from statistics import fmean
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then
from builders import member, preset_snapshot
from log_reader_steps import (
    LONGEST_WAIT_S,
    RATE_TOLERANCE,
    READERS_PER_ZONE,
    tables_of,
)
from peer_preset_steps import FollowingNode, HeldLog

from lavendermount_core.log.adapter import LogBatch, NewestRecords
from lavendermount_core.log.transfer import LARGE_ANSWER_BYTES
from lavendermount_core.models.members import Member
from lavendermountd.presets import keyed_follower as keyed_follower_module
from lavendermountd.presets import read_turn as read_turn_module
from lavendermountd.presets.check_pace import CheckPace
from lavendermountd.presets.holder import compile_preset
from lavendermountd.presets.poll_schedule import PollSchedule
from lavendermountd.presets.reachability import LogReachability
from lavendermountd.presets.read_turn import FirstReader
from lavendermountd.presets.reader_selection import first_reader

TURN_S = 0.4


class LargeLog(HeldLog):
    """A log whose records are large; it counts those that were read to their end."""

    def __init__(self) -> None:
        """Start with a record that was read already."""
        super().__init__()
        self.begun_count = 0
        self.read_offsets: list[int] = []

    async def read(self, *arguments: Any) -> LogBatch:
        """Send the first part of an answer, and later the rest."""
        _, offset, wait_s, transfer = arguments
        if offset < len(self.records):
            self.begun_count += 1
            transfer.note_received(1000, LARGE_ANSWER_BYTES + 1)
            await asyncio.sleep(0.05)
            self.read_offsets.append(offset)
        else:
            await asyncio.sleep(min(wait_s, 0.05))
        self.is_released.set()
        batch = await super().read(*arguments)
        rows = batch.records[:2]
        return LogBatch(batch.oldest, offset + len(rows), batch.end, rows)

    async def newest(self, *arguments: Any) -> NewestRecords:
        """Send the first part of the newest record, and later the rest."""
        if len(self.records) > 1:
            arguments[1].note_received(1000, LARGE_ANSWER_BYTES + 1)
        await asyncio.sleep(0.05)
        return await super().newest(*arguments)


async def follow_large(
    is_reader: bool, is_told: bool, seconds: float, versions: int
) -> FollowingNode:
    """Let a node follow a log to which large versions are written."""
    node = FollowingNode()
    node.log = LargeLog()
    node.follower.keyed_log = node.log
    node.follower.reachability.turn.is_own = Mock(return_value=False)
    schedule = node.follower.reachability.schedule
    schedule.is_reader = Mock(return_value=is_reader)
    await node.follower.read()
    node.log.records += [b'%d' % (6 + number) for number in range(versions)]
    following = asyncio.create_task(node.follower.run())
    await asyncio.sleep(TURN_S / 2)
    if is_told:
        node.fetch_from_peer(6, 2)
    await asyncio.sleep(seconds - TURN_S / 2)
    following.cancel()
    return node


def run_large(
    is_reader: bool, is_told: bool, seconds: float, versions: int = 1
) -> FollowingNode:
    """Run a node with short turns."""
    with (
        patch.object(read_turn_module, 'MIN_TURN_S', TURN_S),
        patch.object(read_turn_module, 'MAX_TURN_S', TURN_S),
        patch.object(keyed_follower_module, 'COALESCE_S', 0),
        patch.object(PollSchedule, 'check_interval_s', return_value=0.01),
    ):
        return asyncio.run(follow_large(is_reader, is_told, seconds, versions))


@given('{count:d} nodes of a region in {zones:d} zones')
def region_in_zones(context: Any, count: int, zones: int) -> None:
    """Build their member records."""
    context.members = [
        member(f'node-{number}', zone=f'zone-{number % zones}')
        for number in range(count)
    ]


@then(
    'all agree on a first reader of the region, and on another if that one is not reached'
)
def one_reads_first(context: Any) -> None:
    """Ask each node by its own table; then with the first one unreachable."""
    unreachable: set[str] = set()
    for _ in range(3):
        first = [
            table.own.node_id
            for table in tables_of(context.members)
            if table.own.node_id not in unreachable
            and first_reader(table, READERS_PER_ZONE, unreachable.__contains__)
            == table.own
        ]
        assert len(first) == 1, first
        unreachable.update(first)


@then('a log reader reads it whole')
def first_reads(context: Any) -> None:
    """Let it read, while no other node tells it."""
    node = run_large(is_reader=True, is_told=False, seconds=TURN_S * 0.9)
    assert node.log.read_offsets == [1], node.log.read_offsets
    assert node.holder.revision == 6


@then('another node abandons its read and takes the version from a peer')
def others_are_told(context: Any) -> None:
    """Tell it within its turn."""
    node = run_large(is_reader=False, is_told=True, seconds=3 * TURN_S)
    assert (node.log.begun_count, node.log.read_offsets) == (1, [])
    assert node.holder.revision == 6


@then('it reads it itself if no peer has told it within its turn')
def untold_reads(context: Any) -> None:
    """Tell it nothing."""
    random.seed(1)
    started_at = time.monotonic()
    node = run_large(is_reader=False, is_told=False, seconds=2 * TURN_S)
    assert node.log.read_offsets == [1], node.log.read_offsets
    assert node.holder.revision == 6
    assert time.monotonic() - started_at > TURN_S


@then('it reads the newest itself, in the same turn, if there are many')
def untold_reads_newest(context: Any) -> None:
    """Write more versions than an answer holds."""
    node = run_large(is_reader=False, is_told=False, seconds=2 * TURN_S, versions=4)
    assert node.log.read_offsets == [1], node.log.read_offsets
    assert node.holder.revision == 9


@then('of {size:d} nodes that do not wait at the log, about one a second does so later')
def others_read_in_turn(context: Any, size: int) -> None:
    """Compare the mean time after which such a node reads with their number."""
    random.seed(1)
    waits = []
    for _ in range(2000):
        reachability = LogReachability(LONGEST_WAIT_S)
        reachability.schedule.region_size = Mock(return_value=size)
        reachability.schedule.is_reader = Mock(return_value=False)
        reachability.turn.is_own = Mock(return_value=False)
        reachability.offer_turn()
        waits.append(reachability.turn.gives_up_at - time.monotonic())
    assert abs(fmean(waits) / size - 1) < RATE_TOLERANCE, fmean(waits)


@then('a node whose first reader has died just now finds the next one, or reads itself')
def dead_first_reader(context: Any) -> None:
    """Let the first readers answer nobody, one after another."""
    tables = tables_of(context.members)
    dead: list[str] = []
    for _ in range(READERS_PER_ZONE):
        first = first_reader(tables[0], READERS_PER_ZONE, dead.__contains__)
        dead.append(first.node_id)
        asked = {
            table.own.node_id: asyncio.run(is_taken_beside(table, dead))
            for table in tables
            if table.own.node_id not in dead
        }
        own_turns = [name for name, is_taken in asked.items() if not is_taken]
        expected = first_reader(tables[0], READERS_PER_ZONE, dead.__contains__)
        assert own_turns == [expected.node_id], own_turns


async def is_taken_beside(table: Any, dead: list[str]) -> bool:
    """Ask for the first reader at a node that learns of the dead only by asking."""
    pace = CheckPace()

    async def exchange_with(other: Member, timeout_s: float) -> bool:
        await asyncio.sleep(0)
        if other.node_id in dead:
            pace.note_unreachable(other.node_id)
        return other.node_id not in dead

    node = Mock(table=table)
    node.gossip.exchange_with = exchange_with
    node.settings.presets.readers_per_zone = READERS_PER_ZONE
    node.follower.reachability.check_pace = pace
    return await FirstReader(node).is_taken()


@then(
    'a node that starts and has a preset leaves it to others until it knows a position'
)
def starting_node_leaves(context: Any) -> None:
    """Let a node that is a log reader start beside a large newest record."""

    async def start() -> FollowingNode:
        node = FollowingNode()
        node.log = LargeLog()
        node.log.records += [b'6', b'7']
        node.follower.keyed_log = node.log
        node.follower.reachability.turn.is_own = Mock(return_value=False)
        node.holder.put_in_force(compile_preset(preset_snapshot(7)), 'peer')
        following = asyncio.create_task(node.follower.run())
        await asyncio.sleep(TURN_S / 2)
        assert (node.decoded, node.log.newest_reads) == ([], 0)
        node.follower.skip_to(3)
        await asyncio.sleep(TURN_S)
        following.cancel()
        return node

    node = asyncio.run(start())
    assert (node.decoded, node.log.newest_reads) == ([], 0), node.decoded
    assert node.follower.offset == 3
