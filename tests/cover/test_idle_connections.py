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

"""Tests of connections on which a request arrives as they become idle."""

import asyncio
import time
import unittest

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.caller_protocol import BODY_READ_BYTES
from lifttrestle.internal.http.caller_protocol import CallerProtocol
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.receive_buffer import ReceiveBuffer
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.http.turns import Turns
from tests.support.stalls import stall
from tests.support.stalls import Stalls

GRACE_SECONDS = 10.0
IDLE_SECONDS = 0.4
# For the test that plays many pauses.
SHORT_IDLE_SECONDS = 0.1
STALLS = (0.0, IDLE_SECONDS, 1.5 * IDLE_SECONDS)
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
ANSWER_END = b'done'
# More iterations of the event loop than an accepted connection needs until it
# awaits a request.
LOOP_ITERATIONS = 10


async def answer(connection: ServerConnection, _head: RequestHead) -> None:
    await connection.read_body()
    await connection.send_answer(Answer(200, (), ANSWER_END))


class TestIdleLimit(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        await self.serve(IDLE_SECONDS)

    async def serve(self, idle_seconds: float) -> None:
        server = HttpServer(answer, HttpLimits(idle_seconds=idle_seconds))
        self.address = await server.start(Address('127.0.0.1', 0))
        self.addAsyncCleanup(server.stop, 0)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        streams = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return streams

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stall_seconds: float,
    ) -> bytes:
        """Send a request, block the event loop, and return the answer."""
        # The socket is empty, so the transport writes to it at once.
        writer.write(REQUEST)
        stall(stall_seconds)
        async with asyncio.timeout(GRACE_SECONDS):
            try:
                return await reader.readuntil(ANSWER_END)
            except asyncio.IncompleteReadError as error:
                return error.partial

    async def test_regression_first_request_at_the_limit_was_not_answered(
        self,
    ) -> None:
        # The timer of the idle limit won over the bytes that had been read.
        for seconds in STALLS:
            with self.subTest(seconds=seconds):
                reader, writer = await self.connect()
                received = await self.exchange(reader, writer, seconds)
                self.assertTrue(received.endswith(ANSWER_END))
                writer.close()

    async def test_regression_further_request_at_the_limit_was_not_answered(
        self,
    ) -> None:
        reader, writer = await self.connect()
        for seconds in STALLS:
            with self.subTest(seconds=seconds):
                received = await self.exchange(reader, writer, seconds)
                self.assertTrue(received.endswith(ANSWER_END))
        writer.close()

    async def test_use_at_the_limit_is_logged(self) -> None:
        reader, writer = await self.connect()
        with self.assertLogs('lifttrestle.http') as logs:
            await self.exchange(reader, writer, 1.5 * IDLE_SECONDS)
        writer.close()
        (record,) = logs.records
        self.assertEqual(record.getMessage(), 'connection.used_at_limit')
        self.assertEqual(record.fields['limit'], IDLE_SECONDS)
        self.assertGreaterEqual(record.fields['idle'], IDLE_SECONDS)

    async def test_idle_connection_is_closed(self) -> None:
        reader, writer = await self.connect()
        with self.assertLogs('lifttrestle.http', 'DEBUG') as logs:
            async with asyncio.timeout(GRACE_SECONDS):
                self.assertEqual(await reader.read(), b'')
        writer.close()
        self.assertEqual(
            [record.getMessage() for record in logs.records],
            ['connection.idle_closed'],
        )

    async def test_regression_look_resumed_what_the_stop_had_paused(
        self,
    ) -> None:
        # The stop pauses connections so that none of them receives a request
        # that it would not answer.
        accepted = asyncio.Queue[ServerConnection]()

        def accept(protocol: CallerProtocol) -> None:
            connection = ServerConnection(
                protocol, HttpLimits(), MemoryBudget(), Turns()
            )
            accepted.put_nowait(connection)

        buffer = ReceiveBuffer(BODY_READ_BYTES)
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerProtocol(buffer, accept), '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        _, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()[:2]
        )
        connection = await accepted.get()
        self.addCleanup(connection.abort)
        connection.pause_reading()
        self.assertEqual(await connection._stream.take_received(), b'')
        self.assertFalse(connection.pause_reading())
        connection.resume_reading()
        self.assertEqual(await connection._stream.take_received(), b'')
        self.assertTrue(connection.pause_reading())
        writer.close()

    async def test_no_request_before_the_limit_is_lost_under_stalls(
        self,
    ) -> None:
        await self.serve(SHORT_IDLE_SECONDS)
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(await self.play(seed, SHORT_IDLE_SECONDS), 0)

    async def play(self, seed: int, limit: float) -> int:
        """Send requests close to the limit; return how many were lost."""
        stalls = Stalls(seed, 0.5, (0.2 * limit, 1.5 * limit))
        lost = 0
        sent_at = time.monotonic()
        reader, writer = await self.connect()
        for _ in range(12):
            await asyncio.sleep(0.8 * limit)
            if time.monotonic() - sent_at >= limit:
                # Too late: the server may have closed the connection.
                writer.close()
                reader, writer = await self.connect()
            sent_at = time.monotonic()
            writer.write(REQUEST)
            stalls.maybe_stall()
            async with asyncio.timeout(GRACE_SECONDS):
                try:
                    await reader.readuntil(ANSWER_END)
                except asyncio.IncompleteReadError:
                    lost += 1
                    reader, writer = await self.connect()
        writer.close()
        return lost


if __name__ == '__main__':
    unittest.main()
