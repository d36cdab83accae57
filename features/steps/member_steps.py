"""Steps about membership, traffic budgets, supervision and the command line."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from urllib.request import urlopen

from behave import then, when
from builders import DEALER, NODE_SETTINGS, load_report, member
from deployment_steps import alive_members, instance_of, status_of
from hypothesis import given as generated
from hypothesis import strategies as st

from lavendermount_core.config.loader import load_text
from lavendermount_core.config.node import NodeSchema
from lavendermount_core.models.members import MemberStatus
from lavendermount_testbed.caller import CallerConnection, CallerError
from lavendermount_testbed.processes import wait_until
from lavendermountd.identity import Identity
from lavendermountd.membership.suspicion import SuspicionTimers
from lavendermountd.membership.table import MemberTable
from lavendermountd.membership.updates import BUCKETS, BUCKETS_PER_ROUND, UpdateQueue
from lavendermountd.node import Node
from lavendermountd.peer.backoff import INITIAL_BACKOFF_S
from lavendermountd.peer.link_pool import LinkPool
from lavendermountd.supervision import supervisor as supervision
from lavendermountd.supervision.supervisor import Child, SupervisionError, Supervisor
from lavendermountd.supervisor_tree import NodeTree

VIEW_TIMEOUT_S = 13.0
TRAFFIC_LIMIT_BYTES_S = 7000


def has_alive_members(context: Any, instance: Any, count: int) -> bool:
    """Whether a node considers exactly ``count`` members with targets alive."""
    return len(alive_members(context, instance)) == count


@then('every running node sees {count:d} alive members')
@when('the other nodes see {count:d} alive members')
def all_have_alive_members(context: Any, count: int) -> None:
    """Wait until every node that responds knows the given number of alive members."""
    for instance in context.deployment.instances.values():
        if instance.node.is_running and status_of(context, instance):
            wait_until(
                lambda instance=instance: has_alive_members(context, instance, count),
                f'{instance.name} sees {count} alive members',
                VIEW_TIMEOUT_S,
            )


@then('every running node knows the new incarnation of node {number:d}')
def new_incarnation(context: Any, number: int) -> None:
    """Compare the incarnation that each node knows with the node's own."""
    instance = instance_of(context, number)
    wait_until(lambda: bool(status_of(context, instance)), 'the node responds')
    own = status_of(context, instance)['node']['incarnation']

    def is_known(other: Any) -> bool:
        members = status_of(context, other)['members']
        known = [each for each in members if each['node_id'] == instance.name]
        return bool(known) and known[0]['incarnation'] == own

    for other in context.deployment.instances.values():
        wait_until(
            lambda other=other: is_known(other),
            'the incarnation is known',
            VIEW_TIMEOUT_S,
        )


@when('the nodes of zone "{zone}" are killed')
def kill_zone(context: Any, zone: str) -> None:
    """Kill the processes of all nodes in an availability zone."""
    for instance in context.deployment.instances.values():
        if instance.placement.zone == zone:
            instance.node.kill()


def measurement_bytes(instance: Any, link: str) -> float:
    """Return the measurement traffic of a node over one kind of link, in bytes."""
    with urlopen(f'http://127.0.0.1:{instance.admin_port}/metrics') as response:
        lines = response.read().decode().splitlines()
    total = 0.0
    for line in lines:
        if (
            line.startswith('lavendermount_measuring_bytes{')
            and f'link="{link}"' in line
        ):
            total += float(line.rsplit(' ', 1)[1])
    return total


@then('membership traffic stays within its limit')
def membership_traffic_within_limit(context: Any) -> None:
    """Compare the traffic of each node with the limit of 7 kB/s for membership.

    The limit is scaled by five, because the deployment gossips five times as
    often as by default.
    """
    running = [
        each for each in context.deployment.instances.values() if each.node.is_running
    ]
    before = [measurement_bytes(instance, 'local') for instance in running]
    time.sleep(2)
    for instance, earlier in zip(running, before, strict=True):
        rate = (measurement_bytes(instance, 'local') - earlier) / 2
        assert rate < TRAFFIC_LIMIT_BYTES_S * 5, rate


