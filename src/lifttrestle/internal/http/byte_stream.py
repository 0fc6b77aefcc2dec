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

"""Byte streams over TCP with a bounded read buffer."""

import asyncio
import socket
import ssl

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.receive_buffer import ReceiveBuffer
from lifttrestle.internal.http.stream import Stream

# Reading from the socket pauses while so many bytes are unread, so that
# TCP flow control slows the peer down.
MAX_BUFFER_BYTES = 32 * 1024
_RECEIVE_BUFFER = ReceiveBuffer(MAX_BUFFER_BYTES)
# TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes stay
# unacknowledged for this long, as when the peer's host has lost its power or
# its network link.
USER_TIMEOUT_MS = 3000
# TCP keepalive of an idle connection: the first probe, the interval of the
# further probes, and the number of lost probes that close the connection. An
# unreachable peer is thus detected within USER_TIMEOUT_MS also while no sent
# bytes await an acknowledgement.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


class ByteStream(asyncio.BufferedProtocol, Stream):
    """Reads and writes one TCP connection.

    Only one task may read, and one may write, at a time.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._at_eof = False
        self._error: OSError | None = None
        self._data_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._writing_paused = False

    @classmethod
    async def open(
        cls, address: Address, tls: ssl.SSLContext | None = None
    ) -> 'ByteStream':
        """Connect to ``address``.

        :raises OSError: if the connection cannot be established.
        """
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(
            cls, address.host, address.port, ssl=tls
        )
        return stream

    @property
    def is_idle(self) -> bool:
        """Return whether it is open and both buffers are empty."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._at_eof
            and not self._buffer
            and transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the timeouts of its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_tcp_timeouts(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive bytes, no more than may be buffered."""
        return _RECEIVE_BUFFER.get_part(MAX_BUFFER_BYTES - len(self._buffer))

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer received bytes, and pause reading if the buffer is full."""
        self._buffer += _RECEIVE_BUFFER.get_part(nbytes)
        if len(self._buffer) >= MAX_BUFFER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._get_transport().pause_reading()
        _wake(self._data_waiter)

    def eof_received(self) -> bool:
        """Record the end of the stream, and let the transport close.

        A writer is woken as well: the peer may have answered without reading
        all that was sent.
        """
        self._at_eof = True
        _wake(self._data_waiter)
        _wake(self._drain_waiter)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the error, if any, and wake the reader and the writer."""
        self._at_eof = True
        if error is not None:
            self._error = OSError(f'the connection was lost: {error}')
        _wake(self._data_waiter)
        _wake(self._drain_waiter)

    def pause_writing(self) -> None:
        """Block writers: the write buffer is over its high-water mark."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Unblock writers: the write buffer has been drained."""
        self._writing_paused = False
        _wake(self._drain_waiter)

    async def read(self) -> bytes:
        """Return all buffered bytes, waiting if there are none.

        :return: empty at the end of the stream.
        :raises OSError: if the connection was lost.
        """
        while not self._buffer and not self._at_eof:
            self._data_waiter = asyncio.get_running_loop().create_future()
            await self._data_waiter
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            self._resume_reading()
            return data
        if self._error is not None:
            raise self._error
        return b''

    async def write(self, data: bytes) -> None:
        """Write ``data``, and wait while the write buffer is too full.

        At the end of the peer's stream it does not wait; a read then returns
        what the peer has sent, or its end.

        :raises OSError: if the connection was lost.
        """
        self._get_transport().write(data)
        while self._writing_paused and not self._at_eof:
            self._drain_waiter = asyncio.get_running_loop().create_future()
            await self._drain_waiter
        if self._error is not None:
            raise self._error

    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def _resume_reading(self) -> None:
        transport = self._get_transport()
        if self._reading_paused and not transport.is_closing():
            self._reading_paused = False
            transport.resume_reading()

    def _get_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise OSError('the connection is not open')
        return self._transport


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def set_tcp_timeouts(transport: asyncio.BaseTransport) -> None:
    """Set the TCP user timeout and keepalive of a connection's socket.

    They close connections to hosts that no longer acknowledge anything. A
    transport without a socket is left as it is.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
