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

"""Reads the requests of one caller."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import h11

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.body_buffer import BodyBuffer
from lifttrestle.internal.http.caller_stream import CallerStream
from lifttrestle.internal.http.head import decode_headers
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head_checks import check_head
from lifttrestle.internal.http.head_checks import make_body_refusal
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.turns import Turns
from lifttrestle.internal.refusal.kind import ErrorKind

STATUS_HEAD_TOO_LARGE = 431
# About half a millisecond of parsing.
EVENTS_PER_TURN = 64
LACK_RETRY_SECONDS = 1.0


class RequestReader:
    """Reads heads and bodies, within the limits of a server.

    :param protocol: state of the connection, which the answers use too.
    :param turns: those of all connections of the server.
    :ivar requests: how many heads were read.
    :ivar awaits_request: whether it awaits the first byte of a request.
    :ivar must_close: whether the position in the byte stream is unknown.
    :ivar began_at: when the current read began, in monotonic seconds.
    :ivar lack: what there was none of, once a request had to give way.
    """

    def __init__(
        self,
        stream: CallerStream,
        protocol: h11.Connection,
        limits: HttpLimits,
        turns: Turns,
    ) -> None:
        self._stream = stream
        self._h11 = protocol
        self._limits = limits
        self._turns = turns
        self._body = BodyBuffer()
        # Events since the last turn.
        self._events = 0
        # Whether the current request had arrived when the last one ended.
        self._is_ahead = False
        # Set while a request is being received.
        self._timeout: ReadTimeout | None = None
        self.requests = 0
        self.awaits_request = False
        self.must_close = False
        self.began_at = 0.0
        self.lack = ''

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request is awaited."""
        return self._timeout is not None

    @property
    def held(self) -> int:
        """Return the bytes that were read and are not used yet."""
        return len(self._h11.trailing_data[0]) + self._body.size

    async def read_head(self) -> RequestHead | None:
        """Return the head of the next request.

        :return: None if no request follows: the caller closed or reset the
            connection, or it was idle for too long.
        :raises RequestRefused: if the head is malformed, too large or slow, or
            had to give way.
        """
        has_parsed = bool(self._h11.trailing_data[0])
        self._is_ahead = has_parsed or self._stream.has_unread
        if not has_parsed and not await self._wait_for_bytes():
            return None
        event = self._parse()
        if event is h11.NEED_DATA:
            event = await self._wait_for_head()
        if not isinstance(event, h11.Request):
            return None
        self.requests += 1
        head = RequestHead(
            event.method.decode('ascii'),
            event.target.decode('latin-1'),
            decode_headers(event.headers),
        )
        try:
            check_head(head, self._limits)
        except RequestRefused:
            self.must_close = True
            raise
        return head

    async def take_turn_if_ahead(self) -> None:
        """Let others go first if the current request was sent ahead."""
        if self._is_ahead:
            await self._turns.take()

    async def read_body(self) -> bytes:
        """Return the complete body of the current request.

        :raises RequestRefused: if the body is malformed, too large or slow, or
            had to give way.
        """
        self._stream.expect_body()
        try:
            async with self._limit(self._limits.body_seconds):
                await self._collect_body()
            return self._body.take()
        except TimeoutError:
            raise self._make_refusal(
                f'the body stopped after {self._body.size} bytes and was not'
                f' complete within {self._limits.body_seconds:g} s',
                'body',
            ) from None
        finally:
            self._body.clear()
            self._stream.expect_head()

    def give_way(self, lack: str) -> None:
        """Forget what was received and refuse it.

        :param lack: what there is none of for it.
        """
        assert self._timeout is not None, 'a request is being received'
        self.lack = lack
        self.must_close = True
        self._body.clear()
        self._stream.discard_received()
        self._timeout.expire()

    async def _wait_for_bytes(self) -> bool:
        self.awaits_request = True
        try:
            data = await self._stream.read_before_idle_limit()
        except OSError:
            return False
        finally:
            self.awaits_request = False
        if not data:
            return False
        self._h11.receive_data(data)
        return True

    async def _wait_for_head(self) -> object:
        try:
            async with self._limit(self._limits.head_seconds):
                return await self._next_event()
        except TimeoutError:
            raise self._make_refusal(
                'the head of the request did not arrive within'
                f' {self._limits.head_seconds:g} s',
                'head',
            ) from None

    async def _collect_body(self) -> None:
        limit = self._limits.body_bytes
        async for part in self._iterate_body():
            size = self._body.size + len(part)
            if size > limit:
                self.must_close = True
                raise make_body_refusal(size, limit)
            self._body.add(part)

    async def _iterate_body(self) -> AsyncIterator[bytes]:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield event.data
                continue
            if isinstance(event, h11.EndOfMessage):
                return
            raise CallerGone(
                'the caller disconnected before its body was complete'
            )

    @contextlib.asynccontextmanager
    async def _limit(self, seconds: float) -> AsyncIterator[None]:
        """Limit the time of a read, which may have to give way meanwhile."""
        self.began_at = asyncio.get_running_loop().time()
        async with ReadTimeout(seconds) as self._timeout:
            try:
                yield
            finally:
                self._timeout = None

    def _make_refusal(self, late: str, field: str) -> RequestRefused:
        """Return why a request was not received.

        :param late: what to say if time has run out.
        """
        if self.lack:
            return make_lack_refusal(self.lack, field)
        return RequestRefused(ErrorKind.SLOW_REQUEST, late, field=field)

    async def _next_event(self) -> object:
        while True:
            if self.lack:
                # Bytes are missing; the time of this read runs out.
                raise TimeoutError
            event = self._parse()
            if event is not h11.NEED_DATA:
                await self._count_event()
                return event
            if self._h11.they_are_waiting_for_100_continue:
                await self._send_continue()
            try:
                data = await self._stream.read()
            except OSError as error:
                raise CallerGone('the caller reset its connection') from error
            self._h11.receive_data(data)

    async def _send_continue(self) -> None:
        head = h11.InformationalResponse(status_code=100, headers=[])
        data = self._h11.send(head)
        assert data is not None, 'h11 returns the bytes of a head'
        await self._stream.write(data)

    async def _count_event(self) -> None:
        """Let others go first after some events.

        :raises CallerGone: if nobody waits for the rest any more.
        """
        self._events += 1
        if self._events < EVENTS_PER_TURN:
            return
        self._events = 0
        await self._turns.take()
        if self._stream.is_lost:
            raise CallerGone('the caller reset its connection')

    def _parse(self) -> object:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            kind = ErrorKind.MALFORMED_REQUEST
            if error.error_status_hint == STATUS_HEAD_TOO_LARGE:
                kind = ErrorKind.HEAD_TOO_LARGE
            raise RequestRefused(
                kind, f'the request is not valid HTTP/1.1: {error}'
            ) from error


def make_lack_refusal(lack: str, field: str) -> RequestRefused:
    """Return the refusal of a request that was not received completely.

    :param lack: what there is none of for it.
    :param field: the part of the request.
    """
    return RequestRefused(
        ErrorKind.OVERLOADED,
        f'this process has no {lack} for the {field} of the request',
        field=field,
        retry_after=LACK_RETRY_SECONDS,
    )
