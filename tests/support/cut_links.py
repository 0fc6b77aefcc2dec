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

"""Links from routers to upstreams that can be cut, one router at a time.

All routers of a test share a process, so the links are told apart by the
context in which a router was started: its tasks inherit that context.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import contextvars
import enum
import socket
import struct
from unittest import mock

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream

READ_BYTES = 64 * 1024
# SO_LINGER on, with zero seconds: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_owner: contextvars.ContextVar[str] = contextvars.ContextVar(
    'owner', default=''
)


class Cut(enum.Enum):
    """What happens to the connections of a router that is cut off."""

    # Nothing arrives any more, and new connections are not answered.
    HANG = enum.auto()
    # Open connections are reset, and so are new ones.
    RESET = enum.auto()
    # Open connections live on; new ones are refused.
    REFUSE_NEW = enum.auto()


class Link:
    """A connection of a router to an upstream, through a local relay."""

    def __init__(
        self, near: asyncio.StreamWriter, far: asyncio.StreamWriter
    ) -> None:
        self._writers = (near, far)
        self.passing = asyncio.Event()
        self.passing.set()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes while the link passes any, up to their end."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
            await self.passing.wait()
        writer.close()

    def apply(self, how: Cut) -> None:
        """Apply a cut to the open connection."""
        if how is Cut.HANG:
            self.passing.clear()
        elif how is Cut.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset the connection at both ends."""
        for writer in self._writers:
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()


class CutLinks:
    """Connects routers with upstreams until they are cut off from them."""

    def __init__(self) -> None:
        self._upstreams: set[Address] = set()
        self._cuts: dict[str, Cut] = {}
        self._links: dict[str, list[Link]] = {}
        self._pumps: set[asyncio.Task[None]] = set()
        self._open = ByteStream.open

    def add_upstream(self, address: Address) -> None:
        """Let the links to an address be cut."""
        self._upstreams.add(address)

    def cut(self, router: str, how: Cut) -> None:
        """Cut a router off from all upstreams."""
        self._cuts[router] = how
        for link in self._links.get(router, []):
            link.apply(how)

    def heal(self, router: str) -> None:
        """End the cut of a router; bytes that were held up arrive."""
        self._cuts.pop(router, None)
        for link in self._links.get(router, []):
            link.passing.set()

    @contextlib.contextmanager
    def owned_by(self, router: str) -> Iterator[None]:
        """Count the connections of tasks started in the block as its own."""
        token = _owner.set(router)
        try:
            yield
        finally:
            _owner.reset(token)

    @contextlib.contextmanager
    def in_use(self) -> Iterator[None]:
        """Let all connections to upstreams use these links."""
        with mock.patch.object(ByteStream, 'open', self._open_link):
            yield

    async def close(self) -> None:
        """Close every link."""
        for links in self._links.values():
            for link in links:
                link.reset()
        for pump in self._pumps:
            pump.cancel()
        await asyncio.gather(*self._pumps, return_exceptions=True)

    async def _open_link(
        self, address: Address, tls: object = None
    ) -> ByteStream:
        if address not in self._upstreams:
            return await self._open(address)
        router = _owner.get()
        how = self._cuts.get(router)
        if how is Cut.HANG:
            await asyncio.Event().wait()
        if how is Cut.RESET:
            raise ConnectionResetError('reset by the cut')
        if how is Cut.REFUSE_NEW:
            raise ConnectionRefusedError('refused by the cut')
        accepted: asyncio.Future[
            tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = asyncio.Future()
        relay = await asyncio.start_server(
            lambda reader, writer: accepted.set_result((reader, writer)),
            '127.0.0.1',
            0,
        )
        port = relay.sockets[0].getsockname()[1]
        stream = await self._open(Address('127.0.0.1', port))
        near_reader, near_writer = await accepted
        relay.close()
        far_reader, far_writer = await asyncio.open_connection(
            address.host, address.port
        )
        link = Link(near_writer, far_writer)
        self._links.setdefault(router, []).append(link)
        for reader, writer in (
            (near_reader, far_writer),
            (far_reader, near_writer),
        ):
            pump = asyncio.create_task(link.pump(reader, writer))
            self._pumps.add(pump)
            pump.add_done_callback(self._pumps.discard)
        if router in self._cuts:
            # It was cut off while this connection was opened.
            link.apply(self._cuts[router])
        return stream
