"""Steps for presets that nodes fetch from each other, part by part."""

from __future__ import annotations

import asyncio
import random
import time
import zlib
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from behave import given, then
from builders import large_preset_snapshot, member, preset_snapshot
from fakes import FakeLog

from lavendermount_core.config.findings import Finding
from lavendermount_core.exceptions import ConfigurationError, RecordError
from lavendermount_core.log.adapter import LogBatch, NewestRecords, join_position
from lavendermount_core.presets.checked import CheckedPreset, check_steps
from lavendermount_core.utils.steps import Steps
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.control.generated import control_pb2
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.membership.table import MemberTable
from lavendermountd.presets import parts as parts_module
from lavendermountd.presets.catchup import PresetCatchUp
from lavendermountd.presets.holder import PresetHolder, compile_preset
from lavendermountd.presets.keyed_follower import KeyedPresetFollower
from lavendermountd.presets.other_regions import OtherRegions
from lavendermountd.presets.parts import PartialPreset, PresetParts
from lavendermountd.presets.peer_progress import PeerProgress
from lavendermountd.presets.peer_start import PeerStart
from lavendermountd.presets.relay import PresetRelay

INVALID_REVISION = 10


class HeldLog(FakeLog):
    """A log that holds the answer to a read back until it is released.

    It counts how often its newest record is read.
    """

    def __init__(self) -> None:
        """Start with one record and without a read."""
        super().__init__()
        self.records = [b'5']
        self.era = 0
        self.newest_reads = 0
        # Time that the newest record takes to arrive.
        self.newest_s = 0.0
        self.is_asked = asyncio.Event()
        self.is_released = asyncio.Event()

    async def newest(self, *arguments: Any) -> NewestRecords:
        """Read the newest record."""
        self.newest_reads += 1
        await asyncio.sleep(self.newest_s)
        return await super().newest(*arguments)

    async def read(self, *arguments: Any) -> LogBatch:
        """Answer with what is there once the read is released."""
        self.is_asked.set()
        await self.is_released.wait()
        return await super().read(*arguments)


class FollowingNode:
    """A follower, and what it has decoded."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self.log = HeldLog()
        self.holder = PresetHolder()
        self.evacuations = EvacuationTable('evacuate/')
        self.decoded: list[int] = []
        self.follower = KeyedPresetFollower(
            self.log, self.holder, 's', 'config', self.decode, self.evacuations
        )
        self.progress = PeerProgress(self.follower, self.evacuations)

    def decode(self, body: bytes) -> Steps[CheckedPreset]:
        """Decode a record, which is the number of its revision."""
        self.decoded.append(int(body))
        if int(body) == INVALID_REVISION:
            raise ConfigurationError([Finding('config', 'is invalid')])
        return (yield from check_steps(preset_snapshot(int(body))))

    def fetch_from_peer(self, revision: int, position: int) -> None:
        """Adopt the preset of a peer that has read the log up to a position."""
        self.holder.put_in_force(compile_preset(preset_snapshot(revision)), 'peer')
        zone = control_pb2.ZoneState(zone='zone-a', position=2, is_evacuated=True)
        reply = control_pb2.PresetReply(log_position=position, zones=[zone])
        self.progress.apply(reply, member('peer'))


@then('a node that fetched a preset from a peer does not read its record from the log')
def record_skipped(context: Any) -> None:
    """Fetch from a peer while a read of the log is under way."""

    async def follow() -> FollowingNode:
        node = FollowingNode()
        await node.follower.read()
        reading = asyncio.create_task(node.follower.read())
        await node.log.is_asked.wait()
        node.log.records += [b'6', b'', b'8']
        node.fetch_from_peer(8, 4)
        node.log.is_released.set()
        await reading
        node.log.records.append(b'9')
        await node.follower.read()
        return node

    node = asyncio.run(follow())
    assert node.decoded == [5, 9], node.decoded
    assert node.evacuations.evacuated == {'zone-a'}
    context.node = node


@then('a position of another era of the log, or one that it has passed, is ignored')
def other_positions_ignored(context: Any) -> None:
    """Skip to positions that must not change where the node reads."""
    follower = context.node.follower
    for position in (join_position(1, 9), 2, 0):
        follower.skip_to(position)
        assert follower.offset == 5, follower.offset


@then('a node that has refused the latest preset tells no position')
def refused_not_skipped(context: Any) -> None:
    """Read a preset that is invalid, and then a valid one."""
    node = context.node
    assert node.follower.applied_position() == 5
    for body, position in ((b'10', 0), (b'11', 7)):
        node.log.records.append(body)
        asyncio.run(node.follower.read())
        assert node.follower.applied_position() == position


def parts_of(holder: PresetHolder) -> PresetParts:
    """Build the source of the parts of a node's preset."""
    return PresetParts(PresetRelay(holder), EvacuationTable(), int)


