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

"""Pauses that upstreams ask for in answers that another router forwards."""

import asyncio
import unittest

from tests.nocover.test_tunnels import cut_off
from tests.nocover.test_tunnels import list_upstreams
from tests.nocover.test_tunnels import NEAR
from tests.nocover.test_tunnels import ONCE
from tests.nocover.test_tunnels import STRUCK
from tests.support.cut_fleet import run_cut_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour

QUIET_SECONDS = 6.0
# From when on the users count, and how many requests they allow.
SETTLING_SECONDS = 0.5
MAX_SENT = 2
CALLS = 12
MAX_TRIES = 20
AT_ONCE = 4


class TestPauses(unittest.IsolatedAsyncioTestCase):
    async def _decline_one(self, fleet):
        """Let an upstream decline a request of the router that is cut off."""
        quiet = fleet.upstreams['p1']
        quiet.retry_after = f'{QUIET_SECONDS:g}'
        quiet.script.append(Behaviour.DECLINE)
        for _ in range(MAX_TRIES):
            await asyncio.gather(
                *(fleet.try_once(STRUCK, ONCE) for _ in range(AT_ONCE))
            )
            if not quiet.script:
                return quiet
        raise AssertionError('no request reached it')

    async def test_regression_router_that_forwards_sent_during_a_pause(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            quiet = await self._decline_one(fleet)
            await asyncio.sleep(SETTLING_SECONDS)
            sent = len(quiet.arrivals)
            for _ in range(CALLS):
                self.assertTrue(await fleet.try_once(NEAR, ONCE))
            self.assertLessEqual(len(quiet.arrivals) - sent, MAX_SENT)

    async def test_open_tunnels_are_left_during_a_pause(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            await fleet.count_served(STRUCK, 2)
            near = fleet.routers[NEAR]
            (upstream, *_) = list_upstreams(fleet, NEAR)
            before = near.tunnel_server.tunnels
            self.assertGreater(before, 0)
            near.tunnel_server.announce_pause(upstream.start)
            await wait_until(lambda: near.tunnel_server.tunnels < before)
            self.assertEqual(await fleet.count_served(STRUCK, 1), 12)


if __name__ == '__main__':
    unittest.main()
