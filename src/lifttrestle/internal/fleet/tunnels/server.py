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

"""Forwards connections of other routers to upstreams that this one reaches."""

import asyncio

from lifttrestle.errors import InputRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.tunnels.messages import encode_chunk
from lifttrestle.internal.fleet.tunnels.messages import encode_mark
from lifttrestle.internal.fleet.tunnels.messages import MAX_REQUEST_BYTES
from lifttrestle.internal.fleet.tunnels.messages import STATUS_BYTES
from lifttrestle.internal.fleet.tunnels.messages import STOPPING
from lifttrestle.internal.fleet.tunnels.messages import TunnelRequest
from lifttrestle.internal.fleet.tunnels.messages import TunnelStatus
from lifttrestle.internal.fleet.tunnels.messages import UPSTREAM_CLOSED
from lifttrestle.internal.fleet.tunnels.messages import UPSTREAM_RESET
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.connection_listener import ConnectionListener
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('tunnels')
# Each takes two descriptors and up to 128 KiB of buffers.
MAX_TUNNELS = 256
REQUEST_SECONDS = 1.0
# Longer than for own requests: the router that asks turns to others meanwhile.
CONNECT_SECONDS = 0.5
STOP_POLL_SECONDS = 0.05
READ_BYTES = 64 * 1024


class TunnelServer:
    """Serves the tunnels of other routers.

    Only routers of the roster may use it, from the hosts that they announce.
    It connects to upstreams directly and never through a third router.
    """

    def __init__(
        self, directory: UpstreamDirectory, roster: Roster, clock: Clock
    ) -> None:
        self._directory = directory
        self._roster = roster
        self._clock = clock
        self._listener = ConnectionListener(self._serve)
        # The start that each open tunnel leads to.
        self._open: dict[asyncio.StreamWriter, str] = {}
        self._stopping = False

    @property
    def tunnels(self) -> int:
        """Return the number of open tunnels."""
        return len(self._open)

    async def start(self, address: Address) -> Address:
        """Listen at an address and return the bound one."""
        return await self._listener.start(address)

    def announce_stop(self) -> None:
        """Refuse new tunnels, and have open ones end with their answers."""
        self._stopping = True
        for writer in self._open:
            writer.write(encode_mark(STOPPING))

    def announce_pause(self, start: str) -> None:
        """Have the open tunnels to a start end with their answers."""
        for writer, other in self._open.items():
            if other == start:
                writer.write(encode_mark(STOPPING))

    async def stop(self, seconds: float) -> None:
        """Wait until the tunnels are closed, then close the rest.

        :param seconds: how long to wait at most.
        """
        until = self._clock.monotonic() + seconds
        while self._open and self._clock.monotonic() < until:
            await self._clock.sleep(STOP_POLL_SECONDS)
        if self._open:
            LOG.warning('tunnels.cut', tunnels=len(self._open))
        await self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with ReadTimeout(REQUEST_SECONDS):
                data = await read_frame(reader, MAX_REQUEST_BYTES)
            request = decode_msgpack(data, TunnelRequest)
        except (OSError, TimeoutError, InputRefused) as error:
            LOG.warning('tunnels.bad_request', reason=str(error))
            return
        host = writer.get_extra_info('peername')[0]
        if not self._roster.is_known_host(request.router, host):
            LOG.warning('tunnels.stranger', host=host, router=request.router)
            return
        status, stream = await self._connect(request)
        LOG.info(
            'tunnels.requested',
            router=request.router,
            start=request.start,
            status=status.name.lower(),
        )
        writer.write(status.to_bytes(STATUS_BYTES, 'big'))
        if stream is not None:
            await self._forward(reader, writer, stream, request.start)

    async def _connect(
        self, request: TunnelRequest
    ) -> tuple[TunnelStatus, ByteStream | None]:
        """Connect to the upstream of a request, unless that is hopeless."""
        upstream = self._directory.get_start(request.start)
        status = self._check(upstream)
        if status is not TunnelStatus.CONNECTED or upstream is None:
            return status, None
        try:
            async with ReadTimeout(CONNECT_SECONDS):
                stream = await ByteStream.open(upstream.pool.address)
        except (OSError, TimeoutError):
            upstream.reach.note_unreachable(self._clock.monotonic())
            return TunnelStatus.UNREACHABLE, None
        upstream.reach.note_reachable(self._clock.monotonic())
        # A pause or the stop of this router may have begun meanwhile.
        status = self._check(upstream)
        if status is not TunnelStatus.CONNECTED:
            stream.abort()
            return status, None
        return status, stream

    def _check(self, upstream: FleetUpstream | None) -> TunnelStatus:
        if self._stopping:
            return TunnelStatus.STOPPING
        if len(self._open) >= MAX_TUNNELS:
            return TunnelStatus.BUSY
        if upstream is None or upstream.draining or upstream.misdirected:
            return TunnelStatus.UNKNOWN_START
        now = self._clock.monotonic()
        if upstream.rejections.get_requested_seconds(now):
            return TunnelStatus.BUSY
        if upstream.reach.unreachable:
            return TunnelStatus.UNREACHABLE
        return TunnelStatus.CONNECTED

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stream: ByteStream,
        start: str,
    ) -> None:
        """Pass bytes in both directions until either end has closed."""
        self._open[writer] = start
        sending = asyncio.create_task(_pass_requests(reader, stream))
        answering = asyncio.create_task(_pass_answers(stream, writer))
        try:
            await asyncio.wait(
                {sending, answering}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._open.pop(writer, None)
            stream.abort()
            for task in (sending, answering):
                task.cancel()
            await asyncio.gather(sending, answering, return_exceptions=True)


async def _pass_requests(
    reader: asyncio.StreamReader, stream: ByteStream
) -> None:
    """Pass bytes to an upstream until the other router closes."""
    try:
        while data := await reader.read(READ_BYTES):
            await stream.write(data)
    except OSError as error:
        LOG.info('tunnels.request_lost', reason=str(error))
        # What the upstream has sent, or its reset, is still passed on.
        await asyncio.Event().wait()


async def _pass_answers(
    stream: ByteStream, writer: asyncio.StreamWriter
) -> None:
    """Pass bytes of an upstream, and how its connection ended."""
    while True:
        try:
            data = await stream.read()
        except OSError:
            end = UPSTREAM_RESET
            break
        if not data:
            end = UPSTREAM_CLOSED
            break
        writer.write(encode_chunk(data))
        await writer.drain()
    writer.write(encode_mark(end))
    await writer.drain()
