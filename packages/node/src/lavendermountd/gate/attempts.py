"""Attempts to run a request on the node's own target.

:units: seconds on the node's monotonic clock.
"""

from __future__ import annotations

import asyncio
import time
from enum import IntEnum
from typing import Any

from returns.result import Result, Success

from lavendermount_core.models.calls import CallReply, CallRequest, Refusal
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.gate.ticket import Ticket

AttemptResult = Result[CallReply, Refusal]


class Progress(IntEnum):
    """Progress of an attempt; it only increases."""

    WAITING = 0
    WRITTEN = 1
    DONE = 2


class Attempt:
    """One attempt to run a request, from its arrival at the gate to its end.

    ``patience_s`` is the longest wait for a slot while another target may accept the
    request; 0 for no limit.

    :param attempt_id: identifier, unique in the cluster.
    :param request: the request, with its deadline on this node's clock.
    :param fingerprint: digest that identifies equal requests for crash
        suspicion.
    :param is_remote: whether the attempt arrived over a link from another node. Only
        the outcome of such an attempt is kept for a lookup, as the link may be lost.
    """

    __slots__ = (
        'attempt_id',
        'request',
        'fingerprint',
        'progress',
        'finished',
        'is_remote',
        'task',
        'target_start_number',
        'arrived_at',
        'started_at',
        'patience_s',
        'ticket',
    )

    def __init__(
        self,
        attempt_id: str,
        request: CallRequest,
        fingerprint: str,
        is_remote: bool = False,
    ) -> None:
        """Create an attempt of which nothing has been written yet."""
        self.is_remote = is_remote
        self.attempt_id = attempt_id
        self.request = request
        self.fingerprint = fingerprint
        self.progress = Progress.WAITING
        self.finished: asyncio.Future[AttemptResult] = asyncio.Future()
        self.task: asyncio.Task[Any] | None = None
        self.target_start_number = 0
        self.arrived_at = time.monotonic()
        self.started_at: float = 0
        self.patience_s: float = 0
        # Set once the attempt asks for a slot.
        self.ticket: Ticket | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the target may have received any byte of the request."""
        return self.progress != Progress.WAITING

    def finish(self, outcome: AttemptResult) -> None:
        """Mark the attempt as done and pass the outcome to pending lookups."""
        self.progress = Progress.DONE
        self.task = None
        if not self.finished.done():
            self.finished.set_result(outcome)


def outcome_label(outcome: AttemptResult) -> str:
    """Format an outcome for logs and records."""
    if isinstance(outcome, Success):
        return f'whole:{outcome.unwrap().status}'
    refusal = outcome.failure()
    return f'{refusal.outcome}:{refusal.reason}'


def wait_and_refusal(attempt: Attempt, outcome: AttemptResult) -> dict[str, object]:
    """Describe for the log why a request had to wait or was refused."""
    ticket = attempt.ticket
    refusal = None if isinstance(outcome, Success) else outcome.failure()
    return {
        'tenant': attempt.request.call_class.tenant,
        'waited_for': '' if ticket is None else ticket.wait_cause,
        'refused_because': '' if refusal is None else refusal.detail,
        'retry_after_ms': round(refusal.retry_after_s * MS_PER_S) if refusal else 0,
    }
