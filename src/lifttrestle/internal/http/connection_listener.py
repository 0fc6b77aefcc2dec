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

"""Listeners whose connections are served by one task each."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import set_tcp_timeouts
from lifttrestle.internal.http.connection_tasks import ConnectionTasks

Serve = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


class ConnectionListener:
    """Listens at an address and serves what connects, until it is closed.

    :param serve: serves one connection; it is closed afterwards.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._tasks = ConnectionTasks()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> Address:
        """Listen at an address and return the bound one."""
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        await self._tasks.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        set_tcp_timeouts(writer.transport)
        self._tasks.start(self._serve(reader, writer), writer)
