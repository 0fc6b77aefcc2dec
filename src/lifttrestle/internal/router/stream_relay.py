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

"""Forwards a stream, event by event."""

from lifttrestle.errors import CallerGone
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.relay import AnswerRelay
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.stream.event import StreamEvent
from lifttrestle.internal.stream.order import EventAction
from lifttrestle.internal.stream.order import StreamOrder
from lifttrestle.internal.stream.parser import StreamParser
from lifttrestle.internal.stream.transcript import END_OF_STREAM
from lifttrestle.internal.stream.transcript import Transcript

STATUS_OK = 200


class StreamRelay(AnswerRelay):
    """Forwards each event once, in order, and the end-of-stream event last.

    :ivar transcript: the part of the stream that was delivered.
    :ivar order: detects repeated and missing events of this generation.
    :ivar complete: whether the end-of-stream event was received.
    """

    def __init__(self, scope: RequestScope, wants_usage: bool) -> None:
        self._scope = scope
        self.transcript = Transcript(wants_usage)
        self.order = StreamOrder()
        self.complete = False
        self._started = False

    @property
    def started(self) -> bool:
        """Return whether the caller has received a part of the answer."""
        return self._started

    def begin_continuation(self) -> None:
        """Expect the rest of the answer from a new generation."""
        self.order = StreamOrder()
        self.transcript.begin_continuation()

    async def forward(self, call: UpstreamCall) -> None:
        """Forward events until the end of the stream.

        :raises UpstreamLost: if the stream broke off, or if an event is
            invalid or missing.
        """
        parser = StreamParser()
        async for part in call.iterate_body():
            events = parser.feed(part)
            try:
                data, failure = self._process_events(events)
            except ValueError as error:
                raise UpstreamLost(f'an event is invalid: {error}') from error
            if data:
                await self._send(data)
            if failure:
                raise UpstreamLost(failure)
        if not self.complete:
            raise UpstreamLost(
                'the stream ended without its end-of-stream event'
            )
        await self._end()

    async def try_finish(self, max_tokens: int | None) -> bool:
        """End the stream if its text was delivered completely.

        :param max_tokens: the caller's limit on generated tokens; a text
            that has reached it is complete.
        :return: False if text may be missing, or if the caller asked for
            token counts, which are sent last.
        """
        transcript = self.transcript
        if transcript.wants_usage:
            return False
        if not transcript.finished:
            if max_tokens is None or transcript.tokens < max_tokens:
                return False
            await self._send(_frame(transcript.build_final_chunk()))
        await self._send(_frame(END_OF_STREAM))
        await self._end()
        return True

    async def fail(self, data: bytes) -> None:
        """Send an error event and abort the connection.

        The terminating chunk is not sent, so that the caller cannot mistake
        the failure for the end of the stream.

        :param data: the error as JSON.
        """
        try:
            await self._scope.connection.send_part(_frame(data))
        except CallerGone:
            pass
        self._scope.connection.abort()

    def _process_events(self, events: list[StreamEvent]) -> tuple[bytes, str]:
        """Return the data to forward and why the stream failed, if it did."""
        frames: list[bytes] = []
        for event in events:
            action = self.order.classify(event.index)
            if action is EventAction.DROP:
                continue
            if action is EventAction.GAP:
                return b''.join(frames), f'event {event.index} is out of order'
            if event.data == END_OF_STREAM:
                if not self.transcript.finished:
                    return b''.join(frames), 'the stream has no finish reason'
                self.complete = True
                frames.append(_frame(END_OF_STREAM))
                continue
            data = self.transcript.add_event(event)
            if data is not None:
                frames.append(_frame(data))
        self.usage = self.transcript.usage
        return b''.join(frames), ''

    async def _send(self, data: bytes) -> None:
        if not self._started:
            self._started = True
            headers = (
                ('content-type', 'text/event-stream'),
                ('cache-control', 'no-cache'),
                ('x-request-id', self._scope.request_id),
            )
            await self._scope.connection.start_answer(STATUS_OK, headers)
        await self._scope.connection.send_part(data)

    async def _end(self) -> None:
        await self._scope.connection.end_answer()


def _frame(data: bytes) -> bytes:
    return b'data: ' + data + b'\n\n'
