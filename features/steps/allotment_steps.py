"""Steps for allotments of tenants over all nodes."""

from __future__ import annotations

import asyncio
from typing import Any

from allotment_fleet import TENANT, Fleet, limited_preset
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from lavendermount_core.models.calls import Reason
from lavendermount_testbed.simulated_time import SimulatedTime
from lavendermountd.allotments.bucket import TOKEN_LIFETIME_S, TokenStock
from lavendermountd.allotments.limits import ZoneShare, zone_shares
from lavendermountd.allotments.zone_owners import HANDOVER_S
from lavendermountd.peer.frames import TokenAsk

WINDOW_S = 5
# Time after a start until the bucket of a burst of one second is full.
SETTLED_S = HANDOVER_S + 1.5
EVENT_NAMES = ('demand', 'partition', 'heal', 'network', 'freeze', 'thaw', 'kill')
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(EVENT_NAMES),
        st.integers(0, 4095),
        st.sampled_from((1, 5, 30)),
        st.sampled_from((0.3, 1, 3, 7)),
    ),
    min_size=2,
    max_size=8,
)


@then(
    'in {examples:d} generated histories of loss, delay, partition, freeze and restart'
    ' no 5 s hold more than (rate x 5 + burst) x 1.1 + 20 requests of a tenant'
)
def rule_holds(context: Any, examples: int) -> None:
    """Run the histories on simulated time, from a start with idle or busy callers."""

    @settings(max_examples=examples, deadline=None, derandomize=True)
    @generated(
        st.sampled_from((5, 30, 100, 300)),
        st.sampled_from((0, 1, 2)),
        st.integers(1, 4),
        st.integers(1, 4),
        st.integers(0, 99),
        EVENTS,
    )
    def holds(
        rate: float,
        bursts: float,
        zones: int,
        per_zone: int,
        seed: int,
        events: list[Any],
    ) -> None:
        burst = rate * bursts
        with SimulatedTime() as time:
            preset = limited_preset(rate, burst)
            fleet = Fleet(time, zones, per_zone, preset, seed)
            time.run(fleet.run(SETTLED_S))
            for *event, pause_s in events:
                fleet.apply(*event)
                time.run(fleet.run(pause_s))
        allowed = (rate * WINDOW_S + burst) * 1.1 + 20
        assert fleet.most_in_window(WINDOW_S) <= allowed

    holds()


@given(
    '{zones:d} zones of {per_zone:d} nodes and a tenant with {rate:d} requests a second'
    ' and a burst of {burst:d}'
)
def start_fleet(
    context: Any, zones: int, per_zone: int, rate: float, burst: float
) -> None:
    """Start the nodes and let the handover end."""
    context.time = SimulatedTime()
    context.time.__enter__()
    context.closers.append(lambda: context.time.__exit__(None, None, None))
    preset = limited_preset(rate, burst)
    context.fleet = Fleet(context.time, zones, per_zone, preset, 1)
    context.time.run(context.fleet.run(SETTLED_S))


@when('callers of one node send 10 requests a second for {seconds:d} s')
def send_requests(context: Any, seconds: int) -> None:
    """Send one request in each tick of 0.1 s to a node that does not own the tenant."""
    nodes = context.fleet.nodes.values()
    entry = next(node for node in nodes if not node.owner.owners.is_own(TENANT))
    entry.demand = 1
    context.time.run(context.fleet.run(seconds))


@then(
    'between {low:d} and {high:d} requests are served, each refusal names a time, and'
    ' no request waited'
)
def served_between(context: Any, low: int, high: int) -> None:
    """Check the number of requests and the refusals."""
    assert low <= len(context.fleet.served) <= high, len(context.fleet.served)
    for refusal in context.fleet.refusals:
        assert refusal.reason == Reason.OVER_ALLOTMENT
        assert refusal.is_not_run
        assert 0 < refusal.retry_after_s <= 2


@then('at least {low:d} requests are served and at most {most:d} frames crossed zones')
def served_by_loans(context: Any, low: int, most: int) -> None:
    """Count the requests and the frames between zones."""
    fleet = context.fleet
    crossed = sum(sender != receiver for sender, receiver, _ in fleet.frames)
    assert len(fleet.served) >= low, len(fleet.served)
    assert 0 < crossed <= most, crossed


@when('callers of all nodes send 20 requests a second for {seconds:d} s')
def send_everywhere(context: Any, seconds: int) -> None:
    """Send two requests in each tick of 0.1 s to every node."""
    context.fleet.demand(0, 2)
    context.time.run(context.fleet.run(seconds))


@then('each zone serves at least {low:d} requests and lends nothing')
def nothing_lent(context: Any, low: int) -> None:
    """Check what each owner granted and lent after the start."""
    for node in context.fleet.nodes.values():
        assert node.owner.granted >= low, node.owner.granted
        assert not node.owner.ledger.lent


@when('one zone borrows from the other and its owner freezes for {seconds:d} s')
def borrow_and_freeze(context: Any, seconds: int) -> None:
    """Lend at a demand above the share, then freeze the borrower."""
    borrower, lender = context.fleet.nodes.values()
    borrower.demand = 2
    context.time.run(context.fleet.run(1))
    assert borrower.owner.ledger.borrowed_per_s(TENANT) > 0
    borrower.freeze()
    context.time.run(context.fleet.run(seconds))
    borrower.demand = 0
    borrower.thaw()
    assert lender.owner.ledger.lent_per_s(TENANT) > 0


