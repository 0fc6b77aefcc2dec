"""HTTP/1.1 over asyncio streams, as little of it as the stand-ins need."""

import asyncio
import dataclasses
import json

END_OF_HEAD = b'\r\n\r\n'
HEAD_LIMIT = 256 * 1024


@dataclasses.dataclass
class Message:
    """A request or an answer: its first line, headers and body."""

    first: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(' ')[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(' ')[1]

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(' ')[0]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, None if the connection ended before."""
    try:
        raw = await reader.readuntil(END_OF_HEAD)
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw[: -len(END_OF_HEAD)].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a message with its body, None if it did not come completely."""
    message = await read_head(reader)
    if message is None or not await read_body(reader, message):
        return None
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> bool:
    """Read the body of a message; return whether it came completely."""
    try:
        if message.headers.get('transfer-encoding', '') == 'chunked':
            message.body = await _read_chunks(reader)
        else:
            size = int(message.headers.get('content-length', '0'))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return False
    return True


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(parts)


def build(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return an encoded message with a length."""
    lines = [first]
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + END_OF_HEAD + body


def build_json(
    status: int, content: object, headers: dict[str, str] | None = None
) -> bytes:
    """Return an encoded answer with a JSON body."""
    first = f'HTTP/1.1 {status} X'
    named = {'Content-Type': 'application/json', **(headers or {})}
    return build(first, named, json.dumps(content).encode())


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write bytes and wait until there is room for more."""
    writer.write(data)
    await writer.drain()
