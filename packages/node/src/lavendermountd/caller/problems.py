"""Replies that the system makes itself, as problem documents.

:source: RFC 9457; Retry-After from RFC 9110, section 10.2.3.
"""

from __future__ import annotations

import json
import math
from types import MappingProxyType

from lavendermount_core.structure.calls import CallReply, Reason, Refusal
from lavendermount_core.utils.units import MS_PER_S

PROBLEM_MEDIA_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:lavendermount:problem:'
UNKNOWN_STATUS = 502
NOT_RUN_STATUS = 503
STATUS_BY_REASON = MappingProxyType(
    {
        Reason.MALFORMED: 400,
        Reason.NO_ROUTE: 404,
        Reason.CLAIMED: 409,
        Reason.TOO_LARGE: 413,
        Reason.HEAD_TOO_LARGE: 431,
    }
)
UNKNOWN_DEADLINE_STATUS = 504
TITLE_BY_OUTCOME = MappingProxyType(
    {
        'not-run': 'The request was not run',
        'unknown': 'The request may have been run',
    }
)


def status_of(refusal: Refusal) -> int:
    """Choose the HTTP status of a refusal."""
    by_reason = STATUS_BY_REASON.get(Reason(refusal.reason))
    if by_reason is not None:
        return by_reason
    if refusal.is_not_run:
        return NOT_RUN_STATUS
    if refusal.reason == Reason.DEADLINE:
        return UNKNOWN_DEADLINE_STATUS
    return UNKNOWN_STATUS


def problem_reply(refusal: Refusal, request_id: str) -> CallReply:
    """Build the reply that tells a caller of a refusal.

    :param refusal: why there is no reply of a target.
    :param request_id: identifier to explain it by.
    :returns: a problem document, with Retry-After where coming back helps.
    """
    status = status_of(refusal)
    retry_after_ms = int(refusal.retry_after_s * MS_PER_S)
    document = {
        'type': TYPE_PREFIX + refusal.reason,
        'title': TITLE_BY_OUTCOME[refusal.outcome],
        'status': status,
        'detail': refusal.detail,
        'outcome': refusal.outcome,
        'reason': refusal.reason,
        'request_id': request_id,
        'retry_after_ms': retry_after_ms,
    }
    headers = [
        ('Content-Type', PROBLEM_MEDIA_TYPE),
        ('X-Outcome', refusal.outcome),
        ('Cache-Control', 'no-store'),
    ]
    if retry_after_ms:
        seconds = math.ceil(refusal.retry_after_s)
        headers.append(('Retry-After', str(seconds)))
    body = json.dumps(document).encode()
    return CallReply(status, TITLE_BY_OUTCOME[refusal.outcome], headers, body)
