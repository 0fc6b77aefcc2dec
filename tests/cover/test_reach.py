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

"""Which addresses can be reached, found out without a caller's request."""

import asyncio
import datetime
import unittest

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.catalogue import CacheStoreFacts
from lifttrestle.internal.fleet.state.reach import PROBE_SECONDS
from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.fleet.state.reach import SUSPECT_SECONDS
from lifttrestle.internal.fleet.state.reach_probing import ReachProber
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class FakePool:
    """Connects, or does not, as it is told; counts the tries."""

    def __init__(self, reachable=True):
        self.reachable = reachable
        self.tries = 0
        self.kept = 0

    async def take(self, *, fresh=False):
        self.tries += 1
        if not self.reachable:
            raise UpstreamConnectFailed('no answer')
        return object()

    def give_back(self, connection):
        self.kept += 1


def make_upstream(name, data_centre, reachable=True):
    entry = UpstreamEntry(name, 's', '127.0.0.1:9', data_centre, 8, False, {})
    return FleetUpstream(entry, FakePool(reachable))


class TestDue(unittest.TestCase):
    def test_one_that_is_trusted_is_left_alone(self):
        self.assertFalse(Reachability().is_due(100.0))

    def test_one_that_failed_is_due_again_and_again(self):
        reach = Reachability(unreachable=True, probed_at=10.0)
        self.assertFalse(reach.is_due(10.0 + 0.9 * PROBE_SECONDS))
        self.assertTrue(reach.is_due(10.0 + PROBE_SECONDS))

    def test_one_that_owes_answers_is_due(self):
        self.assertTrue(
            Reachability(reached_at=10.0).is_due(10.1, silent=True)
        )

    def test_one_that_was_reached_is_suspected_in_vain_for_a_while(self):
        reach = Reachability()
        reach.note_reachable(10.0)
        reach.suspect()
        self.assertFalse(reach.is_due(10.0 + 0.9 * SUSPECT_SECONDS))
        self.assertTrue(reach.is_due(10.0 + SUSPECT_SECONDS))


class TestProber(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.clock.advance(100.0)
        self.stores = CacheStores(self.clock)
        self.upstreams = []
        self.prober = ReachProber(self.upstreams, self.stores, self.clock)

    async def _look(self, seconds=PROBE_SECONDS):
        self.clock.advance(seconds)
        self.prober.begin_probes()
        for _ in range(4):
            await asyncio.sleep(0)

    async def test_regression_cut_upstream_stays_out_until_it_is_reached(self):
        # It was trusted again a second after each failure, so every second a
        # request was sent over a connection into the cut and lost.
        upstream = make_upstream('a', 'x', reachable=False)
        self.upstreams.append(upstream)
        upstream.reach.note_unreachable()
        for _ in range(10):
            await self._look()
            now = self.clock.monotonic()
            self.assertTrue(upstream.seems_down(now))
        self.assertEqual(upstream.pool.tries, 10)
        upstream.pool.reachable = True
        await self._look()
        self.assertFalse(upstream.seems_down(self.clock.monotonic()))
        self.assertEqual(upstream.pool.kept, 1)

    async def test_neighbours_of_one_that_is_lost_are_probed(self):
        lost = make_upstream('a', 'x', reachable=False)
        near = make_upstream('b', 'x', reachable=False)
        far = make_upstream('c', 'y')
        heard = make_upstream('d', 'x')
        heard.note_alive(100.0)
        self.upstreams.extend((lost, near, far, heard))
        lost.reach.note_unreachable()
        await self._look(0.1)
        self.assertTrue(near.reach.unreachable)
        self.assertEqual((far.pool.tries, heard.pool.tries), (0, 0))

    async def test_one_of_many_that_is_lost_makes_nobody_suspect(self):
        lost = make_upstream('a', 'x', reachable=False)
        others = [make_upstream(f'b{number}', 'x') for number in range(9)]
        self.upstreams.extend((lost, *others))
        lost.reach.note_unreachable()
        await self._look(0.1)
        self.assertEqual(sum(item.pool.tries for item in others), 0)

    async def test_store_beside_one_that_is_lost_is_probed(self):
        facts = CacheStoreFacts('127.0.0.1:9', 'x', 1000)
        store = self.stores.get(facts)
        store.pool = FakePool(reachable=False)
        self.upstreams.append(make_upstream('a', 'x', reachable=False))
        await self._look()
        self.assertFalse(store.reach.unreachable)
        self.upstreams[0].reach.note_unreachable()
        await self._look()
        self.assertTrue(store.reach.unreachable)
        store.pool.reachable = True
        await self._look()
        self.assertFalse(store.reach.unreachable)

    async def test_silent_upstream_that_takes_connections_is_not_lost(self):
        upstream = make_upstream('a', 'x')
        upstream.note_sent(1, self.clock.monotonic())
        self.upstreams.append(upstream)
        await self._look(0.6)
        self.assertEqual(upstream.pool.tries, 1)
        self.assertFalse(upstream.reach.unreachable)
