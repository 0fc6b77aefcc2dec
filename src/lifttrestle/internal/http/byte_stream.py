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

"""Bytes of one TCP connection, with a bound on what is held unread."""

import asyncio
import socket
import ssl

from lifttrestle.internal.http.address import Address

# What may be held unread before the other side is made to wait.
BUFFER_BYTES = 64 * 1024
# How long written bytes may stay unacknowledged until the connection counts
# as broken: a host without power or behind a cut link never answers.
UNACKNOWLEDGED_MS = 3000
# A connection that carries nothing is probed after this time and then as
# often again: one that went silent for good while nothing was on its way is
# broken by the time at which unacknowledged bytes would have broken it.
PROBE_AFTER_SECONDS = 1
PROBE_EVERY_SECONDS = 1
LOST_PROBES = 2


class ByteStream(asyncio.Protocol):
    """Reads and writes one connection; one task reads at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._held = bytearray()
        self._ended = False
        self._error: OSError | None = None
        self._arrived: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._paused = False
        self._blocked = False

    @classmethod
    async def open(
        cls, address: Address, tls: ssl.SSLContext | None = None
    ) -> 'ByteStream':
        """Connect to ``address``, or raise ``OSError``."""
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(
            cls, address.host, address.port, ssl=tls
        )
        return stream

    @property
    def quiet(self) -> bool:
        """Return whether it is open, with nothing left to read or write."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._ended
            and not self._held
            and transport.get_write_buffer_size() == 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and bound its silence."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_tcp_timeouts(transport)

    def data_received(self, data: bytes) -> None:
        """Hold what arrived until it is read."""
        self._held += data
        if len(self._held) > BUFFER_BYTES and not self._paused:
            self._paused = True
            self._get_transport().pause_reading()
        _wake(self._arrived)

    def eof_received(self) -> bool:
        """Note the end; the transport then closes by itself."""
        self._ended = True
        _wake(self._arrived)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note how the connection ended."""
        self._ended = True
        if error is not None:
            self._error = OSError(f'the connection broke: {error}')
        _wake(self._arrived)
        _wake(self._drained)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._blocked = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._blocked = False
        _wake(self._drained)

    async def read(self) -> bytes:
        """Return what has arrived, or nothing at the end.

        :raises OSError: if the connection broke.
        """
        while not self._held and not self._ended:
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived
        if self._held:
            data = bytes(self._held)
            self._held.clear()
            self._resume()
            return data
        if self._error is not None:
            raise self._error
        return b''

    async def write(self, data: bytes) -> None:
        """Write, waiting while the other side does not read.

        :raises OSError: if the connection broke.
        """
        self._get_transport().write(data)
        while self._blocked and not self._ended:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained
        if self._error is not None:
            raise self._error

    def abort(self) -> None:
        """Cut the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _resume(self) -> None:
        transport = self._get_transport()
        if self._paused and not transport.is_closing():
            self._paused = False
            transport.resume_reading()

    def _get_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise OSError('the connection is not open')
        return self._transport


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def set_tcp_timeouts(transport: asyncio.BaseTransport) -> None:
    """Break a connection whose other side no longer acknowledges."""
    link = transport.get_extra_info('socket')
    if link is None:
        return
    link.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_EVERY_SECONDS),
        (socket.TCP_KEEPCNT, LOST_PROBES),
    )
    for option, value in options:
        link.setsockopt(socket.IPPROTO_TCP, option, value)
