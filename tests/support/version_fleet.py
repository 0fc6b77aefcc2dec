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

"""Routers before engines of several software versions."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import re

import msgspec

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.fleet.process import FleetRouterProcess
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.streams.software_rows import SOFTWARE_PREFIX
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.entries import make_entry
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import kill_router
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import WAIT_SECONDS
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import EVENTS
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.shifted_clock import ShiftedClock

TOKENS: tuple[Header, ...] = (('model', 'm'), ('token-count', '460,5'))
EVENT = re.compile(rb'id: (\d+)\ndata: token \d+ (\S+)\n\n')
VERSIONS_KEY = f'{SOFTWARE_PREFIX}engines'
# The users' bounds: streams that may hold events of two versions, and the
# least share of the resumed streams that continue, compared to new ones.
MAX_MIXED = 2
LEAST_RATIO = 0.5
# The share counts from this many resumed streams on.
LEAST_RESUMED = 12


@dataclasses.dataclass
class CallerStream:
    """A stream as its caller sees it, over all tries.

    :ivar begun_by: id of the request that brought the first event.
    :ivar statuses: of the answer to each try, 0 without an answer.
    """

    name: str
    key: str = 'k1'
    begun_by: str = ''
    body: bytes = b''
    statuses: list[int] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return number and software version of each event."""
        return [
            (int(number), version.decode())
            for number, version in EVENT.findall(self.body)
        ]

    @property
    def versions(self) -> set[str]:
        """Return the software versions that wrote its events."""
        return {version for _, version in self.events}

    @property
    def is_complete(self) -> bool:
        """Return whether each event arrived once and in order."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, EVENTS + 1))

    async def call(
        self,
        address: Address,
        *,
        path: str = '/text/a',
        headers: tuple[Header, ...] | None = None,
    ) -> None:
        """Begin the stream, or resume it after the last event received.

        :param headers: sent in place of those that resume the stream.
        """
        request_id = f'{self.name}.{len(self.statuses)}'
        if headers is None:
            headers = self._make_resuming_headers()
        self.statuses.append(0)
        sent = (
            ('host', 'shop.example'),
            ('request-id', request_id),
            ('authorization', f'Token {self.key}'),
            *TOKENS,
            ('prompt-prefix', f'{self.name}:400,{self.name}x:60'),
            *headers,
        )
        connection = await ClientConnection.open(address, WAIT_SECONDS)
        try:
            await connection.send_request(RequestHead('POST', path, sent), b'')
            head = await connection.read_head()
            self.statuses[-1] = head.status
            while data := await connection.read_part():
                if head.status == 200:
                    self.begun_by = self.begun_by or request_id
                    self.body += data
        except UpstreamLost:
            return
        finally:
            connection.close()

    def _make_resuming_headers(self) -> tuple[Header, ...]:
        if not self.events:
            return ()
        return (
            ('last-event-id', str(self.events[-1][0])),
            ('resumes', self.begun_by),
        )


@dataclasses.dataclass
class VersionFleet:
    """Routers with one store, before the same engines."""

    store: FleetStoreStandin
    store_address: Address
    routers: dict[str, FleetRouterProcess]
    engines: dict[str, FleetUpstreamStandin]
    clocks: dict[str, ShiftedClock] = dataclasses.field(default_factory=dict)

    def put_engine(self, name: str, **fields: object) -> None:
        """Write the entry of an engine to the store."""
        engine = self.engines[name]
        entry = make_entry(
            service='engines',
            address=str(engine.address),
            slots=8,
            models=[{'name': 'm', 'version': 1}],
            version=engine.software_version,
        )
        self.store.put('servers', name, {**entry, **fields})

    async def add_engine(self, name: str, version: str) -> None:
        """Start an engine and list it."""
        engine = FleetUpstreamStandin(name)
        engine.software_version = version
        self.engines[name] = engine
        await engine.start()
        self.put_engine(name)

    async def add_router(self, name: str) -> None:
        """Start a router."""
        clock = ShiftedClock()
        self.clocks[name] = clock
        router = make_router(self.store_address, PROMISES, name, clock)
        self.routers[name] = router
        await router.start()

    async def wait_settled(self) -> None:
        """Wait until each router knows all routers and engines.

        The software versions of the engines are stored then.
        """
        await wait_until(
            lambda: all(
                router.is_ready()
                and router.roster.live == len(self.routers)
                and len(list(router.directory)) == len(self.engines)
                for router in self.routers.values()
            )
        )
        await wait_until(self._are_versions_stored)

    def _are_versions_stored(self) -> bool:
        value = self.store.rows.get(FLEET_TABLE, VERSIONS_KEY).value
        stored = msgspec.json.decode(value)['versions'] if value else []
        engines = self.engines.values()
        return {item.software_version for item in engines} <= set(stored)

    async def kill(self, name: str) -> None:
        """End a router at once; its row stays in the store."""
        await kill_router(self.routers.pop(name))

    def get_address(self, name: str) -> Address:
        """Return where a router accepts callers."""
        return self.routers[name].callers_address

    async def begin_streams(
        self, router: str, count: int, name: str = 's'
    ) -> tuple[list[CallerStream], list['asyncio.Task[None]']]:
        """Begin streams that wait after their second event.

        :return: the streams, and the tasks in which their callers read.
        """
        for engine in self.engines.values():
            engine.released.clear()
        streams = [CallerStream(f'{name}{index}') for index in range(count)]
        tasks = [
            asyncio.create_task(stream.call(self.get_address(router)))
            for stream in streams
        ]
        await wait_until(
            lambda: all(len(stream.events) == 2 for stream in streams)
        )
        return streams, tasks

    def release(self) -> None:
        """Let all engines continue their streams."""
        for engine in self.engines.values():
            engine.released.set()


def count_mixed(streams: list[CallerStream]) -> int:
    """Return how many streams hold events of several versions."""
    return sum(len(stream.versions) > 1 for stream in streams)


@contextlib.asynccontextmanager
async def run_version_fleet(
    versions: dict[str, str], routers: tuple[str, ...] = ('r1', 'r2', 'r3')
) -> AsyncIterator[VersionFleet]:
    """Run routers before engines.

    :param versions: software version of each engine, by its name.
    """
    store = FleetStoreStandin()
    fleet = VersionFleet(store, await store.start(), {}, {})
    store.put('op', 'config', CONFIGURATION)
    try:
        for name, version in versions.items():
            await fleet.add_engine(name, version)
        for name in routers:
            await fleet.add_router(name)
        await fleet.wait_settled()
        yield fleet
    finally:
        fleet.release()
        for router in fleet.routers.values():
            await router.stop()
        for engine in fleet.engines.values():
            await engine.stop()
        await store.server.stop()