@then('member tables agree with a naive implementation on generated updates')
def tables_agree(context: Any) -> None:
    """Merge updates in two orders and compare with the newest of each member.

    Digests that are kept up to date must equal those of a rebuilt queue.
    """
    drawn_updates = st.lists(
        st.tuples(
            st.integers(0, 4), st.integers(1, 3), st.integers(0, 3), st.integers(0, 3)
        ),
        max_size=25,
    )

    @generated(drawn_updates, st.randoms(use_true_random=False))
    def check(drawn: list[Any], shuffler: random.Random) -> None:
        updates = [
            member(
                f'n{number}', incarnation=incarnation, version=version, status=status
            )
            for number, incarnation, version, status in drawn
        ]
        table = merge_all(updates)
        shuffler.shuffle(updates)
        assert {**table.members} == {**merge_all(updates).members}
        observed = MemberTable(member('own'))
        queue = UpdateQueue(observed)
        for update in updates:
            observed.merge(update)
        observed.forget('n0')
        rebuilt = UpdateQueue(observed)
        buckets = list(range(BUCKETS))
        assert queue.digests(buckets) == rebuilt.digests(buckets)
        assert queue.combined_digest() == rebuilt.combined_digest()
        for known in table.members.values():
            ranks = [each.rank for each in updates if each.node_id == known.node_id]
            if ranks:
                assert known.rank == max(ranks)
        listed = {each.node_id for each in table.members_of(DEALER)}
        alive = {key for key, each in table.members.items() if each.status != 3}
        assert listed == alive

    check()


def merge_all(updates: list[Any]) -> MemberTable:
    """Merge updates into a new table."""
    table = MemberTable(member('own'))
    for update in updates:
        table.merge(
            member(
                update.node_id,
                incarnation=update.incarnation,
                version=update.version,
                status=update.status,
            )
        )
    return table


@then('the backoff period grows with each failure and a response resets it')
def backoff_resets(context: Any) -> None:
    """Record two failures, a load report that resets the backoff, and a failure."""
    identity = Identity(load_text(NodeSchema, NODE_SETTINGS, 'test'))
    pool = LinkPool(identity, lambda report: None, lambda suspicion: None)
    pool.backoff.note_failure('n1')
    pool.backoff.note_failure('n1')
    assert pool.backoff.backoff_s['n1'] > INITIAL_BACKOFF_S
    assert pool.backoff.is_avoided('n1')
    pool.on_load_report(load_report('n1'))
    assert not pool.backoff.is_avoided('n1')
    pool.backoff.note_failure('n1')
    assert pool.backoff.backoff_s['n1'] == INITIAL_BACKOFF_S


@then('a member that was declared dead refutes that and counts as alive again')
def dead_member_refutes(context: Any) -> None:
    """Declare a member dead, inform it and merge its refutation.

    One exchange between the two tables is enough for them to agree again.
    """
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


@then('a gossip round without budget has only the mandatory parts')
def mandatory_round(context: Any) -> None:
    """Compare a gossip round built with budget and one built without."""
    settings = load_text(NodeSchema, NODE_SETTINGS, 'test')

    async def build() -> tuple[Any, Any, bool]:
        node = Node(settings)
        for number in range(20):
            node.table.merge(member(f'n{number}'))
            node.view.take_report(load_report(f'n{number}'))
        near = member('n1', region='r')
        full = node.gossip.exchange.build(near)
        node.budget.local.configure(0, 0)
        node.budget.paid.configure(0, 0)
        minimal = node.gossip.exchange.build(near)
        has_paid_budget = node.budget.try_spend('gossip-connect', 1, is_paid=True)
        other = Node(settings).gossip.exchange.build(near)
        assert len(other.digests) == BUCKETS_PER_ROUND
        assert not node.gossip.exchange.answer(other).members, 'differences were sent'
        return full, minimal, has_paid_budget

    full, minimal, has_paid_budget = asyncio.run(build())
    assert full.members and full.digests and len(full.loads) > 1
    assert not minimal.members and not minimal.digests and len(minimal.loads) == 1
    assert not has_paid_budget, 'the paid link was used without budget'


