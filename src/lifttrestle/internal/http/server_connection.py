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
import http

import h11

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.caller_stream import CallerStream
from lifttrestle.internal.http.head import decode_headers
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head_checks import check_head
from lifttrestle.internal.http.head_checks import make_body_refusal
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.refusal.kind import ErrorKind

# Most bytes of pipelined requests that are read during a request.
MAX_PIPELINED_BYTES = 64 * 1024
STATUS_HEAD_TOO_LARGE = 431


class ServerConnection:
    """Reads requests from one caller and sends the answers.

    Used by one task. After an error that leaves the position in the byte
    stream unknown, the connection is closed rather than reused.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
    ) -> None:
        self._stream = CallerStream(reader, writer, limits)
        self._limits = limits
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
        if not await self._wait_for_bytes():
            return None
        event = self._parse()
        if event is h11.NEED_DATA:
            event = await self._wait_for_head()
        if not isinstance(event, h11.Request):
            return None
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

    async def _wait_for_head(self) -> object:
        try:
            async with ReadTimeout(self._limits.head_seconds):
                return await self._next_event()
        except TimeoutError:
            raise RequestRefused(
                ErrorKind.SLOW_REQUEST,
                'the head of the request did not arrive within'
                f' {self._limits.head_seconds:g} s',
            ) from None

    async def read_body(self) -> bytes:
        """Return the complete body of the current request.

        :raises RequestRefused: if the body is malformed, too large or slow.
        """
        limit = self._limits.body_bytes
        parts: list[bytes] = []
        size = 0
        try:
            async with ReadTimeout(self._limits.body_seconds):
                async for part in self._iterate_body():
                    size += len(part)
                    if size > limit:
                        self._closing = True
                        raise make_body_refusal(size, limit)
                    parts.append(part)
        except TimeoutError:
            raise RequestRefused(
                ErrorKind.SLOW_REQUEST,
                f'the body stopped after {size} bytes and was not complete'
                f' within {self._limits.body_seconds:g} s',
                field='body',
            ) from None
        return b''.join(parts)

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes or resets the connection.

        Pipelined requests that arrive meanwhile are buffered. From
        ``MAX_PIPELINED_BYTES`` of them on, nothing more is read and a close is
        no longer noticed.
        """
        while len(self._h11.trailing_data[0]) < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.read()
            except OSError:
                return
            if not data:
                return
            self._h11.receive_data(data)
        await asyncio.Event().wait()

    async def send_answer(self, answer: Answer) -> None:
        """Send a complete answer, with ``Content-Length``, in one write."""
        headers = [*answer.headers, ('content-length', str(len(answer.body)))]
        events = [self._build_head(answer.status, tuple(headers))]
        if answer.body:
            events.append(h11.Data(data=answer.body))
        await self._send(*events, h11.EndOfMessage())

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
        self._h11.start_next_cycle()
        return True

    def abort(self) -> None:
        """Close at once, so that the caller detects an incomplete answer."""
        self._stream.abort()

    async def close(self) -> None:
        """Close the connection after giving sent answers time to arrive."""
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
            event = self._parse()
            if event is not h11.NEED_DATA:
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
                yield bytes(event.data)
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
        await self._stream.write(data)


def _get_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        # A nonstandard status of an upstream. Clients ignore the phrase.
        return b''
