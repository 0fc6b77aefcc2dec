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

"""Tests of upstreams that restart under the same name."""

import asyncio
import unittest

import msgspec

from lifttrestle.internal.fleet.loads.engine_control import EngineState
from lifttrestle.internal.fleet.loads.engine_control import LoadOrder
from lifttrestle.internal.fleet.loads.load_tracking import LoadTracker
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream import ENTRY_LAG_SECONDS
from lifttrestle.internal.fleet.state.upstream_entry import compare_starts
from lifttrestle.internal.fleet.state.upstream_entry import StartOrder
from lifttrestle.internal.fleet.state.weights_view import WeightsPlan
from lifttrestle.internal.fleet.state.weights_view import WeightsView
from tests.support.directories import DirectoryCase
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

FIRST = 1_767_225_600_000
SECOND = FIRST + 4_000


class StartCase(DirectoryCase):
    def put_entry(self, born=FIRST, weights=1, **fields):
        models = [{'name': 'm', 'version': weights}]
        entry = make_entry(models=models, **fields)
        if born is not None:
            entry['born'] = born
        self.take('e1', msgspec.json.encode(entry))
        return self.directory.get('e1')


class TestCompareStarts(unittest.TestCase):
    def test_start_times_determine_the_order(self):
        for known, reported, order in (
            (FIRST, FIRST, StartOrder.SAME),
            (FIRST, SECOND, StartOrder.NEWER),
            (SECOND, FIRST, StartOrder.OLDER),
            (FIRST, None, StartOrder.SAME),
            (None, FIRST, StartOrder.NEWER),
            (None, None, StartOrder.SAME),
        ):
            with self.subTest(known=known, reported=reported):
                self.assertIs(compare_starts(known, reported), order)


class TestEntries(StartCase):
    def test_new_start_has_no_state_of_the_old_one(self):
        old = self.put_entry()
        now = self.clock.monotonic()
        old.note_weights('m', 7, now)
        old.note_sent(1, now, unread=4000)
        old.breaker.note_failure(now)
        old.reach.note_unreachable(0.0)
        old.in_flight = old.peers_in_flight = old.peers_unread = 3
        old.misdirected = True
        old.busy_until = now + 9
        new = self.put_entry(SECOND, weights=2)
        self.assertIsNot(new, old)
        self.assertEqual(new.weights, {'m': 2})
        self.assertEqual((new.in_flight, new.pending), (0, {}))
        self.assertEqual((new.peers_in_flight, new.peers_unread), (0, 0))
        self.assertFalse(new.reach.unreachable or new.misdirected)
        self.assertEqual(new.busy_until, 0.0)
        self.assertIsNot(new.pool, old.pool)
        self.assertIsNone(self.directory.get_start(old.start))

    def test_new_start_of_a_draining_upstream_is_available(self):
        self.put_entry(state='draining')
        self.assertEqual(self.list_available(), [])
        self.put_entry(SECOND)
        self.assertEqual(self.list_available(), ['e1'])

    def test_late_entry_of_an_older_start_is_ignored(self):
        new = self.put_entry(SECOND, weights=3)
        self.put_entry(FIRST, state='draining')
        self.assertIs(self.directory.get('e1'), new)
        self.assertEqual(self.list_available(), ['e1'])

    def test_new_entry_of_the_same_start_keeps_its_state(self):
        old = self.put_entry()
        for born in (FIRST, None):
            self.assertIs(self.put_entry(born), old)
        self.assertEqual(old.entry.born, FIRST)

    def test_other_address_is_another_start(self):
        old = self.put_entry()
        self.assertIsNot(self.put_entry(address='127.0.0.1:10'), old)

    def test_older_weights_are_applied_after_the_lag_of_entries(self):
        upstream = self.put_entry()
        upstream.note_weights('m', 3, self.clock.monotonic())
        self.put_entry(weights=2)
        self.assertEqual(upstream.weights, {'m': 3})
        self.clock.advance(ENTRY_LAG_SECONDS + 0.1)
        self.put_entry(weights=2)
        self.assertEqual(upstream.weights, {'m': 2})


class TestOtherRouters(StartCase):
    def test_load_of_another_start_is_ignored(self):
        old = self.put_entry()
        roster = Roster(MemoryRows(), self.clock, 'me', 'a')
        loads = PeerLoads(
            'me', self.directory, roster, SharedParts(), self.clock
        )
        report = LoadReport('r', 1, [UpstreamLoad(old.digest, 4, 900)])
        new = self.put_entry(SECOND)
        loads.apply_report(report)
        self.assertEqual((new.peers_in_flight, new.peers_unread), (0, 0))
        again = LoadReport('r', 2, [UpstreamLoad(new.digest, 1, 0)])
        loads.apply_report(again)
        self.assertEqual(new.peers_in_flight, 1)

    def test_plan_applies_to_one_start_only(self):
        old = self.put_entry()
        view = WeightsView(self.directory, self.clock)
        new = self.put_entry(SECOND)
        plan = WeightsPlan('r', 'm', 5, [old.start], [old.start])
        view.apply_plan(plan, 9)
        self.assertEqual(new.weights, {'m': 1})
        self.assertEqual(new.busy_until, 0.0)


class RestartedEngine:
    """An engine that reports the start time that it is given."""

    def __init__(self, born):
        self.born = born

    async def read_state(self, engine):
        return EngineState({'m': 1}, False, 0, 0, 0, self.born)


class TestReports(StartCase):
    def read(self, upstream, born):
        tracker = LoadTracker(
            'm', RestartedEngine(born), self.directory, self.clock
        )
        tracker.add(upstream, LoadOrder('m', 2, 'r', 1, 0), True)
        state = asyncio.run(tracker.read_state(upstream))
        self.clock.advance(0.1)
        asyncio.run(tracker.poll())
        return state, len(tracker)

    def test_report_of_the_known_start_is_accepted(self):
        state, loading = self.read(self.put_entry(), FIRST)
        self.assertEqual(state.orders_accepted, 0)
        self.assertEqual(loading, 1)

    def test_report_without_a_start_time_is_accepted(self):
        state, _ = self.read(self.put_entry(), None)
        self.assertIsNotNone(state)

    def test_report_of_a_newer_start_ends_the_orders_of_the_old_one(self):
        old = self.put_entry(weights=4)
        state, loading = self.read(old, SECOND)
        self.assertIsNone(state)
        self.assertEqual(loading, 0)
        new = self.directory.get('e1')
        self.assertEqual(new.entry.born, SECOND)
        self.assertEqual(new.weights, {'m': 1})

    def test_report_of_an_older_start_is_ignored(self):
        new = self.put_entry(SECOND)
        state, _ = self.read(new, FIRST)
        self.assertIsNone(state)
        self.assertIs(self.directory.get('e1'), new)
