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

"""Tests of the reachability of addresses and of their probes."""

import asyncio
import datetime
import unittest

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.catalogue import CacheStoreConfig
from lifttrestle.internal.fleet.state.reach import PROBE_SECONDS
from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.fleet.state.reach import SUSPECT_SECONDS
from lifttrestle.internal.fleet.state.reach_probing import ReachProber
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class FakePool:
    """Accepts or refuses connections, and counts the attempts."""

    def __init__(self, reachable=True):
        self.reachable = reachable
        self.attempts = 0
        self.returned = 0

    async def open_direct(self):
        self.attempts += 1
        if not self.reachable:
            raise UpstreamConnectFailed('no answer')
        return object()

    def give_back(self, connection):
        self.returned += 1


def make_upstream(name, data_centre, reachable=True, slots=8):
    entry = UpstreamEntry(
        name, 's', '127.0.0.1:9', data_centre, slots, False, {}
    )
    return FleetUpstream(entry, FakePool(reachable))


class TestDue(unittest.TestCase):
    def test_reachable_address_is_not_due(self):
        self.assertFalse(Reachability().is_due(100.0))

    def test_unreachable_address_is_due_periodically(self):
        reach = Reachability(unreachable_since=9.0, probed_at=10.0)
        self.assertFalse(reach.is_due(10.0 + 0.9 * PROBE_SECONDS))
        self.assertTrue(reach.is_due(10.0 + PROBE_SECONDS))

    def test_silent_address_is_due(self):
        self.assertTrue(
            Reachability(reached_at=10.0).is_due(10.1, silent=True)
        )

    def test_suspected_address_is_not_due_soon_after_it_was_reached(self):
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

    async def _poll(self, seconds=PROBE_SECONDS):
        self.clock.advance(seconds)
        self.prober.start_probes()
        for _ in range(4):
            await asyncio.sleep(0)

    async def test_regression_unreachable_upstream_was_used_again(self):
        # The upstream was used again a second after each failure, without a
        # successful probe, so a request a second failed during a network
        # partition.
        upstream = make_upstream('a', 'x', reachable=False)
        self.upstreams.append(upstream)
        upstream.reach.note_unreachable(100.0)
        for _ in range(10):
            await self._poll()
            now = self.clock.monotonic()
            self.assertTrue(upstream.seems_down(now))
        self.assertEqual(upstream.pool.attempts, 10)
        upstream.pool.reachable = True
        await self._poll()
        self.assertFalse(upstream.seems_down(self.clock.monotonic()))
        self.assertEqual(upstream.pool.returned, 1)

    async def test_neighbours_of_an_unreachable_upstream_are_probed(self):
        unreachable = make_upstream('a', 'x', reachable=False)
        near = make_upstream('b', 'x', reachable=False)
        far = make_upstream('c', 'y')
        active = make_upstream('d', 'x')
        active.note_alive(100.0)
        self.upstreams.extend((unreachable, near, far, active))
        unreachable.reach.note_unreachable(100.0)
        await self._poll(0.1)
        self.assertTrue(near.reach.unreachable)
        self.assertEqual((far.pool.attempts, active.pool.attempts), (0, 0))

    async def test_one_unreachable_upstream_of_ten_has_no_others_probed(self):
        unreachable = make_upstream('a', 'x', reachable=False)
        others = [make_upstream(f'b{number}', 'x') for number in range(9)]
        self.upstreams.extend((unreachable, *others))
        unreachable.reach.note_unreachable(100.0)
        await self._poll(0.1)
        self.assertEqual(sum(item.pool.attempts for item in others), 0)

    async def test_store_near_an_unreachable_upstream_is_probed(self):
        config = CacheStoreConfig('127.0.0.1:9', 'x', 1000)
        store = self.stores.get(config)
        store.pool = FakePool(reachable=False)
        self.upstreams.append(make_upstream('a', 'x', reachable=False))
        await self._poll()
        self.assertFalse(store.reach.unreachable)
        self.upstreams[0].reach.note_unreachable(100.0)
        await self._poll()
        self.assertTrue(store.reach.unreachable)
        store.pool.reachable = True
        await self._poll()
        self.assertFalse(store.reach.unreachable)

    async def test_silent_upstream_that_accepts_connections_is_kept(self):
        upstream = make_upstream('a', 'x')
        upstream.note_sent(1, self.clock.monotonic())
        self.upstreams.append(upstream)
        await self._poll(0.6)
        self.assertEqual(upstream.pool.attempts, 1)
        self.assertFalse(upstream.reach.unreachable)
