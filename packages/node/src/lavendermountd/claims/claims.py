"""Runs each request with an idempotency key at most once across all nodes.

:errors: none propagate; while the log is unavailable, requests with a key are
    refused.

A node runs such a request only after it has appended its own claim and read the
log at least up to it, and only if its claim holds the key then. If no claim does,
because the winner was released or its record evicted in between, the node claims
the key again: several losers may see that it is free. A claim has no lease: the
process that holds it may stay frozen for any length of time, and no other node
runs the request while the log holds the claim.

The log may come back from an older copy without its latest claims. Every node then
appends its claims again, and no node claims a key until they all had time to.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import OrderedDict
from enum import StrEnum

from returns.result import Failure, Success

from lavendermount_core.exceptions import LogUnavailableError
from lavendermount_core.log.adapter import LogAdapter
from lavendermount_core.models.calls import (
    Body,
    CallReply,
    CallRequest,
    Reason,
    Refusal,
    not_run_refusal,
    unknown_refusal,
)
from lavendermount_core.utils.deadlines import Deadline, deadline_in
from lavendermount_core.utils.digests import random_identifier
from lavendermountd.claims.holders import HolderClient, HolderResponse
from lavendermountd.claims.records import (
    Claim,
    Release,
    RestoredClaim,
    claim_stream_name,
)
from lavendermountd.claims.stream import ClaimStream
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.gate.suspects import IDEMPOTENCY_KEY_HEADER
from lavendermountd.identity import Identity
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.routing.router import Router

log = logging.getLogger(__name__)

DIGEST_LENGTH = 32
MAX_LOCAL_CLAIMS = 10000
MAX_CACHED_BODY_BYTES = 65536
# Part of a body that is digested at once.
DIGESTED_BYTES = 65536
LOG_RETRY_AFTER_S = 2.0
# Time after which a caller may ask again about a key that is in use.
RUNNING_RETRY_S = 0.5
RELEASE_TIMEOUT_S = 0.5
MAX_CLAIM_ATTEMPTS = 3
MAX_RELEASED_CLAIMS = 20000
# Time in which all nodes learn that the log came back from an older copy, and
# append their claims again.
CLAIM_RECOVERY_S = 6.0


class ClaimState(StrEnum):
    """State of a claim that this node made."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    COMPLETE = 'whole'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class LocalClaim:
    """A claim that this node made, and its outcome.

    :param claim: the record that is appended to the log.
    :param service: service of the request.
    """

    __slots__ = ('claim', 'service', 'state', 'outcome_future')

    def __init__(self, claim: Claim, service: str) -> None:
        """Start in the state before the log has confirmed the claim."""
        self.claim = claim
        self.service = service
        self.state = ClaimState.CLAIMING
        self.outcome_future: asyncio.Future[AttemptResult] = (
            asyncio.get_running_loop().create_future()
        )


