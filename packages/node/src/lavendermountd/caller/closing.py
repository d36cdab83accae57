"""Causes for which a caller's connection ends, and the report of its end.

:errors: none are raised.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence
from enum import StrEnum

from lavendermount_core.utils.units import MS_PER_S
from lavendermountd.caller.exchange import CallExchange
from lavendermountd.caller.service import CallService

log = logging.getLogger(__name__)


class CloseCause(StrEnum):
    """Why a connection accepts no further request, or ended before that."""

    REQUEST = 'request'
    MALFORMED = 'malformed'
    IDLE_TIMEOUT = 'idle-timeout'
    HEADER_TIMEOUT = 'header-timeout'
    BODY_TIMEOUT = 'body-timeout'
    MEMORY = 'memory'
    STOPPING = 'stopping'
    CALLER = 'caller'
    PROCESS_END = 'process-end'
    FAILURE = 'failure'


def report_close(
    service: CallService, cause: CloseCause, unanswered: Sequence[CallExchange]
) -> None:
    """Count a connection that has ended, and log its requests that got no reply.

    :param unanswered: accepted requests whose reply was not written.
    """
    service.metrics.count_closed_connection(cause, len(unanswered))
    if cause == CloseCause.CALLER:
        return
    now = time.monotonic()
    for exchange in unanswered:
        log.warning(
            'request-unanswered',
            extra={
                'request': exchange.request_id,
                'cause': str(cause),
                'is_passed_on': exchange.is_passed_on,
                'elapsed_ms': round((now - exchange.arrived_at) * MS_PER_S),
                'is_stopping': service.is_stopping,
            },
        )
