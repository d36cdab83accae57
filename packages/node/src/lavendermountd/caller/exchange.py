"""One request of a caller and the reply to it.

:units: seconds on the node's monotonic clock; milliseconds in logs.
:errors: none are raised; every failure becomes a refusal in the dialect of the
    caller.
"""

from __future__ import annotations

import asyncio
import logging
import time
from http import HTTPStatus
from types import MappingProxyType
from typing import cast

from returns.result import Success

from lavendermount_core.models.calls import (
    CallClass,
    CallReply,
    CallRequest,
    Reason,
    Refusal,
    not_run_refusal,
    unknown_refusal,
)
from lavendermount_core.utils.digests import random_identifier
from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.caller.classification import Classification, classify
from lavendermountd.caller.headers import drop_hop_by_hop
from lavendermountd.caller.service import CallService
from lavendermountd.gate.attempts import AttemptResult
from lavendermountd.http1.messages import WireRequest, header_text
from lavendermountd.presets.holder import InForcePreset
from lavendermountd.stop_schedule import stopping_refusal

log = logging.getLogger(__name__)

NO_PRESET_RETRY_S = 0.5
NO_MEMORY_RETRY_S = 1.0
REFUSAL_BY_STATUS = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: (Reason.MALFORMED, 'the request is malformed'),
        HTTPStatus.REQUEST_TIMEOUT: (
            Reason.REQUEST_TIMEOUT,
            'the body did not arrive in time',
        ),
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: (
            Reason.TOO_LARGE,
            'the body is too large',
        ),
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: (
            Reason.HEAD_TOO_LARGE,
            'the head is too large',
        ),
        HTTPStatus.SERVICE_UNAVAILABLE: (
            Reason.NO_MEMORY,
            'the node has no memory for the body now',
        ),
    },
)


