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

"""HTTP/1.1 server with a graceful stop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ssl
import weakref

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.caller_protocol import BODY_READ_BYTES
from lifttrestle.internal.http.caller_protocol import CallerProtocol
from lifttrestle.internal.http.connection_tasks import ConnectionTasks
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.place_keeper import PlaceKeeper
from lifttrestle.internal.http.receive_buffer import ReceiveBuffer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.http.turns import Turns
from lifttrestle.internal.refusal.body import build_refusal
from lifttrestle.internal.refusal.kind import ErrorKind

Handler = Callable[[ServerConnection, RequestHead], Awaitable[None]]
BACKLOG = 512
NO_REQUEST_ID = '-'
# How long a stop waits, after its last request, until buffered answers are
# sent. The write buffer of a connection, 64 KiB at most, takes 0.1 s on a link
# of 5 Mbit/s.
FLUSH_SECONDS = 0.1
# More iterations of the event loop than lie between the acceptance of a
# connection and its first read.
ACCEPT_ITERATIONS = 8
# More iterations of the event loop than a refusal near the end of the stop
# takes. After a pause of the event loop, the refusal and the abort become due
# in the same iteration.
REFUSAL_ITERATIONS = 32


class HttpServer:
    """Accepts connections and passes each request to a handler.

    :param handler: serves one request; it must send an answer or abort.
    :param limits: limits for each connection.
    :param tls: the server's TLS context, or None for plain TCP.
    :param memory: bound on what all callers make the process hold; None for a
        default of this server alone.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        tls: ssl.SSLContext | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._memory = memory or MemoryBudget()
        self._buffer = ReceiveBuffer(BODY_READ_BYTES)
        self._turns = Turns()
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._busy: set[asyncio.Task[None]] = set()
        self._tasks = ConnectionTasks()
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        self._protocols: weakref.WeakSet[CallerProtocol] = weakref.WeakSet()
        # Tasks of connections that have answered their last request.
        self._closing: set[asyncio.Task[None]] = set()
        self._places = PlaceKeeper()
        # Set while no request is being served.
        self._idle = asyncio.Event()
        self._stopping = False
        self._aborted = 0

    async def start(self, address: Address) -> Address:
        """Listen at ``address`` and return the address that was bound.

        They differ if the port is 0.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerProtocol(self._buffer, self._accept),
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
        """Return the number of requests that the stop has aborted."""
        return self._aborted

    @property
    def displaced(self) -> int:
        """Return the number of connections that made place for another."""
        return self._places.displaced

    def set_limits(self, limits: HttpLimits) -> None:
        """Set the limits for connections accepted from now on."""
        self._limits = limits

    def announce_stop(self) -> None:
        """Answer all further requests with ``Connection: close``."""
        self._stopping = True

    async def stop(
        self, grace_seconds: float, flush_seconds: float = FLUSH_SECONDS
    ) -> bool:
        """Close the listener and wait until all requests have ended.

        :param grace_seconds: requests that take longer are aborted.
        :param flush_seconds: how long, after that, buffered answers may take
            to be sent; time left of ``grace_seconds`` is added.
        :return: whether all requests ended and all answers were sent in time.
        """
        self._stopping = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_seconds
        await self._stop_accepting()
        await self._wait_idle(deadline)
        await self._let_requests_be_refused()
        self._aborted = len(self._busy)
        complete = not self._aborted
        await self._wait_callers_closed(deadline)
        await self._tasks.cancel()
        remaining = max(deadline + flush_seconds - loop.time(), 0.0)
        return await self._flush(remaining) and complete

    async def _stop_accepting(self) -> None:
        """Close the listener without losing accepted connections.

        asyncio needs several iterations of its event loop from accepting a
        connection to its first read. If the listener is closed in between,
        the connection is neither served nor reset.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        for sock in self._server.sockets:
            loop.remove_reader(sock.fileno())
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        self._server.close()

    async def _wait_idle(self, deadline: float) -> None:
        """Wait until no request is being served, or until the deadline.

        Idle connections are closed at the start, and again whenever no
        request is being served. One that becomes idle in between stays open,
        since its caller has not received ``Connection: close``: a further
        request on it is answered, with that header.
        """
        await self._close_idle()
        while self._busy:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._idle.wait()
            except TimeoutError:
                return
            await self._close_idle()

    async def _let_requests_be_refused(self) -> None:
        for _ in range(REFUSAL_ITERATIONS):
            if not self._busy:
                return
            await asyncio.sleep(0)

    async def _close_idle(self) -> None:
        """Close the connections that have received no byte of a request.

        Bytes that were received but not yet parsed have to be served. So all
        connections stop reading, and their tasks run for one iteration of the
        event loop, before the check.
        """
        paused = {
            task: connection
            for task, connection in self._connections.items()
            if connection.pause_reading()
        }
        await asyncio.sleep(0)
        for task, connection in tuple(self._connections.items()):
            if connection.awaiting_request:
                task.cancel()
            elif task in paused:
                connection.resume_reading()

    async def _wait_callers_closed(self, deadline: float) -> None:
        """Wait until callers close the connections in ``_closing``."""
        if not self._closing:
            return
        remaining = max(deadline - asyncio.get_running_loop().time(), 0.0)
        await asyncio.wait(set(self._closing), timeout=remaining)

    async def _flush(self, grace_seconds: float) -> bool:
        """Wait until the write buffers are empty; return whether they are."""
        closings = [
            asyncio.create_task(protocol.wait_closed())
            for protocol in self._protocols
            if protocol.unsent
        ]
        if not closings:
            return True
        _, late = await asyncio.wait(closings, timeout=grace_seconds)
        for closing in late:
            closing.cancel()
        return not late

    def _accept(self, protocol: CallerProtocol) -> None:
        limit = self._limits.max_connections
        places = self._places
        placed = len(self._tasks) - len(places.leaving)
        has_place = placed < limit or places.make_place(
            self._connections, limit
        )
        if not has_place and places.is_crowded(limit):
            protocol.transport.abort()
            return
        self._protocols.add(protocol)
        task = self._tasks.start(self._serve(protocol, has_place), protocol)
        places.note_accepted(task, has_place=has_place)

    async def _serve(self, protocol: CallerProtocol, has_place: bool) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = ServerConnection(
            protocol, self._limits, self._memory, self._turns
        )
        self._connections[task] = connection
        try:
            if has_place:
                await self._serve_requests(connection, task)
            else:
                await self._refuse_connection(connection)
        except (CallerGone, OSError):
            connection.abort()
        except asyncio.CancelledError:
            # The write buffer of an idle connection may still hold the end of
            # its last answer, so the connection is closed, not aborted.
            pass
        finally:
            connection.release()
            del self._connections[task]
            self._closing.discard(task)
            self._places.note_ended(task)

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
            self._places.note_request(task)
            self._busy.add(task)
            self._idle.clear()
            try:
                await connection.take_turn_if_ahead()
                if self._stopping:
                    connection.close_after_answer()
                await self._handler(connection, head)
            except asyncio.CancelledError:
                connection.abort()
                raise
            finally:
                self._busy.discard(task)
                if not self._busy:
                    self._idle.set()
            if not connection.start_next_cycle():
                self._closing.add(task)
                await connection.close()
                return