@then('a preset that changes while its parts are fetched arrives whole')
def changed_meanwhile(context: Any) -> None:
    """Put another preset in force after the first part."""
    holder = PresetHolder()
    holder.put_in_force(compile_preset(large_preset_snapshot(7, 3440)))
    source = parts_of(holder)
    partial = PartialPreset()
    assert not partial.add(source.reply(partial.next_request()))
    newer = large_preset_snapshot(8, 3000)
    holder.put_in_force(compile_preset(newer))
    while not partial.add(source.reply(partial.next_request())):
        assert len(partial.received) <= partial.head.compressed_bytes
    assert partial.snapshot() == newer


@then('parts that are empty, truncated, too large or not compressed are refused')
def malformed_parts(context: Any) -> None:
    """Receive each malformed preset as one part."""
    whole = zlib.compress(preset_snapshot(7).body.encode())
    large = zlib.compress(b'0' * 2000)
    with patch.object(parts_module, 'MAX_PRESET_BYTES', 1000):
        for part in (b'', whole[:-5], large, b'junk', zlib.compress(b'\xff')):
            partial = PartialPreset()
            reply = control_pb2.PresetReply(
                is_settled=True, part=part, compressed_bytes=len(part)
            )
            try:
                partial.add(reply)
                partial.snapshot()
            except RecordError:
                continue
            raise AssertionError(part)


@then('a node of an earlier version gets the whole preset, and its own is accepted')
def earlier_version(context: Any) -> None:
    """Ask without a part, and answer with the whole body."""
    holder = PresetHolder()
    holder.put_in_force(compile_preset(preset_snapshot(7)))
    reply = parts_of(holder).reply(control_pb2.PresetRequest())
    assert reply.body == preset_snapshot(7).body
    partial = PartialPreset()
    assert partial.add(reply)
    assert partial.snapshot() == holder.fold.snapshot()


async def _start_beside_peer(position: int, oldest: int = 0) -> FollowingNode:
    """Start a node whose peer has preset 8 in force; version 9 follows on the log.

    :param position: position of the log that the peer tells; 0 if it knows none.
    :param oldest: oldest position that the log retains.
    """
    node = FollowingNode()
    node.log.records = [b'5', b'6', b'', b'8', b'9']
    node.log.oldest = oldest
    node.log.is_released.set()

    async def ask() -> None:
        node.fetch_from_peer(8, position)

    node.follower.ask_peers = ask
    while not node.follower.is_caught_up.is_set():
        await node.follower.step()
    return node


@then('a node that starts beside a peer reads only what the peer has not read')
def starts_beside_peer(context: Any) -> None:
    """Start from the position of a peer; nothing that the peer read is decoded."""
    node = asyncio.run(_start_beside_peer(4))
    assert node.log.newest_reads == 0
    assert node.decoded == [9], node.decoded
    assert node.holder.revision == 9
    assert node.evacuations.evacuated == {'zone-a'}


@then('it reads the newest record if the peer tells no position, or one that is gone')
def starts_without_position(context: Any) -> None:
    """Tell no position, an evicted one, and one of another era."""
    for position, oldest in ((0, 0), (3, 4), (join_position(1, 4), 0)):
        node = asyncio.run(_start_beside_peer(position, oldest))
        assert node.log.newest_reads == 1, (position, oldest)
        assert node.holder.revision == 9


