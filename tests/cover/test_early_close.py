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

"""Tests of upstreams that close while a request is being sent."""

import asyncio
import unittest

from lifttrestle.errors import UpstreamBrokeOff
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead

# More than fits into the buffers of both sockets.
BODY = bytes(16 * 1024 * 1024)
ANSWER = b'HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n'
TEST_SECONDS = 10.0


class TestEarlyClose(unittest.IsolatedAsyncioTestCase):
    async def send(self, answer: bytes) -> ClientConnection:
        """Send a request to a server that answers before it reads the body."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            writer.write_eof()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname()[:2])
        connection = await ClientConnection.open(address, TEST_SECONDS)
        self.addCleanup(connection.close)
        async with asyncio.timeout(TEST_SECONDS):
            await connection.send_request(RequestHead('POST', '/', ()), BODY)
        return connection

    async def test_early_answer_is_read(self) -> None:
        connection = await self.send(ANSWER)
        async with asyncio.timeout(TEST_SECONDS):
            self.assertEqual((await connection.read_head()).status, 413)
        self.assertFalse(connection.reusable)

    async def test_close_without_an_answer_is_an_error(self) -> None:
        connection = await self.send(b'')
        async with asyncio.timeout(TEST_SECONDS):
            with self.assertRaises(UpstreamBrokeOff):
                await connection.read_head()


if __name__ == '__main__':
    unittest.main()
