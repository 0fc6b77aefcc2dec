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

"""Tests of one router that gets nearly all new connections for a while."""

import asyncio
import itertools
import time
import unittest

from tests.support.cut_fleet import KINDS
from tests.support.cut_fleet import ROUTERS
from tests.support.cut_fleet import run_cut_fleet
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import wait_until

SAFE = KINDS[0]
HOT = 'front-a-1'
# Connections that each of two upstreams accepts from all routers together.
MAX_CONNECTIONS = 16
WORK_SECONDS = 0.2
REQUESTS_PER_SECOND = 60
PHASE_SECONDS = 3.0
CONTACT_SECONDS = 1.0
# At least this share of the requests that were served before.
LEAST_SHARE = 3 / 4


class TestOneRouterGetsAll(unittest.IsolatedAsyncioTestCase):
    async def test_its_callers_are_served_as_often_as_before(self):
        async with run_cut_fleet() as fleet:
            asyncio.get_running_loop().set_debug(False)
            for name in ('p1', 'p2'):
                fleet.upstreams[name].work_seconds = WORK_SECONDS
            services = [
                {**service, 'max_conns': MAX_CONNECTIONS}
                if service['name'] == 'plain'
                else service
                for service in CONFIGURATION['services']
            ]
            version = CONFIGURATION['version'] + 1
            content = {
                **CONFIGURATION,
                'services': services,
                'version': version,
            }
            fleet.store.put('op', 'config', content)
            await wait_until(
                lambda: all(
                    router.catalogue.version == version
                    for router in fleet.routers.values()
                )
            )
            before = await self.send(fleet, itertools.cycle(ROUTERS), 0.0)
            hot = itertools.repeat(HOT)
            after = await self.send(fleet, hot, CONTACT_SECONDS)
        self.assertGreater(before, 0.9)
        self.assertGreaterEqual(after, LEAST_SHARE * before)

    async def send(self, fleet, routers, counted_after: float) -> float:
        """Send requests at a steady rate; return the share that was served.

        :param routers: yields the router of each request.
        :param counted_after: those sent earlier, in seconds, are not counted.
        """
        began = time.monotonic()
        calls = []
        for router in routers:
            elapsed = time.monotonic() - began
            if elapsed > PHASE_SECONDS:
                break
            call = asyncio.create_task(fleet.try_once(router, SAFE))
            if elapsed >= counted_after:
                calls.append(call)
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        served = await asyncio.gather(*calls)
        return sum(served) / len(served)
