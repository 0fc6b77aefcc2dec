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

"""The TCP connection of one caller, with bounded buffers."""

import asyncio
from collections.abc import Callable

from lifttrestle.internal.http.receive_buffer import ReceiveBuffer
from lifttrestle.internal.http.socket_protocol import Pause
from lifttrestle.internal.http.socket_protocol import SocketProtocol

# Reading from the socket pauses while so much is unread. Heads are small; more
# of it than a head would be requests that are sent ahead.
HEAD_READ_BYTES = 8 * 1024
BODY_READ_BYTES = 16 * 1024


class CallerProtocol(SocketProtocol):
    """Receives and sends the bytes of one caller.

    :param on_connected: called with this object once it is connected.
    :ivar on_received: called with the number of bytes that were received.
    :ivar on_unsent: called with the number of bytes that TCP did not take.
    """

    def __init__(
        self,
        buffer: ReceiveBuffer,
        on_connected: Callable[['CallerProtocol'], None],
    ) -> None:
        super().__init__(buffer, HEAD_READ_BYTES)
        self._on_connected = on_connected
        self.on_received: Callable[[int], None] = lambda size: None
        self.on_unsent: Callable[[int], None] = lambda size: None
        self._closed = asyncio.get_running_loop().create_future()

    @property
    def is_writing_blocked(self) -> bool:
        """Return whether a writer waits for the caller to read."""
        waiter = self._sent_waiter
        return waiter is not None and not waiter.done()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and announce the connection."""
        super().connection_made(transport)
        self._on_connected(self)

    def buffer_updated(self, nbytes: int) -> None:
        """Take out what was received, and tell how much it is."""
        super().buffer_updated(nbytes)
        self.on_received(nbytes)

    def eof_received(self) -> bool:
        """Record that the caller sends no more; it may still receive."""
        self._at_eof = True
        self._wake_reader()
        is_tls = self.transport.get_extra_info('sslcontext') is not None
        return not is_tls

    def connection_lost(self, error: Exception | None) -> None:
        """Record the error, if any, and wake who waits."""
        super().connection_lost(error)
        if not self._closed.done():
            self._closed.set_result(None)

    def set_most_unread(self, size: int) -> None:
        """Set how many bytes may be received and not read."""
        self._most_unread = size
        if len(self._received) >= size:
            self.pause(Pause.FULL)
        elif Pause.FULL in self._pauses:
            self.resume(Pause.FULL)

    async def read(self) -> bytes:
        """Return all that was received, waiting if there is nothing.

        :return: empty once the caller sends no more.
        :raises OSError: if the connection was lost.
        """
        while not self._received and not self._at_eof:
            await self._wait_received()
        self._check_failure()
        return self._take_received()

    async def wait_at_eof(self) -> None:
        """Wait until the caller sends no more, without reading anything."""
        while not self._at_eof:
            await self._wait_received()

    def write(self, data: bytes) -> None:
        """Send bytes, or put them into the write buffer."""
        self.transport.write(data)
        unsent = min(self.unsent, len(data))
        if unsent:
            self.on_unsent(unsent)

    async def drain(self) -> None:
        """Wait while too much is unsent.

        :raises OSError: if the connection was lost.
        """
        if self.transport.is_closing():
            # A loss that is known to the transport is told here next.
            await asyncio.sleep(0)
        while self._writing_paused and not self._is_lost:
            await self._wait_sent()
        if self._is_lost:
            raise OSError(self._failure or 'the connection was closed')

    def close(self) -> None:
        """Close the connection once all is sent."""
        self.transport.close()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await asyncio.shield(self._closed)
