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
import http
from typing import TypeVar

import h11

from lifttrestle.errors import CallerGone
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.body_parts import split_body
from lifttrestle.internal.http.caller_protocol import CallerProtocol
from lifttrestle.internal.http.caller_stream import CallerStream
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.memory_budget import Claim
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.memory_budget import MemoryHolder
from lifttrestle.internal.http.places import Occupation
from lifttrestle.internal.http.places import Place
from lifttrestle.internal.http.request_reader import make_lack_refusal
from lifttrestle.internal.http.request_reader import RequestReader
from lifttrestle.internal.http.turns import Turns

T = TypeVar('T')
# A caller that takes or sends nothing for so long makes no headway.
STALLED_SECONDS = 1.0
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
        self._memory = memory
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._requests = RequestReader(self._stream, self._h11, limits, turns)
        # Bytes of the complete body, until its exchange has ended.
        self._kept = 0
        # Bytes of an answer that is being sent.
        self._answering = 0
        self._closing = False
        # Set once it waits for the caller to close.
        self._is_lingering = False
        self._headway_at = asyncio.get_running_loop().time()
        protocol.on_received = self._note_received
        protocol.on_unsent = memory.note_growth
        memory.add(self)

    @property
    def peer(self) -> str:
        """Return the IP address and port of the caller, or an empty text."""
        return self._stream.peer

    @property
    def answer_started(self) -> bool:
        """Return whether the head of the current answer has been sent."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def awaiting_request(self) -> bool:
        """Return whether it awaits the first byte of a request."""
        return self._requests.awaits_request

    def close_after_answer(self) -> None:
        """Close after the current answer, announced by ``Connection: close``.

        The header is missing if the head of the answer was already sent.
        """
        self._closing = True

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
        :raises RequestRefused: if the head is malformed, too large or slow, or
            had to give way.
        """
        return await self._requests.read_head()

    async def take_turn_if_ahead(self) -> None:
        """Let others go first if the current request was sent ahead."""
        await self._requests.take_turn_if_ahead()

    async def read_body(self) -> bytes:
        """Return the complete body of the current request.

        :raises RequestRefused: if the body is malformed, too large or slow, or
            if there is no memory for it.
        """
        body = await self._requests.read_body()
        if not self._memory.has_room_to_keep(len(body)):
            raise make_lack_refusal(MEMORY, 'body')
        self._keep(len(body))
        return body

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
        if self._closing or self._requests.must_close:
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
        if self._closing or self._requests.must_close:
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

    def release(self) -> None:
        """Hold nothing any more, as the connection has ended."""
        self._keep(0)
        self._memory.discard(self)

    def make_claim(self) -> Claim:
        """Return what it holds, and whether it may have to give way."""
        requests = self._requests
        size = (
            self._stream.buffered
            + requests.held
            + self._kept
            + self._answering
        )
        waits_for_caller = (
            requests.is_receiving
            or requests.awaits_request
            or self._stream.is_writing_blocked
        )
        has_given_way = bool(requests.lack) or self._stream.is_lost
        return Claim(
            size,
            yields=waits_for_caller and not has_given_way,
            stalled=self._is_stalled,
        )

    def give_way(self) -> None:
        """Refuse what is being received, or cut off a caller."""
        self._give_way_for(MEMORY)

    def give_place(self) -> None:
        """Refuse what is being received, as a newcomer needs the place."""
        self._give_way_for(PLACE)

    def _give_way_for(self, lack: str) -> None:
        if self._requests.is_receiving:
            self._requests.give_way(lack)
            return
        self.abort()

    def describe_place(self, holder: T) -> Place[T]:
        """Return what the connection is there for, and since when."""
        requests = self._requests
        is_receiving = requests.is_receiving
        return Place(
            holder,
            self._get_occupation(),
            requests.began_at if is_receiving else self._headway_at,
            is_owed_answer=is_receiving,
        )

    def _get_occupation(self) -> Occupation:
        requests = self._requests
        if self._is_lingering:
            return Occupation.CLOSING
        if self._stream.has_unread:
            return Occupation.AT_WORK
        if not requests.requests:
            return Occupation.NO_REQUEST
        if requests.awaits_request:
            return Occupation.IDLE
        if not requests.is_receiving:
            return Occupation.AT_WORK
        if self._is_stalled:
            return Occupation.STALLED
        return Occupation.RECEIVING

    @property
    def _is_stalled(self) -> bool:
        quiet = asyncio.get_running_loop().time() - self._headway_at
        return quiet >= STALLED_SECONDS

    def _note_received(self, size: int) -> None:
        self._headway_at = asyncio.get_running_loop().time()
        self._memory.note_growth(size)

    def _keep(self, size: int) -> None:
        self._memory.kept += size - self._kept
        self._kept = size

    async def _send(self, *events: h11.Event) -> None:
        try:
            data = b''.join(self._h11.send(event) or b'' for event in events)
        except h11.LocalProtocolError as error:
            raise CallerGone(f'the connection is unusable: {error}') from error
        if not data:
            return
        self._headway_at = asyncio.get_running_loop().time()
        await self._stream.write(data)


def _get_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        # A nonstandard status of an upstream. Clients ignore the phrase.
        return b''
