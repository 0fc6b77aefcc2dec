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

"""Forwards server-sent events, each one complete, once and in order."""

from collections.abc import Callable

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.server_connection import ServerConnection

EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n')
MAX_TERMINATOR_BYTES = max(map(len, EVENT_TERMINATORS))
ID_FIELD = b'id:'
# A longer event is treated as a broken stream.
MAX_EVENT_BYTES = 1024 * 1024
# A resumed stream that repeats more than this is treated as broken.
MAX_REPEATED_BYTES = 4 * 1024 * 1024
MAX_OUT_OF_ORDER = 1000


def _ignore() -> None:
    """Do nothing; the default callback."""


class EventRelay:
    """Sends a caller the events of a stream and of those that resume it.

    Only complete events are sent: if a stream breaks off within an event,
    another upstream can resume it after the last event sent.

    :ivar last_event_id: id of the last event that the caller has, or None.
    :ivar started: whether the head of the answer was sent.
    :ivar sent: how many events were sent.
    """

    def __init__(
        self, connection: ServerConnection, last_event_id: int | None
    ) -> None:
        self._connection = connection
        self.last_event_id = last_event_id
        self.started = False
        self.sent = 0
        self._buffer = bytearray()
        # How much of it is known to hold no end of an event.
        self._searched = 0
        # Bytes of events of the current stream that the caller already has.
        self._repeated_bytes = 0
        # The highest id in the current stream, and how many events followed
        # that should have come before.
        self._highest_id: int | None = None
        self._out_of_order = 0
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._on_event = _ignore

    @property
    def pending_bytes(self) -> int:
        """Return the bytes of the event that is not complete yet."""
        return len(self._buffer)

    def begin_stream(
        self,
        status: int,
        headers: tuple[Header, ...],
        on_event: Callable[[], None] = _ignore,
    ) -> None:
        """Prepare for the events of the first stream or of a resumed one.

        The caller receives the status and headers of the stream whose event
        is sent first.

        :param on_event: called before events are sent.
        """
        self._buffer = bytearray()
        self._searched = 0
        self._repeated_bytes = 0
        self._highest_id = None
        self._out_of_order = 0
        self._on_event = on_event
        if not self.started:
            self._status = status
            self._headers = headers

    async def feed(self, data: bytes) -> bool:
        """Send the events that ``data`` completes.

        :return: whether there are any.
        :raises UpstreamLost: if an event exceeds ``MAX_EVENT_BYTES``, or if
            the events that the caller already has exceed
            ``MAX_REPEATED_BYTES`` or are out of order; the events before have
            been sent.
        """
        buffer = self._buffer
        buffer += data
        ready: list[bytes] = []
        start = 0
        searched = max(self._searched - MAX_TERMINATOR_BYTES, 0)
        while end := _find_event_end(buffer, max(start, searched)):
            if end - start > MAX_EVENT_BYTES:
                break
            event = bytes(buffer[start:end])
            start = end
            if self._accept_event(event):
                ready.append(event)
            else:
                self._repeated_bytes += len(event)
        del buffer[:start]
        self._searched = len(buffer)
        if ready:
            self.sent += len(ready)
            await self._send(b''.join(ready))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamLost('an event of the stream is too long')
        if (
            self._repeated_bytes > MAX_REPEATED_BYTES
            or self._out_of_order > MAX_OUT_OF_ORDER
        ):
            raise UpstreamLost('the stream repeats its events without end')
        return bool(ready)

    async def finish(self) -> None:
        """Send the end of the stream.

        :raises UpstreamLost: if it ended within an event.
        """
        if self._buffer:
            raise UpstreamLost('the stream ended within an event')
        if not self.started:
            await self._start()
        await self._connection.end_answer()

    def _accept_event(self, event: bytes) -> bool:
        number = _read_id(event)
        if number is None:
            return True
        if self._highest_id is not None and number <= self._highest_id:
            self._out_of_order += 1
        else:
            self._highest_id = number
        if self.last_event_id is not None and number <= self.last_event_id:
            return False
        self.last_event_id = number
        return True

    async def _send(self, data: bytes) -> None:
        self._on_event()
        if not self.started:
            await self._start()
        await self._connection.send_part(data)

    async def _start(self) -> None:
        self.started = True
        await self._connection.start_answer(self._status, self._headers)


def _find_event_end(data: bytearray, start: int) -> int:
    """Return the end of the first complete event from ``start``, or zero."""
    first = 0
    for terminator in EVENT_TERMINATORS:
        found = data.find(terminator, start, first or len(data))
        if found >= 0:
            first = found + len(terminator)
    return first


def _read_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
