"""Takes tokens of tenants' allotments for requests of this node's callers.

:units: tokens are requests; seconds on a clock that counts suspended time.
:errors: none; an owner that is not reached is replaced by the reserve.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from functools import partial

from lavendermount_core.exceptions import PeerLinkError
from lavendermount_core.models.calls import Reason, Refusal, not_run_refusal
from lavendermount_core.models.members import Member
from lavendermount_core.models.records import Record
from lavendermount_core.utils.deadlines import AfterReads
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.allotments.bucket import (
    BLOCK_S,
    RESERVE_PERIOD_S,
    RESERVE_SHARE,
    TOKEN_LIFETIME_S,
    Demand,
    Reserve,
    TokenStock,
)
from lavendermountd.allotments.owner import NOT_OWNER, AllotmentOwner
from lavendermountd.peer.frames import LoanGrant, TokenAsk, TokenGrant
from lavendermountd.peer.link_pool import LinkPool

log = logging.getLogger(__name__)

# Longest time that a request waits for a token of the owner.
ASK_TIMEOUT_S = 0.1
# An owner that did not answer is asked again after this time.
OWNER_BACKOFF_S = 0.5
# A refusal of the owner stands for at most this time, as rate may be borrowed.
MAX_REFUSED_S = 0.25


class Take:
    """A token, or why there is none.

    :param refusal: the refusal; ``None`` if there is a token.
    :param expires_at: time at which the token expires if it is given back.
    """

    __slots__ = ('refusal', 'expires_at')

    def __init__(self, refusal: Refusal | None, expires_at: float = 0) -> None:
        """Initialize the fields."""
        self.refusal = refusal
        self.expires_at = expires_at


UNLIMITED = Take(None)


class TenantTokens:
    """What this node holds of one tenant, and the requests that wait for a token.

    :param now: current time.
    """

    __slots__ = (
        'stock',
        'demand',
        'reserve',
        'waiting',
        'is_asked',
        'refused_until',
        'retry_at',
    )

    def __init__(self, now: float) -> None:
        """Start without tokens."""
        self.stock = TokenStock()
        self.demand = Demand(now)
        self.reserve = Reserve(now)
        self.waiting: list[asyncio.Future[Take]] = []
        self.is_asked = False
        self.refused_until: float = 0
        self.retry_at: float = 0

    def wanted(self, now: float) -> int:
        """Return the tokens to ask for: the expected need, or one for each waiter."""
        expected = math.floor(self.demand.per_s(now) * BLOCK_S)
        return max(1, len(self.waiting), expected)

    def refuse_until(self, now: float, wait_s: float) -> None:
        """Refuse requests for a time without asking the owner again."""
        self.refused_until = now + min(wait_s, MAX_REFUSED_S)
        self.retry_at = now + wait_s

    def answer(self, take: Take) -> None:
        """Answer the request that has waited longest."""
        self.waiting.pop(0).set_result(take)

    def has_waiters(self) -> bool:
        """Return whether requests wait; forget those whose callers have left."""
        self.waiting = [waiter for waiter in self.waiting if not waiter.done()]
        return bool(self.waiting)


class Ask:
    """A frame that was sent to an owner.

    :param member: the owner.
    :param asked_at: time at which it was sent.
    """

    __slots__ = ('member', 'wanted', 'asked_at', 'timer')

    def __init__(self, member: Member, asked_at: float) -> None:
        """Start without tenants."""
        self.member = member
        # Pairs of a tenant and a number of tokens.
        self.wanted: list[tuple[str, int]] = []
        self.asked_at = asked_at
        self.timer: asyncio.TimerHandle | AfterReads | None = None


class AllotmentClient:
    """Takes tokens from the owners of the tenants.

    :param owner: limits of the tenants, and buckets of those that this node owns.
    :param links: connections to the other nodes.
    :param clock: returns the current time.
    """

    __slots__ = (
        'owner',
        'links',
        'clock',
        'tenants',
        'due',
        'asks',
        'asks_sent',
        'refused',
        'from_reserve',
        'avoided_until',
        'tasks',
        'on_loan_grant',
    )

    def __init__(
        self, owner: AllotmentOwner, links: LinkPool, clock: Callable[[], float]
    ) -> None:
        """Start without tokens."""
        self.owner = owner
        self.links = links
        self.clock = clock
        self.tenants: dict[str, TenantTokens] = {}
        # Tenants whose owner will be asked when the event loop is next idle.
        self.due: list[str] = []
        self.asks: dict[int, Ask] = {}
        self.asks_sent = 0
        self.refused = 0
        self.from_reserve = 0
        self.avoided_until: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.on_loan_grant: Callable[[LoanGrant], None] | None = None

    async def try_take(self, tenant: str) -> Take:
        """Take a token for a request; wait for the owner if none is at hand.

        :param tenant: name of the tenant.
        """
        if tenant not in self.owner.shares:
            return UNLIMITED
        now = self.clock()
        tokens = self.tokens_of(tenant)
        tokens.demand.add(now, 1)
        expires_at = tokens.stock.take(now)
        if expires_at is not None:
            return Take(None, expires_at)
        if self.owner.owners.is_own(tenant):
            # Also counts the demand by which the owner borrows.
            return self.take_own(tenant, tokens)
        if now < tokens.refused_until:
            return self.refuse(tokens.retry_at - now)
        if self.reachable_owner(tenant) is None:
            return self.take_reserve(tenant, tokens)
        return await self.wait_for_token(tenant, tokens)

    def try_take_hedge(self, tenant: str) -> bool:
        """Take a token for a hedge if one is at hand.

        :returns: whether the hedge may be sent.
        """
        if tenant not in self.owner.shares:
            return True
        if self.tokens_of(tenant).stock.take(self.clock()) is not None:
            return True
        return self.owner.owners.is_own(tenant) and self.owner.grant(tenant, 1)[0] > 0

    def give_back(self, tenant: str, take: Take) -> None:
        """Return the token of a request that was not run.

        It can be used until the time at which it would have expired unused.
        """
        if tenant in self.owner.shares:
            stock = self.tokens_of(tenant).stock
            stock.give_back(self.clock(), take.expires_at)

    def reset(self) -> None:
        """Drop all tokens after a freeze; requests that wait use the reserve."""
        for name, tokens in self.tenants.items():
            tokens.stock = TokenStock()
            tokens.reserve = Reserve(self.clock())
            self.fall_back(name)
        self.asks.clear()

    def tokens_of(self, tenant: str) -> TenantTokens:
        """Return what this node holds of a tenant."""
        tokens = self.tenants.get(tenant)
        if tokens is None:
            tokens = TenantTokens(self.clock())
            self.tenants[tenant] = tokens
        return tokens

    def refuse(self, wait_s: float) -> Take:
        """Refuse a request over the allotment.

        :param wait_s: time until a token is expected.
        """
        self.refused += 1
        detail = 'the tenant has used up its allotment'
        return Take(not_run_refusal(Reason.OVER_ALLOTMENT, detail, wait_s))

    def take_own(self, tenant: str, tokens: TenantTokens) -> Take:
        """Take a token of a tenant that this node owns."""
        now = self.clock()
        granted, wait_ms = self.owner.grant(tenant, 1)
        if granted == NOT_OWNER:
            return self.take_reserve(tenant, tokens)
        if granted:
            return Take(None, now + TOKEN_LIFETIME_S)
        tokens.refuse_until(now, wait_ms / MS_PER_S)
        return self.refuse(wait_ms / MS_PER_S)

    def take_reserve(self, tenant: str, tokens: TenantTokens) -> Take:
        """Take a token of the reserve, as the owner is not reached.

        The reserves of all nodes that this node may know of are at most
        ``RESERVE_SHARE`` of the rate.
        """
        owners = self.owner.owners
        nodes = max(len(owners.table.members), owners.known_count())
        rate_per_s = self.owner.shares[tenant].total_per_s * RESERVE_SHARE / nodes
        if not tokens.reserve.try_take(self.clock(), rate_per_s):
            return self.refuse(max(OWNER_BACKOFF_S, RESERVE_PERIOD_S))
        self.from_reserve += 1
        return Take(None)

    def reachable_owner(self, tenant: str) -> Member | None:
        """Return the owner of a tenant, unless it did not answer lately."""
        member = self.owner.owners.owner_of(tenant)
        if member is None or self.links.backoff.is_avoided(member.node_id):
            return None
        if self.avoided_until.get(member.node_id, 0) > self.clock():
            return None
        return member

    async def wait_for_token(self, tenant: str, tokens: TenantTokens) -> Take:
        """Wait until the owner answers, or the request falls back on the reserve."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Take] = loop.create_future()
        tokens.waiting.append(waiter)
        if not tokens.is_asked:
            self.schedule_ask(tenant, tokens)
        return await waiter

    def schedule_ask(self, tenant: str, tokens: TenantTokens) -> None:
        """Ask for a tenant's tokens, together with those of others due now."""
        tokens.is_asked = True
        if not self.due:
            asyncio.get_running_loop().call_soon(self.ask_owners)
        self.due.append(tenant)

    def ask_owners(self) -> None:
        """Send one frame to each owner of the tenants that are due."""
        now = self.clock()
        asks: dict[str, Ask] = {}
        due = self.due
        self.due = []
        for tenant in due:
            member = self.reachable_owner(tenant)
            if member is None or member.node_id == self.owner.owners.own_id:
                self.fall_back(tenant)
                continue
            ask = asks.setdefault(member.node_id, Ask(member, now))
            ask.wanted.append((tenant, self.tenants[tenant].wanted(now)))
        for ask in asks.values():
            self.send_ask(ask)

    def send_ask(self, ask: Ask) -> None:
        """Send a frame, over a new connection if there is none."""
        self.asks_sent += 1
        ask_id = self.asks_sent
        self.asks[ask_id] = ask
        loop = asyncio.get_running_loop()
        ask.timer = loop.call_later(ASK_TIMEOUT_S, self.read_first, ask_id)
        frame = TokenAsk(ask_id, [list(pair) for pair in ask.wanted])
        self.send_frame(ask.member, frame)

    def send_frame(self, member: Member, frame: Record) -> None:
        """Send a frame to a node, over a new connection if there is none."""
        link = self.links.find_open(member)
        if link is None:
            task = asyncio.create_task(self.connect_and_send(member, frame))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        try:
            link.frames.send(frame)
        except PeerLinkError as error:
            log_unreachable(member, str(error))

    async def connect_and_send(self, member: Member, frame: Record) -> None:
        """Open a connection and send a frame; a failure leaves it to the timeout."""
        try:
            link = await self.links.get(member)
            link.frames.send(frame)
        except PeerLinkError as error:
            log_unreachable(member, str(error))

    def read_first(self, ask_id: int) -> None:
        """Process the answer if it has arrived; otherwise the time is over."""
        self.asks[ask_id].timer = AfterReads(partial(self.expire, ask_id))

    def expire(self, ask_id: int) -> None:
        """Let the requests that wait for an owner fall back on the reserve.

        Tokens that arrive later are used if they have not expired.
        """
        ask = self.asks[ask_id]
        node_id = ask.member.node_id
        self.avoided_until[node_id] = self.clock() + OWNER_BACKOFF_S
        log_unreachable(ask.member, 'no answer in time')
        link = self.links.find_open(ask.member)
        if link is not None and not link.pending:
            # No silence check runs on an idle link, so it may be half open.
            self.links.drop(node_id)
        for tenant, _ in ask.wanted:
            self.fall_back(tenant)
        loop = asyncio.get_running_loop()
        ask.timer = loop.call_later(TOKEN_LIFETIME_S, self.forget, ask_id)

    def forget(self, ask_id: int) -> None:
        """Forget an ask whose tokens would have expired."""
        self.asks.pop(ask_id, None)

    def fall_back(self, tenant: str) -> None:
        """Answer all requests that wait for a tenant's tokens from the reserve."""
        tokens = self.tenants[tenant]
        tokens.is_asked = False
        while tokens.has_waiters():
            if tenant in self.owner.shares:
                tokens.answer(self.take_reserve(tenant, tokens))
            else:
                tokens.answer(UNLIMITED)

    def on_grant(self, frame: Record) -> None:
        """Use granted tokens; pass lent rate on."""
        if isinstance(frame, LoanGrant) and self.on_loan_grant is not None:
            self.on_loan_grant(frame)
        if not isinstance(frame, TokenGrant):
            return
        ask = self.asks.pop(frame.ask_id, None)
        if ask is None:
            return
        if ask.timer is not None:
            ask.timer.cancel()
        self.avoided_until.pop(ask.member.node_id, None)
        expires_at = ask.asked_at + TOKEN_LIFETIME_S
        for (tenant, wanted), (granted, wait_ms) in zip(
            ask.wanted, frame.granted, strict=True
        ):
            tokens = self.tenants[tenant]
            tokens.stock.add(expires_at, max(0, min(granted, wanted)))
            self.distribute(tenant, granted, wait_ms / MS_PER_S)

    def distribute(self, tenant: str, granted: int, wait_s: float) -> None:
        """Give tokens to the requests that wait; refuse the others or ask again.

        :param granted: number of tokens granted, or ``NOT_OWNER``.
        :param wait_s: time until the next token; 0 if all were granted.
        """
        now = self.clock()
        tokens = self.tenants[tenant]
        if granted == NOT_OWNER:
            self.fall_back(tenant)
            return
        tokens.is_asked = False
        while tokens.has_waiters():
            expires_at = tokens.stock.take(now)
            if expires_at is None:
                break
            tokens.answer(Take(None, expires_at))
        if wait_s:
            tokens.refuse_until(now, wait_s)
            while tokens.has_waiters():
                tokens.answer(self.refuse(wait_s))
        elif tokens.has_waiters():
            self.schedule_ask(tenant, tokens)


def log_unreachable(member: Member, cause: str) -> None:
    """Log that an owner did not answer."""
    extra = {'owner': member.node_id, 'cause': cause}
    log.info('allotment-owner-unreachable', extra=extra)
