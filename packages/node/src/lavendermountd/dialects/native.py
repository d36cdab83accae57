"""The native dialect: problem details documents and ``X-Request-Id``.

:units: milliseconds for deadlines.
"""

from __future__ import annotations

from lavendermount_core.models.calls import (
    CallReply,
    CallRequest,
    Headers,
    Refusal,
)
from lavendermount_core.utils.digests import random_identifier
from lavendermountd.caller.headers import drop_headers
from lavendermountd.caller.problems import problem_reply
from lavendermountd.dialects.base import CallMetadata, Dialect, ReplyMetadata, dialects
from lavendermountd.http1.messages import find_header, is_decimal

REQUEST_ID_HEADER = 'X-Request-Id'
DEADLINE_HEADER = 'X-Deadline-Ms'
DIALECT_HEADERS = frozenset(('expect', 'x-request-id', 'x-deadline-ms'))
DIALECT_REPLY_HEADERS = frozenset(('x-request-id',))


@dialects.register('native')
class NativeDialect(Dialect):
    """Assigns request identifiers; targets may repeat them in their replies."""

    def read_call_metadata(self, headers: Headers) -> CallMetadata:
        """Read the deadline; an identifier sent by the caller is ignored."""
        text = find_header(headers, DEADLINE_HEADER.lower())
        return CallMetadata('', int(text) if is_decimal(text) else None)

    def forwarded_headers(
        self,
        headers: Headers,
        request_id: str,
        origin: str,
        tenant: str | None = None,
    ) -> Headers:
        """Add the request identifier, and ``traceparent`` if it is missing."""
        kept = drop_headers(headers, DIALECT_HEADERS)
        kept.append((REQUEST_ID_HEADER, request_id))
        if not find_header(kept, 'traceparent'):
            trace_id = random_identifier() + request_id
            kept.append(('traceparent', f'00-{trace_id}-{request_id}-01'))
        return kept

    def target_headers(
        self,
        request: CallRequest,
        remaining_ms: int,
        instance: str,
    ) -> Headers:
        """Add the time left until the deadline."""
        return [(DEADLINE_HEADER, str(remaining_ms))]

    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Read the request identifier, which targets may repeat in their replies.

        It tells a late second copy of a reply from that to the next request.
        """
        return ReplyMetadata(find_header(headers, REQUEST_ID_HEADER.lower()))

    def returned_headers(self, headers: Headers, request_id: str) -> Headers:
        """Add the request identifier."""
        kept = drop_headers(headers, DIALECT_REPLY_HEADERS)
        kept.append((REQUEST_ID_HEADER, request_id))
        return kept

    def refusal_reply(self, refusal: Refusal, request_id: str) -> CallReply:
        """Build a problem details document."""
        return problem_reply(refusal, request_id)
