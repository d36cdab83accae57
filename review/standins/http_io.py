"""Reading and writing of HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio


class Message:
    """A request or a response, with its body decoded."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str:
        """Return the first header of that name; empty if there is none."""
        for other, text in self.headers:
            if other.lower() == name.lower():
                return text
        return ''

    def all_headers(self, name: str) -> list[str]:
        """Return every header of that name."""
        return [text for other, text in self.headers if other.lower() == name.lower()]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(' ')[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(' ')[1])

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        return 'close' in self.header('Connection').lower()


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; ``None`` if the connection ended before its first byte.

    :raises ConnectionError: if the connection ends inside a message.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('the message ended early') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers.append((name.strip(), text.strip()))
    message = Message(lines[0], headers, b'')
    try:
        message.body = await _read_body(reader, message)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError('the body ended early') from error
    return message


async def _read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    if 'chunked' in message.header('Transfer-Encoding').lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:size])
    length = message.header('Content-Length')
    return await reader.readexactly(int(length)) if length else b''


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Encode a request; a body gets a ``Content-Length``."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method in {'POST', 'PUT'}:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


PHRASES = {
    200: 'OK',
    404: 'Not Found',
    410: 'Gone',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Encode a response with a ``Content-Length``."""
    lines = [f'HTTP/1.1 {status} {PHRASES.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body
