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

"""Tests of the places of connections, and of who gives one to a newcomer."""

import asyncio
import unittest

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.places import choose_place
from lifttrestle.internal.http.places import get_most_leaving
from lifttrestle.internal.http.places import Occupation
from lifttrestle.internal.http.places import Place
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.body import build_refusal

PLACES = 3
WAIT_SECONDS = 10.0
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
UNFINISHED = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx'


class TestChoice(unittest.TestCase):
    def choose(self, *places):
        chosen = choose_place(Place(*place) for place in places)
        return chosen and chosen.holder

    def test_callers_without_a_request_come_first(self):
        self.assertEqual(
            self.choose(
                ('idle', Occupation.IDLE, 1.0),
                ('silent', Occupation.NO_REQUEST, 5.0),
                ('stalled', Occupation.STALLED, 0.0),
            ),
            'silent',
        )

    def test_longest_comes_first(self):
        self.assertEqual(
            self.choose(
                ('late', Occupation.IDLE, 2.0), ('early', Occupation.IDLE, 1.0)
            ),
            'early',
        )

    def test_requests_that_run_keep_their_place(self):
        self.assertIsNone(self.choose(('runs', Occupation.AT_WORK, 0.0)))


class TestPlaces(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.released = asyncio.Event()
        limits = HttpLimits(max_connections=PLACES)
        self.server = HttpServer(self.handle, limits)
        self.address = await self.server.start(Address('127.0.0.1', 0))
        self.addAsyncCleanup(self.server.stop, 0)

    async def handle(
        self, connection: ServerConnection, _head: RequestHead
    ) -> None:
        try:
            await connection.read_body()
        except RequestRefused as refused:
            await connection.send_answer(build_refusal(refused, '-'))
            return
        await self.released.wait()
        await connection.send_answer(Answer(200, (), b'done'))

    async def connect(self, data=b''):
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        writer.write(data)
        for _ in range(20):
            await asyncio.sleep(0.001)
        return reader, writer

    async def read_status(self, reader):
        async with asyncio.timeout(WAIT_SECONDS):
            return (await reader.readline()).decode()[9:12]

    async def test_regression_silent_connection_kept_a_newcomer_out(self):
        self.released.set()
        first, _ = await self.connect()
        for _ in range(PLACES - 1):
            await self.connect(b'G')
        newcomer, _ = await self.connect(REQUEST)
        self.assertEqual(await self.read_status(newcomer), '200')
        async with asyncio.timeout(WAIT_SECONDS):
            self.assertEqual(await first.read(), b'')
        self.assertEqual(self.server.displaced, 1)

    async def test_idle_connection_gives_way_after_silent_ones(self):
        self.released.set()
        idle, writer = await self.connect(REQUEST)
        self.assertEqual(await self.read_status(idle), '200')
        for _ in range(PLACES):
            await self.connect()
        await idle.readuntil(b'done')
        writer.write(REQUEST)
        self.assertEqual(await self.read_status(idle), '200')

    async def test_unfinished_request_is_refused_for_a_newcomer(self):
        readers = [(await self.connect(UNFINISHED))[0] for _ in range(PLACES)]
        self.released.set()
        newcomer, _ = await self.connect(REQUEST)
        self.assertEqual(await self.read_status(newcomer), '200')
        async with asyncio.timeout(WAIT_SECONDS):
            answer = await readers[0].read()
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
        self.assertIn(b'retry-after', answer)
        self.assertIn(b'"ran":"not run"', answer)

    async def test_requests_that_run_are_not_displaced(self):
        readers = [(await self.connect(REQUEST))[0] for _ in range(PLACES)]
        newcomer, _ = await self.connect(REQUEST)
        self.assertEqual(await self.read_status(newcomer), '503')
        self.released.set()
        for reader in readers:
            self.assertEqual(await self.read_status(reader), '200')

    async def test_regression_refused_connections_had_no_bound(self):
        for _ in range(PLACES):
            await self.connect(REQUEST)
        for _ in range(4 * get_most_leaving(PLACES)):
            await self.connect(REQUEST)
            self.assertLessEqual(
                len(self.server._tasks), PLACES + get_most_leaving(PLACES)
            )


if __name__ == '__main__':
    unittest.main()
