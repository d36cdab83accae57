"""Adapter for a log with an HTTP interface and long polling.

:source: ``tornado.httpclient``; each request uses a new connection, so that an
    unresponsive connection cannot delay the next request.
:errors: ``LogUnavailableError`` and ``LogEvictedError``.
"""

from __future__ import annotations

from functools import partial

from tornado import httpclient

from lavendermount_core.exceptions import (
    LogEvictedError,
    LogUnavailableError,
    RecordError,
)
from lavendermount_core.log.adapter import (
    LogAdapter,
    LogBatch,
    LogRecord,
    join_position,
    log_adapters,
    offset_of,
)
from lavendermount_core.log.transfer import Transfer
from lavendermount_core.models.records import unpack
from lavendermount_core.utils.units import MS_PER_S

GONE = 410
MAX_CLIENTS = 128
# Time after which the client ends a read whose silence was too long.
MAX_TRANSFER_S = 30.0
ERA_HEADER = 'Log-Era'


@log_adapters.register('http')
class HttpLog(LogAdapter):
    """Client of the log's HTTP interface.

    :param url: base URL of the log.
    :param timeout_s: timeout of a request in seconds, in addition to the wait of
        a read. Reads that report their progress may take longer, as long as the log
        is not silent for that time.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        """Create the HTTP client; no connection is opened yet."""
        super().__init__()
        self.url = url.rstrip('/')
        self.timeout_s = timeout_s
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
        )

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record with a POST request."""
        response = await self.fetch(
            httpclient.HTTPRequest(
                self.stream_url(stream),
                method='POST',
                body=body,
                request_timeout=self.timeout_s,
                connect_timeout=self.timeout_s,
            ),
        )
        return join_position(self.era, _parse_offset(response.body))

    async def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        transfer: Transfer | None = None,
    ) -> LogBatch:
        """Read records with a GET request.

        The log may hold the response back for up to the wait time.
        """
        query = f'?offset={offset_of(offset)}&wait_ms={int(wait_s * MS_PER_S)}'
        request = httpclient.HTTPRequest(
            self.stream_url(stream) + query,
            request_timeout=self.timeout_s + wait_s,
            connect_timeout=self.timeout_s,
        )
        if transfer is None:
            response = await self.fetch(request)
            body = response.body
        else:
            response, body = await self.fetch_parts(request, wait_s, transfer)
        if response.code == GONE:
            raise LogEvictedError(stream, join_position(self.era, _parse_offset(body)))
        batch = _parse_batch(body, self.era)
        self.check_position(stream, offset, batch.oldest)
        return batch

    async def fetch_parts(
        self, request: httpclient.HTTPRequest, wait_s: float, transfer: Transfer
    ) -> tuple[httpclient.HTTPResponse, bytes]:
        """Send a request to the log, limited by the silence of the log.

        :param request: the request.
        :param wait_s: how long the log may hold the response back.
        :param transfer: is told of the parts of the body as they arrive.
        :raises LogUnavailableError: as ``fetch`` does, or if the silence was too long.
        :returns: the response, and its body.
        """
        parts: list[bytes] = []
        request.streaming_callback = partial(_receive_part, parts, transfer)
        request.request_timeout = wait_s + MAX_TRANSFER_S
        try:
            async with transfer.limit(wait_s, self.timeout_s):
                response = await self.fetch(request)
        except TimeoutError as error:
            raise LogUnavailableError(f'log at {self.url}: no answer') from error
        return response, b''.join(parts)

    def stream_url(self, stream: str) -> str:
        """Return the URL of a stream."""
        return f'{self.url}/streams/{stream}'

    async def fetch(
        self,
        request: httpclient.HTTPRequest,
    ) -> httpclient.HTTPResponse:
        """Send a request to the log.

        :raises LogUnavailableError: if there is no response, or its status
            is neither 200 nor ``GONE``.
        :returns: a response with the status 200 or ``GONE``.
        """
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise LogUnavailableError(f'log at {self.url}: {error}') from error
        self.check_era(response.headers.get(ERA_HEADER, ''))
        if response.code in {200, GONE}:
            return response
        raise LogUnavailableError(f'log at {self.url}: status {response.code}')


def _receive_part(parts: list[bytes], transfer: Transfer, part: bytes) -> None:
    parts.append(part)
    transfer.note_received(len(part))


def _parse_offset(body: bytes) -> int:
    try:
        return int(body)
    except ValueError as error:
        raise LogUnavailableError('log returned a malformed offset') from error


def _parse_batch(body: bytes, era: int) -> LogBatch:
    try:
        oldest, next_offset, end, rows = unpack(body)
        records = [
            LogRecord(join_position(era, offset), bytes(record))
            for offset, record in rows
        ]
        return LogBatch(
            join_position(era, oldest),
            join_position(era, next_offset),
            join_position(era, end),
            records,
        )
    except (RecordError, ValueError, TypeError) as error:
        raise LogUnavailableError('log returned a malformed batch') from error
