"""Steps about membership, budgets and operations."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from urllib.request import urlopen

from behave import then, when
from builders import DEALER, NODE_SETTINGS, load_report, member
from deployment_steps import instance_of, living, status_of
from hypothesis import given as generated
from hypothesis import strategies as st

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.structure.members import MemberStatus
from lavendermount_testbed.caller import CallerConnection, CallerError
from lavendermount_testbed.processes import wait_until
from lavendermountd.identity import Identity
from lavendermountd.membership.suspicion import SuspicionTimers
from lavendermountd.membership.table import MemberTable
from lavendermountd.membership.updates import BUCKETS, BUCKETS_PER_ROUND, UpdateQueue
from lavendermountd.node import Node
from lavendermountd.peer.avoidance import FIRST_S
from lavendermountd.peer.links import LinkPool
from lavendermountd.supervision import supervisor as supervision
from lavendermountd.supervision.supervisor import Child, SupervisionError, Supervisor
from lavendermountd.tree import NodeTree

VIEW_LIMIT_S = 13.0
BUDGET_BYTES_S = 7000


def sees(context: Any, entry: Any, count: int) -> bool:
    """Whether a node sees a number of living members with targets."""
    return len(living(context, entry)) == count


@then('every running node sees {count:d} living members')
@when('the others see {count:d} living members')
def all_see(context: Any, count: int) -> None:
    """Wait until every node that answers sees the same number."""
    for entry in context.deployment.instances.values():
        if entry.node.is_running and status_of(context, entry):
            wait_until(
                lambda entry=entry: sees(context, entry, count),
                f'{entry.name} sees {count} living members',
                VIEW_LIMIT_S,
            )


@then('every running node knows the new incarnation of node {number:d}')
def new_incarnation(context: Any, number: int) -> None:
    """Compare the incarnation that others know with the node's own."""
    entry = instance_of(context, number)
    wait_until(lambda: bool(status_of(context, entry)), 'the node answers')
    own = status_of(context, entry)['node']['incarnation']

    def is_known(other: Any) -> bool:
        members = status_of(context, other)['members']
        known = [each for each in members if each['node_id'] == entry.name]
        return bool(known) and known[0]['incarnation'] == own

    for other in context.deployment.instances.values():
        wait_until(
            lambda other=other: is_known(other),
            'the incarnation is known',
            VIEW_LIMIT_S,
        )


@when('the nodes of zone "{zone}" are killed')
def kill_zone(context: Any, zone: str) -> None:
    """End all nodes of an availability zone at once."""
    for entry in context.deployment.instances.values():
        if entry.place.zone == zone:
            entry.node.kill()


def measured_bytes(entry: Any, link: str) -> float:
    """Read what a node spent on measuring over one kind of link."""
    with urlopen(f'http://127.0.0.1:{entry.admin_port}/metrics') as response:
        lines = response.read().decode().splitlines()
    total = 0.0
    for line in lines:
        if (
            line.startswith('lavendermount_measuring_bytes{')
            and f'link="{link}"' in line
        ):
            total += float(line.rsplit(' ', 1)[1])
    return total


@then('the limit for membership traffic held')
def traffic_limit(context: Any) -> None:
    """Measure bytes a second at the stated limit of 7 KB/s, scaled to the period.

    The deployment gossips five times as often as the default.
    """
    running = [
        each for each in context.deployment.instances.values() if each.node.is_running
    ]
    before = [measured_bytes(entry, 'local') for entry in running]
    time.sleep(2)
    for entry, earlier in zip(running, before, strict=True):
        rate = (measured_bytes(entry, 'local') - earlier) / 2
        assert rate < BUDGET_BYTES_S * 5, rate


