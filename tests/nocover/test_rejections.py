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

"""Tests of upstreams that tolerate few rejections a second in all."""

import asyncio
import unittest

from tests.support.cut_fleet import KINDS
from tests.support.cut_fleet import ROUTERS
from tests.support.cut_fleet import run_cut_fleet
from tests.support.rejection_simulation import find_most_in_a_second

PLAIN = ('p1', 'p2')
SAFE = KINDS[0]
# The slots that the entries of the upstreams state, and a short queue.
ROOM = 10
MAX_REJECTIONS = 5
WORK_SECONDS = 0.3
CALLERS_PER_ROUTER = 10
CONTACT_SECONDS = 3.0
LOAD_SECONDS = 6.0
PAUSE_SECONDS = 0.1


class TestRejections(unittest.IsolatedAsyncioTestCase):
    async def test_regression_routers_together_exceeded_what_it_tolerates(
        self,
    ):
        async with run_cut_fleet() as fleet:
            for name in PLAIN:
                upstream = fleet.upstreams[name]
                upstream.room = ROOM
                upstream.work_seconds = WORK_SECONDS
                upstream.max_rejections = str(MAX_REJECTIONS)
            loop = asyncio.get_running_loop()
            # The debug mode takes several times the processor time.
            loop.set_debug(False)
            began_at = loop.time()
            served = []

            async def call(router):
                while loop.time() < began_at + CONTACT_SECONDS + LOAD_SECONDS:
                    served.append(await fleet.try_once(router, SAFE))
                    await asyncio.sleep(PAUSE_SECONDS)

            await asyncio.gather(
                *(
                    call(router)
                    for router in ROUTERS
                    for _ in range(CALLERS_PER_ROUTER)
                )
            )
            for name in PLAIN:
                rejected_at = [
                    at
                    for at in fleet.upstreams[name].rejected_at
                    if at >= began_at + CONTACT_SECONDS
                ]
                self.assertLessEqual(
                    find_most_in_a_second(rejected_at), MAX_REJECTIONS
                )
        # At least half of what two upstreams with so many slots can run.
        seconds = CONTACT_SECONDS + LOAD_SECONDS
        self.assertGreater(sum(served), 0.5 * 2 * 8 * seconds / WORK_SECONDS)
