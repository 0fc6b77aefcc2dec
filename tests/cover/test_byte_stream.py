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

"""Tests of what bounds the silence of a connection."""

import asyncio
import socket
import unittest

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.byte_stream import UNACKNOWLEDGED_MS

MILLISECONDS = 1000


async def open_pair():
    """Return a server and both ends of one connection to it."""
    loop = asyncio.get_running_loop()
    accepted = loop.create_future()

    def accept():
        stream = ByteStream()
        accepted.set_result(stream)
        return stream

    server = await loop.create_server(accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    opened = await ByteStream.open(Address(host, port))
    return server, opened, await accepted


def read_options(stream):
    link = stream._transport.get_extra_info('socket')

    def get(option):
        return link.getsockopt(socket.IPPROTO_TCP, option)

    alive = link.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    probes_seconds = get(socket.TCP_KEEPIDLE) + get(
        socket.TCP_KEEPINTVL
    ) * get(socket.TCP_KEEPCNT)
    return bool(alive), probes_seconds, get(socket.TCP_USER_TIMEOUT)


class TestSilence(unittest.IsolatedAsyncioTestCase):
    async def test_regression_silent_connection_without_traffic_is_broken(
        self,
    ):
        # Only bytes that were not acknowledged broke a connection: one that
        # went silent after its request had arrived held a caller until the
        # end of its time.
        server, *streams = await open_pair()
        try:
            for stream in streams:
                alive, probes_seconds, unacknowledged_ms = read_options(stream)
                self.assertTrue(alive)
                self.assertEqual(unacknowledged_ms, UNACKNOWLEDGED_MS)
                self.assertLessEqual(
                    probes_seconds * MILLISECONDS, UNACKNOWLEDGED_MS
                )
        finally:
            for stream in streams:
                stream.abort()
            server.close()