@then('member tables agree with the naive one on generated rumours')
def tables_agree(context: Any) -> None:
    """Merge rumours in two orders and compare with the newest of each."""
    rumours = st.lists(
        st.tuples(
            st.integers(0, 4), st.integers(1, 3), st.integers(0, 3), st.integers(0, 3)
        ),
        max_size=25,
    )

    @generated(rumours, st.randoms(use_true_random=False))
    def check(drawn: list[Any], shuffler: random.Random) -> None:
        built = [
            member(f'n{number}', incarnation=born, version=version, status=status)
            for number, born, version, status in drawn
        ]
        table = merge_all(built)
        shuffler.shuffle(built)
        assert {**table.members} == {**merge_all(built).members}
        followed = MemberTable(member('own'))
        queue = UpdateQueue(followed)
        for rumour in built:
            followed.merge(rumour)
        followed.forget('n0')
        fresh = UpdateQueue(followed)
        buckets = list(range(BUCKETS))
        assert queue.digests(buckets) == fresh.digests(buckets)
        assert queue.whole_digest() == fresh.whole_digest()
        for known in table.members.values():
            ranks = [each.rank for each in built if each.node_id == known.node_id]
            if ranks:
                assert known.rank == max(ranks)
        listed = {each.node_id for each in table.members_of(DEALER)}
        alive = {key for key, each in table.members.items() if each.status != 3}
        assert listed == alive

    check()


def merge_all(rumours: list[Any]) -> MemberTable:
    """Merge rumours into a new table."""
    table = MemberTable(member('own'))
    for rumour in rumours:
        table.merge(
            member(
                rumour.node_id,
                incarnation=rumour.incarnation,
                version=rumour.version,
                status=rumour.status,
            )
        )
    return table


@then('avoidance grows with each failure and ends with an answer')
def avoidance_ends(context: Any) -> None:
    """Fail twice, answer once, and fail again."""
    identity = Identity(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    pool = LinkPool(identity, lambda report: None, lambda told: None)
    pool.avoidance.note_failure('n1')
    pool.avoidance.note_failure('n1')
    assert pool.avoidance.last_s['n1'] > FIRST_S
    assert pool.avoidance.is_avoided('n1')
    pool.take_load(load_report('n1'))
    assert not pool.avoidance.is_avoided('n1')
    pool.avoidance.note_failure('n1')
    assert pool.avoidance.last_s['n1'] == FIRST_S


@then('a member counted dead is probed again and refutes')
def dead_refutes(context: Any) -> None:
    """Two tables that count each other dead agree again after one exchange."""
    first, second = MemberTable(member('a')), MemberTable(member('b'))
    timers = SuspicionTimers(first, 0)
    first.merge(member('b'))
    timers.suspect(first.find('b'))
    timers.expire()
    assert first.find('b').status == MemberStatus.DEAD
    assert second.merge(first.find('b'))
    assert first.merge(second.own)
    assert first.find('b').status == MemberStatus.ALIVE
    assert [each.node_id for each in first.members_of(DEALER)] == ['a', 'b']


@then('a round of gossip without budget says only what it must')
def least_round(context: Any) -> None:
    """Build rounds with and without tokens and compare."""
    settings = load_text(NodeSchema, NODE_SETTINGS, 'test')

    async def build() -> tuple[Any, Any, bool]:
        node = Node(settings)
        for number in range(20):
            node.table.merge(member(f'n{number}'))
            node.view.take_report(load_report(f'n{number}'))
        near = member('n1', region='r')
        rich = node.gossip.exchange.build(near)
        node.budget.local.configure(0, 0)
        node.budget.paid.configure(0, 0)
        poor = node.gossip.exchange.build(near)
        far = node.budget.try_spend('gossip-connect', 1, is_paid=True)
        other = Node(settings).gossip.exchange.build(near)
        assert len(other.digests) == BUCKETS_PER_ROUND
        assert not node.gossip.exchange.answer(other).members, 'differences were told'
        return rich, poor, far

    rich, poor, far = asyncio.run(build())
    assert rich.members and rich.digests and len(rich.loads) > 1
    assert not poor.members and not poor.digests and len(poor.loads) == 1
    assert not far, 'the paid link was used without budget'


@then('every node spent no more on measuring than its budget')
def within_budget(context: Any) -> None:
    """Compare what was spent with rate and burst of the preset in force."""
    for entry in context.deployment.instances.values():
        uptime_s = 60
        for link, rate in (('local', 6000), ('paid', 500)):
            spent = measured_bytes(entry, link)
            assert spent <= 20000 + rate * (uptime_s + 10), (link, spent)


@then('the metrics name each class and tenant')
def metrics_named(context: Any) -> None:
    """Check the histograms of one node."""
    entry = instance_of(context, 1)
    entry.call('GET', '/prices', {})
    entry.call('GET', '/stock', {'X-Tenant': 'thanh-thuy'})
    with urlopen(f'http://127.0.0.1:{entry.admin_port}/metrics') as response:
        text = response.read().decode()
    for part in (
        'class="lookup"',
        'tenant="thanh-thuy"',
        'lavendermount_call_seconds_bucket',
    ):
        assert part in text, part


async def _failing() -> None:
    raise RuntimeError('broken')


async def _forever() -> None:
    await asyncio.Event().wait()


@then('a failing child is restarted with a backoff and a log line')
def child_restarted(context: Any) -> None:
    """Run a child that fails twice and then stays."""
    runs: list[float] = []

    async def child() -> None:
        runs.append(time.monotonic())
        if len(runs) < 3:
            await _failing()
        await _forever()

    restarts: list[str] = []

    async def scene() -> None:
        root = Supervisor('root', [Child('child', child)], restarts.append)
        task = asyncio.create_task(root.run())
        while len(runs) < 3:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scene())
    assert restarts == ['root/child', 'root/child']
    assert runs[2] - runs[1] >= 2 * supervision.FIRST_BACKOFF_S * 0.99


