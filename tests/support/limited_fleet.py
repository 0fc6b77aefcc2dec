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

"""Runs routers of two data centres with upstreams that report limits."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import time

from lifttrestle.internal.fleet.process import FleetRouterProcess
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import Fleet
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.shifted_clock import ShiftedClock

DATA_CENTRES = ('a', 'b')
WINDOW_SECONDS = 4.0
# What the user documentation allows in a window: one and a half times the
# requests that the limit permits, plus this number of requests.
ALLOWED_SHARE = 1.5
ALLOWED_SLACK = 5.0
# A router that received an answer with a limit must enforce it this soon.
REACTION_SECONDS = 0.5


@dataclasses.dataclass
class LimitedFleet:
    """Routers, and upstreams that report limits."""

    store: FleetStoreStandin
    store_address: Address
    routers: list[FleetRouterProcess]
    upstreams: dict[str, FleetUpstreamStandin]

    def make_router(self, vm: str) -> FleetRouterProcess:
        """Return another router, which is not started yet."""
        return make_router(
            self.store_address, PROMISES, vm, data_centre=DATA_CENTRES[0]
        )

    def view(self, number: int) -> Fleet:
        """Return a fleet of which only one router is called."""
        router = self.routers[number % len(self.routers)]
        return Fleet(self.store, router, self.upstreams, ShiftedClock())

    def list_busiest(self) -> list[str]:
        """Return the upstreams' names, the one with most arrivals first."""
        return sorted(
            self.upstreams,
            key=lambda name: -len(self.upstreams[name].arrivals),
        )

    async def load(
        self, requests: int, per_second: float, path: str = '/safe/a'
    ) -> list[Answer]:
        """Send requests to the routers in turn, and return the answers."""
        calls = []
        for number in range(requests):
            calls.append(
                asyncio.create_task(
                    self.view(number).call(path, request_id=f'r{number}')
                )
            )
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*calls)


def count_peak_arrivals(times: list[float], begin: float) -> int:
    """Return the arrivals in the fullest window from a time on."""
    counted = [at for at in times if at >= begin]
    return max(
        (
            sum(first <= at < first + WINDOW_SECONDS for at in counted)
            for first in counted
        ),
        default=0,
    )


def compute_allowance(rate: float) -> float:
    """Return the number of requests that a limit allows in a window."""
    return ALLOWED_SHARE * rate * WINDOW_SECONDS + ALLOWED_SLACK


def get_now() -> float:
    """Return the current time of the clock that stamps arrivals."""
    return time.monotonic()


@contextlib.asynccontextmanager
async def run_limited_fleet(
    routers: int = 6, upstreams: int = 4
) -> AsyncIterator[LimitedFleet]:
    """Run routers in front of plain upstreams."""
    store = FleetStoreStandin()
    address = await store.start()
    named = {
        f'p{number}': FleetUpstreamStandin(f'p{number}')
        for number in range(upstreams)
    }
    fleet = LimitedFleet(
        store,
        address,
        [
            make_router(
                address,
                PROMISES,
                f'front-{number}',
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            )
            for number in range(routers)
        ],
        named,
    )
    for number, upstream in enumerate(named.values()):
        await upstream.start()
        zone = DATA_CENTRES[number % len(DATA_CENTRES)]
        fleet.view(0).put_upstream('plain', upstream, zone=zone)
    store.put('op', 'config', CONFIGURATION)
    # Background tasks of a router end with its stop().
    for router in fleet.routers:
        await router.start()
    for router in fleet.routers:
        await wait_until(router.is_ready)
        await wait_until(
            lambda router=router: len(router.roster.routers) == routers
        )
    try:
        yield fleet
    finally:
        for router in fleet.routers:
            await router.stop()
        for upstream in named.values():
            await upstream.stop()
        await store.server.stop()
