"""Steps for reads of the log that may be lost, and for presets learned from peers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from types import SimpleNamespace
from typing import Any

from behave import then, when
from builders import large_preset_snapshot, member, preset_snapshot
from deployment_steps import status_of

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import LogBatch
from lavendermount_core.log.http_log import HttpLog
from lavendermount_core.log.transfer import Transfer
from lavendermount_core.models.records import pack
from lavendermount_core.presets.records import PresetSnapshot
from lavendermountd.control.channels import ControlCallError
from lavendermountd.control.messages import preset_message
from lavendermountd.control.server import ControlServicer
from lavendermountd.membership.evacuations import EvacuationTable
from lavendermountd.presets.catchup import PresetCatchUp
from lavendermountd.presets.follower import PresetFollower
from lavendermountd.presets.holder import PresetHolder, compile_preset
from lavendermountd.presets.poll_schedule import RESPONSE_TIMEOUT_S, PollSchedule
from lavendermountd.presets.reachability import LogReachability

SEED = 26
CASES = 400
REGION_SIZES = (2, 5, 20, 98, 1300)
LONGEST_WAIT_S = 28.0


def schedule_of(region_size: int) -> PollSchedule:
    """Build the schedule of a node in a region of a given size."""
    schedule = PollSchedule(LONGEST_WAIT_S)
    schedule.region_size = lambda: region_size
    return schedule


@then(
    'in regions of 2 to 1300 nodes whose reads all began at once, one ends within'
    ' {seconds:g} s in 99 of 100 cases'
)
def first_read_ends_soon(context: Any, seconds: float) -> None:
    """Draw the waits of all nodes; the first that ends and is given up counts."""
    random.seed(SEED)
    for size in REGION_SIZES:
        schedule = schedule_of(size)
        late = 0
        for _ in range(CASES):
            first_s = min(schedule.wait_s() for _ in range(size))
            late += first_s + RESPONSE_TIMEOUT_S > seconds
        assert late <= CASES / 100, (size, late)


@then('a region of {size:d} nodes makes no more than {limit:d} reads a second')
def reads_bounded(context: Any, size: int, limit: int) -> None:
    """Compare the mean wait with the time that the limit leaves to each node."""
    random.seed(SEED)
    schedule = schedule_of(size)
    waits = [schedule.wait_s() for _ in range(CASES)]
    assert size / (sum(waits) / CASES) <= limit, sum(waits) / CASES


@then(
    'after {reads:d} reads without news, a region of {size:d} nodes makes no more than'
    ' {limit:g} reads a second'
)
def quiet_reads_bounded(context: Any, reads: int, size: int, limit: float) -> None:
    """Compare the mean wait after some reads with the time that the limit leaves."""
    random.seed(SEED)
    schedule = schedule_of(size)
    schedule.reads_without_news = reads
    waits = [schedule.wait_s() for _ in range(CASES)]
    assert size / (sum(waits) / CASES) <= limit, sum(waits) / CASES


class SilentLog:
    """A log that answers a first read, and then nothing."""

    def __init__(self) -> None:
        """Start without reads."""
        self.waits: list[float] = []

    async def read(self, wait_s: float, transfer: Transfer) -> LogBatch:
        """Answer the first read at once, and no other."""
        self.waits.append(wait_s)
        if len(self.waits) > 1:
            await asyncio.sleep(60)
        return LogBatch(0, 0, 0, [])


@when('a follower reads from a log that answers nothing')
def read_from_silent_log(context: Any) -> None:
    """Read twice: at once, then waiting for news."""

    async def read_twice() -> tuple[list[float], float]:
        reachability = LogReachability(0.5)
        reachability.schedule.region_size = lambda: 1300
        silent = SilentLog()
        await reachability.read(silent.read)
        started_at = time.monotonic()
        try:
            await reachability.read(silent.read)
        except LogUnavailableError:
            return silent.waits, time.monotonic() - started_at
        raise AssertionError('the read ended')

    context.waits, context.elapsed_s = asyncio.run(read_twice())


@then('each read is given up within {seconds:g} s of the end of its wait')
def given_up_soon(context: Any, seconds: float) -> None:
    """Compare the time of the lost read with the wait that it asked for."""
    assert context.waits[0] == 0, context.waits
    assert context.waits[1] > 0, context.waits
    assert context.elapsed_s < context.waits[1] + seconds, context.elapsed_s


@when('a node that only checks the log becomes a reader {seconds:g} s later')
def becomes_reader(context: Any, seconds: float) -> None:
    """Follow in a large region, whose nodes check the log rarely."""

    async def follow() -> None:
        reachability = LogReachability(LONGEST_WAIT_S)
        reachability.mark_answered()
        schedule = reachability.schedule
        schedule.region_size = lambda: 100_000
        schedule.is_reader = bool
        asked = asyncio.get_running_loop().create_future()

        async def read(wait_s: float, transfer: Transfer) -> LogBatch:
            asked.set_result(wait_s)
            return LogBatch(0, 0, 0, [])

        reading = asyncio.create_task(reachability.read(read))
        await asyncio.sleep(seconds)
        schedule.is_reader = lambda: True
        started_at = time.monotonic()
        done, _ = await asyncio.wait({asked}, timeout=5)
        context.elapsed_s = time.monotonic() - started_at
        context.waits = [asked.result()] if done else []
        reading.cancel()

    asyncio.run(follow())


@then('it waits at the log within {seconds:g} s')
def waits_soon(context: Any, seconds: float) -> None:
    """Check the time until its read, and that the read waits for news."""
    assert context.waits, 'no read'
    assert context.waits[0] > 0, context.waits
    assert context.elapsed_s < seconds, context.elapsed_s


async def read_in_parts(part_count: int, gap_s: float, timeout_s: float) -> LogBatch:
    """Read from a log that sends its answer in parts; the answer has eight."""
    body = pack([0, 1, 1, [[0, b'x' * 4000]]])
    size = len(body) // 8 + 1
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        for number in range(part_count):
            writer.write(body[number * size : (number + 1) * size])
            await asyncio.sleep(gap_s)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    log = HttpLog(f'http://127.0.0.1:{port}', timeout_s)
    try:
        return await log.read('s', 0, transfer=Transfer())
    finally:
        log.client.close()
        server.close()


@then(
    'a read whose parts arrive every {gap:g} s for {total:g} s succeeds with a timeout of {timeout:g} s'
)
def slow_read_succeeds(context: Any, gap: float, total: float, timeout: float) -> None:
    """Receive all parts."""
    assert round(total / gap) == 8
    batch = asyncio.run(read_in_parts(8, gap, timeout))
    assert len(batch.records[0].body) == 4000


@then('a read that stops after its first part fails within {seconds:g} s')
def silent_read_fails(context: Any, seconds: float) -> None:
    """Receive one part only."""
    started_at = time.monotonic()
    try:
        asyncio.run(read_in_parts(1, 0.1, 0.5))
    except LogUnavailableError:
        assert time.monotonic() - started_at < seconds
        return
    raise AssertionError('the read ended')


@when('the log answers nothing new for {seconds:g} s')
def silence_log(context: Any, seconds: float) -> None:
    """Drop what reaches the log; reads that already wait there are still answered."""
    context.deployment.control_log(silent=True)
    time.sleep(seconds)
    context.deployment.control_log(silent=False)


@then('{seconds:g} s later preset "{name}" is in force on every node')
def in_force_later(context: Any, seconds: float, name: str) -> None:
    """Wait, then read the preset of each node."""
    time.sleep(seconds)
    presets = {
        instance.name: status_of(context, instance).get('preset')
        for instance in context.deployment.instances.values()
    }
    assert set(presets.values()) == {name}, presets


class FakeChannels:
    """Channels to peers, of which some never answer."""

    def __init__(self, *silent_nodes: str) -> None:
        """Store the names of the nodes that never answer."""
        self.silent_nodes = silent_nodes

    async def call_member(
        self, peer: Any, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Answer with the preset of revision 7, or run into the timeout."""
        if peer.node_id in self.silent_nodes:
            await asyncio.sleep(timeout_s)
            raise ControlCallError('DEADLINE_EXCEEDED')
        return preset_message(preset_snapshot(7))


