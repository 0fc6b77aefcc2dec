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

"""What the connections to callers and to upstreams have in common."""

import asyncio
import enum
from typing import cast

from lifttrestle.internal.http.receive_buffer import ReceiveBuffer


class Pause(enum.Enum):
    """Why reading from the socket is paused."""

    FULL = 'as much is unread as may be'
    HELD = 'nothing may be received for a moment'


class SocketProtocol(asyncio.BufferedProtocol):
    """Keeps what a socket receives, up to a bound, and wakes who waits for it.

    Only one task may read, and one may write, at a time.

    :param buffer: where the event loop receives bytes.
    :param most_unread: bytes that may be received and not read; reading from
        the socket pauses then, so that TCP flow control slows the peer down.
    """

    def __init__(self, buffer: ReceiveBuffer, most_unread: int) -> None:
        self._buffer = buffer
        self._most_unread = most_unread
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._pauses: set[Pause] = set()
        self._at_eof = False
        self._is_lost = False
        self._failure = ''
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # Transports of connections both read and write.
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive bytes, no more than may be unread."""
        return self._buffer.get_part(self._most_unread - len(self._received))

    def buffer_updated(self, nbytes: int) -> None:
        """Take out what was received, and pause reading if it is enough."""
        self._received += self._buffer.get_part(nbytes)
        if len(self._received) >= self._most_unread:
            self.pause(Pause.FULL)
        self._wake_reader()

    def connection_lost(self, error: Exception | None) -> None:
        """Record the error, if any, and wake the reader and the writer."""
        self._at_eof = True
        self._is_lost = True
        if error is not None:
            self._failure = f'the connection was lost: {error}'
        self._wake_reader()
        self._wake_writer()

    def pause_writing(self) -> None:
        """Block the writer: too much is unsent."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Unblock the writer."""
        self._writing_paused = False
        self._wake_writer()

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

    def discard_received(self) -> None:
        """Forget what was received and not read."""
        self._received.clear()
        if Pause.FULL in self._pauses:
            self.resume(Pause.FULL)

    def _check_failure(self) -> None:
        """Raise an error of its own each time, which keeps no frames alive.

        :raises OSError: if the connection was lost by an error.
        """
        if self._failure:
            raise OSError(self._failure)

    def _take_received(self) -> bytes:
        data = bytes(self._received)
        self.discard_received()
        return data

    async def _wait_received(self) -> None:
        self._received_waiter = asyncio.get_running_loop().create_future()
        await self._received_waiter

    async def _wait_sent(self) -> None:
        self._sent_waiter = asyncio.get_running_loop().create_future()
        await self._sent_waiter

    def _wake_reader(self) -> None:
        _wake(self._received_waiter)

    def _wake_writer(self) -> None:
        _wake(self._sent_waiter)


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
