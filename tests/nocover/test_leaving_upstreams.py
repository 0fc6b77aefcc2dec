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

"""Upstreams that say in their answers that they leave."""

import asyncio
import time
import unittest

from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour
from tests.support.version_fleet import run_version_fleet

CALLS = 12


class TestRegressionSentToLeavingUpstream(unittest.IsolatedAsyncioTestCase):
    async def _learn(self, fleet, upstream):
        """Call until an upstream that leaves has said so in an answer."""
        upstream.leaving = '1'
        # Makes the other one the second choice.
        fleet.upstreams['p2'].work_seconds = 0.03
        arrivals = len(upstream.arrivals)
        while len(upstream.arrivals) == arrivals:
            await fleet.call('/safe/x')

    async def _count_sent(self, fleet, upstream):
        """Return how many of some requests reach an upstream."""
        arrivals = len(upstream.arrivals)
        answers = [await fleet.call('/safe/x') for _ in range(CALLS)]
        self.assertEqual({answer.status for answer in answers}, {200})
        return len(upstream.arrivals) - arrivals

    async def test_while_the_store_does_not_list_it_as_draining(self):
        async with run_fleet() as fleet:
            leaver = fleet.upstreams['p1']
            await self._learn(fleet, leaver)
            self.assertEqual(await self._count_sent(fleet, leaver), 0)

    async def test_after_the_store_listed_it_as_ready_again(self):
        async with run_fleet() as fleet:
            leaver = fleet.upstreams['p1']
            await self._learn(fleet, leaver)
            changes = fleet.router.directory.changes
            fleet.put_upstream('plain', leaver)
            await wait_until(lambda: fleet.router.directory.changes > changes)
            self.assertEqual(await self._count_sent(fleet, leaver), 0)

    async def test_callers_are_told_soon_once_all_leave(self):
        async with run_fleet() as fleet:
            for name in ('p1', 'p2'):
                leaver = fleet.upstreams[name]
                leaver.leaving = '1'
                while not leaver.arrivals:
                    await fleet.call('/safe/x')
            arrivals = [
                len(item.arrivals) for item in fleet.upstreams.values()
            ]
            began = time.monotonic()
            answer = await fleet.call('/safe/x')
            self.assertLess(time.monotonic() - began, 0.5)
            self.assertEqual(answer.status, 503)
            self.assertIn('retry-after', dict(answer.headers))
            self.assertEqual(
                [len(item.arrivals) for item in fleet.upstreams.values()],
                arrivals,
            )

    async def test_after_its_entry_lapsed_and_came_back(self):
        async with run_fleet() as fleet:
            leaver = fleet.upstreams['p1']
            directory = fleet.router.directory
            await self._learn(fleet, leaver)
            fleet.store.remove('servers', 'p1')
            await wait_until(lambda: directory.get('p1') is None)
            fleet.put_upstream('plain', leaver)
            await wait_until(lambda: directory.get('p1') is not None)
            self.assertEqual(await self._count_sent(fleet, leaver), 0)

    async def test_after_the_store_was_away(self):
        async with run_fleet() as fleet:
            leaver = fleet.upstreams['p1']
            fleet.store.rows.down = True
            await self._learn(fleet, leaver)
            fleet.clock.skip(12.0)
            fleet.store.rows.down = False
            fleet.put_upstream('plain', leaver)
            await wait_until(fleet.router.is_ready)
            self.assertEqual(await self._count_sent(fleet, leaver), 0)

    async def test_after_it_declined_a_request(self):
        async with run_fleet() as fleet:
            leaver = fleet.upstreams['p1']
            leaver.script.extend([Behaviour.DECLINE])
            await self._learn(fleet, leaver)
            self.assertEqual(await self._count_sent(fleet, leaver), 0)

    async def test_between_the_choice_and_the_send(self):
        async with run_fleet() as fleet:
            upstream = fleet.router.directory.get('p1')
            take = upstream.pool.take

            async def take_late(**options):
                connection = await take(**options)
                upstream.departure.note_announced(fleet.clock.monotonic())
                return connection

            upstream.pool.take = take_late
            leaver = fleet.upstreams['p1']
            self.assertEqual(await self._count_sent(fleet, leaver), 0)
            self.assertTrue(upstream.departure.has_begun)

    async def test_at_the_head_of_a_stream(self):
        async with run_version_fleet({'e1': 'v1', 'e2': 'v1'}) as fleet:
            leaver = fleet.engines['e1']
            leaver.leaving = '1'
            _, tasks = await fleet.begin_streams('r1', 4)
            arrivals = len(leaver.arrivals)
            self.assertGreater(arrivals, 0)
            fleet.release()
            await asyncio.gather(*tasks)
            _, tasks = await fleet.begin_streams('r1', 4, 't')
            self.assertEqual(len(leaver.arrivals), arrivals)
            fleet.release()
            await asyncio.gather(*tasks)


class TestOtherRouters(unittest.IsolatedAsyncioTestCase):
    async def test_all_routers_learn_that_an_upstream_leaves(self):
        async with run_version_fleet({'e1': 'v1', 'e2': 'v1'}) as fleet:
            leaver = fleet.engines['e1']
            leaver.leaving = '1'
            _, tasks = await fleet.begin_streams('r1', 4)
            arrivals = len(leaver.arrivals)
            self.assertGreater(arrivals, 0)
            fleet.release()
            await asyncio.gather(*tasks)
            for router in ('r2', 'r3'):
                _, tasks = await fleet.begin_streams(router, 4, router)
                fleet.release()
                await asyncio.gather(*tasks)
            self.assertEqual(len(leaver.arrivals), arrivals)


if __name__ == '__main__':
    unittest.main()
