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

"""The HTTP server that all stand-ins share, with fault injection."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import signal

import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.body import build_refusal
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.standin.faults import Faults

FAULTS_PATH = '/standin/faults'
ARRIVALS_PATH = '/standin/arrivals'
# Key, beside the paths, of the number of connections that sent a request.
CONNECTIONS_KEY = '(connections)'
JSON_HEADERS = (('content-type', 'application/json'),)
Handler = Callable[[ServerConnection, RequestHead, bytes], Awaitable[None]]


class StandinServer:
    """Serves requests by a handler and injects the configured faults.

    :param handler: answers a request whose body was read.
    :param exempt_paths: path prefixes of requests without faults, which are
        not counted as arrivals either.
    :ivar faults: the faults to inject.
    """

    def __init__(
        self, handler: Handler, exempt_paths: tuple[str, ...] = ()
    ) -> None:
        self.faults = Faults()
        self._handler = handler
        self._exempt_paths = exempt_paths
        self._request_count = 0
        self._peers: set[str] = set()
        self._arrivals: collections.Counter[str] = collections.Counter()
        limits = HttpLimits(body_bytes=64 * 1024 * 1024, idle_seconds=3600)
        self._server = HttpServer(self._serve, limits)

    async def start(self, address: Address) -> Address:
        """Listen and return the address, with the port that was assigned."""
        return await self._server.start(address)

    async def stop(self) -> None:
        """Stop without waiting for open requests."""
        await self._server.stop(0)

    async def _serve(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        try:
            body = await connection.read_body()
        except RequestRefused as refused:
            await connection.send_answer(build_refusal(refused, '-'))
            return
        if head.path == FAULTS_PATH:
            await self._set_faults(connection, body)
            return
        if head.path == ARRIVALS_PATH:
            counts = {**self._arrivals, CONNECTIONS_KEY: len(self._peers)}
            await send_json(connection, counts)
            return
        if head.path.startswith(self._exempt_paths or ('\0',)):
            await self._handler(connection, head, body)
            return
        await self._serve_with_faults(connection, head, body)

    async def _serve_with_faults(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        faults = self.faults
        self._request_count += 1
        self._arrivals[head.path] += 1
        self._peers.add(connection.peer)
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if self._must_refuse():
            refused = RequestRefused(
                ErrorKind.OVERLOADED, 'the stand-in refuses this call'
            )
            await connection.send_answer(build_refusal(refused, '-'))
            return
        if faults.drop_answers > 0:
            faults.drop_answers -= 1
            connection = _AbortingConnection(connection)  # type: ignore
        await self._handler(connection, head, body)

    def _must_refuse(self) -> bool:
        faults = self.faults
        if faults.refuse > 0:
            faults.refuse -= 1
            return True
        interval = faults.refuse_one_in
        return interval > 0 and self._request_count % interval == 0

    async def _set_faults(
        self, connection: ServerConnection, body: bytes
    ) -> None:
        self.faults = msgspec.json.decode(body, type=Faults)
        await connection.send_answer(Answer(200, JSON_HEADERS, b'{}'))


class _AbortingConnection:
    """Aborts the connection instead of sending the handler's answer."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection

    async def send_answer(self, _answer: Answer) -> None:
        self._connection.abort()

    async def start_answer(self, _status: int, _headers: object) -> None:
        self._connection.abort()

    def __getattr__(self, name: str) -> object:
        return getattr(self._connection, name)


async def send_json(
    connection: ServerConnection, content: object, status: int = 200
) -> None:
    """Answer with ``content`` encoded as JSON."""
    body = msgspec.json.encode(content)
    await connection.send_answer(Answer(status, JSON_HEADERS, body))


async def run_until_signal(name: str, server: StandinServer, at: str) -> None:
    """Serve at ``IP:PORT`` until SIGTERM or SIGINT.

    Prints a line with the name and the address once the server listens.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    address = await server.start(parse_address(at))
    print(f'ready: {name} {address}', flush=True)
    await stop.wait()
    await server.stop()
