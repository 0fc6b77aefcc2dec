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

"""Passes on the events of a stream, each one whole, once and in order."""

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.server_connection import ServerConnection

ENDS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'
# An event that is longer than this is no event.
MAX_EVENT_BYTES = 1024 * 1024


class EventRelay:
    """Sends a caller the events of one or, resumed, several runs.

    An event is sent when it is complete: a run that breaks off within one
    leaves nothing behind that another run could not follow.

    :ivar last_event: the id of the last event sent, or None.
    :ivar sent: how many events were sent.
    """

    def __init__(
        self, connection: ServerConnection, last_event: int | None
    ) -> None:
        self._connection = connection
        self.last_event = last_event
        self.started = False
        self.sent = 0
        self._held = b''
        self._status = 0
        self._headers: tuple[Header, ...] = ()

    def begin_stream(self, status: int, headers: tuple[Header, ...]) -> None:
        """Expect the events of a run; the first run's head is the one sent."""
        self._held = b''
        if not self.started:
            self._status = status
            self._headers = headers

    async def feed(self, data: bytes) -> None:
        """Send the events that ``data`` completes.

        :raises UpstreamLost: if the bytes are no events in order.
        """
        self._held += data
        if len(self._held) > MAX_EVENT_BYTES:
            raise UpstreamLost('an event has no end')
        ready: list[bytes] = []
        while True:
            size = _find_event(self._held)
            if not size:
                break
            event = self._held[:size]
            self._held = self._held[size:]
            if self._is_next(event):
                ready.append(event)
        if ready:
            self.sent += len(ready)
            await self._send(b''.join(ready))

    async def finish(self) -> None:
        """Send the end of the stream.

        :raises UpstreamLost: if it ended within an event.
        """
        if self._held:
            raise UpstreamLost('the stream ended within an event')
        if not self.started:
            await self._start()
        await self._connection.end_answer()

    def _is_next(self, event: bytes) -> bool:
        number = _read_id(event)
        if number is None:
            return True
        if self.last_event is not None and number <= self.last_event:
            return False
        self.last_event = number
        return True

    async def _send(self, data: bytes) -> None:
        if not self.started:
            await self._start()
        await self._connection.send_part(data)

    async def _start(self) -> None:
        self.started = True
        await self._connection.start_answer(self._status, self._headers)


def _find_event(data: bytes) -> int:
    """Return the length of the first whole event, or zero."""
    sizes = [data.find(end) + len(end) for end in ENDS if data.find(end) >= 0]
    return min(sizes, default=0)


def _read_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
