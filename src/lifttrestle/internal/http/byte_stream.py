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
from lifttrestle.internal.http.socket_protocol import SocketProtocol
from lifttrestle.internal.http.stream import Stream

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


class ByteStream(SocketProtocol, Stream):
    """Reads and writes one TCP connection to an upstream."""

    def __init__(self) -> None:
        super().__init__(_RECEIVE_BUFFER, MAX_BUFFER_BYTES)

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
            and not self.unread
            and not self.unsent
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the timeouts of its socket."""
        super().connection_made(transport)
        set_tcp_timeouts(transport)

    def eof_received(self) -> bool:
        """Record the end of the stream, and let the transport close.

        A writer is woken as well: the peer may have answered without reading
        all that was sent.
        """
        self._at_eof = True
        self._wake_reader()
        self._wake_writer()
        return False

    async def read(self) -> bytes:
        """Return all buffered bytes, waiting if there are none.

        What was received before the connection was lost is returned first.

        :return: empty at the end of the stream.
        :raises OSError: if the connection was lost.
        """
        while not self._received and not self._at_eof:
            await self._wait_received()
        if not self._received:
            self._check_failure()
        return self._take_received()

    async def write(self, data: bytes) -> None:
        """Write ``data``, and wait while the write buffer is too full.

        At the end of the peer's stream it does not wait; a read then returns
        what the peer has sent, or its end.

        :raises OSError: if the connection was lost.
        """
        self.transport.write(data)
        while self._writing_paused and not self._at_eof:
            await self._wait_sent()
        self._check_failure()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        if self._transport is not None:
            self._transport.abort()


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
