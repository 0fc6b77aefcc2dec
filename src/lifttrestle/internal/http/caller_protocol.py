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
import enum
from typing import cast

from lifttrestle.internal.http.receive_buffer import ReceiveBuffer

# Reading from the socket pauses while so much is unread. Heads are small; more
# of it than a head would be requests that are sent ahead.
HEAD_READ_BYTES = 8 * 1024
BODY_READ_BYTES = 16 * 1024


class Pause(enum.Enum):
    """Why reading from the socket is paused."""

    FULL = 'as much is unread as may be'
    HELD = 'nothing may be received for a moment'


class CallerProtocol(asyncio.BufferedProtocol):
    """Receives and sends the bytes of one caller.

    Only one task may read, and one may write, at a time.

    :param on_connected: called with this object once it is connected.
    :ivar on_received: called with the number of bytes that were received.
    :ivar on_unsent: called with the number of bytes that TCP did not take.
    """

    def __init__(
        self,
        buffer: ReceiveBuffer,
        on_connected: Callable[['CallerProtocol'], None],
    ) -> None:
        self._buffer = buffer
        self._on_connected = on_connected
        self.on_received: Callable[[int], None] = lambda size: None
        self.on_unsent: Callable[[int], None] = lambda size: None
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._most_unread = HEAD_READ_BYTES
        self._pauses: set[Pause] = set()
        self._at_eof = False
        self._error: Exception | None = None
        self._closed = asyncio.get_running_loop().create_future()
        self._received_waiter: asyncio.Future[None] | None = None
        self._sent_waiter: asyncio.Future[None] | None = None
        self._writing_paused = False

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport."""
        assert self._transport is not None, 'used once it is connected'
        return self._transport

    @property
    def unread(self) -> int:
        """Return the bytes that were received and not read."""
        return len(self._received)

    @property
    def unsent(self) -> int:
        """Return the bytes that were written and that TCP has not taken."""
        return self.transport.get_write_buffer_size()

    @property
    def is_writing_blocked(self) -> bool:
        """Return whether a writer waits for the caller to read."""
        waiter = self._sent_waiter
        return waiter is not None and not waiter.done()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and announce the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive bytes, no more than may be unread."""
        return self._buffer.get_part(self._most_unread - len(self._received))

    def buffer_updated(self, nbytes: int) -> None:
        """Take out what was received, and pause reading if it is enough."""
        self._received += self._buffer.get_part(nbytes)
        if len(self._received) >= self._most_unread:
            self.pause(Pause.FULL)
        _wake(self._received_waiter)
        self.on_received(nbytes)

    def eof_received(self) -> bool:
        """Record that the caller sends no more; it may still receive."""
        self._at_eof = True
        _wake(self._received_waiter)
        is_tls = self.transport.get_extra_info('sslcontext') is not None
        return not is_tls

    def connection_lost(self, error: Exception | None) -> None:
        """Record the error, if any, and wake who waits."""
        self._at_eof = True
        self._error = error
        _wake(self._received_waiter)
        _wake(self._sent_waiter)
        if not self._closed.done():
            self._closed.set_result(None)

    def pause_writing(self) -> None:
        """Block the writer: too much is unsent."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Unblock the writer."""
        self._writing_paused = False
        _wake(self._sent_waiter)

    def pause(self, reason: Pause) -> bool:
        """Pause reading; return False if it was for that reason before."""
        if reason in self._pauses:
            return False
        self._pauses.add(reason)
        self.transport.pause_reading()
        return True

    def resume(self, reason: Pause) -> None:
        """Resume reading unless it is paused for another reason."""
        self._pauses.discard(reason)
        if not self._pauses and not self.transport.is_closing():
            self.transport.resume_reading()

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
        if self._error is not None:
            raise OSError(f'the connection was lost: {self._error}')
        data = bytes(self._received)
        self.discard_received()
        return data

    def discard_received(self) -> None:
        """Forget what was received and not read."""
        self._received.clear()
        if Pause.FULL in self._pauses:
            self.resume(Pause.FULL)

    async def wait_at_eof(self) -> None:
        """Wait until the caller sends no more, without reading anything."""
        while not self._at_eof:
            await self._wait_received()

    async def _wait_received(self) -> None:
        self._received_waiter = asyncio.get_running_loop().create_future()
        await self._received_waiter

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
        while self._writing_paused and not self._closed.done():
            self._sent_waiter = asyncio.get_running_loop().create_future()
            await self._sent_waiter
        if self._closed.done():
            raise OSError(f'the connection was lost: {self._error}')

    def write_eof(self) -> None:
        """Send the end of the stream, if the transport can."""
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Close the connection once all is sent."""
        self.transport.close()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await asyncio.shield(self._closed)

    def get_extra_info(self, name: str) -> object:
        """Return what the transport tells under a name."""
        return self.transport.get_extra_info(name)


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
