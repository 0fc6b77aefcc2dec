#    Licensed under the Apache License, Version 2.0 (the "License"); you may
#    not use this file except in compliance with the License. You may obtain
#    a copy of the License at
#
#         http://www.apache.org/licenses/LICENSE-2.0
#
#    Unless required by applicable law or agreed to in writing, software
#    distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
#    WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
#    License for the specific language governing permissions and limitations
#    under the License.

"""One HTTP/1.1 connection to an upstream or platform service."""

import asyncio
from collections.abc import AsyncIterator
import ssl

import h11

from lifttrestle.errors import UpstreamBrokeOff
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.head import decode_headers
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead

# Answers to earlier requests that are skipped before a connection is given
# up as broken.
MAX_SKIPPED = 4


class ClientConnection:
    """Carries one exchange at a time and knows if it may carry another."""

    def __init__(
        self,
        address: Address,
        stream: ByteStream,
    ) -> None:
        self.address = address
        self._stream = stream
        self._wire = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._skipped = 0
        self.exchanges = 0

    @classmethod
    async def open(
        cls,
        address: Address,
        connect_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> 'ClientConnection':
        """Connect to ``address``.

        :raises UpstreamConnectFailed: if there is no connection in time;
            then nothing was sent.
        """
        try:
            async with asyncio.timeout(connect_seconds):
                stream = await ByteStream.open(address, tls)
        except (OSError, TimeoutError) as error:
            raise UpstreamConnectFailed(
                f'no connection to {address}: {error or "timed out"}',
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return cls(address, stream)

    @property
    def reusable(self) -> bool:
        """Return whether the last answer ended, and nothing came after."""
        return (
            self._wire.our_state is h11.IDLE
            and not self._wire.trailing_data[0]
            and self._stream.quiet
        )

    async def send_request(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request.

        :raises UpstreamLost: if the connection broke while sending.
        """
        self.exchanges += 1
        names = {name for name, _ in head.headers}
        headers = list(head.headers)
        if 'host' not in names:
            headers.insert(0, ('host', str(self.address)))
        if body or head.method in ('POST', 'PUT', 'PATCH'):
            headers.append(('content-length', str(len(body))))
        request = h11.Request(
            method=head.method, target=head.target, headers=headers
        )
        try:
            data = self._wire.send(request) or b''
            if body:
                data += self._wire.send(h11.Data(data=body)) or b''
            data += self._wire.send(h11.EndOfMessage()) or b''
            self._request = request
            await self._stream.write(data)
        except (OSError, h11.ProtocolError) as error:
            raise UpstreamBrokeOff(
                f'{self.address} broke off while a request was sent: {error}'
            ) from error

    async def read_head(self) -> ResponseHead:
        """Return the head of the final answer.

        :raises UpstreamLost: if the connection ended before.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return ResponseHead(
                    event.status_code, decode_headers(event.headers)
                )
            raise UpstreamBrokeOff(f'{self.address} closed without an answer')

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive, to the explicit end.

        :raises UpstreamLost: if the body was cut short.
        """
        while data := await self.read_part():
            yield data

    async def read_part(self) -> bytes:
        """Return the next part of the body, or nothing at its explicit end.

        It may be cancelled and called again.

        :raises UpstreamLost: if the body was cut short.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self._finish()
                return b''
            raise UpstreamBrokeOff(f'{self.address} cut its answer short')

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        :raises UpstreamLost: if it was cut short or is over ``limit`` bytes.
        """
        parts: list[bytes] = []
        size = 0
        async for part in self.iterate_body():
            size += len(part)
            if size > limit:
                raise UpstreamLost(
                    f'{self.address} answered with over {limit} bytes'
                )
            parts.append(part)
        return b''.join(parts)

    async def skip_answer(self, limit: int) -> None:
        """Drop the current answer, which belongs to an earlier request.

        What follows it is then read as the answer to the current request.

        :raises UpstreamLost: if it has no end, or too many were skipped.
        """
        self._skipped += 1
        if self._skipped > MAX_SKIPPED or self._request is None:
            raise UpstreamLost(f'{self.address} answers other requests')
        request = self._request
        await self.read_body(limit)
        rest, closed = self._wire.trailing_data
        self._wire = h11.Connection(h11.CLIENT)
        # The library reads an answer only after it has sent a request.
        self._wire.send(request)
        if dict(request.headers).get(b'content-length'):
            size = int(dict(request.headers)[b'content-length'])
            self._wire.send(h11.Data(data=bytes(size)))
        self._wire.send(h11.EndOfMessage())
        if rest:
            self._wire.receive_data(rest)
        if closed:
            self._wire.receive_data(b'')

    def close(self) -> None:
        """Cut the connection at once."""
        self._stream.abort()

    def _finish(self) -> None:
        both = (self._wire.our_state, self._wire.their_state)
        if both == (h11.DONE, h11.DONE):
            self._wire.start_next_cycle()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._wire.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._wire.receive_data(await self._stream.read())
            except (OSError, h11.ProtocolError) as error:
                raise UpstreamBrokeOff(
                    f'{self.address} broke off its answer: {error}'
                ) from error
