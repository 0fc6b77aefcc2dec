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

"""Tests of answers to earlier requests on a connection."""

import asyncio
import unittest

from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead

MAX_BYTES = 1024
TEST_SECONDS = 10.0
EARLIER = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nearl'
REST = b'lier'
ANSWER = b'HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok'


class TestSkippedAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_regression_read_was_resumed_within_a_skipped_answer(
        self,
    ) -> None:
        # A read that timed out within the answer to an earlier request took
        # the rest of that answer for a broken one to this request.
        sent_rest = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(EARLIER)
            await sent_rest.wait()
            writer.write(REST + ANSWER)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname()[:2])
        connection = await ClientConnection.open(address, TEST_SECONDS)
        self.addCleanup(connection.close)
        await connection.send_request(RequestHead('GET', '/', ()), b'')
        async with asyncio.timeout(TEST_SECONDS):
            self.assertEqual((await connection.read_head()).status, 200)
            with self.assertRaises(TimeoutError):
                async with ReadTimeout(0.05):
                    await connection.skip_answer(MAX_BYTES)
            sent_rest.set()
            self.assertEqual((await connection.read_head()).status, 201)
            self.assertEqual(await connection.read_body(MAX_BYTES), b'ok')


if __name__ == '__main__':
    unittest.main()
