"""Sends an attempt to the target's node and determines its outcome.

:errors: none; a lost connection becomes a refusal that says whether the request
    may have been executed.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time

from returns.result import Failure

from lavendermount_core.exceptions import PeerLinkError, PeerSilentError
from lavendermount_core.models.calls import Reason, not_run_refusal, unknown_refusal
from lavendermount_core.models.members import Member
from lavendermount_core.utils.deadlines import Deadline
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.attempts import Attempt, AttemptResult
from lavendermountd.gate.gate import Gate
from lavendermountd.gate.suspects import Verdict
from lavendermountd.peer.frames import MAX_PART_BYTES, Cancel, Dispatch, OutcomeQuery
from lavendermountd.peer.link import PeerLink
from lavendermountd.peer.link_pool import LinkPool
from lavendermountd.routing.request_state import RequestState

log = logging.getLogger(__name__)

QUERY_ATTEMPTS = 3
QUERY_PAUSE_S = 0.1
# Time reserved for the reply to return before the deadline.
RETURN_MARGIN_S = 0.02
UNREACHABLE_RETRY_AFTER_S = 1.0


class Sender:
    """Sends attempts to the local target or to other nodes.

    :param gate: gate of the local target.
    :param links: connections to the other nodes.
    """

    def __init__(self, gate: Gate, links: LinkPool) -> None:
        """Initialize the fields."""
        self.gate = gate
        self.links = links

    async def send(
        self,
        state: RequestState,
        member: Member,
        attempt_id: str,
        patience_s: float = 0,
    ) -> AttemptResult:
        """Run one attempt at a target.

        :param state: the request.
        :param member: node that serves the target.
        :param attempt_id: identifier of the attempt.
        :param patience_s: how long the attempt may wait in the node's queue; 0
            for no limit.
        :returns: the reply, or a refusal that says whether the request may have
            been executed.
        """
        if member.node_id == self.gate.identity.node_id:
            return await self.send_local(state, attempt_id, patience_s)
        try:
            async with Deadline(state.request.deadline):
                link = await self.links.get_responsive(member)
        except PeerLinkError as error:
            refusal = not_run_refusal(
                Reason.LINK_LOST, str(error), UNREACHABLE_RETRY_AFTER_S
            )
            return Failure(refusal)
        except TimeoutError:
            detail = 'no connection to the target node before the deadline'
            return Failure(not_run_refusal(Reason.DEADLINE, detail))
        self.send_suspicion(link, state)
        frame = _dispatch_frame(state, member, attempt_id, patience_s)
        sent_at = time.monotonic()
        try:
            async with Deadline(state.request.deadline):
                return await link.dispatch(frame, state.request.body)
        except PeerLinkError:
            return await self.query_outcome(state, member, attempt_id, sent_at)
        except TimeoutError:
            self.cancel(member, attempt_id)
            return Failure(
                unknown_refusal(
                    Reason.DEADLINE, 'the target node did not reply before the deadline'
                )
            )
        except asyncio.CancelledError:
            self.cancel(member, attempt_id)
            raise

    def send_suspicion(self, link: PeerLink, state: RequestState) -> None:
        """Send the suspicion of a request, if there is one, before the request.

        The node can then apply it to the request.
        """
        suspects = self.gate.suspects
        if suspects.verdict(state.fingerprint) == Verdict.FREE:
            return
        with contextlib.suppress(PeerLinkError):
            link.frames.send(suspects.describe(state.fingerprint))

    async def send_local(
        self,
        state: RequestState,
        attempt_id: str,
        patience_s: float,
    ) -> AttemptResult:
        """Run one attempt at the local target."""
        attempt = Attempt(attempt_id, state.request, state.fingerprint)
        attempt.patience_s = patience_s
        outcome = await self.gate.execute(attempt)
        self.links.on_load(self.gate.load())
        return outcome

    async def query_outcome(
        self,
        state: RequestState,
        member: Member,
        attempt_id: str,
        sent_at: float,
    ) -> AttemptResult:
        """Query the outcome of an attempt over a new connection.

        A node that accepts connections may only be busy, so the outcome of a request
        that may not be repeated is queried until the deadline.

        :param state: the request.
        :param member: node that serves the target.
        :param attempt_id: identifier of the attempt.
        :param sent_at: time at which the attempt was sent.
        :returns: its outcome; ``unknown`` if the node can't be queried.
        """
        is_repeatable = state.request.call_class.is_repeatable
        failures = 0
        while failures < QUERY_ATTEMPTS:
            try:
                async with Deadline(state.request.deadline):
                    return await self.query_once(member, attempt_id, sent_at)
            except PeerLinkError as error:
                log.info(
                    'ask-failed', extra={'attempt': attempt_id, 'cause': str(error)}
                )
                is_busy = isinstance(error, PeerSilentError)
                failures += is_repeatable or not is_busy
            except TimeoutError:
                break
            await asyncio.sleep(QUERY_PAUSE_S)
        return Failure(
            unknown_refusal(
                Reason.LINK_LOST,
                'the connection to the target node was lost',
                UNREACHABLE_RETRY_AFTER_S,
            ),
        )

    async def query_once(
        self,
        member: Member,
        attempt_id: str,
        sent_at: float,
    ) -> AttemptResult:
        """Query the outcome of an attempt once.

        :raises PeerLinkError: if the node can't be reached.
        :raises PeerSilentError: if it can, but the connection is lost.
        """
        link = await self.links.get(member)
        age_ms = (time.monotonic() - sent_at) * MS_PER_S
        frame = OutcomeQuery(attempt_id, member.incarnation, age_ms)
        try:
            return await link.call(frame, attempt_id)
        except PeerLinkError as error:
            self.links.note_failure(member)
            raise PeerSilentError(str(error)) from error

    def cancel(
        self,
        member: Member,
        attempt_id: str,
        is_waiting_only: bool = False,
    ) -> None:
        """Cancel an attempt whose outcome is no longer needed.

        :param member: node that serves the target.
        :param attempt_id: identifier of the attempt.
        :param is_waiting_only: whether an attempt that has reached its target
            continues.
        """
        if member.node_id == self.gate.identity.node_id:
            self.gate.cancel(attempt_id, is_waiting_only)
            return
        link = self.links.find_open(member)
        if link is None:
            return
        try:
            link.frames.send(Cancel(attempt_id, is_waiting_only))
        except PeerLinkError:
            link.close()


def _dispatch_frame(
    state: RequestState,
    member: Member,
    attempt_id: str,
    patience_s: float,
) -> Dispatch:
    request = state.request
    now = time.monotonic()
    remaining_s = request.deadline - now - RETURN_MARGIN_S
    due_ms = max(1, (request.due - now) * MS_PER_S) if request.due else 0
    return Dispatch(
        attempt_id,
        member.incarnation,
        request.method,
        request.path,
        request.headers,
        request.call_class.to_row(),
        round(remaining_s * MS_PER_S, 1),
        round(due_ms, 1),
        round(patience_s * MS_PER_S),
        state.fingerprint,
        len(request.body),
        request.body[:MAX_PART_BYTES],
    )
