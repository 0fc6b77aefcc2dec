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

"""A stand-in for the platform's table service."""

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer
from lifttrestle.internal.store.memory_table import MemoryTable
from lifttrestle.internal.store.row import Transaction


class ReadRequest(msgspec.Struct):
    """The body of a request for rows by key."""

    keys: tuple[str, ...]


class ScanRequest(msgspec.Struct):
    """The body of a request for all rows whose key has a prefix."""

    prefix: str


class TableStandin:
    """Stores rows in memory and counts the requests of each kind."""

    def __init__(self) -> None:
        self._table = MemoryTable()
        self._counts = {'read': 0, 'scan': 0, 'transact': 0}
        self.server = StandinServer(self._handle, ('/standin/',))

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        handlers = {
            '/v1/read': self._read,
            '/v1/scan': self._scan,
            '/v1/transact': self._transact,
            '/standin/counts': self._send_counts,
        }
        handler = handlers.get(head.path)
        if handler is None:
            await send_json(connection, {'error': 'no such path'}, 404)
            return
        await handler(connection, body)

    async def _read(self, connection: ServerConnection, body: bytes) -> None:
        self._counts['read'] += 1
        request = msgspec.json.decode(body, type=ReadRequest)
        rows = await self._table.read(request.keys)
        await send_json(connection, {'rows': list(rows.values())})

    async def _scan(self, connection: ServerConnection, body: bytes) -> None:
        self._counts['scan'] += 1
        request = msgspec.json.decode(body, type=ScanRequest)
        rows = await self._table.scan(request.prefix)
        await send_json(connection, {'rows': rows})

    async def _transact(
        self, connection: ServerConnection, body: bytes
    ) -> None:
        self._counts['transact'] += 1
        transaction = msgspec.json.decode(body, type=Transaction)
        try:
            commit = await self._table.transact(transaction)
        except ConditionFailed as conflict:
            await send_json(connection, {'failed': conflict.keys}, 409)
            return
        await send_json(connection, {'commit': commit})

    async def _send_counts(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        await send_json(connection, self._counts)
