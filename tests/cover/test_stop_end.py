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

"""Tests of requests that are in progress as a stop nears its end."""

import asyncio
import unittest

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.path.watched_work import read_body
from lifttrestle.internal.fleet.path.watched_work import run_while_connected
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.body import build_refusal
from tests.support.stalls import stall

GRACE_SECONDS = 1.0
# Begins before requests are refused, and ends after answers are aborted.
STALL_AT = 0.9
STALL_SECONDS = 0.15
TEST_SECONDS = 10.0
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n'


class TestEnd(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        self.shutdown = Shutdown(SystemClock())

    async def connect(
        self, server: HttpServer
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        address = await server.start(Address('127.0.0.1', 0))
        streams = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(streams[1].close)
        return streams

    async def serve(
        self, connection: ServerConnection, _head: RequestHead
    ) -> None:
        try:
            await read_body(connection, self.shutdown)
            await run_while_connected(
                asyncio.sleep(TEST_SECONDS), connection, self.shutdown
            )
        except RequestRefused as refused:
            await connection.send_answer(build_refusal(refused, 'a'))

    async def test_regression_stall_aborted_what_should_be_refused(
        self,
    ) -> None:
        # Both moments passed while the event loop was blocked, and the abort
        # took fewer of its iterations than the refusal.
        for body in (b'body', b'bo'):
            with self.subTest(body=body):
                self.shutdown = Shutdown(SystemClock())
                received = await self.stop_during(body)
                self.assertIn(b'503', received)

    async def stop_during(self, body: bytes) -> bytes:
        """Return the answer to a request that is in progress at the end."""
        server = HttpServer(self.serve, HttpLimits())
        reader, writer = await self.connect(server)
        writer.write(HEAD + body)
        while not server.busy:
            await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        self.shutdown.begin(GRACE_SECONDS)
        ending = asyncio.create_task(self.shutdown.signal_ending())
        loop.call_later(STALL_AT, stall, STALL_SECONDS)
        async with asyncio.timeout(TEST_SECONDS):
            await server.stop(
                self.shutdown.get_abort_seconds(),
                self.shutdown.get_flush_seconds(),
            )
            await ending
            try:
                return await reader.read()
            except ConnectionResetError:
                return b''

    async def test_regression_end_of_a_complete_body_left_a_traceback(
        self,
    ) -> None:
        # The body was complete in the iteration of the event loop in which the
        # stop ended its read: "Cannot change state of finished Timeout".
        bodies = []

        async def receive(
            connection: ServerConnection, _head: RequestHead
        ) -> None:
            bodies.append(await read_body(connection, self.shutdown))
            connection.abort()

        server = HttpServer(receive, HttpLimits())
        reader, writer = await self.connect(server)
        writer.write(HEAD)
        while not server.busy:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        writer.write(b'body')
        loop = asyncio.get_running_loop()
        # Timers run after the bytes are read and before their task.
        loop.call_later(0.0, self.shutdown.ending.set_result, None)
        stall(0.01)
        async with asyncio.timeout(TEST_SECONDS):
            await reader.read()
        self.assertEqual(bodies, [b'body'])
        self.assertEqual(self.errors, [])
        await server.stop(0)


if __name__ == '__main__':
    unittest.main()
