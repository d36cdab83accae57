"""Stand-in of the platform's store: a log with keyed topics, in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from http_io import encode_response, read_message

LENGTH = struct.Struct('>I')
READ_HEAD = struct.Struct('>QQ')
APPEND_S = 0.004


class Store:
    """The store; every topic has one partition and keeps all of its records."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.topics: dict[str, list[bytes]] = {}
        self.newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Listen for calls."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def put(self, topic: str, key: str, body: bytes) -> None:
        """Write a keyed record, as the operator does."""
        raw = bytes([len(key)]) + key.encode() + body
        self.append(topic, LENGTH.pack(len(raw)) + raw)

    def append(self, topic: str, payload: bytes) -> dict[str, int]:
        """Append records, each preceded by its length."""
        records = self.topics.setdefault(topic, [])
        offset = len(records)
        while payload:
            (size,) = LENGTH.unpack_from(payload)
            record = payload[LENGTH.size : LENGTH.size + size]
            payload = payload[LENGTH.size + size :]
            if topic.startswith('keyed.'):
                self.remember(topic, record, len(records))
            records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return {'offset': offset, 'end': len(records)}

    def remember(self, topic: str, record: bytes, offset: int) -> None:
        """Keep the newest record of a key; one without a value drops the key."""
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        by_key = self.newest.setdefault(topic, {})
        by_key.pop(key, None)
        if value:
            by_key[key] = (value, offset)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.target)
                query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
                status, body = await self.respond(url.path, query, request.body)
                writer.write(encode_response(status, [], body))
                await writer.drain()
                if request.closes:
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def respond(
        self, path: str, query: dict[str, str], payload: bytes
    ) -> tuple[int, bytes]:
        """Execute one call."""
        topic = query.get('topic', '')
        records = self.topics.setdefault(topic, [])
        if path == '/v1/log-append':
            await asyncio.sleep(APPEND_S)
            return 200, json.dumps(self.append(topic, payload)).encode()
        if path == '/v1/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (value, offset) in self.newest.get(topic, {}).items()
            ]
            page = {'items': items, 'has_more': False, 'end': len(records)}
            return 200, json.dumps(page).encode()
        if path == '/v1/log-read':
            return await self.read(query, records)
        return 404, b'{}'

    async def read(
        self, query: dict[str, str], records: list[bytes]
    ) -> tuple[int, bytes]:
        """Answer a read as soon as there is a record or the wait is over."""
        start = int(query['from'])
        if start > len(records):
            return 410, json.dumps({'first': 0}).encode()
        deadline = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while len(records) <= start and time.monotonic() < deadline:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                break
        rows = b''.join(LENGTH.pack(len(row)) + row for row in records[start:])
        return 200, READ_HEAD.pack(len(records), 0) + rows
