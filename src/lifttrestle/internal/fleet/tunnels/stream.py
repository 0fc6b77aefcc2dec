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

"""The byte stream of a connection that another router forwards."""

from lifttrestle.errors import PathLost
from lifttrestle.internal.fleet.tunnels.messages import LENGTH_BYTES
from lifttrestle.internal.fleet.tunnels.messages import STOPPING
from lifttrestle.internal.fleet.tunnels.messages import UPSTREAM_CLOSED
from lifttrestle.internal.fleet.tunnels.messages import UPSTREAM_RESET
from lifttrestle.internal.http.stream import Stream


class TunnelStream(Stream):
    """Unpacks what an upstream sends from the chunks of a tunnel.

    :param stream: connection to the router that forwards.
    :param received: what was read from it after the status byte.
    """

    def __init__(self, stream: Stream, received: bytes = b'') -> None:
        self._stream = stream
        self._pending = received
        self._left_in_chunk = 0
        self._closed = False
        self._stopping = False

    @property
    def is_idle(self) -> bool:
        """Return whether it may carry another request."""
        is_between_chunks = not self._pending and not self._left_in_chunk
        return (
            is_between_chunks
            and not self._closed
            and not self._stopping
            and self._stream.is_idle
        )

    async def read(self) -> bytes:
        """Return some bytes of the upstream; empty once it has closed.

        :raises PathLost: if the router that forwards is gone.
        :raises OSError: if the upstream reset its connection.
        """
        while not self._closed:
            if not self._pending:
                self._pending = await self._receive()
            if self._left_in_chunk:
                return self._take()
            while len(self._pending) < LENGTH_BYTES:
                self._pending += await self._receive()
            length = int.from_bytes(self._pending[:LENGTH_BYTES], 'big')
            self._pending = self._pending[LENGTH_BYTES:]
            self._apply(length)
        return b''

    def _apply(self, length: int) -> None:
        """Apply a mark, or begin a chunk."""
        if length == UPSTREAM_CLOSED:
            self._closed = True
        elif length == UPSTREAM_RESET:
            raise OSError('the upstream reset its connection')
        elif length == STOPPING:
            self._stopping = True
        else:
            self._left_in_chunk = length

    def _take(self) -> bytes:
        data = self._pending[: self._left_in_chunk]
        self._pending = self._pending[self._left_in_chunk :]
        self._left_in_chunk -= len(data)
        return data

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.read()
        except OSError as error:
            raise PathLost(str(error)) from error
        if not data:
            raise PathLost('the router that forwards it closed')
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes to the upstream.

        :raises PathLost: if the router that forwards them is gone.
        """
        try:
            await self._stream.write(data)
        except OSError as error:
            raise PathLost(str(error)) from error

    def abort(self) -> None:
        """Close the tunnel; the upstream's connection is closed as well."""
        self._stream.abort()
