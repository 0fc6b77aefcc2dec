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

"""A fleet router in this process with stand-ins for store and upstreams."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.process import FleetRouterProcess
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.settings import StoreSettings
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.platform.engine_calls import PlatformEngineControl
from lifttrestle.internal.platform.request_dialect import PlatformDialect
from lifttrestle.internal.platform.row_store import PlatformRowStore
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.shifted_clock import ShiftedClock

WAIT_SECONDS = 20.0
# The window is so short that a router may retry right after its start.
PROMISES = Promises(
    retry_slack=40.0, retry_window_seconds=0.02, grace_seconds=0.4
)


def make_route(name: str, route_type: str, **fields: object) -> dict:
    """Return a route in the format of the operator; its prefix is its name."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 8000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': 'plain',
        'max_attempts': 2,
        **fields,
    }


ROUTES = [
    make_route('safe', 'idempotent'),
    make_route('once', 'non_idempotent', max_attempts=1),
    make_route('open', 'idempotent', auth_exempt=True),
    make_route('short', 'non_idempotent', timeout_ms=300),
    make_route('text', 'stream', service='engines', can_resume=True),
    make_route('essay', 'stream', service='engines', max_attempts=1),
]
CONFIGURATION = {
    'version': 3,
    'routes': ROUTES,
    'services': [
        {'name': 'plain', 'max_conns': 100},
        {
            'name': 'engines',
            'max_conns': 100,
            'engine': {
                'slots': 8,
                'kv_capacity_tokens': 9000,
                'models': [{'name': 'm'}],
            },
        },
        {'name': 'keep', 'kv_store_addr': '127.0.0.1:9', 'zone': 'a'},
    ],
    'limits': {'max_body_bytes': 100_000},
    'tenants': [
        {'name': 'acme', 'api_keys': ['k1', 'k2'], 'priority': 2},
        {'name': 'vault', 'api_keys': ['k3'], 'isolated': True},
    ],
}


@dataclasses.dataclass
class Fleet:
    """The router, its store and its upstreams."""

    store: FleetStoreStandin
    router: FleetRouterProcess
    upstreams: dict[str, FleetUpstreamStandin]
    clock: ShiftedClock

    async def call(
        self,
        path: str,
        *,
        method: str = 'GET',
        key: str = 'k1',
        body: bytes = b'',
        headers: tuple[Header, ...] = (),
        request_id: str = 'r1',
    ) -> Answer:
        """Send one request over a new connection."""
        sent: tuple[Header, ...] = (
            ('host', 'shop.example'),
            ('request-id', request_id),
            *((('authorization', f'Token {key}'),) if key else ()),
            *headers,
        )
        return await exchange(
            self.router.callers_address, RequestHead(method, path, sent), body
        )

    async def generate(
        self, route: str, wait_ms: int = 0, **fields: object
    ) -> Answer:
        """Request a text from an engine."""
        headers = (
            ('model', 'm'),
            ('token-count', '460,5'),
            ('prompt-prefix', 'aa:400,bb:60'),
            *((('deadline-ms', str(wait_ms)),) if wait_ms else ()),
        )
        return await self.call(
            f'/{route}/x',
            method='POST',
            headers=headers,
            **fields,  # type: ignore[arg-type]
        )

    def configure(self, **fields: object) -> None:
        """Put another configuration in force."""
        self.store.put('op', 'config', {**CONFIGURATION, **fields})

    def put_upstream(
        self, service: str, upstream: FleetUpstreamStandin, **fields: object
    ) -> None:
        """Write the entry of an upstream to the store."""
        entry = make_entry(
            service=service, address=str(upstream.address), slots=8, **fields
        )
        if service == 'engines':
            weights = {'name': 'm', 'version': upstream.weights}
            entry.setdefault('models', [weights])
        self.store.put('servers', upstream.instance, entry)


async def exchange(
    address: Address, head: RequestHead, body: bytes = b''
) -> Answer:
    """Send one request over a new connection and return its answer."""
    connection = await ClientConnection.open(address, WAIT_SECONDS)
    try:
        await connection.send_request(head, body)
        answer = await connection.read_head()
        data = await connection.read_body(1_000_000)
    finally:
        connection.close()
    return Answer(answer.status, answer.headers, data)


async def wait_until(condition: object) -> None:
    """Wait until a condition holds, up to WAIT_SECONDS."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def run_fleet(promises: Promises = PROMISES) -> AsyncIterator[Fleet]:
    """Run a router with two plain upstreams and two engines."""
    store = FleetStoreStandin()
    address = await store.start()
    upstreams = {
        name: FleetUpstreamStandin(name) for name in ('p1', 'p2', 'e1', 'e2')
    }
    clock = ShiftedClock()
    router = make_router(address, promises, clock=clock)
    fleet = Fleet(store, router, upstreams, clock)
    for name, upstream in upstreams.items():
        await upstream.start()
        service = 'plain' if name.startswith('p') else 'engines'
        fleet.put_upstream(service, upstream)
    fleet.configure()
    await router.start()
    await wait_until(lambda: len(list(router.directory)) == len(upstreams))
    await wait_until(router.is_ready)
    try:
        yield fleet
    finally:
        await router.stop()
        for upstream in upstreams.values():
            await upstream.stop()
        await store.server.stop()


@contextlib.asynccontextmanager
async def run_fleet_before(
    upstream: FleetUpstreamStandin, service: str
) -> AsyncIterator[Fleet]:
    """Run a router with one upstream only, of a service."""
    await upstream.start()
    async with run_fleet() as fleet:
        for name in fleet.upstreams:
            fleet.store.remove('servers', name)
        fleet.put_upstream(service, upstream)
        directory = fleet.router.directory
        await wait_until(
            lambda: (
                [item.instance for item in directory] == [upstream.instance]
            )
        )
        yield fleet
    await upstream.stop()


async def kill_router(router: FleetRouterProcess) -> None:
    """End a router at once; its rows stay in the store."""
    router._peer_loads.close()
    await router._control_tasks.cancel()
    await router._listeners.callers.stop(0, 0)
    await router.stop()


def make_router(
    store: Address,
    promises: Promises,
    vm: str = 'front-a-1',
    clock: Clock | None = None,
    data_centre: str = 'a',
) -> FleetRouterProcess:
    """Return a router that uses the store at an address."""
    clock = clock or SystemClock()
    settings = FleetSettings(
        vm=vm,
        data_centre=data_centre,
        callers_address='127.0.0.1:0',
        ready_address='127.0.0.1:0',
        metrics_address='',
        peers_address='127.0.0.1:0',
        tunnels_address='127.0.0.1:0',
        heartbeat_seconds=1.2,
        store=StoreSettings(str(store)),
        promises=promises,
    )
    return FleetRouterProcess(
        settings,
        clock,
        random.Random(7),
        PlatformRowStore(JsonClient(store, clock, 0.8)),
        PlatformFormat(),
        PlatformDialect(),
        PlatformEngineControl(clock, 0.5),
    )