@then('every node kept its measurement traffic within its budget')
def within_budget(context: Any) -> None:
    """Compare the traffic with the initial budget and the default rates.

    An uptime of 60 s and a burst of 10 s are assumed.
    """
    for instance in context.deployment.instances.values():
        uptime_s = 60
        for link, rate in (('local', 6000), ('paid', 500)):
            spent = measurement_bytes(instance, link)
            assert spent <= 20000 + rate * (uptime_s + 10), (link, spent)


@then('the metrics are labelled by class and tenant')
def metrics_labelled(context: Any) -> None:
    """Check the labels of one node's histograms."""
    instance = instance_of(context, 1)
    instance.call('GET', '/prices', {})
    instance.call('GET', '/stock', {'X-Tenant': 'thanh-thuy'})
    with urlopen(f'http://127.0.0.1:{instance.admin_port}/metrics') as response:
        text = response.read().decode()
    for part in (
        'class="lookup"',
        'tenant="thanh-thuy"',
        'lavendermount_call_seconds_bucket',
    ):
        assert part in text, part


async def _fail() -> None:
    raise RuntimeError('broken')


async def _wait_forever() -> None:
    await asyncio.Event().wait()


@then('a failing child is restarted with a backoff and counted')
def child_restarted(context: Any) -> None:
    """Run a child that fails twice and then keeps running."""
    runs: list[float] = []

    async def child() -> None:
        runs.append(time.monotonic())
        if len(runs) < 3:
            await _fail()
        await _wait_forever()

    restarts: list[str] = []

    async def run_supervisor() -> None:
        root = Supervisor('root', [Child('child', child)], restarts.append)
        task = asyncio.create_task(root.run())
        while len(runs) < 3:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run_supervisor())
    assert restarts == ['root/child', 'root/child']
    assert runs[2] - runs[1] >= 2 * supervision.INITIAL_BACKOFF_S * 0.99


@then('a child that fails too often ends its supervisor')
def child_escalates(context: Any) -> None:
    """Run a child that always fails, with a backoff of zero."""
    backoff = supervision.INITIAL_BACKOFF_S
    supervision.INITIAL_BACKOFF_S = 0
    context.closers.append(lambda: setattr(supervision, 'INITIAL_BACKOFF_S', backoff))
    root = Supervisor('root', [Child('child', _fail)], lambda path: None)
    try:
        asyncio.run(root.run())
    except SupervisionError as error:
        assert 'root/child failed' in str(error)
        return
    raise AssertionError('the supervisor did not end')


@then('a cancelled supervisor cancels its children')
def children_end(context: Any) -> None:
    """Cancel a supervisor and check that its child was cancelled."""
    ended: list[str] = []

    async def child() -> None:
        try:
            await _wait_forever()
        finally:
            ended.append('child')

    async def run_supervisor() -> None:
        root = Supervisor('root', [Child('child', child)], lambda path: None)
        task = asyncio.create_task(root.run())
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)

    asyncio.run(run_supervisor())
    assert ended == ['child']


@then('status, list, show, diff, history and completion succeed')
def commands_succeed(context: Any) -> None:
    """Run read-only commands and check their exit codes and output."""
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
        process = context.deployment.run_cli(*arguments)
        assert process.popen.returncode == 0, process.read_output()
        assert expected in process.read_output(), process.read_output()


