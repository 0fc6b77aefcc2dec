"""A client that keeps its connection, or opens one for each request."""

import asyncio
import dataclasses

from . import wire


@dataclasses.dataclass
class Outcome:
    """How a request ended.

    :ivar status: 0 if there was no complete answer.
    :ivar begun: whether the head of an answer came.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes = b''
    begun: bool = True


class Client:
    """One connection to a router."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._begun = False

    async def call(
        self,
        method: str,
        target: str,
        request_id: str,
        headers: dict[str, str],
        body: bytes = b'',
        seconds: float = 20.0,
    ) -> Outcome:
        """Send a request and return how it ended."""
        self._begun = False
        try:
            async with asyncio.timeout(seconds):
                answer = await self._exchange(
                    method, target, request_id, headers, body
                )
        except (OSError, TimeoutError):
            answer = None
        if answer is None:
            self.close()
            return Outcome(request_id, 0, {}, begun=self._begun)
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
        return Outcome(request_id, answer.status, answer.headers, answer.body)

    async def _exchange(
        self,
        method: str,
        target: str,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
    ) -> wire.Message | None:
        if self._writer is None or self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        named = {'Host': 'h.example', 'Request-Id': request_id, **headers}
        data = wire.build(f'{method} {target} HTTP/1.1', named, body)
        await wire.send(self._writer, data)
        answer = await wire.read_head(self._reader)
        if answer is None:
            return None
        self._begun = True
        return answer if await wire.read_body(self._reader, answer) else None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
