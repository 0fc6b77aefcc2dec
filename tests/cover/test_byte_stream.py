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

"""Tests of the TCP timeouts of a connection."""

import asyncio
import socket
import unittest

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.byte_stream import USER_TIMEOUT_MS

MILLISECONDS = 1000


async def open_pair():
    """Return a server, and the client and server side of a connection."""
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
    sock = stream._transport.get_extra_info('socket')

    def read_option(option):
        return sock.getsockopt(socket.IPPROTO_TCP, option)

    keepalive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    probes_seconds = read_option(socket.TCP_KEEPIDLE) + read_option(
        socket.TCP_KEEPINTVL
    ) * read_option(socket.TCP_KEEPCNT)
    return (
        bool(keepalive),
        probes_seconds,
        read_option(socket.TCP_USER_TIMEOUT),
    )


class TestTcpTimeouts(unittest.IsolatedAsyncioTestCase):
    async def test_regression_idle_connection_has_tcp_keepalive(
        self,
    ):
        # Without keepalive, only unacknowledged bytes closed a connection. If
        # the upstream's host became unreachable after it had acknowledged the
        # request, the caller waited until its deadline.
        server, *streams = await open_pair()
        try:
            for stream in streams:
                keepalive, probes_seconds, user_timeout_ms = read_options(
                    stream
                )
                self.assertTrue(keepalive)
                self.assertEqual(user_timeout_ms, USER_TIMEOUT_MS)
                self.assertLessEqual(
                    probes_seconds * MILLISECONDS, USER_TIMEOUT_MS
                )
        finally:
            for stream in streams:
                stream.abort()
            server.close()
