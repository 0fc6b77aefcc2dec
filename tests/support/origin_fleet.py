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

"""A fleet of routers that exchange origins of streams without sockets."""

import asyncio
from collections.abc import Callable
import datetime
import random

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.row_pacing import get_write_seconds
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.streams.origin import read_origin
from lifttrestle.internal.fleet.streams.origins import FoundOrigin
from lifttrestle.internal.fleet.streams.origins import StreamOrigins
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 4, tzinfo=datetime.timezone.utc)
SERVICE = 's'
CONFIGURATION = {
    'version': 1,
    'services': [{'name': SERVICE, 'max_conns': 100}],
    'routes': [
        {
            'name': 'text',
            'host': 'h',
            'prefix': '/text/',
            'route_type': 'stream',
            'can_resume': True,
            'timeout_ms': 20_000,
            'target_latency_ms': 500,
            'priority': 1,
            'service': SERVICE,
            'max_attempts': 2,
        }
    ],
}
LIFE_SECONDS = 40.0
# Enough for answers that have arrived to be processed.
LOOP_ITERATIONS = 20


class OriginFleet:
    """Routers with one store, and a directory each.

    :param lost_share: share of the messages that are lost.
    :ivar gone: numbers of the routers that receive and send nothing.
    :ivar cut: numbers of the routers that don't reach the store.
    :ivar messages: number of sent messages.
    :ivar bytes: total size of the sent messages.
    """

    def __init__(self, routers: int, lost_share: float = 0.0) -> None:
        self.clock = ManualClock(START)
        self.rows = MemoryRows()
        self.gone: set[int] = set()
        self.cut: set[int] = set()
        self.messages = 0
        self.bytes = 0
        self._lost_share = lost_share
        self._source = random.Random(1)
        self._names = [f'router/r{number}' for number in range(routers)]
        value = msgspec.json.encode(CONFIGURATION)
        self._catalogue = PlatformFormat().decode_catalogue('config', value)
        self.directories: list[UpstreamDirectory] = []
        self.routers: list[StreamOrigins] = []
        for number in range(routers):
            self.directories.append(
                UpstreamDirectory(PlatformFormat(), self.clock)
            )
            self.routers.append(self._make_router(number))

    def _make_router(self, number: int) -> StreamOrigins:
        roster = Roster(self.rows, self.clock, f'r{number}', 'a')
        roster.loaded = True
        for name in self._names:
            row = msgspec.json.encode(RouterRow('a', '127.0.0.1:9'))
            roster.apply_row(VersionedRow(name, row, 1))
        directory = self.directories[number]
        router = StreamOrigins(
            f'r{number}', self.rows, directory, roster, self.clock
        )
        directory.on_ended = lambda upstream, end: router.note_ended(upstream)
        router.get_catalogue = lambda: self._catalogue
        router.refresh_tables = lambda: self._refresh(number)
        handlers: dict[type, object] = {}
        router.connect(
            handlers.__setitem__,
            lambda message, key: self._send(number, message, key),
        )
        router.handlers = handlers
        return router

    def _send(self, sender: int, message, key: str) -> None:
        data = encode_message(message)
        self.messages += 1
        self.bytes += len(data)
        receiver = int(key.removeprefix('router/r'))
        if self.gone & {sender, receiver}:
            return
        if self._source.random() < self._lost_share:
            return
        decoded = decode_message(data)
        self.routers[receiver].handlers[type(decoded)](decoded)

    def restart(self, number: int) -> None:
        """Start a router again, with an empty memory."""
        self.directories[number] = UpstreamDirectory(
            PlatformFormat(), self.clock
        )
        self.routers[number] = self._make_router(number)

    def list_upstream(self, name: str, version: str, **fields: object) -> None:
        """Make all routers that reach the store read an upstream's entry."""
        entry = make_entry(service=SERVICE, version=version, **fields)
        self._apply_entry(VersionedRow(name, msgspec.json.encode(entry), 1))

    def remove_upstream(self, name: str) -> None:
        """Make all routers that reach the store read an entry's removal."""
        self._apply_entry(VersionedRow(name, None, 2))

    def _apply_entry(self, row: VersionedRow) -> None:
        for number, directory in enumerate(self.directories):
            if number not in self.cut:
                directory.apply_row(row)

    async def _refresh(self, number: int) -> bool:
        """Let a router read its table, unless it doesn't reach the store."""
        if number in self.cut or self.rows.down:
            return False
        await self._read_rows(number)
        return True

    def begin(
        self, router: int, request_id: str, upstream: str, workspace: str = ''
    ) -> None:
        """Begin a stream at an upstream."""
        known = self.directories[router].get(upstream)
        self.routers[router].record(workspace, request_id, read_origin(known))

    async def find(
        self, router: int, request_id: str, workspace: str = ''
    ) -> FoundOrigin:
        """Return what a router finds out, letting queries time out."""
        (found,) = await self.find_many(router, [request_id], workspace)
        return found

    async def find_many(
        self, router: int, request_ids: list[str], workspace: str = ''
    ) -> list[FoundOrigin]:
        """Return what a router finds out about streams resumed together."""
        search = asyncio.gather(
            *(
                self.routers[router].find(workspace, request_id, [SERVICE])
                for request_id in request_ids
            )
        )
        while not search.done():
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            self.clock.advance(0.05)
        return search.result()

    def count_reads(self, table: str) -> Callable[[], int]:
        """Count the reads of a table from now on; return their getter."""
        read_table = self.rows.read_table
        reads: list[str] = []

        async def read_counted(name: str) -> RowChanges:
            reads.append(name)
            return await read_table(name)

        self.rows.read_table = read_counted
        return lambda: reads.count(table)

    async def store_origins(self) -> None:
        """Let all running routers store the origins of their streams."""
        self.clock.advance(get_write_seconds(len(self.routers)))
        for number, router in enumerate(self.routers):
            if number not in self.gone:
                await router.write_due_origins()

    async def write_rows(self) -> None:
        """Let all running routers write due rows, and read them back."""
        for number, router in enumerate(self.routers):
            if number not in self.gone | self.cut:
                await router.write_due_rows()
        await self.read_rows()

    async def read_rows(self) -> None:
        """Let all running routers read their table."""
        for number in range(len(self.routers)):
            if number not in self.gone | self.cut:
                await self._read_rows(number)

    async def _read_rows(self, number: int) -> None:
        changes = await self.rows.read_table(FLEET_TABLE)
        for row in changes.rows:
            self.routers[number].apply_row(row)
