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

"""Requests that crash upstreams after the routers that saw it have ended."""

import asyncio
import unittest

from tests.support.crashing_routers import count_crashes
from tests.support.crashing_routers import run_routers
from tests.support.crashing_routers import send_fatal
from tests.support.fleet import Fleet
from tests.support.fleet import kill_router
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until

LIMIT = 3
SENDS_AFTER = 4
# A crash that was seen within this time before its router ended may be lost.
SETTLING_SECONDS = 2.0


async def start_again(fleet: Fleet) -> None:
    """Start a router again under the name of its VM."""
    vm = fleet.router._settings.vm
    fleet.router = make_router(fleet.store.address, PROMISES, vm)
    await fleet.router.start()


async def wait_ready(fleet: Fleet) -> None:
    await wait_until(fleet.router.is_ready)


async def restart_all(fleets: list[Fleet]) -> None:
    """Kill all routers at once and start them again."""
    for fleet in fleets:
        await kill_router(fleet.router)
    for fleet in fleets:
        await start_again(fleet)
    for fleet in fleets:
        await wait_ready(fleet)


async def restart_in_turn(fleets: list[Fleet]) -> None:
    """Kill each router and start it again before the next one."""
    for fleet in fleets:
        await kill_router(fleet.router)
        await start_again(fleet)
        await wait_ready(fleet)


async def stop_in_turn(fleets: list[Fleet]) -> None:
    """Stop each router as planned and start it again before the next one."""
    for fleet in fleets:
        await fleet.router.stop()
        await start_again(fleet)
        await wait_ready(fleet)


class TestRestarts(unittest.IsolatedAsyncioTestCase):
    async def _count_after(self, restart):
        """Return how many upstreams a request crashes with a restart."""
        async with run_routers() as (fleets, upstreams):
            for number in range(LIMIT - 1):
                await send_fatal(fleets[number], f'first-{number}', 'once')
            await asyncio.sleep(SETTLING_SECONDS)
            await restart(fleets)
            for number in range(SENDS_AFTER):
                fleet = fleets[number % len(fleets)]
                await send_fatal(fleet, f'again-{number}', 'once')
                await asyncio.sleep(SETTLING_SECONDS)
            return count_crashes(upstreams)

    async def test_regression_crash_counts_forgotten_after_restarts(self):
        for restart in (restart_all, restart_in_turn, stop_in_turn):
            with self.subTest(restart.__name__):
                self.assertEqual(await self._count_after(restart), LIMIT)


if __name__ == '__main__':
    unittest.main()
