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
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
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


# Callers of a router that is cut off are served at least this often, compared
# with those of other routers, unless few of its first tries fail.
LEAST_RATIO = 2 / 3
FAILURES_ALLOWED = 10
FAILURES_ALLOWED_SHARE = 1 / 50


def is_served_worse(
    struck: int, struck_tries: int, others: int, others_tries: int
) -> bool:
    """Return whether the callers of struck routers are served far worse.

    :param struck: how many of the tries at struck routers were served.
    :param others: how many of those at other routers were.
    """
    allowed = FAILURES_ALLOWED + FAILURES_ALLOWED_SHARE * (
        struck_tries + others_tries
    )
    if struck_tries - struck <= allowed:
        return False
    return struck * others_tries < LEAST_RATIO * others * struck_tries


@dataclasses.dataclass
class CutFleet:
    """Routers with one store and the same upstreams, and their links.

    :ivar stopped: routers that are being stopped and started again.
    """

    links: CutLinks
    store: FleetStoreStandin
    routers: dict[str, FleetRouterProcess]
    upstreams: dict[str, FleetUpstreamStandin]
    store_address: Address
    stopped: set[str] = dataclasses.field(default_factory=set)
    ids: 'itertools.count[int]' = dataclasses.field(
        default_factory=itertools.count
    )

    async def restart(self, router: str) -> None:
        """Stop a router as planned, and start another one in its place."""
        self.stopped.add(router)
        await self.routers[router].stop()
        await self.start(router)
        await wait_until(self.routers[router].is_ready)
        self.stopped.discard(router)

    async def start(self, router: str) -> None:
        """Start a new router process of a VM."""
        process = make_router(
            self.store_address, PROMISES, router, data_centre=ROUTERS[router]
        )
        self.routers[router] = process
        with self.links.owned_by(router):
            await process.start()

    async def try_once(
        self, router: str, kind: Kind, request_id: str = ''
    ) -> bool:
        """Send a request to a router; return whether it was served whole."""
        answer = await self.call(router, kind, request_id)
        if answer is None or answer.status != 200:
            return False
        return not kind.headers or answer.body.count(b'data: ') == EVENTS

    async def call(
        self, router: str, kind: Kind, request_id: str = ''
    ) -> Answer | None:
        """Return the answer to a request, or None if it was broken off."""
        headers: tuple[Header, ...] = (
            ('host', 'shop.example'),
            ('request-id', request_id or f'{router}-{next(self.ids)}'),
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
            return None
        finally:
            connection.close()
        return Answer(answer.status, answer.headers, body)

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
    fleet = CutFleet(links, store, {}, upstreams, address)
    with links.in_use():
        for vm in ROUTERS:
            await fleet.start(vm)
        routers = fleet.routers
        try:
            await wait_until(
                lambda: all(
                    router.is_ready()
                    and router.roster.live == len(ROUTERS)
                    and len(list(router.directory)) == len(SERVICES)
                    for router in routers.values()
                )
            )
            yield fleet
        finally:
            for router in routers.values():
                await router.stop()
            await links.close()
            for upstream in upstreams.values():
                await upstream.stop()
            await store.server.stop()
