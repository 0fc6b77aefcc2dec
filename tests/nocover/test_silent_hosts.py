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

"""Tests of connections to hosts from which nothing arrives any more."""

import asyncio
import ctypes
import socket
import struct
import time
import unittest

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.byte_stream import KEEPALIVE_INTERVAL_SECONDS
from lifttrestle.internal.http.byte_stream import USER_TIMEOUT_MS

# Linux: attaches a socket filter; the program "return 0" drops each packet.
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)
# The end is noticed at a probe or a retransmission, which may be this late.
MOST_SECONDS = USER_TIMEOUT_MS / 1000 + KEEPALIVE_INTERVAL_SECONDS
MARGIN_SECONDS = 0.5
# How long a sound host may be silent.
PAUSE_SECONDS = 1.0


def silence(sock):
    """Drop what arrives at a socket, so that nothing is acknowledged."""
    program = ctypes.create_string_buffer(DROP_ALL)
    filters = struct.pack('HL', 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filters)


class TestSilentHost(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.stream = await ByteStream.open(Address(host, port))
        self.addCleanup(self.stream.abort)
        self.peer, _ = listener.accept()
        self.addCleanup(self.peer.close)

    async def _measure_end(self):
        began_at = time.monotonic()
        with self.assertRaises(OSError):
            await self.stream.read()
        seconds = time.monotonic() - began_at
        self.assertLessEqual(seconds, MOST_SECONDS + MARGIN_SECONDS)
        return seconds

    async def test_idle_connection_ends(self):
        silence(self.peer)
        await self._measure_end()

    async def test_connection_with_unacknowledged_bytes_ends(self):
        silence(self.peer)
        await self.stream.write(b'x')
        await self._measure_end()

    async def test_second_of_silence_does_not_end_it(self):
        await asyncio.sleep(KEEPALIVE_INTERVAL_SECONDS)
        silence(self.peer)
        seconds = await self._measure_end()
        self.assertGreater(seconds, PAUSE_SECONDS)

    async def test_silent_sender_that_acknowledges_is_kept(self):
        reading = asyncio.create_task(self.stream.read())
        await asyncio.sleep(MOST_SECONDS + MARGIN_SECONDS)
        self.assertFalse(reading.done())
        self.peer.sendall(b'x')
        self.assertEqual(await reading, b'x')