@then('a node that was frozen reads on where it was')
def reads_on_after_freeze(context: Any) -> None:
    """Restart a follower, as after a freeze, with a new version on the log."""

    async def freeze() -> FollowingNode:
        node = await _start_beside_peer(4)
        node.log.records.append(b'11')
        node.follower.restart()
        assert not node.follower.is_caught_up.is_set()
        started_at = time.monotonic()
        await node.follower.step()
        assert node.follower.is_caught_up.is_set()
        assert time.monotonic() - started_at < 1
        return node

    node = asyncio.run(freeze())
    assert node.log.newest_reads == 0
    assert node.decoded == [9, 11], node.decoded


@then(
    'a node that learns a position while it reads the newest record abandons that read'
)
def newest_read_abandoned(context: Any) -> None:
    """Let the newest record arrive slowly, and a peer tell its position meanwhile."""

    async def start() -> FollowingNode:
        node = FollowingNode()
        node.log.records = [b'5', b'6', b'', b'8', b'9']
        node.log.newest_s = 5
        node.log.is_released.set()
        asyncio.get_running_loop().call_later(0.2, node.fetch_from_peer, 8, 4)
        async with asyncio.timeout(2):
            while not node.follower.is_caught_up.is_set():
                await node.follower.step()
        return node

    node = asyncio.run(start())
    assert node.log.newest_reads == 1
    assert node.decoded == [9], node.decoded


@then('a starting node goes on asking while those that it asked know no position')
def goes_on_asking(context: Any) -> None:
    """Tell a position only to the eighth question."""
    follower = FollowingNode().follower
    asked = []

    async def answer(peer: object) -> None:
        asked.append(peer)
        if len(asked) == 8:
            follower.skip_to(4)

    async def start() -> None:
        known, up_to_date = asyncio.Event(), asyncio.Event()
        known.set()
        up_to_date.set()
        node = Mock()
        node.joiner.has_asked_peers = known
        node.catch_up.is_up_to_date = up_to_date
        node.catch_up.ask_progress = answer
        members = [member(f'n-{number}') for number in range(5)]
        node.gossip.living_in_region.return_value = members
        node.table.living.return_value = members
        peer_start = PeerStart(node, follower)
        await peer_start.run()
        async with asyncio.timeout(5):
            await peer_start.later_rounds

    asyncio.run(start())
    assert len(asked) == 8


@then(
    'a valid version that was read together with an invalid one behind it is in force'
)
def valid_before_invalid(context: Any) -> None:
    """Read a valid version and two invalid ones in one answer."""

    async def follow() -> FollowingNode:
        node = FollowingNode()
        node.log.is_released.set()
        await node.follower.read()
        node.log.records += [b'9', b'10', b'10']
        await node.follower.read()
        return node

    node = asyncio.run(follow())
    assert node.holder.revision == 9, node.decoded
    assert node.follower.applied_position() == 0


async def _started_checker() -> FollowingNode:
    """Start a node that does not wait at the log, and checks it often."""
    node = FollowingNode()
    node.log.is_released.set()
    node.follower.ask_peers = AsyncMock()
    await node.follower.step()
    schedule = node.follower.reachability.schedule
    schedule.is_reader = bool
    schedule.region_size = lambda: 0.01
    return node


async def _find_news(told_after_s: float) -> tuple[FollowingNode, float]:
    """Let a node that does not wait at the log check it when a version is new there.

    :param told_after_s: when a peer tells of it.
    :returns: the node, and how long it took until the version was in force.
    """
    node = await _started_checker()
    node.log.records.append(b'8')
    asyncio.get_running_loop().call_later(told_after_s, node.fetch_from_peer, 8, 2)
    started_at = time.monotonic()
    while node.holder.revision < 8 and time.monotonic() < started_at + 5:
        await node.follower.step()
    return node, time.monotonic() - started_at


@then(
    'a node that finds news in the log, and is told of it within {seconds:g} s, reads no'
    ' record'
)
def news_left_to_others(context: Any, seconds: float) -> None:
    """Tell it at different times, and let it wait as long as it may."""
    with patch.object(random, 'uniform', lambda low, high: high):
        for told_after_s in (0, seconds / 2, seconds):
            node, _ = asyncio.run(_find_news(told_after_s))
            assert node.decoded == [5], (told_after_s, node.decoded)