class ClaimService:
    """Claims idempotency keys and runs the requests whose claims win.

    It stores the outcomes, to answer later submissions of a key and queries from
    other nodes.

    :param identity: identity of this node, written into its claims.
    :param platform_log: log that stores the claims.
    :param router: runs the requests of winning claims.
    :param holders: queries other nodes about their claims.
    """

    def __init__(
        self,
        identity: Identity,
        platform_log: LogAdapter,
        router: Router,
        holders: HolderClient,
    ) -> None:
        """Start without claims."""
        self.identity = identity
        self.platform_log = platform_log
        self.router = router
        self.holders = holders
        self.streams: dict[str, ClaimStream] = {}
        self.by_key: OrderedDict[str, LocalClaim] = OrderedDict()
        self.released_ids: OrderedDict[str, None] = OrderedDict()
        self.recovered_at: float = 0

    def begin_recovery(self) -> None:
        """Claim no key until all nodes had time to append their claims again."""
        now = asyncio.get_running_loop().time()
        self.recovered_at = now + CLAIM_RECOVERY_S

    async def rewrite(self) -> None:
        """Append the claims of this node again; the log may have lost them."""
        held = [
            local
            for local in self.by_key.values()
            if local.state != ClaimState.RELEASED
        ]
        for local in held:
            await self.append_again(local)

    async def append_again(self, local: LocalClaim) -> None:
        """Append one claim until the log has accepted it."""
        while True:
            restored = RestoredClaim(*local.claim.to_row())
            try:
                await self.stream(local.service).append(restored)
            except LogUnavailableError as error:
                log.info('claim-rewrite-delayed', extra={'cause': str(error)})
                await asyncio.sleep(RELEASE_TIMEOUT_S)
            else:
                return

    def recovery_refusal(self) -> Refusal | None:
        """Return the refusal of a new claim while claims are being restored."""
        left_s = self.recovered_at - asyncio.get_running_loop().time()
        if left_s <= 0:
            return None
        detail = 'the idempotency keys in use are being collected again'
        return not_run_refusal(Reason.LOG_DOWN, detail, left_s)

    def key_digest(self, request: CallRequest) -> str | None:
        """Compute the key digest of a request that may run only once.

        :returns: ``None`` if the request has no key or may be repeated.
        """
        if request.call_class.is_repeatable:
            return None
        for name, text in request.headers:
            if name.lower() == IDEMPOTENCY_KEY_HEADER and text:
                return _digest(
                    request.call_class.service,
                    request.call_class.tenant,
                    text,
                )
        return None

    async def run_once(
        self,
        key: str,
        request: CallRequest,
        preset: InForcePreset,
    ) -> AttemptResult:
        """Run the request unless a node already ran one with the same key.

        :param key: digest of the idempotency key.
        :param request: the request.
        :param preset: preset in force when the request arrived.
        :returns: the outcome, possibly that of an earlier submission.
        """
        existing = self.by_key.get(key)
        if existing is not None and existing.state != ClaimState.RELEASED:
            return await self.await_earlier_submission(existing, request)
        supersedes = '' if existing is None else existing.claim.claim_id
        refusal = self.recovery_refusal()
        if refusal is not None:
            return Failure(refusal)
        local = self.new_claim(key, request, supersedes)
        try:
            return await self.claim_and_run(local, request, preset)
        finally:
            self.fail_if_abandoned(local)

    def new_claim(self, key: str, request: CallRequest, supersedes: str) -> LocalClaim:
        """Create a claim that is not in the log yet."""
        claim = Claim(
            random_identifier(),
            key,
            payload_digest(request),
            self.identity.node_id,
            self.identity.incarnation,
            supersedes,
        )
        local = LocalClaim(claim, request.call_class.service)
        self.by_key[key] = local
        self.by_key.move_to_end(key)
        self.evict_oldest()
        return local

    def evict_oldest(self) -> None:
        """Drop the oldest claims beyond ``MAX_LOCAL_CLAIMS`` from the table.

        While the log holds them, later submissions of their keys are answered
        ``unknown``.
        """
        while len(self.by_key) > MAX_LOCAL_CLAIMS:
            self.by_key.popitem(last=False)
        while len(self.released_ids) > MAX_RELEASED_CLAIMS:
            self.released_ids.popitem(last=False)

    def fail_if_abandoned(self, local: LocalClaim) -> None:
        """Fail a claim whose submission was cancelled.

        Later submissions then stop waiting for it.
        """
        if local.outcome_future.done():
            return
        detail = 'the first submission was cancelled'
        if local.state == ClaimState.CLAIMING:
            self.finish(local, Failure(not_run_refusal(Reason.CANCELLED, detail)))
            return
        self.finish(local, Failure(unknown_refusal(Reason.CANCELLED, detail)))

    async def await_earlier_submission(
        self, local: LocalClaim, request: CallRequest
    ) -> AttemptResult:
        """Wait for the outcome of an earlier submission to this node."""
        if local.claim.payload != payload_digest(request):
            return Failure(_reused_key_refusal())
        try:
            async with Deadline(request.deadline):
                return await asyncio.shield(local.outcome_future)
        except TimeoutError:
            return Failure(_still_running_refusal())

    async def claim_and_run(
        self,
        local: LocalClaim,
        request: CallRequest,
        preset: InForcePreset,
    ) -> AttemptResult:
        """Claim the key and run the request if the claim wins."""
        try:
            async with Deadline(request.deadline):
                settled_outcome = await self.acquire_or_query_holder(local, request)
        except (LogUnavailableError, TimeoutError) as error:
            cause = str(error) or 'no answer from the log before the deadline'
            log.warning('claim-impossible', extra={'cause': cause})
            return self.finish(local, Failure(_log_unavailable_refusal()))
        if settled_outcome is not None:
            return self.finish(local, settled_outcome)
        local.state = ClaimState.RUNNING
        route_task = asyncio.ensure_future(self.router.route(request, preset))
        outcome = await asyncio.shield(route_task)
        if _is_not_run(outcome):
            await self.release(local, request)
        return self.finish(local, outcome)

    async def acquire_or_query_holder(
        self,
        local: LocalClaim,
        request: CallRequest,
    ) -> AttemptResult | None:
        """Acquire the key, or get the outcome from the node that holds it.

        :returns: ``None`` if this node may run the request, because its claim holds
            the key.
        """
        for _ in range(MAX_CLAIM_ATTEMPTS):
            winner = await self.append_and_read(local, request)
            # The answers may have shown that the log came back from an older copy.
            refusal = self.recovery_refusal()
            if refusal is not None:
                return Failure(refusal)
            if winner is not None and winner.claim_id == local.claim.claim_id:
                return await self.query_lost_claim(local, request)
            settled_outcome = await self.query_winner(local, request, winner)
            if settled_outcome is not None:
                return settled_outcome
        return Failure(_lost_claims_refusal())

    async def query_winner(
        self, local: LocalClaim, request: CallRequest, winner: Claim | None
    ) -> AttemptResult | None:
        """Get the outcome of the request whose claim holds the key.

        :param winner: the claim that holds the key; ``None`` if no claim does.
        :returns: the outcome; ``None`` if that request was not run, and the claim of
            this node was renewed.
        """
        if winner is None:
            self.renew(local, '')
            return None
        if winner.payload != local.claim.payload:
            return Failure(_reused_key_refusal())
        response = await self.holders.query(winner, request.deadline)
        if response.state != ClaimState.RELEASED:
            return _outcome_from(response)
        self.renew(local, winner.claim_id)
        return None

    async def query_lost_claim(
        self, local: LocalClaim, request: CallRequest
    ) -> AttemptResult | None:
        """Query the holder of a claim of the same key that the log has lost.

        :returns: the outcome of its request; ``None`` if it was not run, or if there
            is no such claim.
        """
        stream = self.stream(local.service)
        lost = stream.lost_claim(local.claim.key)
        if lost is None:
            return None
        response = await self.holders.query(lost, request.deadline)
        if response.state != ClaimState.RELEASED:
            return _outcome_from(response)
        stream.lost_claims.pop(lost.key, None)
        return None

    def renew(self, local: LocalClaim, supersedes: str) -> None:
        """Replace a claim that did not win by a new one.

        The request will not run under the old one, which others may ask about.

        :param supersedes: identifier of the claim that the new one replaces.
        """
        old = local.claim
        self.released_ids[old.claim_id] = None
        local.claim = Claim(
            random_identifier(),
            old.key,
            old.payload,
            old.node_id,
            old.incarnation,
            supersedes,
        )

    async def append_and_read(
        self,
        local: LocalClaim,
        request: CallRequest,
    ) -> Claim | None:
        """Append the claim and read back which claim holds the key."""
        stream = self.stream(request.call_class.service)
        offset = await stream.append(local.claim)
        return await stream.winning_claim_at(local.claim.key, offset)

    async def release(self, local: LocalClaim, request: CallRequest) -> None:
        """Release the key of a request that was not run.

        While the log is unavailable, this node still answers queries about the
        claim.
        """
        release = Release(local.claim.claim_id, local.claim.key)
        stream = self.stream(request.call_class.service)
        try:
            async with deadline_in(RELEASE_TIMEOUT_S):
                await stream.append(release)
        except (LogUnavailableError, TimeoutError) as error:
            cause = str(error) or f'no answer from the log in {RELEASE_TIMEOUT_S} s'
            log.info(
                'release-delayed',
                extra={'claim': local.claim.claim_id, 'cause': cause},
            )

    def stream(self, service: str) -> ClaimStream:
        """Return the claim stream of a service."""
        if service not in self.streams:
            name = claim_stream_name(service)
            self.streams[service] = ClaimStream(self.platform_log, name)
        return self.streams[service]

    def finish(self, local: LocalClaim, outcome: AttemptResult) -> AttemptResult:
        """Set the state and the outcome of a claim; drop a reply that is too large."""
        if isinstance(outcome, Success):
            local.state = ClaimState.COMPLETE
        elif outcome.failure().is_not_run:
            local.state = ClaimState.RELEASED
            self.released_ids[local.claim.claim_id] = None
        else:
            local.state = ClaimState.UNKNOWN
        if not local.outcome_future.done():
            local.outcome_future.set_result(outcome)
        if len(outcome.map(_reply_body).value_or(b'')) > MAX_CACHED_BODY_BYTES:
            self.drop_reply(local)
        return outcome

    def drop_reply(self, local: LocalClaim) -> None:
        """Drop a large reply and record only that the request ran."""
        local.state = ClaimState.UNKNOWN
        local.outcome_future = asyncio.get_running_loop().create_future()
        refusal = unknown_refusal(
            Reason.CLAIMED, 'the request ran, but its reply is no longer stored'
        )
        local.outcome_future.set_result(Failure(refusal))

    def is_released(self, claim_id: str) -> bool:
        """Return whether a claim of this node ended without a run of its request."""
        return claim_id in self.released_ids

    def find(self, claim_id: str) -> LocalClaim | None:
        """Find a claim of this node by its identifier."""
        for local in self.by_key.values():
            if local.claim.claim_id == claim_id:
                return local
        return None


