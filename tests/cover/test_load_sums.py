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

"""Tests of sums of loads, which a few routers tell the others."""

import collections
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.load_paths import choose_aggregator
from lifttrestle.internal.fleet.policy.load_paths import DIRECT_ROUTERS
from lifttrestle.internal.fleet.policy.tell_pacing import HEARD_PER_SECOND
from lifttrestle.internal.fleet.state.aggregator_choice import SILENT_SECONDS
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_aggregation import add_up
from lifttrestle.internal.fleet.state.load_aggregation import take_off
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.peer_loads import SUM_SECONDS
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.directories import START
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

ENGINES = ('e1', 'e2', 'e3')
DATA_CENTRES = ('a', 'b', 'c')
LOADS = st.lists(
    st.builds(
        UpstreamLoad,
        st.integers(1, 4),
        st.integers(0, 9),
        st.integers(0, 9000),
    ),
    unique_by=lambda load: load.digest,
)


class Fleet:
    """Routers that tell each other over a network of one mapping."""

    def __init__(self, count):
        self.clock = ManualClock(START)
        self.routers = {}
        self.down = set()
        self.heard = collections.Counter()
        names = [f'r{number}' for number in range(count)]
        rows = []
        for number, name in enumerate(names):
            address = f'10.0.{number // 250}.{number % 250}:7400'
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            value = msgspec.json.encode(RouterRow(data_centre, address))
            rows.append(VersionedRow(f'router/{name}', value, number + 1))
            self.routers[name] = self.make_router(name, data_centre)
        for router in self.routers.values():
            for row in rows:
                router.roster.take(row)

    def make_router(self, name, data_centre):
        router = mock.Mock()
        directory = UpstreamDirectory(PlatformFormat(), self.clock)
        for engine in ENGINES:
            value = msgspec.json.encode(make_entry())
            directory.take(VersionedRow(engine, value, 1))
        router.directory = directory
        router.roster = Roster(MemoryRows(), self.clock, name, data_centre)
        router.roster.loaded = True
        router.parts = SharedParts()
        router.loads = PeerLoads(
            name, directory, router.roster, router.parts, self.clock
        )
        router.loads._transport = mock.Mock()
        router.loads._transport.sendto = self.carry
        return router

    def carry(self, data, address):
        host = address[0].split('.')
        name = f'r{250 * int(host[2]) + int(host[3])}'
        if name not in self.down:
            self.heard[name] += 1
            self.routers[name].loads.datagram_received(data, None)

    def turn(self):
        """Let every router tell, and every one that is asked add up."""
        for name, router in self.routers.items():
            if name not in self.down:
                router.loads._tell()
        for _ in range(2):
            self.clock.advance(SUM_SECONDS)
            for name, router in self.routers.items():
                if name not in self.down:
                    router.loads.tell_sums()

    def get_seen(self, name, engine='e1'):
        """Return what a router takes to be under way there, its own too."""
        upstream = self.routers[name].directory.get(engine)
        return (
            upstream.in_flight + upstream.peers_in_flight,
            upstream.unread_tokens + upstream.peers_unread,
        )


class TestLargeFleet(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(60)

    def add_load(self, name, running, unread=0):
        upstream = self.fleet.routers[name].directory.get('e1')
        upstream.in_flight = running
        upstream.owed.clear()
        upstream.note_sent(1, 0.0, unread=unread)

    def test_every_router_knows_the_whole_load(self):
        self.add_load('r0', 2, 5000)
        self.add_load('r1', 3, 700)
        self.add_load('r59', 1, 40)
        for _ in range(2):
            self.fleet.turn()
        for name in self.fleet.routers:
            with self.subTest(router=name):
                self.assertEqual(self.fleet.get_seen(name), (6, 5740))

    def test_own_load_that_ended_is_not_counted_twice(self):
        self.add_load('r0', 4, 900)
        for _ in range(2):
            self.fleet.turn()
        self.add_load('r0', 1)
        self.assertEqual(self.fleet.get_seen('r0'), (1, 0))

    def test_load_that_ended_is_forgotten(self):
        self.add_load('r0', 4, 900)
        self.fleet.turn()
        upstream = self.fleet.routers['r0'].directory.get('e1')
        upstream.in_flight = 0
        upstream.owed.clear()
        for _ in range(2):
            self.fleet.turn()
        self.assertEqual(self.fleet.get_seen('r7'), (0, 0))

    def test_loss_of_those_that_add_up_is_made_up_for(self):
        chosen = {
            choose_aggregator(
                [
                    f'router/{name}'
                    for name, router in self.fleet.routers.items()
                    if router.roster.data_centre == data_centre
                ],
                (),
            )
            for data_centre in DATA_CENTRES
        }
        self.fleet.turn()
        self.fleet.down = {key.removeprefix('router/') for key in chosen}
        living = sorted(set(self.fleet.routers) - self.fleet.down)
        self.add_load(living[0], 2, 300)
        self.add_load(living[1], 1, 20)
        for _ in range(12):
            self.fleet.turn()
        for name in living:
            self.assertEqual(self.fleet.get_seen(name), (3, 320))

    def test_lost_router_holds_no_engine_busy(self):
        self.add_load('r0', 4, 900)
        self.fleet.turn()
        self.fleet.down = {'r0'}
        for _ in range(12):
            self.fleet.turn()
        self.assertEqual(self.fleet.get_seen('r8'), (0, 0))

    def test_parts_that_one_router_had_read_are_known_to_all(self):
        teller = self.fleet.routers['r0']
        teller.parts._remember(77, 0.0)
        teller.parts._news.append(77)
        for _ in range(2):
            self.fleet.turn()
        for name, router in self.fleet.routers.items():
            with self.subTest(router=name):
                self.assertIn(77, router.parts._read_at)

    def test_nobody_hears_more_than_in_a_small_fleet(self):
        # Of 195 routers each heard 250 reports a second; each hears 10 sums,
        # and one in each data centre what its neighbours tell it.
        fleet = Fleet(195)
        fleet.turn()
        fleet.heard.clear()
        fleet.turn()
        tell_seconds = fleet.routers['r0'].loads.get_tell_seconds()
        neighbours = 195 / len(DATA_CENTRES)
        self.assertLessEqual(neighbours / tell_seconds, HEARD_PER_SECOND)
        usual = sorted(fleet.heard.values())[len(fleet.heard) // 2]
        self.assertLessEqual(usual, 2)

    def test_silence_of_the_chosen_one_is_noticed_in_time(self):
        fleet = self.fleet
        fleet.turn()
        router = fleet.routers['r0']
        first = router.loads._choice.choose()
        fleet.down = {first.removeprefix('router/')}
        fleet.clock.advance(SILENT_SECONDS + 0.01)
        self.assertNotEqual(router.loads._choice.choose(), first)


class TestSmallFleet(unittest.TestCase):
    def test_all_tell_all_where_that_is_little(self):
        fleet = Fleet(DIRECT_ROUTERS)
        upstream = fleet.routers['r0'].directory.get('e1')
        upstream.in_flight = 2
        fleet.routers['r0'].loads._tell()
        for name in fleet.routers:
            self.assertEqual(fleet.get_seen(name), (2, 0))


class TestArithmetic(unittest.TestCase):
    @given(st.lists(LOADS, max_size=4), LOADS)
    def test_taking_off_one_of_a_sum_leaves_the_others(self, others, own):
        rest = take_off(add_up([*others, own]), own)
        expected = {load.digest: load for load in add_up(others)}
        for load in rest:
            left = expected.get(load.digest, UpstreamLoad(load.digest, 0, 0))
            self.assertEqual(load, left)
