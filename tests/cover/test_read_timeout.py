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

"""Tests of reads whose result arrives as their time runs out."""

import asyncio
from collections.abc import AsyncIterator
import socket
import types
from typing import Any
import unittest

from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.path.attempt import read_with_timeout
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.router.call import UpstreamCall
from tests.support.stalls import stall

GRACE_SECONDS = 10.0
LIMIT_SECONDS = 0.5
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


async def arrive_after_stall() -> bytes:
    """Return bytes that arrive while the event loop is blocked."""
    loop = asyncio.get_running_loop()
    arrived = loop.create_future()
    loop.call_later(LIMIT_SECONDS / 2, arrived.set_result, b'part')
    loop.call_soon(stall, 2 * LIMIT_SECONDS)
    return await arrived


class TestReadTimeout(unittest.IsolatedAsyncioTestCase):
    async def test_result_that_has_arrived_wins(self) -> None:
        async with ReadTimeout(LIMIT_SECONDS):
            self.assertEqual(await arrive_after_stall(), b'part')

    async def test_result_that_does_not_arrive_is_given_up(self) -> None:
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(0.01):
                await asyncio.sleep(GRACE_SECONDS)

    async def test_time_that_has_already_run_out(self) -> None:
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(-1.0):
                await asyncio.sleep(GRACE_SECONDS)

    async def test_other_cancellation_is_passed_on(self) -> None:
        async def read() -> None:
            async with ReadTimeout(GRACE_SECONDS):
                await asyncio.Event().wait()

        reading = asyncio.create_task(read())
        await asyncio.sleep(0)
        reading.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await reading

    async def test_expiry_after_the_end_has_no_effect(self) -> None:
        async with ReadTimeout(None) as timeout:
            await asyncio.sleep(0)
        timeout.expire()
        await asyncio.sleep(0.01)


class TestRegressionArrivedButTimedOut(unittest.IsolatedAsyncioTestCase):
    # In each case the timer won over a result that had arrived.

    async def serve(self, limits: HttpLimits) -> tuple[Any, Any]:
        async def echo(
            connection: ServerConnection, _head: RequestHead
        ) -> None:
            body = await connection.read_body()
            await connection.send_answer(Answer(200, (), body))

        server = HttpServer(echo, limits)
        address = await server.start(Address('127.0.0.1', 0))
        self.addAsyncCleanup(server.stop, 0)
        streams = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(streams[1].close)
        return streams

    async def finish(
        self, streams: tuple[Any, Any], start: bytes, rest: bytes
    ) -> bytes:
        """Send the rest of a request while the event loop is blocked."""
        reader, writer = streams
        writer.write(start)
        await asyncio.sleep(LIMIT_SECONDS / 4)
        writer.write(rest)
        stall(LIMIT_SECONDS)
        async with asyncio.timeout(GRACE_SECONDS):
            return await reader.readuntil(b'\r\n')

    async def test_head_of_a_request(self) -> None:
        streams = await self.serve(HttpLimits(head_seconds=LIMIT_SECONDS))
        status = await self.finish(streams, HEAD, b'\r\nbody')
        self.assertIn(b'200', status)

    async def test_body_of_a_request(self) -> None:
        streams = await self.serve(HttpLimits(body_seconds=LIMIT_SECONDS))
        status = await self.finish(streams, HEAD + b'\r\nbo', b'dy')
        self.assertIn(b'200', status)

    def listen(self) -> tuple[socket.socket, Address]:
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        return listener, Address(*listener.getsockname())

    async def test_new_connection(self) -> None:
        _, address = self.listen()
        opening = asyncio.create_task(
            ClientConnection.open(address, LIMIT_SECONDS)
        )
        for _ in range(3):
            await asyncio.sleep(0)
        stall(2 * LIMIT_SECONDS)
        (await opening).close()

    async def test_answer_of_the_platform(self) -> None:
        listener, address = self.listen()
        client = JsonClient(address, SystemClock(), LIMIT_SECONDS)
        self.addCleanup(client.close)
        calling = asyncio.create_task(client.call('GET', '/'))
        accepted, _ = await asyncio.to_thread(listener.accept)
        self.addCleanup(accepted.close)
        await asyncio.to_thread(accepted.recv, 1024)
        accepted.sendall(ANSWER)
        stall(2 * LIMIT_SECONDS)
        self.assertEqual((await calling).status, 200)

    async def test_part_of_an_answer_of_the_fleet(self) -> None:
        upstream: Any = types.SimpleNamespace(
            instance='a',
            last_received_at=0.0,
            reach=types.SimpleNamespace(unreachable=False),
        )
        data = await read_with_timeout(
            SystemClock(),
            upstream,
            LIMIT_SECONDS,
            lambda: True,
            arrive_after_stall,
        )
        self.assertEqual(data, b'part')

    async def test_part_of_an_answer(self) -> None:
        async def iterate_body() -> AsyncIterator[bytes]:
            yield await arrive_after_stall()

        connection: Any = types.SimpleNamespace(
            iterate_body=iterate_body, close=lambda: None
        )
        call = UpstreamCall(
            connection, ResponseHead(200, ()), LIMIT_SECONDS, MemoryBudget()
        )
        self.assertEqual(await call.read_body(1024), b'part')


if __name__ == '__main__':
    unittest.main()
