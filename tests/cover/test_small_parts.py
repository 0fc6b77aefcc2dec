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

"""Tests of answers that arrive in small parts."""

import asyncio
import unittest

from lifttrestle.errors import UpstreamBrokeOff
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.fleet.path.event_relay import EventRelay
from lifttrestle.internal.fleet.path.event_relay import MAX_OUT_OF_ORDER
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.client_connection import MAX_JOINED_PARTS
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.part_counter import MAX_SMALL_PARTS
from lifttrestle.internal.http.part_counter import SMALL_PART_BYTES
from lifttrestle.internal.http.stream import Stream

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
END = b'0\r\n\r\n'
LIMIT = 10_000_000


class ReceivedStream(Stream):
    """Has received some bytes already, and nothing follows them."""

    is_idle = True

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def read(self) -> bytes:
        data, self._data = self._data, b''
        return data

    async def write(self, data: bytes) -> None:
        """Discard the request."""

    def abort(self) -> None:
        """Do nothing; nothing is open."""


def make_chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


async def receive(data: bytes) -> ClientConnection:
    """Return a connection that has received an answer and read its head."""
    stream = ReceivedStream(HEAD + data)
    connection = ClientConnection(Address('127.0.0.1', 9), stream)
    await connection.send_request(RequestHead('GET', '/', ()), b'')
    await connection.read_head()
    return connection


class TestParts(unittest.IsolatedAsyncioTestCase):
    async def test_parts_are_joined_in_their_order(self):
        for count in (1, MAX_JOINED_PARTS, MAX_JOINED_PARTS + 1, 1000):
            with self.subTest(count):
                parts = [b'%d,' % number for number in range(count)]
                data = b''.join(map(make_chunk, parts)) + END
                connection = await receive(data)
                body = await connection.read_body(LIMIT)
                self.assertEqual(body, b''.join(parts))
                self.assertTrue(connection.reusable)

    async def test_parts_before_an_error_are_returned(self):
        for end in (b'no size\r\n', b''):
            with self.subTest(end):
                connection = await receive(make_chunk(b'a') * 2 + end)
                self.assertEqual(await connection.read_part(), b'aa')
                with self.assertRaises(UpstreamBrokeOff):
                    await connection.read_part()

    async def test_other_tasks_run_between_parts(self):
        connection = await receive(make_chunk(b'a') * 1000 + END)
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(count_turns())
        await connection.read_body(LIMIT)
        task.cancel()
        self.assertGreaterEqual(turns, 1000 // MAX_JOINED_PARTS)

    async def test_too_many_small_parts_end_the_answer(self):
        for size, ends in ((SMALL_PART_BYTES - 1, True), (5, False)):
            with self.subTest(size=size):
                part = make_chunk(b'x' * size)
                count = MAX_SMALL_PARTS + MAX_JOINED_PARTS
                connection = await receive(part * count + END)
                if not ends:
                    await connection.read_body(LIMIT)
                    continue
                with self.assertRaises(UpstreamLost):
                    await connection.read_body(LIMIT)

    async def test_parts_that_were_of_use_do_not_count(self):
        parts = 2 * MAX_SMALL_PARTS
        connection = await receive(make_chunk(b'x') * parts + END)
        received = 0
        while data := await connection.read_part():
            received += len(data)
            connection.note_parts_used()
        self.assertEqual(received, parts)


class TestRepeatedEvents(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.relay = EventRelay(None, 10 * MAX_OUT_OF_ORDER)
        self.relay.begin_stream(200, ())

    async def test_stream_may_begin_with_all_that_the_caller_has(self):
        for number in range(10 * MAX_OUT_OF_ORDER + 1):
            await self.relay.feed(b'id: %d\n\n' % number)
        self.assertFalse(self.relay.started)

    async def test_events_out_of_order_end_the_stream(self):
        for _ in range(MAX_OUT_OF_ORDER + 1):
            await self.relay.feed(b'id: 1\n\n')
        with self.assertRaises(UpstreamLost):
            await self.relay.feed(b'id: 1\n\n')


if __name__ == '__main__':
    unittest.main()