@then('failing commands exit with the code of their error')
def exit_codes(context: Any) -> None:
    """Run commands that must fail and check their exit codes."""
    process_manager = context.deployment.process_manager
    cases = (
        (['preset', 'list'], 2),
        (['--node', '127.0.0.1:1', 'status'], 3),
        (['--log', 'http://127.0.0.1:1', 'preset', 'list'], 3),
        (['--log', context.deployment.log_url, 'preset', 'switch', 'none'], 4),
        (['--log', context.deployment.log_url, 'explain', 'none'], 1),
    )
    for number, (arguments, code) in enumerate(cases):
        process = process_manager.start(
            f'wrong-{number}', ['-m', 'lavendermount', *arguments]
        )
        assert process.wait() == code, (arguments, process.read_output())
        assert 'Traceback' not in process.read_output()


@when('node settings with four errors are checked')
def check_settings(context: Any) -> None:
    """Run the node's ``check`` command on a file with four errors."""
    from lavendermount_testbed.processes import ProcessManager

    context.process_manager = ProcessManager()
    context.closers.append(context.process_manager.close)
    invalid = (
        'node_id = 5\nregion = "r"\nzone = "z"\ncolour = "red"\n[listen]\n'
        'caller_port = 0\nadmin_port = 2\npeer_port = 3\ncontrol_port = 4\n'
        '[log]\nadapter = "paper"\nurl = "http://x"\n'
    )
    path = context.process_manager.write_file('bad.toml', invalid)
    context.checked = context.process_manager.start(
        'check', ['-m', 'lavendermountd', 'check', str(path)]
    )
    context.checked.wait()


@then('four errors are reported with their locations')
def findings_reported(context: Any) -> None:
    """Check the exit code and the location of each finding."""
    text = context.checked.read_output()
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


@then('valid settings pass')
def settings_pass(context: Any) -> None:
    """Run the node's ``check`` command on a valid file."""
    valid = (
        'node_id = "n"\nregion = "r"\nzone = "z"\n[listen]\ncaller_port = 1\n'
        'admin_port = 2\npeer_port = 3\ncontrol_port = 4\n[log]\nurl = "http://x"\n'
    )
    path = context.process_manager.write_file('good.toml', valid)
    process = context.process_manager.start(
        'good', ['-m', 'lavendermountd', 'check', str(path)]
    )
    assert process.wait() == 0, process.read_output()


@then('a node still serves after each of its tasks was cancelled in turn')
def serves_after_cancelled_tasks(context: Any) -> None:
    """Run a node in this process and cancel each of its tasks once."""
    context.served = asyncio.run(_cancel_every_task(context.deployment))
    assert context.served == 200


async def _cancel_every_task(deployment: Any) -> int:
    placement = next(iter(deployment.instances.values())).placement
    instance = deployment.add('inside', placement)
    settings = load_text(NodeSchema, deployment.node_settings(instance), 'inside')
    node = Node(settings)
    tree = NodeTree(node)
    supervisors = [
        tree.log(),
        tree.members(),
        tree.target(),
        tree.callers(),
        tree.clock(),
    ]
    running = [asyncio.create_task(supervisor.run()) for supervisor in supervisors]
    await wait_for(lambda: node.holder.current is not None)
    await wait_for(lambda: all(len(b.tasks) == len(b.children) for b in supervisors))
    for supervisor in supervisors:
        for name, task in tuple(supervisor.tasks.items()):
            task.cancel()
            await wait_for(lambda b=supervisor, n=name, t=task: b.tasks[n] is not t)
    await wait_for(lambda: bool(node.table.living()))
    status = await wait_until_served(instance.caller_port)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    await node.channels.close()
    return status


async def wait_until_served(port: int) -> int:
    """Send requests until the restarted servers listen and one succeeds.

    :returns: status of that response, or 0 if none succeeded.
    """
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
    """Poll in the event loop until a condition holds."""
    async with asyncio.timeout(VIEW_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)
