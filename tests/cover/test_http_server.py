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

"""Tests of the graceful stop of the HTTP server, in one process."""

import asyncio
import contextlib
import socket
import unittest

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import ACCEPT_ITERATIONS
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection

# Fits into the write buffer of a connection, so that sending does not block.
ANSWER_BYTES = 60_000
GRACE_SECONDS = 10.0
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
# More iterations of the event loop than an accepted connection needs until it
# awaits a request.
LOOP_ITERATIONS = 10


class TestStop(unittest.IsolatedAsyncioTestCase):
    async def test_regression_buffered_end_of_an_answer_is_not_cut(
        self,
    ) -> None:
        # A connection counted as idle once its answer was in the write buffer,
        # so the stop aborted it and discarded the bytes not yet sent.
        server = HttpServer(self.handle, HttpLimits())
        address = await server.start(Address('127.0.0.1', 0))
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.connect((address.host, address.port))
        reader, writer = await asyncio.open_connection(sock=raw, limit=2048)
        writer.write(REQUEST)
        self.answered = asyncio.Event()
        async with asyncio.timeout(GRACE_SECONDS):
            await self.answered.wait()
            stopping = asyncio.create_task(server.stop(GRACE_SECONDS))
            await asyncio.sleep(0)
            received = await reader.read()
            self.assertTrue(await stopping)
        body = received.partition(b'\r\n\r\n')[2]
        self.assertEqual(len(body), ANSWER_BYTES)
        writer.close()

    def test_regression_cancelled_accept_is_not_reported_as_an_error(
        self,
    ) -> None:
        # If the task of a connection was cancelled before its first step, the
        # event loop reported this as an error, with a traceback.
        for steps in range(12):
            with self.subTest(steps=steps):
                self.assertEqual(asyncio.run(self._stop_after(steps)), [])

    async def _stop_after(self, steps: int) -> list[object]:
        """Return the errors reported if all tasks end after ``steps``."""
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        server = HttpServer(self.handle, HttpLimits())
        address = await server.start(Address('127.0.0.1', 0))
        raw = socket.create_connection((address.host, address.port))
        for _ in range(steps):
            await asyncio.sleep(0)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0)
        raw.close()
        await server.stop(0)
        return errors

    async def test_regression_request_that_was_read_is_answered(self) -> None:
        # A request that had been read from the socket but not yet parsed when
        # the server stopped was discarded, and its connection closed. A close
        # with unread bytes resets the connection, which tells the caller that
        # the request was not read; a close after they were read does not.
        answered = 0
        for steps in range(6):
            with self.subTest(steps=steps):
                received = await self._stop_after_request(steps)
                self.assertNotEqual(received, b'')
                answered += received is not None
        self.assertGreater(answered, 0)

    async def _stop_after_request(self, steps: int) -> bytes | None:
        """Return the received bytes, None if the request was never read."""
        server = HttpServer(self.handle, HttpLimits())
        self.answered = asyncio.Event()
        address = await server.start(Address('127.0.0.1', 0))
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        writer.write(REQUEST)
        for _ in range(steps):
            await asyncio.sleep(0)
        return await self._read_while_stopping(server, reader, writer)

    async def _read_while_stopping(
        self,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Return the bytes up to the end, None if the connection is reset."""
        async with asyncio.timeout(GRACE_SECONDS):
            stopping = asyncio.create_task(server.stop(GRACE_SECONDS))
            try:
                return await reader.read()
            except ConnectionResetError:
                return None
            finally:
                writer.close()
                await stopping

    async def test_regression_connection_just_accepted_is_not_lost(
        self,
    ) -> None:
        # If the listener closed within two iterations of the event loop after
        # it had accepted a connection, the connection was neither answered nor
        # reset; within four, its request was read and it was closed.
        for steps in range(14):
            with self.subTest(steps=steps):
                server = HttpServer(self.handle, HttpLimits())
                self.answered = asyncio.Event()
                address = await server.start(Address('127.0.0.1', 0))
                raw = socket.create_connection((address.host, address.port))
                raw.sendall(REQUEST)
                for _ in range(steps):
                    await asyncio.sleep(0)
                stopping = asyncio.create_task(server.stop(GRACE_SECONDS))
                await asyncio.sleep(0)
                reader, writer = await asyncio.open_connection(sock=raw)
                async with asyncio.timeout(GRACE_SECONDS):
                    with contextlib.suppress(ConnectionResetError):
                        self.assertNotEqual(await reader.read(), b'')
                    writer.close()
                    await stopping

    async def test_body_that_arrives_during_the_stop_is_read(
        self,
    ) -> None:
        async def echo(
            connection: ServerConnection, _head: RequestHead
        ) -> None:
            body = await connection.read_body()
            await connection.send_answer(Answer(200, (), body))

        server = HttpServer(echo, HttpLimits())
        address = await server.start(Address('127.0.0.1', 0))
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n'
        writer.write(head + b'ab')
        while not server.busy:
            await asyncio.sleep(0)
        stopping = asyncio.create_task(server.stop(GRACE_SECONDS))
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        writer.write(b'cd')
        async with asyncio.timeout(GRACE_SECONDS):
            self.assertTrue((await reader.read()).endswith(b'abcd'))
            writer.close()
            self.assertTrue(await stopping)

    async def test_regression_pipelined_request_is_answered_during_the_stop(
        self,
    ) -> None:
        # An answer that starts before the stop is announced does not tell the
        # caller that the connection closes. The next request on it was read
        # and discarded.
        release = asyncio.Event()

        async def stream(
            connection: ServerConnection, _head: RequestHead
        ) -> None:
            await connection.read_body()
            await connection.start_answer(200, ())
            await release.wait()
            await connection.end_answer()

        server = HttpServer(stream, HttpLimits())
        address = await server.start(Address('127.0.0.1', 0))
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(REQUEST)
        async with asyncio.timeout(GRACE_SECONDS):
            first = await reader.readuntil(b'\r\n\r\n')
            self.assertNotIn(b'close', first)
            server.announce_stop()
            writer.write(REQUEST)
            stopping = asyncio.create_task(server.stop(GRACE_SECONDS))
            release.set()
            await reader.readuntil(b'0\r\n\r\n')
            second = await reader.read()
            self.assertTrue(second.startswith(b'HTTP/1.1 200'))
            self.assertIn(b'connection: close', second)
            writer.close()
            self.assertTrue(await stopping)

    async def test_stop_does_not_resume_a_connection_that_was_paused_before(
        self,
    ) -> None:
        # The stop resumes only the connections that it paused itself, not one
        # paused before, as when its caller has pipelined too many bytes.
        release = asyncio.Event()

        async def wait(
            connection: ServerConnection, _head: RequestHead
        ) -> None:
            self.connection = connection
            await release.wait()
            await connection.send_answer(Answer(200, (), b''))

        server = HttpServer(wait, HttpLimits())
        address = await server.start(Address('127.0.0.1', 0))
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(REQUEST)
        while not server.busy:
            await asyncio.sleep(0)
        self.connection.pause_reading()
        stopping = asyncio.create_task(server.stop(GRACE_SECONDS))
        for _ in range(LOOP_ITERATIONS + ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        self.assertFalse(self.connection.pause_reading())
        release.set()
        writer.close()
        async with asyncio.timeout(GRACE_SECONDS):
            await stopping

    async def handle(
        self, connection: ServerConnection, _head: RequestHead
    ) -> None:
        raw = connection._stream._protocol.transport.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await connection.send_answer(Answer(200, (), b'x' * ANSWER_BYTES))
        self.answered.set()


if __name__ == '__main__':
    unittest.main()
