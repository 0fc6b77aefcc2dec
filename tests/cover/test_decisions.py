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

"""Tests of load shedding, loading of weights and weight selection."""

import unittest

from lifttrestle.internal.fleet.policy.shedding import decide_shedding
from lifttrestle.internal.fleet.policy.shedding import find_wait_end
from lifttrestle.internal.fleet.policy.shedding import MAX_RETRY_SECONDS
from lifttrestle.internal.fleet.policy.shedding import MIN_RETRY_SECONDS
from lifttrestle.internal.fleet.policy.weight_loading import count_loadable
from lifttrestle.internal.fleet.policy.weight_loading import find_takeover_time
from lifttrestle.internal.fleet.policy.weight_loading import LeaseState
from lifttrestle.internal.fleet.policy.weight_loading import list_engines
from lifttrestle.internal.fleet.policy.weight_loading import list_outdated
from lifttrestle.internal.fleet.policy.weights_filter import select_engines
from lifttrestle.internal.fleet.state.operator_view import TargetWeightsHistory
from tests.support.directories import DirectoryCase


class TestShedding(unittest.TestCase):
    def test_request_that_can_be_in_time_is_sent(self):
        self.assertIsNone(decide_shedding(0.45, 0.4, 0.6))

    def test_request_that_would_be_late_is_refused_with_a_time(self):
        shedding = decide_shedding(0.78, 0.5, 0.6)
        self.assertAlmostEqual(shedding.limit, 0.48)
        self.assertAlmostEqual(shedding.retry_after, 0.3 + MIN_RETRY_SECONDS)

    def test_time_to_come_back_is_bounded(self):
        shedding = decide_shedding(60.0, 59.0, 0.6)
        self.assertEqual(shedding.retry_after, MAX_RETRY_SECONDS)

    def test_regression_longest_prompts_are_served_where_nothing_waits(self):
        # A prompt of 40,000 tokens takes 1.2 s to compute. It was refused
        # even with idle engines, on every retry.
        self.assertIsNone(decide_shedding(1.23, 0.0, 0.6))
        self.assertIsNone(decide_shedding(1.38, 0.15, 0.6))
        self.assertIsNotNone(decide_shedding(1.43, 0.2, 0.6))


class TestHolding(unittest.TestCase):
    def test_nothing_is_held_past_an_eighth_of_its_objective(self):
        # Requests were held for 0.8 s before they were refused.
        end = find_wait_end(10.0, 10.03, 0.4, 15.0, was_sent=False)
        self.assertAlmostEqual(end, 10.05)

    def test_one_that_was_turned_away_may_wait_for_a_load(self):
        end = find_wait_end(10.0, 10.2, 0.4, 15.0, was_sent=True)
        self.assertAlmostEqual(end, 11.0)
        end = find_wait_end(10.0, 10.2, 0.4, 1.0, was_sent=True)
        self.assertAlmostEqual(end, 10.4)


class TestLoadPacing(DirectoryCase):
    def setUp(self):
        super().setUp()
        for name in 'abcde':
            self.put(name, models=[1])
        self.engines = list_engines(self.directory, 'm')

    def test_two_of_five_may_load_less_those_that_are_lost(self):
        self.assertEqual(count_loadable(self.engines, 5.0), 2)
        self.engines[0].reach.note_unreachable(0.0)
        self.assertEqual(count_loadable(self.engines, 5.0), 1)
        self.engines[1].reach.note_unreachable(0.0)
        # One engine may always load, or new weights would never be loaded.
        self.assertEqual(count_loadable(self.engines, 5.0), 1)

    def test_oldest_then_idle_engines_are_first(self):
        busy, newer, idle = self.engines[:3]
        busy.in_flight = 4
        newer.note_weights('m', 2, 0.0)
        idle.in_flight = 1
        self.assertEqual(
            list_outdated([newer, busy, idle], 'm', {'m': 3}),
            [idle, busy, newer],
        )
        self.assertEqual(list_outdated([newer], 'm', {'m': 2}), [])

    def test_one_that_leaves_is_not_loaded(self):
        self.put('a', models=[1], state='draining')
        names = {item.instance for item in list_engines(self.directory, 'm')}
        self.assertEqual(names, set('bcde'))

    def test_first_turn_needs_no_rest_and_turns_differ(self):
        routers = ['router/a', 'router/b', 'router/c']
        first = LeaseState(10.0, float('-inf'), None, 3.0)
        turns = sorted(
            find_takeover_time('m', routers, key, first) for key in routers
        )
        self.assertEqual(turns, [10.0, 10.25, 10.5])

    def test_taker_waits_out_the_lease(self):
        routers = ['router/a', 'router/b']
        turn = LeaseState(10.0, 20.0, 'router/a', 3.0)
        self.assertGreater(
            find_takeover_time('m', routers, 'router/b', turn), 23.0
        )


class TestWeightsFit(DirectoryCase):
    def setUp(self):
        super().setUp()
        for name in 'ab':
            self.put(name, models=[1])
        self.engines = list_engines(self.directory, 'm')
        self.wanted = TargetWeightsHistory(2, ((2, 10.0),))

    def _select(self, now):
        return select_engines(self.engines, 'm', self.wanted, now, 10.0)

    def test_replaced_weights_are_used_for_a_while(self):
        newer = self.engines[1]
        newer.note_weights('m', 2, 0.0)
        self.assertEqual(self._select(18.0), self.engines)
        self.assertEqual(self._select(19.0), [newer])

    def test_one_that_loads_is_left_alone_unless_all_do(self):
        loading, other = self.engines
        loading.busy_until = 13.0
        self.assertEqual(self._select(12.0), [other])
        other.busy_until = 13.0
        self.assertEqual(self._select(12.0), self.engines)
