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


class ReadCall(msgspec.Struct):
    """The body of a read."""

    keys: tuple[str, ...]


class ScanCall(msgspec.Struct):
    """The body of a scan."""

    prefix: str


class TableStandin:
    """Keeps the rows in memory and counts the calls of each kind."""

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
            '/standin/counts': self._count,
        }
        handler = handlers.get(head.path)
        if handler is None:
            await send_json(connection, {'error': 'no such path'}, 404)
            return
        await handler(connection, body)

    async def _read(self, connection: ServerConnection, body: bytes) -> None:
        self._counts['read'] += 1
        call = msgspec.json.decode(body, type=ReadCall)
        rows = await self._table.read(call.keys)
        await send_json(connection, {'rows': list(rows.values())})

    async def _scan(self, connection: ServerConnection, body: bytes) -> None:
        self._counts['scan'] += 1
        call = msgspec.json.decode(body, type=ScanCall)
        rows = await self._table.scan(call.prefix)
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

    async def _count(self, connection: ServerConnection, _body: bytes) -> None:
        await send_json(connection, self._counts)
