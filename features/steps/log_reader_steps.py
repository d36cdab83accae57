"""Steps for the nodes that wait at the log for news."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from functools import partial
from statistics import fmean
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from builders import member

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.models.members import Member, MemberStatus
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.membership.table import MemberTable
from lavendermountd.presets.poll_schedule import REGION_READS_PER_S, PollSchedule
from lavendermountd.presets.reachability import LogReachability
from lavendermountd.presets.reader_selection import (
    ReaderRole,
    count_readers,
    is_log_reader,
)

LONGEST_WAIT_S = 10_000
DRAWS = 20_000
RATE_TOLERANCE = 0.1
ZONE_COUNT = 4
READERS_PER_ZONE = 2
# Longer than an answer takes usually, and shorter than the log may be silent.
LATE_S = 0.6


def tables_of(members: list[Member]) -> list[MemberTable]:
    """Build the table of each living node, filled in another order for each."""
    tables = []
    for number, own in enumerate(members):
        if own.status == MemberStatus.DEAD:
            continue
        table = MemberTable(own)
        shuffled = list(members)
        random.Random(number).shuffle(shuffled)
        for other in shuffled:
            table.merge(other)
        tables.append(table)
    return tables


def readers_by_zone(members: list[Member]) -> dict[str, list[str]]:
    """Ask each node whether it waits at the log."""
    readers: dict[str, list[str]] = {}
    for table in tables_of(members):
        names = readers.setdefault(table.own.zone, [])
        if is_log_reader(table, READERS_PER_ZONE):
            names.append(table.own.node_id)
    return readers


@given('{count:d} nodes in {zones:d} zones that know each other')
def many_nodes(context: Any, count: int, zones: int) -> None:
    """Build their member records."""
    context.members = [
        member(f'node-{number}', zone=f'zone-{number % zones}')
        for number in range(count)
    ]


@then('{count:d} nodes of each zone wait at the log, and all nodes agree which')
def readers_agree(context: Any, count: int) -> None:
    """Count the readers by zone; each node decides by its own table."""
    context.readers = readers_by_zone(context.members)
    assert {len(names) for names in context.readers.values()} == {count}


@when('the readers of a zone are dead')
def kill_readers(context: Any) -> None:
    """Mark the readers of one zone as dead."""
    context.dead = context.readers['zone-0']
    context.members = [
        entry.with_status(MemberStatus.DEAD) if entry.node_id in context.dead else entry
        for entry in context.members
    ]


@then('{count:d} other nodes of that zone wait at the log')
def readers_replaced(context: Any, count: int) -> None:
    """Check the new readers."""
    names = readers_by_zone(context.members)['zone-0']
    assert len(names) == count
    assert not set(names) & set(context.dead)


@then(
    'the nodes of a region that do not wait check the log once a second together,'
    ' however many they are'
)
def checks_are_bounded(context: Any) -> None:
    """Compare the mean interval with the size of the region."""
    for size in (40, 400, 4000):
        schedule = PollSchedule(LONGEST_WAIT_S)
        schedule.region_size = lambda size=size: size
        mean_s = fmean(schedule.check_interval_s() for _ in range(DRAWS))
        assert abs(mean_s / size - 1) < RATE_TOLERANCE, (size, mean_s)


@then(
    'the readers of a region share the rate of its first reads after news, so that a'
    ' lost read is noticed soon'
)
def readers_share_rate(context: Any) -> None:
    """Compare the mean wait of a reader with that of a region of readers only."""
    table = tables_of(context.members)[0]
    assert count_readers(table, READERS_PER_ZONE) == READERS_PER_ZONE * ZONE_COUNT
    schedule = PollSchedule(LONGEST_WAIT_S)
    schedule.region_size = lambda: len(context.members)
    schedule.reader_count = partial(count_readers, table, READERS_PER_ZONE)
    mean_s = fmean(schedule.wait_s() for _ in range(DRAWS))
    expected_s = READERS_PER_ZONE * ZONE_COUNT / REGION_READS_PER_S
    assert abs(mean_s / expected_s - 1) < RATE_TOLERANCE, mean_s


@then('a node that knows no other waits at the log')
def alone_waits(context: Any) -> None:
    """Check a table that holds only its own node."""
    assert is_log_reader(MemberTable(member('alone')), READERS_PER_ZONE)


@given('a region of {size:d} nodes of which {count:d} live, none of them a log reader')
def region_without_readers(context: Any, size: int, count: int) -> None:
    """Note the sizes; the living do not know yet that the others are dead."""
    context.region_size = size
    context.living_count = count


async def first_check_s(context: Any) -> float:
    """Let each living node find a dead one within a second; time the first check."""
    started_at = time.monotonic()
    checks = []
    for _ in range(context.living_count):
        reachability = LogReachability(LONGEST_WAIT_S)
        reachability.mark_answered()
        reachability.schedule.region_size = lambda: context.region_size
        reachability.schedule.is_reader = Mock(return_value=False)
        checks.append(asyncio.create_task(reachability.wait_until_due()))
        note = reachability.check_pace.note_unreachable
        asyncio.get_running_loop().call_later(random.random(), note)
    _, waiting = await asyncio.wait(checks, return_when=asyncio.FIRST_COMPLETED)
    for check in waiting:
        check.cancel()
    return time.monotonic() - started_at


@then('one of the living checks the log within {limit_s:g} s in {count:d} of 100 cases')
def checked_soon(context: Any, limit_s: float, count: int) -> None:
    """Run the cases on simulated time."""
    random.seed(1)
    with SimulatedTime() as simulated:
        times = [simulated.run(first_check_s(context)) for _ in range(100)]
    assert sum(each <= limit_s for each in times) >= count, sorted(times)[-10:]


@then('a suspected reader is replaced before it counts as dead')
def suspected_reader_replaced(context: Any) -> None:
    """Suspect the readers of one zone of a new deployment."""
    many_nodes(context, 40, ZONE_COUNT)
    readers = readers_by_zone(context.members)['zone-0']
    members = [
        entry.with_status(MemberStatus.SUSPECT) if entry.node_id in readers else entry
        for entry in context.members
    ]
    living = [
        table.own.node_id
        for table in tables_of(members)
        if table.own.zone == 'zone-0' and is_log_reader(table, READERS_PER_ZONE)
    ]
    assert len(set(living) - set(readers)) == READERS_PER_ZONE, living


def sentinels(members: list[Member], lost: set[str]) -> set[str]:
    """Ask each node that is not lost whether it is the sentinel."""
    holder = SimpleNamespace(current=None)
    names = set()
    for table in tables_of(members):
        role = ReaderRole(table, holder, READERS_PER_ZONE)
        role.is_lost = lost.__contains__
        if role.is_sentinel() and table.own.node_id not in lost:
            names.add(table.own.node_id)
    return names


@then(
    'one node that does not wait at the log is the sentinel, and all nodes agree which'
)
def one_sentinel(context: Any) -> None:
    """Ask all nodes."""
    (context.sentinel,) = sentinels(context.members, set())
    readers = readers_by_zone(context.members).values()
    assert not any(context.sentinel in names for names in readers)


@then('the next one is where the sentinel is known to have lost the log')
def next_sentinel(context: Any) -> None:
    """Ask nodes that know so."""
    (successor,) = sentinels(context.members, {context.sentinel})
    assert successor != context.sentinel


@then('the sentinel lets no more than {limit_s:g} s pass between its checks')
def sentinel_interval(context: Any, limit_s: float) -> None:
    """Let a sentinel of a large region wait until its next check is due."""
    reachability = LogReachability(LONGEST_WAIT_S)
    reachability.mark_answered()
    reachability.schedule.region_size = Mock(return_value=1000)
    reachability.schedule.is_reader = Mock(return_value=False)
    reachability.schedule.is_sentinel = Mock(return_value=True)
    with SimulatedTime() as simulated:
        for _ in range(DRAWS // 1000):
            started_at = simulated.now
            simulated.run(reachability.wait_until_due())
            elapsed_s = simulated.now - started_at
            assert round(elapsed_s, 3) <= limit_s, elapsed_s


@then('it says that the log is silent before its check has failed')
def silence_is_announced(context: Any) -> None:
    """Check a log that does not answer, and then one that does."""
    reachability = LogReachability(LONGEST_WAIT_S)
    reachability.on_silence = Mock()
    with SimulatedTime() as simulated, contextlib.suppress(LogUnavailableError):
        simulated.run(reachability.check(partial(asyncio.sleep, LATE_S, 0)))
    assert reachability.on_silence.call_count == 1
    assert not reachability.reports_silence()


@given(
    '{count:d} nodes in {zones:d} zones that know each other, of which {fast:d} of each'
    ' zone have more bandwidth'
)
def nodes_with_bandwidth(context: Any, count: int, zones: int, fast: int) -> None:
    """Build their member records."""
    many_nodes(context, count, zones)
    for entry in context.members:
        entry.link_mbps = 10
    for entry in context.members[-fast * zones :]:
        entry.link_mbps = 200


def roles_by_zone(members: list[Member], body_chars: int) -> dict[str, list[list[str]]]:
    """List the readers and the standbys of each zone, as each node decides."""
    preset = SimpleNamespace(snapshot=SimpleNamespace(body='x' * body_chars))
    holder = SimpleNamespace(current=preset)
    roles: dict[str, list[list[str]]] = {}
    for table in tables_of(members):
        readers, standbys = roles.setdefault(table.own.zone, [[], []])
        role = ReaderRole(table, holder, READERS_PER_ZONE)
        if role.is_reader():
            readers.append(table.own.node_id)
        if role.is_standby():
            standbys.append(table.own.node_id)
    return roles


@then(
    '{readers:d} nodes of each zone wait at the log while a small version is in force,'
    ' and no standby'
)
def readers_of_small(context: Any, readers: int) -> None:
    """Count them in each zone."""
    for waiting, standbys in roles_by_zone(context.members, 1000).values():
        assert (len(waiting), len(standbys)) == (readers, 0)


@then(
    '{readers:d} node of each zone waits, and {count:d} is a standby, while a large one is'
    ' in force'
)
def readers_of_large(context: Any, readers: int, count: int) -> None:
    """Count them in each zone."""
    context.roles = roles_by_zone(context.members, 400_000)
    for waiting, standbys in context.roles.values():
        assert (len(waiting), len(standbys)) == (readers, count)


@then('all of these have more bandwidth')
def readers_are_fast(context: Any) -> None:
    """Look the nodes up."""
    fast = {entry.node_id for entry in context.members if entry.link_mbps > 10}
    for waiting, standbys in context.roles.values():
        assert {*waiting, *standbys} <= fast


@then('a standby checks the log once a second on average')
def standby_checks(context: Any) -> None:
    """Draw many intervals in a large region."""
    schedule = PollSchedule(LONGEST_WAIT_S)
    schedule.region_size = lambda: 1000
    schedule.is_standby = lambda: True
    mean_s = fmean(schedule.check_interval_s() for _ in range(DRAWS))
    assert abs(mean_s - 1) < RATE_TOLERANCE, mean_s
