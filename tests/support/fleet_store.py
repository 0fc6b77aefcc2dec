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

"""A stand-in for the platform's store, based on its published interface."""

import asyncio
import base64
import urllib.parse

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import HistoryGone
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.row_version import get_commit_number
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.platform import names
from lifttrestle.internal.standin.server import JSON_HEADERS
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer
from tests.support.memory_rows import MemoryRows
from tests.support.memory_rows import RowsSnapshot


class FleetStoreStandin:
    """Keeps rows in memory and serves reads, watches and writes.

    :ivar rows: the stored rows; a test may change them directly.
    :ivar page_size: the maximum number of rows in one response.
    :ivar peers: addresses of the connections that carried calls.
    :ivar silenced: those of them that get no responses but stay open.
    :ivar writable: writes wait until this is set.
    :ivar delay: seconds before each call is carried out.
    :ivar sends_epoch: whether responses to row calls carry the epoch header.
    """

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self.page_size = 500
        self.sends_epoch = True
        self.delay = 0.0
        self.peers: set[str] = set()
        self.silenced: set[str] = set()
        self.writable = asyncio.Event()
        self.writable.set()
        self._changed = asyncio.Event()
        self.server = StandinServer(self._handle)
        self.address = Address('', 0)

    async def start(self) -> Address:
        """Listen at a free port."""
        self.address = await self.server.start(Address('127.0.0.1', 0))
        return self.address

    def put(self, table: str, key: str, content: object) -> int:
        """Set a row to a JSON value and wake the pending watches."""
        version = self.rows.put(table, key, msgspec.json.encode(content))
        self._wake()
        return version

    def remove(self, table: str, key: str) -> None:
        """Remove a row and wake the pending watches."""
        self.rows.put(table, key, None)
        self._wake()

    def restore(self, snapshot: RowsSnapshot) -> None:
        """Restore a snapshot and wake the pending watches."""
        self.rows.restore(snapshot)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        self.peers.add(connection.peer)
        try:
            await self._answer(connection, head, body)
        except PlatformUnavailable:
            # The rows are down.
            connection.abort()

    async def _answer(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        query = dict(urllib.parse.parse_qsl(head.query))
        if self.delay:
            await asyncio.sleep(self.delay)
        if connection.peer in self.silenced:
            await asyncio.Event().wait()
        elif head.path == '/rows-get':
            await self._get(connection, query)
        elif head.path == '/rows-feed':
            try:
                await self._feed(connection, query)
            except HistoryGone:
                # The store was restored while the watch was pending.
                connection.abort()
        elif head.path == '/rows-tx':
            await self._commit(connection, msgspec.json.decode(body))
        else:
            await send_json(connection, {}, 404)

    async def _send(
        self, connection: ServerConnection, content: object, status: int = 200
    ) -> None:
        headers = JSON_HEADERS
        if self.sends_epoch:
            headers = (*headers, (names.STORE_EPOCH, str(self.rows.epoch)))
        body = msgspec.json.encode(content)
        await connection.send_answer(Answer(status, headers, body))

    async def _get(
        self, connection: ServerConnection, query: dict[str, str]
    ) -> None:
        table = query['table']
        whole = await self.rows.read_table(table)
        rows = sorted(whole.rows, key=lambda row: row.key)
        rows = [row for row in rows if row.key >= query.get('from', '')]
        page = rows[: self.page_size]
        content = {
            'rows': [_encode(table, row) for row in page],
            'more_pages': len(rows) > len(page),
            'ver': get_commit_number(whole.version),
            'now_ms': 0,
        }
        await self._send(connection, content)

    async def _feed(
        self, connection: ServerConnection, query: dict[str, str]
    ) -> None:
        table = query['table']
        after = build_version(self.rows.epoch, int(query['after']))
        if after < self.rows.oldest or after > self.rows.version:
            await self._send(connection, {}, 410)
            return
        try:
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not (await self._list(table, after)):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if connection.peer in self.silenced:
            await asyncio.Event().wait()
        content = {
            'rows': await self._list(table, after),
            'ver': get_commit_number(self.rows.version),
            'now_ms': 0,
        }
        await self._send(connection, content)

    async def _list(self, table: str, after: int) -> list[object]:
        changes = await self.rows.watch_table(table, after, 0)
        return [_encode(table, row) for row in changes.rows]

    async def _commit(
        self, connection: ServerConnection, call: dict[str, list[dict]]
    ) -> None:
        await self.writable.wait()
        values = {
            row['key']: base64.b64decode(row['value']) for row in call['put']
        }
        writes = [
            RowWrite(
                row['table'],
                row['key'],
                values.get(row['key']),
                self._read_version(row['ver']),
            )
            for row in call['expected']
        ]
        try:
            version = await self.rows.write_rows(writes)
        except ConditionFailed:
            await self._send(connection, {'rows': []}, 412)
            return
        self._wake()
        content = {'ver': get_commit_number(version), 'now_ms': 0}
        await self._send(connection, content)

    def _read_version(self, number: int) -> int:
        return build_version(self.rows.epoch, number) if number else NO_ROW


def _encode(table: str, row: VersionedRow) -> dict[str, object]:
    content: dict[str, object] = {
        'table': table,
        'part': '',
        'key': row.key,
        'ver': get_commit_number(row.version),
    }
    if row.value is None:
        content['tombstone'] = True
    else:
        content['value'] = base64.b64encode(row.value).decode()
    return content
