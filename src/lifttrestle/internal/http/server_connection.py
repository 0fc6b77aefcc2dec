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

"""Server side of HTTP/1.1 connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import http
from typing import TypeVar

import h11

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.body_buffer import BodyBuffer
from lifttrestle.internal.http.body_parts import split_body
from lifttrestle.internal.http.caller_protocol import CallerProtocol
from lifttrestle.internal.http.caller_stream import CallerStream
from lifttrestle.internal.http.head import decode_headers
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head_checks import check_head
from lifttrestle.internal.http.head_checks import make_body_refusal
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.memory_budget import Claim
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.memory_budget import MemoryHolder
from lifttrestle.internal.http.places import Occupation
from lifttrestle.internal.http.places import Place
from lifttrestle.internal.http.turns import Turns
from lifttrestle.internal.refusal.kind import ErrorKind

STATUS_HEAD_TOO_LARGE = 431
T = TypeVar('T')
# About half a millisecond of parsing.
EVENTS_PER_TURN = 64
# A caller that takes or sends nothing for so long makes no headway.
STALLED_SECONDS = 1.0
LACK_RETRY_SECONDS = 1.0
MEMORY = 'memory'
PLACE = 'connection'


class ServerConnection(MemoryHolder):
    """Reads requests from one caller and sends the answers.

    Used by one task. After an error that leaves the position in the byte
    stream unknown, the connection is closed rather than reused.

    What it holds counts in a common bound. An incomplete request that has to
    give way is refused; a caller that does not take its answers is cut off.

    :param memory: the common bound.
    :param turns: those of all connections of the server.
    """

    def __init__(
        self,
        protocol: CallerProtocol,
        limits: HttpLimits,
        memory: MemoryBudget,
        turns: Turns,
    ) -> None:
        self._stream = CallerStream(protocol, limits)
        self._limits = limits
        self._memory = memory
        self._turns = turns
        # Events since the last turn.
        self._events = 0
        # Whether the current request had arrived when the last one ended.
        self._is_ahead = False
        self._body = BodyBuffer()
        # Bytes of the complete body, until its exchange has ended.
        self._kept = 0
        # Bytes of an answer that is being sent.
        self._answering = 0
        # Set while a request is being received.
        self._reading: ReadTimeout | None = None
        self._reading_since = 0.0
        # Set once it waits for the caller to close.
        self._is_lingering = False
        # What there was none of for it, once it had to give way.
        self._lack = ''
        # Requests whose head was read completely.
        self._requests = 0
        self._headway_at = asyncio.get_running_loop().time()
        protocol.on_received = self._note_received
        protocol.on_unsent = memory.note_growth
        memory.add(self)
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._closing = False
        self._awaiting_request = False

    @property
    def peer(self) -> str:
        """Return the IP address and port of the caller, or an empty text."""
        return self._stream.peer

    @property
    def answer_started(self) -> bool:
        """Return whether the head of the current answer has been sent."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def close_after_answer(self) -> None:
        """Close after the current answer, announced by ``Connection: close``.

        The header is missing if the head of the answer was already sent.
        """
        self._closing = True

    @property
    def awaiting_request(self) -> bool:
        """Return whether it awaits the first byte of a request."""
        return self._awaiting_request

    def pause_reading(self) -> bool:
        """Pause reading from the socket; return whether it was active."""
        return self._stream.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the socket."""
        self._stream.resume_reading()

    async def read_head(self) -> RequestHead | None:
        """Return the head of the next request.

        :return: None if no request follows: the caller closed or reset the
            connection, or it was idle for too long.

        :raises RequestRefused: if the head is malformed, too large or slow.
        """
        self._is_ahead = self._has_received
        if not await self._wait_for_bytes():
            return None
        event = self._parse()
        if event is h11.NEED_DATA:
            event = await self._wait_for_head()
        if not isinstance(event, h11.Request):
            return None
        self._requests += 1
        head = RequestHead(
            event.method.decode('ascii'),
            event.target.decode('latin-1'),
            decode_headers(event.headers),
        )
        try:
            check_head(head, self._limits)
        except RequestRefused:
            self._closing = True
            raise
        return head

    @property
    def _has_received(self) -> bool:
        return bool(self._h11.trailing_data[0]) or self._stream.has_unread

    async def take_turn_if_ahead(self) -> None:
        """Let others go first if the current request was sent ahead."""
        if self._is_ahead:
            await self._turns.take()

    async def _wait_for_head(self) -> object:
        try:
            async with self._limit_reading(self._limits.head_seconds):
                return await self._next_event()
        except TimeoutError:
            raise self._make_read_refusal(
                'the head of the request did not arrive within'
                f' {self._limits.head_seconds:g} s',
                'head',
            ) from None

    async def read_body(self) -> bytes:
        """Return the complete body of the current request.

        :raises RequestRefused: if the body is malformed, too large or slow, or
            if there is no memory for it.
        """
        self._stream.expect_body()
        try:
            async with self._limit_reading(self._limits.body_seconds):
                await self._collect_body()
        except TimeoutError:
            raise self._make_read_refusal(
                f'the body stopped after {self._body.size} bytes and was not'
                f' complete within {self._limits.body_seconds:g} s',
                'body',
            ) from None
        finally:
            self._stream.expect_head()
        body = self._body.take()
        if not self._memory.has_room_to_keep(len(body)):
            raise _make_lack_refusal(MEMORY, 'body')
        self._keep(len(body))
        return body

    async def _collect_body(self) -> None:
        limit = self._limits.body_bytes
        async for part in self._iterate_body():
            size = self._body.size + len(part)
            if size > limit:
                self._closing = True
                raise make_body_refusal(size, limit)
            self._body.add(part)

    @contextlib.asynccontextmanager
    async def _limit_reading(self, seconds: float) -> AsyncIterator[None]:
        """Limit the time of a read, which may have to give way meanwhile."""
        self._reading_since = asyncio.get_running_loop().time()
        async with ReadTimeout(seconds) as self._reading:
            try:
                yield
            finally:
                self._reading = None

    def _make_read_refusal(self, late: str, field: str) -> RequestRefused:
        """Return why a request was not received.

        :param late: what to say if time has run out.
        """
        if self._lack:
            return _make_lack_refusal(self._lack, field)
        return RequestRefused(ErrorKind.SLOW_REQUEST, late, field=field)

    def make_claim(self) -> Claim:
        """Return what it holds, and whether it may have to give way."""
        size = (
            self._stream.buffered
            + len(self._h11.trailing_data[0])
            + self._body.size
            + self._kept
            + self._answering
        )
        return Claim(
            size,
            yields=not self._lack
            and (
                self._reading is not None
                or self._awaiting_request
                or self._stream.is_writing_blocked
            ),
            stalled=self._is_stalled,
        )

    @property
    def _is_stalled(self) -> bool:
        quiet = asyncio.get_running_loop().time() - self._headway_at
        return quiet >= STALLED_SECONDS

    def give_way(self) -> None:
        """Refuse what is being received, or cut off a caller."""
        self._give_way_for(MEMORY)

    def give_place(self) -> None:
        """Refuse what is being received, as a newcomer needs the place."""
        self._give_way_for(PLACE)

    def describe_place(self, holder: T) -> Place[T]:
        """Return what the connection is there for, and since when."""
        is_reading = self._reading is not None
        return Place(
            holder,
            self._get_occupation(),
            self._reading_since if is_reading else self._headway_at,
            is_owed_answer=is_reading,
        )

    def _get_occupation(self) -> Occupation:
        if self._is_lingering:
            return Occupation.CLOSING
        if self._stream.has_unread:
            return Occupation.AT_WORK
        if not self._requests:
            return Occupation.NO_REQUEST
        if self._awaiting_request:
            return Occupation.IDLE
        if self._reading is None:
            return Occupation.AT_WORK
        if self._is_stalled:
            return Occupation.STALLED
        return Occupation.RECEIVING

    def _give_way_for(self, lack: str) -> None:
        self._lack = lack
        if self._reading is None:
            self.abort()
            return
        self._closing = True
        self._body.clear()
        self._stream.discard_received()
        self._reading.expire()

    def release(self) -> None:
        """Hold nothing any more, as the connection has ended."""
        self._keep(0)
        self._memory.discard(self)

    def _keep(self, size: int) -> None:
        self._memory.kept += size - self._kept
        self._kept = size

    def _note_received(self, size: int) -> None:
        self._headway_at = asyncio.get_running_loop().time()
        self._memory.note_growth(size)

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes or resets the connection.

        Requests that are sent ahead stay unread. Once as many bytes of them
        have arrived as a head may have at a time, a close is no longer
        noticed.
        """
        await self._stream.wait_at_eof()

    async def send_answer(self, answer: Answer) -> None:
        """Send a complete answer, with ``Content-Length``.

        A small one is sent in one write.
        """
        headers = [*answer.headers, ('content-length', str(len(answer.body)))]
        head = self._build_head(answer.status, tuple(headers))
        events: list[h11.Event] = [head]
        self._answering = len(answer.body)
        try:
            for number, part in enumerate(split_body(answer.body)):
                if number:
                    await self._send(*events)
                    events.clear()
                if part:
                    events.append(h11.Data(data=part))
            await self._send(*events, h11.EndOfMessage())
        finally:
            self._answering = 0

    async def start_answer(
        self, status: int, headers: tuple[Header, ...]
    ) -> None:
        """Send the head of an answer.

        The body is chunked unless the headers have a ``Content-Length``.
        """
        await self._send(self._build_head(status, headers))

    def _build_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> h11.Event:
        all_headers = list(headers)
        if self._h11.their_state not in (h11.DONE, h11.MUST_CLOSE):
            self._closing = True
        if self._closing:
            all_headers.append(('connection', 'close'))
        return h11.Response(
            status_code=status,
            headers=all_headers,
            reason=_get_reason_phrase(status),
        )

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body, waiting while the write buffer is full.

        :raises CallerGone: if the caller disconnected or stopped reading.
        """
        await self._send(h11.Data(data=data))

    async def end_answer(self) -> None:
        """Send the end of the answer."""
        await self._send(h11.EndOfMessage())

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return False if there is none."""
        if self._closing:
            return False
        states = (self._h11.our_state, self._h11.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        self._keep(0)
        self._h11.start_next_cycle()
        return True

    def abort(self) -> None:
        """Close at once, so that the caller detects an incomplete answer."""
        self._stream.abort()

    async def close(self) -> None:
        """Close the connection after giving sent answers time to arrive."""
        self._is_lingering = True
        await self._stream.close()

    async def _wait_for_bytes(self) -> bool:
        if self._h11.trailing_data[0]:
            return True
        self._awaiting_request = True
        try:
            data = await self._stream.read_before_idle_limit()
        except OSError:
            return False
        finally:
            self._awaiting_request = False
        if not data:
            return False
        self._h11.receive_data(data)
        return True

    async def _next_event(self) -> object:
        while True:
            if self._lack:
                # Bytes are missing; the time of this read runs out.
                raise TimeoutError
            event = self._parse()
            if event is not h11.NEED_DATA:
                await self._count_event()
                return event
            if self._h11.they_are_waiting_for_100_continue:
                await self._send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            try:
                data = await self._stream.read()
            except OSError as error:
                raise CallerGone('the caller reset its connection') from error
            self._h11.receive_data(data)

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

    async def _send(self, *events: h11.Event) -> None:
        try:
            data = b''.join(self._h11.send(event) or b'' for event in events)
        except h11.LocalProtocolError as error:
            raise CallerGone(f'the connection is unusable: {error}') from error
        if not data:
            return
        self._headway_at = asyncio.get_running_loop().time()
        await self._stream.write(data)


def _make_lack_refusal(lack: str, field: str) -> RequestRefused:
    return RequestRefused(
        ErrorKind.OVERLOADED,
        f'this process has no {lack} for the {field} of the request',
        field=field,
        retry_after=LACK_RETRY_SECONDS,
    )


def _get_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        # A nonstandard status of an upstream. Clients ignore the phrase.
        return b''
