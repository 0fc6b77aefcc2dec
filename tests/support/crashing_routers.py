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

"""Three routers in front of upstreams that a request can crash."""

from collections.abc import AsyncIterator
import contextlib

from lifttrestle.internal.http.answer import Answer
from tests.support.crashing_upstream import CrashingUpstream
from tests.support.crashing_upstream import FATAL
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import Fleet
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.shifted_clock import ShiftedClock

NAMES = ('front-a-1', 'front-a-2', 'front-a-3')
UPSTREAMS = 8


@contextlib.asynccontextmanager
async def run_routers(
    upstream_count: int = UPSTREAMS,
) -> AsyncIterator[tuple[list[Fleet], list[CrashingUpstream]]]:
    """Run three routers in front of upstreams that a request can crash."""
    store = FleetStoreStandin()
    address = await store.start()
    store.put('op', 'config', CONFIGURATION)
    upstreams = [
        CrashingUpstream(f'p{number}', store)
        for number in range(upstream_count)
    ]
    for upstream in upstreams:
        await upstream.start()
    routers = [make_router(address, PROMISES, vm) for vm in NAMES]
    fleets = [Fleet(store, router, {}, ShiftedClock()) for router in routers]
    try:
        for router in routers:
            await router.start()
        await wait_until(
            lambda: all(
                item.is_ready()
                and item.roster.live == len(NAMES)
                and len(list(item.directory)) == upstream_count
                for item in routers
            )
        )
        yield fleets, upstreams
    finally:
        for fleet in fleets:
            await fleet.router.stop()
        for upstream in upstreams:
            await upstream.stop()
        await store.server.stop()


def count_crashes(upstreams: list[CrashingUpstream]) -> int:
    """Return the total number of crashes of the upstreams."""
    return sum(upstream.crashes for upstream in upstreams)


async def send_fatal(
    fleet: Fleet, request_id: str, route: str = 'safe'
) -> Answer:
    """Send the request that crashes every upstream that runs it."""
    return await fleet.call(
        f'/{route}/a', method='POST', body=FATAL, request_id=request_id
    )
