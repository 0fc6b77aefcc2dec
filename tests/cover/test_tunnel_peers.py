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

"""Tests of the choice of the routers that forward connections."""

import collections
import unittest

import msgspec

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.tunnel_peers import is_path_unknown
from lifttrestle.internal.fleet.policy.tunnel_peers import rank_peers
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.tunnels.dialler import TunnelDialler
from tests.cover.test_reach import make_upstream
from tests.cover.test_reach import START
from tests.support.memory_rows import MemoryRows

PEERS = {f'router/{number}': 'ab'[number % 2] for number in range(194)}


class TestRanking(unittest.TestCase):
    def test_own_data_centre_comes_first(self):
        ranked = rank_peers(b'x', 'b', PEERS, ())
        self.assertEqual({PEERS[key] for key in ranked[:97]}, {'b'})
        self.assertEqual(sorted(ranked), sorted(PEERS))

    def test_routers_that_failed_come_last_whatever_their_data_centre(self):
        avoided = {key for key in PEERS if PEERS[key] == 'b'}
        ranked = rank_peers(b'x', 'b', PEERS, avoided)
        self.assertEqual(set(ranked[97:]), avoided)

    def test_hundred_routers_that_are_cut_off_do_not_meet_at_one(self):
        firsts = collections.Counter(
            rank_peers(f'{number}'.encode(), 'b', PEERS, ())[0]
            for number in range(100)
        )
        self.assertLess(max(firsts.values()), 8)


class TestPathUnknown(unittest.TestCase):
    def setUp(self):
        self.upstreams = [make_upstream('u', 'a'), make_upstream('v', 'a')]

    def _check(self, expected):
        self.assertIs(is_path_unknown(self.upstreams), expected)

    def test_service_without_upstreams_has_no_path(self):
        self.assertFalse(is_path_unknown([]))

    def test_unknown_once_the_last_upstream_is_unreachable(self):
        self.upstreams[0].reach.note_unreachable(10.0)
        self._check(False)
        self.upstreams[1].reach.note_unreachable(11.0)
        self._check(True)

    def test_known_once_another_router_was_asked(self):
        for upstream in self.upstreams:
            upstream.reach.note_unreachable(10.0)
        self.upstreams[1].note_tunnel_failed(11.0)
        self._check(False)

    def test_answer_of_an_earlier_cut_does_not_count(self):
        first, second = self.upstreams
        first.reach.note_unreachable(10.0)
        first.note_tunnel_failed(11.0)
        second.reach.note_unreachable(12.0)
        self._check(True)


class TestDialler(unittest.IsolatedAsyncioTestCase):
    async def test_regression_router_that_left_while_asked_was_a_fault(self):
        clock = ManualClock(START)
        roster = Roster(MemoryRows(), clock, 'own', 'a')
        roster.list_tunnel_peers = lambda: {'router/gone': 'a'}
        upstream = make_upstream('u', 'a')
        with self.assertRaises(UpstreamConnectFailed):
            await TunnelDialler(roster, clock).open(upstream)


class TestRoster(unittest.TestCase):
    def setUp(self):
        clock = ManualClock(START)
        self.roster = Roster(MemoryRows(), clock, 'own', 'a')

    def _apply(self, key, row):
        value = msgspec.json.encode(row)
        self.roster.apply_row(VersionedRow(key, value, 1))

    def test_router_of_a_release_without_tunnels_is_not_asked(self):
        old = {'data_centre': 'a', 'address': '10.0.0.1:7'}
        self._apply('router/old', old)
        self._apply('router/new', RouterRow('a', '', '10.0.0.2:8'))
        self.assertEqual(self.roster.list_tunnel_peers(), {'router/new': 'a'})

    def test_tunnel_is_for_the_host_that_a_router_announces(self):
        self._apply('router/new', RouterRow('a', '', '10.0.0.2:8'))
        is_known = self.roster.is_known_host
        self.assertTrue(is_known('router/new', '10.0.0.2'))
        self.assertFalse(is_known('router/new', '10.0.0.3'))
        self.assertFalse(is_known('router/other', '10.0.0.2'))

    def test_row_with_an_invalid_tunnel_address_is_not_used(self):
        self._apply('router/new', RouterRow('a', '', 'nowhere'))
        self.assertEqual(self.roster.list_tunnel_peers(), {})