class CallExchange:
    """Produces the reply to one request.

    :param service: handles the requests.
    :param request: the request as received.
    """

    __slots__ = (
        'service',
        'request',
        'metadata',
        'request_id',
        'arrived_at',
        'call_class',
        'routed',
        'end_refusal',
        'task',
    )

    def __init__(self, service: CallService, request: WireRequest) -> None:
        """Start to handle the request in a separate task."""
        self.service = service
        self.request = request
        self.metadata = service.dialect.read_call_metadata(request.headers)
        self.request_id = self.metadata.request_id or random_identifier()
        self.arrived_at = request.received_at
        self.call_class: CallClass | None = None
        # What the router gets; ``None`` until the request is classified.
        self.routed: CallRequest | None = None
        # Set if the node ends before the request has an outcome.
        self.end_refusal: Refusal | None = None
        self.task = asyncio.create_task(self.serve())
        service.active_tasks.add(self.task)
        self.task.add_done_callback(service.active_tasks.discard)

    @property
    def is_passed_on(self) -> bool:
        """Return whether an attempt of the request is in progress."""
        return self.service.router.is_in_progress(self.request_id)

    def abandon(self) -> None:
        """Abandon a request whose caller has disconnected.

        A repeatable request is cancelled at any stage. Any other request that
        has reached a target continues, since it may already be running there;
        one that still waits is not started.
        """
        if self.task.done():
            return
        log.info('request-abandoned', extra={'request': self.request_id})
        if self.call_class is None or self.call_class.is_repeatable:
            self.task.cancel()
            return
        self.service.router.abandon(self.request_id)

    def end(self) -> None:
        """Answer a request that a stopping node can't complete.

        A malformed or incomplete one is being refused already.
        """
        is_refused = self.request.error_status or self.end_refusal is not None
        if self.task.done() or is_refused:
            return
        self.end_refusal = stopping_refusal()
        if self.routed is not None and self.service.may_have_run(self.routed):
            self.end_refusal = unknown_refusal(
                Reason.STOPPING, 'the node stopped before the target answered'
            )
        self.service.router.abandon(self.request_id)
        self.task.cancel()

    def find_reply(self) -> CallReply | None:
        """Return the reply once the task is done; ``None`` if it was abandoned."""
        if not self.task.cancelled():
            return self.task.result()
        return None if self.end_refusal is None else self.refuse(self.end_refusal)

    async def serve(self) -> CallReply:
        """Handle the request; an unexpected exception becomes a refusal.

        :returns: the target's reply or a refusal.
        """
        try:
            return await self.build_reply()
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception('request-failed', extra={'request': self.request_id})
            return self.refuse(unknown_refusal(Reason.INTERNAL, 'the node failed'))
        finally:
            # The reply may be written for a long time.
            self.request.body = b''

    async def build_reply(self) -> CallReply:
        """Validate, classify and route the request.

        :returns: the target's reply or a refusal.
        """
        await self.service.wait_until_caught_up()
        preset = self.service.holder.current
        refusal = self.validate_request()
        if refusal is not None or preset is None:
            return self.refuse(refusal or _no_preset_refusal())
        classification = classify(preset, self.request, self.metadata)
        if isinstance(classification, Refusal):
            return self.refuse(classification)
        self.call_class = classification.call_class
        request = self.to_request(classification, preset)
        self.routed = request
        refusal = self.service.refusal_at_stop(self.arrived_at, request.deadline)
        if refusal is not None:
            return self.refuse(refusal)
        outcome = await self.service.handle_request(
            request, preset, classification.tenant
        )
        self.record_metrics(classification.call_class, outcome)
        if isinstance(outcome, Success):
            return self.forward_reply(cast('CallReply', outcome.unwrap()))
        return self.refuse(outcome.failure())

    def validate_request(self) -> Refusal | None:
        """Return a refusal if the request is malformed or exceeds a limit."""
        error_status = self.request.error_status
        if error_status:
            reason, detail = REFUSAL_BY_STATUS[HTTPStatus(error_status)]
            retry_after_s = NO_MEMORY_RETRY_S if reason == Reason.NO_MEMORY else 0
            return not_run_refusal(reason, detail, retry_after_s)
        if not self.request.target.startswith('/'):
            return not_run_refusal(Reason.MALFORMED, 'the path is malformed')
        return None

    def to_request(
        self, classification: Classification, preset: InForcePreset
    ) -> CallRequest:
        """Build the request to route."""
        dialect = self.service.dialect
        due = (
            classification.target_ms
            and self.arrived_at + classification.target_ms / MS_PER_S
        )
        return CallRequest(
            self.request_id,
            self.request.method,
            self.request.target,
            dialect.forwarded_headers(
                drop_hop_by_hop(self.request.headers),
                self.request_id,
                self.service.origin,
                _forwarded_tenant(classification, preset),
            ),
            self.request.body,
            classification.call_class,
            self.arrived_at + classification.deadline_ms / MS_PER_S,
            due,
            classification.attempts,
            classification.allowed_regions,
            self.service.origin,
        )

    def record_metrics(self, call_class: CallClass, outcome: AttemptResult) -> None:
        """Record the outcome and the elapsed time in the metrics."""
        elapsed_s = time.monotonic() - self.arrived_at
        self.service.metrics.observe_call(call_class, elapsed_s, outcome)

    def forward_reply(self, reply: CallReply) -> CallReply:
        """Build the caller's reply from the reply of a target."""
        headers = self.service.dialect.returned_headers(reply.headers, self.request_id)
        return CallReply(reply.status, reply.reason, headers, reply.body)

    def refuse(self, refusal: Refusal) -> CallReply:
        """Log a refusal and build its reply in the dialect of the caller."""
        log.info(
            'request-refused',
            extra={
                'request': self.request_id,
                'revision': self.service.holder.revision,
                'outcome': refusal.outcome,
                'reason': refusal.reason,
                'detail': refusal.detail,
                'retry_after_s': round(refusal.retry_after_s, 3),
                'elapsed_ms': round((time.monotonic() - self.arrived_at) * MS_PER_S),
            },
        )
        return self.service.dialect.refusal_reply(refusal, self.request_id)


def _forwarded_tenant(
    classification: Classification, preset: InForcePreset
) -> str | None:
    """Return the tenant to name to the target; ``None`` without tenants."""
    if preset.tenants.is_empty:
        return None
    tenant = classification.tenant
    return '' if tenant is None else header_text(tenant.name)


def _no_preset_refusal() -> Refusal:
    return not_run_refusal(
        Reason.NO_PRESET, 'no preset is in force yet', NO_PRESET_RETRY_S
    )