@then('a child that fails too often ends its supervisor')
def child_escalates(context: Any) -> None:
    """Run a child that always fails, without backoff."""
    backoff = supervision.FIRST_BACKOFF_S
    supervision.FIRST_BACKOFF_S = 0
    context.closers.append(lambda: setattr(supervision, 'FIRST_BACKOFF_S', backoff))
    root = Supervisor('root', [Child('child', _failing)], lambda path: None)
    try:
        asyncio.run(root.run())
    except SupervisionError as error:
        assert 'root/child failed' in str(error)
        return
    raise AssertionError('the supervisor went on')


@then('a supervisor that is cancelled ends its children')
def children_end(context: Any) -> None:
    """Cancel a supervisor and look at its child."""
    ended: list[str] = []

    async def child() -> None:
        try:
            await _forever()
        finally:
            ended.append('child')

    async def scene() -> None:
        root = Supervisor('root', [Child('child', child)], lambda path: None)
        task = asyncio.create_task(root.run())
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)

    asyncio.run(scene())
    assert ended == ['child']


@then('status, list, show, diff, history and completion work')
def commands_work(context: Any) -> None:
    """Run each command that only looks."""
    commands = (
        (('status',), 'serving'),
        (('preset', 'list'), '* ordinary@'),
        (('preset', 'show'), 'name = "ordinary"'),
        (('preset', 'diff', 'ordinary'), ''),
        (('preset', 'history'), 'won'),
        (('completion', 'bash'), '_LAVENDERMOUNT_COMPLETE'),
        (('preset', 'list', '--json'), '"in_force": true'),
    )
    for arguments, expected in commands:
        process = context.deployment.operate(*arguments)
        assert process.popen.returncode == 0, process.text()
        assert expected in process.text(), process.text()


