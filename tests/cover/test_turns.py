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

"""Tests of callers whose bytes take much processor time."""

import asyncio
import unittest
from unittest import mock

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.request_reader import EVENTS_PER_TURN
from lifttrestle.internal.http.request_reader import RequestReader
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection

HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
CROWD = 5
CHUNKS = 2000
WAIT_SECONDS = 20.0


class TestTurns(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.events = 0
        self.requests = 0
        parse = RequestReader._parse

        def count(reader):
            self.events += 1
            return parse(reader)

        self.enterContext(mock.patch.object(RequestReader, '_parse', count))
        server = HttpServer(self.handle, HttpLimits())
        self.address = await server.start(Address('127.0.0.1', 0))
        self.addAsyncCleanup(server.stop, 0)

    async def handle(
        self, connection: ServerConnection, _head: RequestHead
    ) -> None:
        self.requests += 1
        await connection.read_body()
        await connection.send_answer(Answer(200, (), b'done'))

    async def send(self, data):
        for _ in range(CROWD):
            _, writer = await asyncio.open_connection(
                self.address.host, self.address.port
            )
            self.addCleanup(writer.close)
            writer.write(data)

    async def measure_most(self, read):
        """Return the most by which a count grows while the loop runs once."""
        most = 0
        before = read()
        async with asyncio.timeout(WAIT_SECONDS):
            quiet = 0
            while quiet < 2000:
                await asyncio.sleep(0)
                now = read()
                quiet = 0 if now > before else quiet + 1
                most = max(most, now - before)
                before = now
        return most

    async def test_regression_tiny_chunks_of_many_were_parsed_in_one_go(self):
        await self.send(HEAD + CHUNKS * b'1\r\nx\r\n')
        most = await self.measure_most(lambda: self.events)
        self.assertGreater(self.events, CROWD * CHUNKS)
        # Each connection has some events before it needs a turn.
        self.assertLessEqual(most, (CROWD + 1) * EVENTS_PER_TURN)

    async def test_regression_requests_sent_ahead_were_served_in_one_go(self):
        await self.send(50 * GET)
        most = await self.measure_most(lambda: self.requests)
        self.assertEqual(self.requests, 50 * CROWD)
        # The first ones of all, and one that was sent ahead.
        self.assertLessEqual(most, CROWD + 1)


if __name__ == '__main__':
    unittest.main()