def _outcome_from(response: HolderResponse) -> AttemptResult:
    if response.reply is not None:
        return Success(response.reply)
    if response.state in {ClaimState.RUNNING, ClaimState.CLAIMING}:
        return Failure(_still_running_refusal())
    return Failure(
        unknown_refusal(
            Reason.CLAIMED, 'an earlier request with this key may have run'
        ),
    )


def _reply_body(reply: CallReply) -> Body:
    return reply.body


def _is_not_run(outcome: AttemptResult) -> bool:
    return not isinstance(outcome, Success) and outcome.failure().is_not_run


def payload_digest(request: CallRequest) -> str:
    """Return the digest by which a key's later requests are compared with its first.

    It covers the method, the path and the hexadecimal text of the body, each after its
    length.
    """
    head = ''.join(f'{len(part)}:{part}\n' for part in (request.method, request.path))
    digest = hashlib.sha256(f'{head}{2 * len(request.body)}:'.encode())
    for start in range(0, len(request.body), DIGESTED_BYTES):
        part = request.body[start : start + DIGESTED_BYTES]
        digest.update(part.hex().encode())
    return digest.hexdigest()[:DIGEST_LENGTH]


def _digest(*parts: str) -> str:
    text = '\n'.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]


def _reused_key_refusal() -> Refusal:
    return not_run_refusal(
        Reason.MALFORMED,
        'the idempotency key was already used with another method, path or body',
    )


def _still_running_refusal() -> Refusal:
    return unknown_refusal(
        Reason.CLAIMED,
        'an earlier request with this key is still running',
        RUNNING_RETRY_S,
    )


def _lost_claims_refusal() -> Refusal:
    return not_run_refusal(
        Reason.CLAIMED,
        'other requests with this idempotency key were claimed first',
        RUNNING_RETRY_S,
    )


def _log_unavailable_refusal() -> Refusal:
    return not_run_refusal(
        Reason.LOG_DOWN,
        'idempotency keys cannot be claimed while the log is unavailable',
        LOG_RETRY_AFTER_S,
    )