@then('a missing option and an unreachable node have their exit codes')
def exit_codes(context: Any) -> None:
    """Run the command line wrongly."""
    bench = context.deployment.bench
    cases = (
        (['preset', 'list'], 2),
        (['--node', '127.0.0.1:1', 'status'], 3),
        (['--log', 'http://127.0.0.1:1', 'preset', 'list'], 3),
        (['--log', context.deployment.log_url, 'preset', 'switch', 'none'], 4),
        (['--log', context.deployment.log_url, 'explain', 'none'], 1),
    )
    for number, (arguments, code) in enumerate(cases):
        process = bench.start(f'wrong-{number}', ['-m', 'lavendermount', *arguments])
        assert process.wait() == code, (arguments, process.text())
        assert 'Traceback' not in process.text()


@when('node settings with four faults are checked')
def check_settings(context: Any) -> None:
    """Run the node's check on a file with several faults."""
    from lavendermount_testbed.processes import Workbench

    context.bench = Workbench()
    context.closers.append(context.bench.close)
    bad = (
        'node_id = 5\nregion = "r"\nzone = "z"\ncolour = "red"\n[listen]\n'
        'caller_port = 0\nadmin_port = 2\npeer_port = 3\ncontrol_port = 4\n'
        '[log]\nadapter = "paper"\nurl = "http://x"\n'
    )
    path = context.bench.write_file('bad.toml', bad)
    context.checked = context.bench.start(
        'check', ['-m', 'lavendermountd', 'check', str(path)]
    )
    context.checked.wait()


@then('four findings are reported with their places')
def findings_reported(context: Any) -> None:
    """Check exit code and places."""
    text = context.checked.text()
    assert context.checked.popen.returncode == 2, text
    places = (
        'bad.toml: colour',
        'bad.toml: node_id',
        'listen.caller_port',
        'log.adapter',
    )
    assert len(text.splitlines()) == len(places), text
    for place in places:
        assert place in text, text


@then('well-formed settings pass')
def settings_pass(context: Any) -> None:
    """Check a good file."""
    good = (
        'node_id = "n"\nregion = "r"\nzone = "z"\n[listen]\ncaller_port = 1\n'
        'admin_port = 2\npeer_port = 3\ncontrol_port = 4\n[log]\nurl = "http://x"\n'
    )
    path = context.bench.write_file('good.toml', good)
    process = context.bench.start('good', ['-m', 'lavendermountd', 'check', str(path)])
    assert process.wait() == 0, process.text()


@then('a node whose every task is ended in turn still serves')
def tasks_end(context: Any) -> None:
    """Run a node in this process and end each of its tasks once."""
    context.served = asyncio.run(_end_every_task(context.deployment))
    assert context.served == 200


async def _end_every_task(deployment: Any) -> int:
    place = next(iter(deployment.instances.values())).place
    entry = deployment.add('inside', place)
    settings = load_text(NodeSchema, deployment.node_settings(entry), 'inside')
    node = Node(settings)
    tree = NodeTree(node)
    branches = [tree.log(), tree.members(), tree.target(), tree.callers(), tree.clock()]
    running = [asyncio.create_task(branch.run()) for branch in branches]
    await wait_for(lambda: node.holder.current is not None)
    await wait_for(lambda: all(len(b.tasks) == len(b.children) for b in branches))
    for branch in branches:
        for name, task in tuple(branch.tasks.items()):
            task.cancel()
            await wait_for(lambda b=branch, n=name, t=task: b.tasks[n] is not t)
    await wait_for(lambda: bool(node.table.living()))
    received = await served_by(entry.caller_port)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    await node.channels.close()
    return received


async def served_by(port: int) -> int:
    """Call until the restarted servers listen again."""
    for _ in range(200):
        try:
            received = await CallerConnection(port).call('GET', '/stock', {})
        except CallerError:
            await asyncio.sleep(0.05)
            continue
        if received.status == 200:
            return 200
        await asyncio.sleep(0.05)
    return 0


async def wait_for(condition: Any) -> None:
    """Wait until a condition holds, in a loop."""
    async with asyncio.timeout(VIEW_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)