class SlowChannels:
    """Channels to one peer, behind a slow link.

    :param servicer: answers the calls.
    :param bytes_per_s: rate of the link.
    """

    def __init__(self, servicer: ControlServicer, bytes_per_s: float) -> None:
        """Initialize the fields."""
        self.servicer = servicer
        self.bytes_per_s = bytes_per_s

    async def call_member(
        self, peer: Any, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Answer after the time that the reply takes on the link."""
        reply = await getattr(self.servicer, method)(request, None)
        transfer_s = reply.ByteSize() / self.bytes_per_s
        await asyncio.sleep(min(transfer_s, timeout_s))
        if transfer_s > timeout_s:
            raise ControlCallError('DEADLINE_EXCEEDED')
        return reply


def servicer_with(snapshot: PresetSnapshot) -> ControlServicer:
    """Build the control servicer of a node that has a preset in force."""
    holder = PresetHolder()
    holder.put_in_force(compile_preset(snapshot))
    return ControlServicer(
        SimpleNamespace(
            catch_up=PresetCatchUp(holder, None),
            evacuations=EvacuationTable(),
            follower=PresetFollower(None, holder),
        )
    )


@when(
    'gossip names a peer with a preset of {routes:d} routes, behind a link of'
    ' {rate:d} bytes a second'
)
def peer_behind_slow_link(context: Any, routes: int, rate: int) -> None:
    """Catch up with the peer, and give up after a while."""

    async def catch_up() -> float:
        servicer = servicer_with(large_preset_snapshot(7, routes))
        holder = PresetHolder()
        catching_up = PresetCatchUp(holder, SlowChannels(servicer, rate))
        started_at = time.monotonic()
        task = asyncio.create_task(catching_up.run())
        while holder.revision < 7 and time.monotonic() - started_at < 10:
            catching_up.note_revision(member('peer'), 7)
            await asyncio.sleep(0.01)
        task.cancel()
        return time.monotonic() - started_at

    context.elapsed_s = asyncio.run(catch_up())


@then('its preset is in force within {seconds:g} s')
def peer_preset_in_force(context: Any, seconds: float) -> None:
    """Check the time until the preset was adopted."""
    assert context.elapsed_s < seconds, context.elapsed_s


@when('gossip names two peers with newer presets, and the newest does not answer')
def two_newer_peers(context: Any) -> None:
    """Name the peer that answers first, so that it is not the latest one known."""
    context.elapsed_s = asyncio.run(_catch_up({'other': 7, 'silent': 9}))


@when('gossip names four peers with newer presets, and only the oldest answers')
def four_newer_peers(context: Any) -> None:
    """Name them in the order of their revisions."""
    silent = {f'silent-{revision}': revision for revision in (8, 9, 10)}
    context.elapsed_s = asyncio.run(_catch_up({'other': 7, **silent}))


async def _catch_up(revisions: dict[str, int]) -> float:
    """Return the time until the preset of the one peer that answers is in force."""
    holder = PresetHolder()
    silent_nodes = set(revisions) - {'other'}
    catching_up = PresetCatchUp(holder, FakeChannels(*silent_nodes))
    for name, revision in revisions.items():
        catching_up.note_revision(member(name), revision)
    started_at = time.monotonic()
    task = asyncio.create_task(catching_up.run())
    while holder.revision < 7 and time.monotonic() - started_at < 5:
        await asyncio.sleep(0.01)
    task.cancel()
    return time.monotonic() - started_at


class ChangingChannels:
    """Channels to a peer whose preset changes; they count the calls.

    :param snapshot: preset of the peer.
    """

    def __init__(self, snapshot: PresetSnapshot) -> None:
        """Start with no call."""
        self.snapshot = snapshot
        self.calls: Counter[int] = Counter()

    async def call_member(
        self, peer: Any, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Answer with the preset."""
        self.calls[self.snapshot.revision] += 1
        return preset_message(self.snapshot)


@when(
    'gossip names a peer with an invalid preset for {seconds:g} s, and then with a valid one'
)
def refused_peer_preset(context: Any, seconds: float) -> None:
    """Name the peer in each of many rounds."""

    async def catch_up() -> int:
        channels = ChangingChannels(PresetSnapshot(7, 8, 'p', 'v', '{"name": 5}'))
        context.channels = channels
        holder = PresetHolder()
        catching_up = PresetCatchUp(holder, channels)
        task = asyncio.create_task(catching_up.run())
        for round_number in range(100):
            if round_number == 50:
                channels.snapshot = preset_snapshot(8)
            catching_up.note_revision(member('peer'), channels.snapshot.revision)
            await asyncio.sleep(seconds / 50)
        task.cancel()
        return holder.revision

    context.revision = asyncio.run(catch_up())


@then('the invalid one was fetched once, and the valid one is in force')
def fetched_once(context: Any) -> None:
    """Check the calls and the revision in force."""
    assert context.revision == 8, context.revision
    assert context.channels.calls[7] == 1, context.channels.calls


@then('the preset of the other is in force within {seconds:g} s')
def adopted_soon(context: Any, seconds: float) -> None:
    """Check the time until the preset was adopted."""
    assert context.elapsed_s < seconds, context.elapsed_s
