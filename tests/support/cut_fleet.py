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
"""A fleet of routers in two data centres whose links can be cut."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import itertools

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.fleet.process import FleetRouterProcess
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.cut_links import CutLinks
from tests.support.entries import make_entry
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import WAIT_SECONDS
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import EVENTS
from tests.support.fleet_upstream import FleetUpstreamStandin

ROUTERS = {
    'front-a-1': 'a',
    'front-a-2': 'a',
    'front-b-1': 'b',
    'front-b-2': 'b',
}
SERVICES = {'p1': 'plain', 'p2': 'plain', 'e1': 'engines', 'e2': 'engines'}
TOKENS: tuple[Header, ...] = (
    ('model', 'm'),
    ('token-count', '460,5'),
    ('prompt-prefix', 'aa:400,bb:60'),
)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request."""

    method: str
    path: str
    headers: tuple[Header, ...] = ()


KINDS = (
    Kind('GET', '/safe/a'),
    Kind('POST', '/once/a'),
    Kind('POST', '/text/a', TOKENS),
    Kind('POST', '/essay/a', TOKENS),
)

# How many requests of each kind a router gets at once.
AT_ONCE = 3


@dataclasses.dataclass
class CutFleet:
    """Routers with one store and the same upstreams, and their links."""

    links: CutLinks
    store: FleetStoreStandin
    routers: dict[str, FleetRouterProcess]
    upstreams: dict[str, FleetUpstreamStandin]
    ids: 'itertools.count[int]' = dataclasses.field(
        default_factory=itertools.count
    )

    async def try_once(self, router: str, kind: Kind) -> bool:
        """Send a new request to a router; return whether it was served."""
        headers: tuple[Header, ...] = (
            ('host', 'shop.example'),
            ('request-id', f'{router}-{next(self.ids)}'),
            ('authorization', 'Token k1'),
            *kind.headers,
        )
        address = self.routers[router].callers_address
        connection = await ClientConnection.open(address, WAIT_SECONDS)
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                head = RequestHead(kind.method, kind.path, headers)
                await connection.send_request(head, b'')
                answer = await connection.read_head()
                body = await connection.read_body(1_000_000)
        except UpstreamLost:
            return False
        finally:
            connection.close()
        if kind.headers and body.count(b'data: ') != EVENTS:
            return False
        return answer.status == 200

    async def count_served(self, router: str, rounds: int) -> int:
        """Send some requests of each kind at once, in each round.

        :return: how many were served.
        """
        served = 0
        for _ in range(rounds):
            outcomes = await asyncio.gather(
                *(self.try_once(router, kind) for kind in KINDS * AT_ONCE)
            )
            served += sum(outcomes)
        return served


@contextlib.asynccontextmanager
async def run_cut_fleet() -> AsyncIterator[CutFleet]:
    """Run four routers of two data centres, all reaching all upstreams."""
    links = CutLinks()
    store = FleetStoreStandin()
    address = await store.start()
    upstreams = {name: FleetUpstreamStandin(name) for name in SERVICES}
    for name, upstream in upstreams.items():
        await upstream.start()
        links.add_upstream(upstream.address)
        entry = make_entry(
            service=SERVICES[name], address=str(upstream.address), slots=8
        )
        if SERVICES[name] == 'engines':
            entry['models'] = [{'name': 'm', 'version': 1}]
        store.put('servers', name, entry)
    store.put('op', 'config', CONFIGURATION)
    routers = {
        vm: make_router(address, PROMISES, vm, data_centre=data_centre)
        for vm, data_centre in ROUTERS.items()
    }
    with links.in_use():
        for vm, router in routers.items():
            with links.owned_by(vm):
                await router.start()
        try:
            await wait_until(
                lambda: all(
                    router.is_ready()
                    and router.roster.live == len(ROUTERS)
                    and len(list(router.directory)) == len(SERVICES)
                    for router in routers.values()
                )
            )
            yield CutFleet(links, store, routers, upstreams)
        finally:
            for router in routers.values():
                await router.stop()
            await links.close()
            for upstream in upstreams.values():
                await upstream.stop()
            await store.server.stop()
