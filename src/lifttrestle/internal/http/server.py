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

"""A listening HTTP server that can stop without cutting a request."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ssl
import weakref

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.connection_tasks import ConnectionTasks
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.body import build_refusal
from lifttrestle.internal.refusal.kind import ErrorKind

Handler = Callable[[ServerConnection, RequestHead], Awaitable[None]]
BACKLOG = 512
NO_REQUEST_ID = '-'
# For answers that are still in the buffers when the requests of a stop have
# ended: 64 KiB, the most that a connection buffers, pass a link of 5 Mbit/s in
# 0.1 s.
FLUSH_SECONDS = 0.1
# Turns of the loop from accepting a connection to its first read, and more.
ACCEPT_TURNS = 8


class HttpServer:
    """Accepts connections and hands each request to one handler.

    :param handler: serves one request; it must send an answer or abort.
    :param limits: bounds for each connection.
    :param tls: the server's TLS context, or None for plain TCP.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._busy: set[asyncio.Task[None]] = set()
        self._tasks = ConnectionTasks()
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        self._writers: weakref.WeakSet[asyncio.StreamWriter] = (
            weakref.WeakSet()
        )
        # Connections that have answered their last request.
        self._closing: set[asyncio.Task[None]] = set()
        # Is set while no request is served.
        self._quiet = asyncio.Event()
        self._stopping = False
        self._cut = 0

    async def start(self, address: Address) -> Address:
        """Listen at ``address`` and return the address in force."""
        self._server = await asyncio.start_server(
            self._accept,
            address.host,
            address.port,
            ssl=self._tls,
            backlog=BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def busy(self) -> int:
        """Return the number of requests being served."""
        return len(self._busy)

    @property
    def aborted_requests(self) -> int:
        """Return how many requests the stop has cut."""
        return self._cut

    def set_limits(self, limits: HttpLimits) -> None:
        """Bound the connections that come from now on."""
        self._limits = limits

    def announce_stop(self) -> None:
        """Answer every further request with ``Connection: close``."""
        self._stopping = True

    async def stop(
        self, grace_seconds: float, flush_seconds: float = FLUSH_SECONDS
    ) -> bool:
        """Close the listener, let requests end, and return if all did.

        :param grace_seconds: within which requests have to end.
        :param flush_seconds: within which, after that, what was answered has
            to leave the buffers; what requests leave of their time is added.
        """
        self._stopping = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_seconds
        await self._stop_accepting()
        await self._wait_quiet(deadline)
        self._cut = len(self._busy)
        complete = not self._cut
        await self._wait_closed(deadline)
        await self._tasks.cancel()
        left = max(deadline + flush_seconds - loop.time(), 0.0)
        return await self._flush(left) and complete

    async def _stop_accepting(self) -> None:
        """Close the listener; what it has accepted is served first.

        The standard library takes some turns of its loop from accepting a
        connection to its first read, and loses one whose listener is closed
        meanwhile: neither answered nor reset.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        for listening in self._server.sockets:
            loop.remove_reader(listening.fileno())
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()

    async def _wait_quiet(self, deadline: float) -> None:
        """Return when no request is served, or at the deadline.

        Connections whose caller was not told that they end are kept as long
        as others are busy: a request that comes is answered, and told so.
        """
        await self._end_waiting()
        while self._busy:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._quiet.wait()
            except TimeoutError:
                return
            await self._end_waiting()

    async def _end_waiting(self) -> None:
        """End the connections on which nothing has come of a request.

        One that has arrived and was not looked at yet is served: its
        connection takes in nothing more and is given one turn.
        """
        paused = {
            task: connection
            for task, connection in self._connections.items()
            if connection.pause_reading()
        }
        await asyncio.sleep(0)
        for task, connection in tuple(self._connections.items()):
            if connection.waiting:
                task.cancel()
            elif task in paused:
                connection.resume_reading()

    async def _wait_closed(self, deadline: float) -> None:
        """Let the callers of what was answered close their connections."""
        if not self._closing:
            return
        left = max(deadline - asyncio.get_running_loop().time(), 0.0)
        await asyncio.wait(set(self._closing), timeout=left)

    async def _flush(self, grace_seconds: float) -> bool:
        """Wait until what was answered has left the buffers."""
        closings = [
            asyncio.create_task(_wait_closed(writer))
            for writer in self._writers
            if writer.transport.get_write_buffer_size()
        ]
        if not closings:
            return True
        _, late = await asyncio.wait(closings, timeout=grace_seconds)
        for closing in late:
            closing.cancel()
        return not late

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._tasks.start(self._serve(reader, writer), writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = ServerConnection(reader, writer, self._limits)
        self._connections[task] = connection
        try:
            if len(self._tasks) > self._limits.max_connections:
                await self._refuse_connection(connection)
            else:
                await self._serve_requests(connection, task)
        except (CallerGone, OSError):
            connection.abort()
        except asyncio.CancelledError:
            # An idle connection may still have the end of its last answer in
            # its buffer; closing it below sends that.
            pass
        finally:
            del self._connections[task]
            self._closing.discard(task)

    async def _refuse_connection(self, connection: ServerConnection) -> None:
        limit = self._limits.max_connections
        refused = RequestRefused(
            ErrorKind.OVERLOADED,
            f'the limit of {limit} connections is reached',
            retry_after=1.0,
        )
        await connection.send_answer(build_refusal(refused, NO_REQUEST_ID))
        await connection.close()

    async def _serve_requests(
        self, connection: ServerConnection, task: asyncio.Task[None]
    ) -> None:
        while True:
            try:
                head = await connection.read_head()
            except RequestRefused as refused:
                connection.close_after_answer()
                answer = build_refusal(refused, NO_REQUEST_ID)
                await connection.send_answer(answer)
                head = None
            if head is None:
                await connection.close()
                return
            self._busy.add(task)
            self._quiet.clear()
            try:
                if self._stopping:
                    connection.close_after_answer()
                await self._handler(connection, head)
            except asyncio.CancelledError:
                connection.abort()
                raise
            finally:
                self._busy.discard(task)
                if not self._busy:
                    self._quiet.set()
            if not connection.start_next():
                self._closing.add(task)
                await connection.close()
                return


async def _wait_closed(writer: asyncio.StreamWriter) -> None:
    try:
        await writer.wait_closed()
    except OSError:
        return
