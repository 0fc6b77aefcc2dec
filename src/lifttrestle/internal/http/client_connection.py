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

"""HTTP/1.1 client connections to upstreams and platform services."""

import asyncio
from collections.abc import AsyncIterator
import ssl

import h11

from lifttrestle.errors import PathLost
from lifttrestle.errors import UpstreamBrokeOff
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import UpstreamPathLost
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.body_parts import split_body
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.head import decode_headers
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.http.memory_budget import AnswerHold
from lifttrestle.internal.http.part_counter import PartCounter
from lifttrestle.internal.http.request_replay import replay_request
from lifttrestle.internal.http.request_tags import RequestTags
from lifttrestle.internal.http.stream import Stream

# Most answers to earlier requests that are skipped on one connection before it
# counts as broken.
MAX_SKIPPED_ANSWERS = 4
# Most interim answers to one request; more are no sign of progress.
MAX_INTERIM_ANSWERS = 100
MAX_JOINED_PARTS = 64


class ClientConnection:
    """HTTP/1.1 connection that carries one exchange at a time.

    :ivar exchanges: number of requests sent, including the current one.
    :ivar tags: those of the requests that it has carried.
    :ivar via: key of the router that forwards it, or an empty string.
    """

    def __init__(
        self,
        address: Address,
        stream: Stream,
        *,
        via: str = '',
    ) -> None:
        self.address = address
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._skipped = 0
        # Interim answers to the current request.
        self._interim = 0
        # Parts of the body of the current answer.
        self._parts = PartCounter()
        # An event that was taken from h11 and not returned yet.
        self._taken: object = None
        # Limit on the rest of an answer that is being skipped, or None.
        self._skip_limit: int | None = None
        self.exchanges = 0
        self.tags = RequestTags()
        self.via = via

    @classmethod
    async def open(
        cls,
        address: Address,
        connect_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> 'ClientConnection':
        """Connect to ``address``.

        :raises UpstreamConnectFailed: if connecting fails or takes longer than
            ``connect_seconds``; no request has been sent then.
        """
        try:
            async with ReadTimeout(connect_seconds):
                stream = await ByteStream.open(address, tls)
        except (OSError, TimeoutError) as error:
            raise UpstreamConnectFailed(
                f'cannot connect to {address}: {str(error) or "timed out"}',
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return cls(address, stream)

    @property
    def reusable(self) -> bool:
        """Return whether it is open, and the last exchange is complete.

        Bytes received after the end of the answer make it unusable.
        """
        return (
            self._h11.our_state is h11.IDLE
            and not self.tags.is_full
            and not self._h11.trailing_data[0]
            and self._stream.is_idle
        )

    async def send_request(self, head: RequestHead, body: bytes) -> None:
        """Send a complete request.

        ``Host``, if absent, and ``Content-Length`` are added.

        :raises UpstreamLost: if the connection was lost while sending.
        """
        self.exchanges += 1
        self._interim = 0
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
            data = self._h11.send(request) or b''
            self._request = request
            await self._send_with_body(data, body)
        except PathLost as error:
            raise self._make_path_error(error) from error
        except (OSError, h11.ProtocolError) as error:
            raise UpstreamBrokeOff(
                f'{self.address} broke off while a request was sent: {error}'
            ) from error

    async def _send_with_body(self, data: bytes, body: bytes) -> None:
        """Send a head and a body, in one write if the body is small."""
        for number, part in enumerate(split_body(body)):
            if number:
                await self._stream.write(data)
                data = b''
            if part:
                data += self._h11.send(h11.Data(data=part)) or b''
        data += self._h11.send(h11.EndOfMessage()) or b''
        await self._stream.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the final answer, skipping interim ones.

        It may be cancelled and called again without losing bytes, also while
        ``skip_answer`` has not ended.

        :raises UpstreamLost: if the connection was closed or lost before, or
            if more than ``MAX_INTERIM_ANSWERS`` interim answers came.
        """
        if self._skip_limit is not None:
            await self._finish_skip(self._skip_limit)
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._count_interim()
                continue
            if isinstance(event, h11.Response):
                self._parts.reset()
                return ResponseHead(
                    event.status_code, decode_headers(event.headers)
                )
            raise UpstreamBrokeOff(f'{self.address} closed without an answer')

    def _count_interim(self) -> None:
        self._interim += 1
        if self._interim > MAX_INTERIM_ANSWERS:
            raise UpstreamLost(f'{self.address} sent only interim answers')

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        :raises UpstreamLost: if the body ended early.
        """
        while data := await self.read_part():
            yield data

    async def read_part(self) -> bytes:
        """Return the next part of the body.

        It may be cancelled and called again without losing bytes.

        :return: what has been received, or empty at the end that the message
            framing declares.
        :raises UpstreamLost: if the body ended early, or arrives in too many
            small parts.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if data := self._join_received(event):
                    return data
                continue
            if isinstance(event, h11.EndOfMessage):
                self._finish()
                return b''
            raise UpstreamBrokeOff(f'{self.address} ended its answer early')

    def _join_received(self, event: object) -> bytes:
        """Return the data of an event and of those received after it."""
        parts: list[bytes] = []
        while isinstance(event, h11.Data) and len(parts) < MAX_JOINED_PARTS:
            self._parts.add(len(event.data))
            parts.append(bytes(event.data))
            event = self._take_received()
        if event is not h11.NEED_DATA:
            self._taken = event
        return b''.join(parts)

    def _take_received(self) -> object:
        """Return the next event if no read is needed for it."""
        try:
            return self._h11.next_event()
        except h11.ProtocolError:
            # It raises again at the next call.
            return h11.NEED_DATA

    def note_parts_used(self) -> None:
        """Record that the parts of the body read so far were of use."""
        self._parts.reset()

    async def read_body(
        self, limit: int, hold: AnswerHold | None = None
    ) -> bytes:
        """Return the complete body.

        :param hold: the account of this answer in a common bound.
        :raises UpstreamLost: if it ended early, exceeds ``limit`` bytes or had
            to give way to other answers.
        """
        parts: list[bytes] = []
        try:
            async for part in self._iterate_limited(limit):
                parts.append(part)
                if hold is not None:
                    hold.resize(hold.size + len(part))
            return b''.join(parts)
        finally:
            # An error keeps this frame alive while its request goes on.
            parts.clear()

    async def discard_body(self, limit: int) -> None:
        """Read the body to its end without keeping it.

        :raises UpstreamLost: if it ended early or exceeds ``limit`` bytes.
        """
        async for _ in self._iterate_limited(limit):
            pass

    async def _iterate_limited(self, limit: int) -> AsyncIterator[bytes]:
        size = 0
        async for part in self.iterate_body():
            size += len(part)
            if size > limit:
                raise UpstreamLost(
                    f'{self.address} answered with more than {limit} bytes'
                )
            yield part

    async def skip_answer(self, limit: int) -> None:
        """Discard the current answer, which belongs to an earlier request.

        The next answer is then read as that to the current request.

        :param limit: most bytes of the body to discard.
        :raises UpstreamLost: if the body exceeds ``limit`` or ends early, or
            if more than ``MAX_SKIPPED_ANSWERS`` answers were skipped.
        """
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_ANSWERS or self._request is None:
            raise UpstreamLost(
                f'{self.address} sent answers to other requests'
            )
        self._skip_limit = limit
        await self._finish_skip(limit)

    async def _finish_skip(self, limit: int) -> None:
        request = self._request
        assert request is not None, 'only answers to requests are skipped'
        await self.discard_body(limit)
        self._skip_limit = None
        rest, closed = self._h11.trailing_data
        self._h11 = replay_request(request, rest, closed=closed)

    def close(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        self._stream.abort()

    def _finish(self) -> None:
        states = (self._h11.our_state, self._h11.their_state)
        if states == (h11.DONE, h11.DONE):
            self._h11.start_next_cycle()

    def _make_path_error(self, error: PathLost) -> UpstreamPathLost:
        return UpstreamPathLost(
            f'the path to {self.address} through {self.via} was lost: {error}'
        )

    async def _next_event(self) -> object:
        while True:
            if isinstance(self._taken, h11.Data):
                # More may have been received than other tasks can wait for.
                await asyncio.sleep(0)
            try:
                event, self._taken = self._taken, None
                if event is None:
                    event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._h11.receive_data(await self._stream.read())
            except PathLost as error:
                raise self._make_path_error(error) from error
            except (OSError, h11.ProtocolError) as error:
                raise UpstreamBrokeOff(
                    f'{self.address} broke off its answer: {error}'
                ) from error