@then(
    'a node that finds news in the log, and is told of nothing, reads it within'
    ' {seconds:g} s'
)
def news_read(context: Any, seconds: float) -> None:
    """Let no peer tell it in time."""
    node, elapsed_s = asyncio.run(_find_news(4))
    assert node.decoded == [5, 8], node.decoded
    assert elapsed_s <= seconds, elapsed_s


@then(
    'a node that starts reads no record while a peer that told its preset may tell its'
    ' position'
)
def start_leaves_record(context: Any) -> None:
    """Let the peer tell its preset at once, and its position after two seconds."""

    async def start() -> FollowingNode:
        node = FollowingNode()
        node.log.records = [b'5', b'6', b'', b'8']
        node.log.is_released.set()
        node.follower.reachability.schedule.is_reader = bool
        node.fetch_from_peer(8, 0)
        asyncio.get_running_loop().call_later(2, node.fetch_from_peer, 8, 4)
        async with asyncio.timeout(4):
            while not node.follower.reachability.is_reachable:
                await node.follower.step()
        return node

    node = asyncio.run(start())
    assert node.log.newest_reads == 0
    assert node.decoded == [], node.decoded


@given('a log that came back from an older copy, and holds preset {revision:d}')
def restored_log(context: Any, revision: int) -> None:
    """Build a node that has not read the log yet."""
    context.node = FollowingNode()
    context.node.log.records = [str(revision).encode()]
    context.node.log.era = 1
    context.node.log.is_released.set()


async def _start_beside_restored_log(node: FollowingNode, told_after_s: float) -> None:
    """Start a node whose peer tells preset 8 after some time."""

    async def ask() -> None:
        await asyncio.sleep(told_after_s)
        node.fetch_from_peer(8, 0)

    node.follower.ask_peers = ask
    async with asyncio.timeout(5):
        while not node.follower.is_caught_up.is_set():
            await node.follower.step()
    node.follower.asking.cancel()


@then(
    'a starting node whose peer tells preset {newer:d} after {seconds:g} s never has'
    ' preset {older:d} in force'
)
def never_older(context: Any, newer: int, seconds: float, older: int) -> None:
    """Start the node, and list what it puts in force."""
    node, in_force = context.node, []
    node.holder.on_change.append(lambda preset: in_force.append(preset.revision))
    asyncio.run(_start_beside_restored_log(node, seconds))
    assert in_force == [newer], in_force


@then(
    'a starting node whose peers tell nothing has preset {revision:d} in force within'
    ' {seconds:g} s'
)
def read_without_peers(context: Any, revision: int, seconds: float) -> None:
    """Start another node, whose peers do not answer."""
    restored_log(context, revision)
    started_at = time.monotonic()
    asyncio.run(_start_beside_restored_log(context.node, 60))
    assert context.node.holder.revision == revision
    assert time.monotonic() - started_at <= seconds


@then('it reads no record if a node of another region has the version')
def fetched_from_other_region(context: Any) -> None:
    """Let the node of the other region tell the version when it is asked."""

    async def find() -> FollowingNode:
        node = await _started_checker()
        node.log.records.append(b'8')

        async def ask() -> None:
            node.fetch_from_peer(8, 2)

        node.follower.ask_other_regions = ask
        async with asyncio.timeout(4):
            while node.holder.revision < 8:
                await node.follower.step()
        return node

    assert asyncio.run(find()).decoded == [5]


class SilentCatchUp(PresetCatchUp):
    """Catches up with peers of which none answers."""

    async def ask_progress(self, peer: Any, timeout_s: float = 1) -> bool:
        """Wait for the whole time."""
        await asyncio.sleep(timeout_s)
        return False


@then(
    'a node of another region that does not answer delays the read by less than a second'
)
def other_region_silent(context: Any) -> None:
    """Ask many nodes of another region."""
    table = MemberTable(member('own'))
    for number in range(9):
        table.merge(member(f'n-{number}', region='south'))
    other_regions = OtherRegions(table, SilentCatchUp(PresetHolder(), None))
    with SimulatedTime() as simulated:
        started_at = simulated.now
        simulated.run(other_regions.ask())
        assert simulated.now - started_at < 1
