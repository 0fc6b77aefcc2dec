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

"""Bytes from and to one caller, within the limits of a server."""

import asyncio

from lifttrestle.errors import CallerGone
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.byte_stream import set_tcp_timeouts
from lifttrestle.internal.http.caller_protocol import BODY_READ_BYTES
from lifttrestle.internal.http.caller_protocol import CallerProtocol
from lifttrestle.internal.http.caller_protocol import HEAD_READ_BYTES
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.socket_protocol import Pause
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('http')


class CallerStream:
    """Reads and writes the TCP connection of one caller."""

    def __init__(self, protocol: CallerProtocol, limits: HttpLimits) -> None:
        self._protocol = protocol
        self._limits = limits
        self._transport = protocol.transport
        set_tcp_timeouts(self._transport)
        self._transport.set_write_buffer_limits(high=limits.write_buffer_bytes)

    @property
    def peer(self) -> str:
        """Return the IP address and port of the caller, or an empty text."""
        name = self._transport.get_extra_info('peername')
        return f'{name[0]}:{name[1]}' if name else ''

    @property
    def buffered(self) -> int:
        """Return the bytes that were not read, or not sent, yet."""
        return self._protocol.unread + self._protocol.unsent

    @property
    def has_unread(self) -> bool:
        """Return whether bytes were received and not read."""
        return self._protocol.unread > 0

    @property
    def is_lost(self) -> bool:
        """Return whether the connection is closed in both directions."""
        return self._transport.is_closing()

    @property
    def is_writing_blocked(self) -> bool:
        """Return whether the caller does not take what is sent to it."""
        return self._protocol.is_writing_blocked

    def expect_head(self) -> None:
        """Receive little at a time."""
        self._protocol.set_most_unread(HEAD_READ_BYTES)

    def expect_body(self) -> None:
        """Receive more at a time."""
        self._protocol.set_most_unread(BODY_READ_BYTES)

    def discard_received(self) -> None:
        """Forget what was received and not read."""
        self._protocol.discard_received()

    def pause_reading(self) -> bool:
        """Pause reading from the socket; return False if it was before."""
        return self._protocol.pause(Pause.HELD)

    def resume_reading(self) -> None:
        """Resume reading from the socket."""
        self._protocol.resume(Pause.HELD)

    async def read(self) -> bytes:
        """Return received bytes; empty if the caller has closed.

        :raises OSError: if the connection is broken.
        """
        return await self._protocol.read()

    async def wait_at_eof(self) -> None:
        """Wait until the caller closes or resets the connection."""
        await self._protocol.wait_at_eof()

    async def read_before_idle_limit(self) -> bytes:
        """Return received bytes; empty if the connection has to be closed."""
        loop = asyncio.get_running_loop()
        limit = self._limits.idle_seconds
        began_at = loop.time()
        data = b''
        try:
            async with ReadTimeout(limit):
                data = await self.read()
        except TimeoutError:
            data = await self.take_received()
            if not data:
                LOG.debug('connection.idle_closed', limit=limit)
        idle = loop.time() - began_at
        if data and idle > limit:
            LOG.info(
                'connection.used_at_limit', limit=limit, idle=round(idle, 3)
            )
        return data

    async def take_received(self) -> bytes:
        """Return what was received and not read yet, without waiting.

        As reading from the socket is paused meanwhile, nothing is received
        between an empty result and the next step of the caller. It stays
        paused if it was before, and if the stop cancels this task.
        """
        was_reading = self.pause_reading()
        data = b''
        try:
            async with asyncio.timeout(0):
                data = await self.read()
        except TimeoutError:
            pass
        if was_reading:
            self.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Write bytes, waiting while the write buffer is full.

        :raises CallerGone: if the caller disconnected or stopped reading.
        """
        self._protocol.write(data)
        if self._is_flushed():
            # The usual case, which needs no timer. Setting one for each write
            # took 50 of the 186 system calls of a request.
            return
        try:
            async with asyncio.timeout(self._limits.stalled_reader_seconds):
                await self._protocol.drain()
        except TimeoutError:
            self.abort()
            raise CallerGone('the caller stopped reading') from None
        except OSError as error:
            raise CallerGone('the caller closed its connection') from error

    def _is_flushed(self) -> bool:
        """Return whether the write buffer is empty, and writing possible."""
        transport = self._transport
        return (
            not transport.is_closing()
            and transport.get_write_buffer_size() == 0
        )

    def abort(self) -> None:
        """Close at once, so that the caller detects an incomplete answer."""
        self._transport.abort()

    async def close(self) -> None:
        """Close the connection after giving sent answers time to arrive."""
        if self._transport.is_closing():
            return
        try:
            await self._linger()
        except OSError:
            pass
        finally:
            self._protocol.close()

    async def _linger(self) -> None:
        # Closing a socket with unread bytes resets the connection, and the
        # caller can receive the reset before it has read the answer. So the
        # rest of the request is read and discarded.
        if not self._transport.can_write_eof():
            return
        self._transport.write_eof()
        try:
            async with asyncio.timeout(1.0):
                while await self.read():
                    pass
        except TimeoutError:
            pass