@then(
    'it has no borrowed rate, and its lender has its own again {seconds:d} s after it lent'
)
def loans_end(context: Any, seconds: int) -> None:
    """Check both owners."""
    borrower, lender = context.fleet.nodes.values()
    assert not borrower.owner.ledger.borrowed
    context.time.advance(seconds - 3)
    assert not lender.owner.ledger.lent_per_s(TENANT)
    assert lender.owner.rate_per_s(TENANT) == 10


@then('a tenant without a limit gets no token and causes no message')
def without_limit(context: Any) -> None:
    """Call for a tenant that no preset limits."""
    start_fleet(context, 1, 2, 5, 5)
    node = context.fleet.nodes['n0']
    take = context.time.run(node.client.try_take('unlimited'))
    assert take.refusal is None
    assert node.client.try_take_hedge('unlimited')
    assert not context.fleet.frames
    assert not node.client.tenants


@then(
    'requests of {count:d} tenants at once cause one frame to each owner, and idle'
    ' time none'
)
def one_frame(context: Any, count: int) -> None:
    """Take a token of each tenant at the same time, in a zone of three nodes."""
    start_fleet(context, 1, 3, 5, 5)
    fleet = context.fleet
    names = [f't{number}' for number in range(count)]
    for node in fleet.nodes.values():
        node.owner.configure({name: ZoneShare(50, 50, 1) for name in names})
    context.time.advance(SETTLED_S)

    async def take_all() -> list[Any]:
        return await asyncio.gather(*map(fleet.nodes['n0'].client.try_take, names))

    assert all(take.refusal is None for take in context.time.run(take_all()))
    context.time.advance(30)
    asks = [frame for _, _, frame in fleet.frames if isinstance(frame, TokenAsk)]
    assert len(asks) == 2, asks
    assert len(fleet.frames) == 4


@when(
    'the owner freezes and callers of another node send 50 requests a second for'
    ' {seconds:d} s'
)
def owner_freezes(context: Any, seconds: int) -> None:
    """Freeze the owner of the tenant; no node has noticed it yet."""
    fleet = context.fleet
    owner = next(n for n in fleet.nodes.values() if n.owner.owners.is_own(TENANT))
    entry = next(node for node in fleet.nodes.values() if node is not owner)
    owner.freeze()
    context.waits = []

    async def call() -> None:
        before = context.time.now
        await entry.call()
        context.waits.append(context.time.now - before)

    async def call_all() -> None:
        for _ in range(50 * seconds):
            context.waits_task = asyncio.create_task(call())
            await asyncio.sleep(0.02)
        await context.waits_task

    context.time.run(call_all())


@then('at most {most:d} requests are served, and each is answered within {limit:f} s')
def served_by_reserve(context: Any, most: int, limit: float) -> None:
    """Check that the reserve gave tokens: 5% of the rate, over four nodes."""
    assert 0 < len(context.fleet.served) <= most, len(context.fleet.served)
    assert max(context.waits) <= limit, max(context.waits)


@then('a token given back is used once, and only until it expires')
def given_back(context: Any) -> None:
    """Take and give back the tokens of a stock."""
    stock = TokenStock()
    stock.add(10 + TOKEN_LIFETIME_S, 1)
    expires_at = stock.take(10)
    assert expires_at is not None
    assert stock.take(10) is None
    stock.give_back(10.1, expires_at)
    assert stock.take(10.2) == expires_at
    assert stock.take(10.2) is None
    stock.give_back(10.3, expires_at)
    assert stock.take(expires_at) is None
    stock.give_back(expires_at, expires_at)
    assert not stock.blocks


@then(
    'a bucket of {full:d} tokens holds {lower:d} after its limit falls to {lower:d},'
    ' and {lower:d} after it rises again'
)
def limit_changes(context: Any, full: int, lower: int) -> None:
    """Change the limit of the only node of a zone twice at the same time."""
    start_fleet(context, 1, 1, full, full)
    owner = context.fleet.nodes['n0'].owner
    owner.configure(zone_shares(limited_preset(lower, lower), 1))
    owner.configure(zone_shares(limited_preset(full, full), 1))
    granted = owner.grant(TENANT, full)[0]
    assert granted == lower, granted


@then('a hedge is allowed only while a token is at hand')
def hedges(context: Any) -> None:
    """Use up the tokens of the owner, then ask for a hedge at it and elsewhere."""
    start_fleet(context, 1, 2, 4, 4)
    owner = next(n for n in context.fleet.nodes.values() if n.owner.owners.gained_at)
    other = next(n for n in context.fleet.nodes.values() if n is not owner)
    assert not other.client.try_take_hedge(TENANT)
    other.client.tokens_of(TENANT).stock.add(context.time.now + 1, 1)
    assert other.client.try_take_hedge(TENANT)
    for _ in range(4):
        assert owner.client.try_take_hedge(TENANT)
    assert not owner.client.try_take_hedge(TENANT)
