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

"""Tests that routers together keep limits, in played loads."""

import dataclasses
import unittest

from tests.support.limit_simulation import LimitScenario
from tests.support.limit_simulation import simulate_limits

# Requests a second for each router: far more than limited upstreams take.
LOAD = 8.0


def make_play(routers, rate, **fields):
    return LimitScenario(routers, rate, LOAD * routers, **fields)


class TestPlayed(unittest.TestCase):
    def assert_kept(self, outcome, used=0.8):
        self.assertLessEqual(outcome.peak, 1.0, outcome)
        self.assertGreaterEqual(outcome.used, used, outcome)

    def test_six_routers_use_the_limits_and_no_more(self):
        for rate in (0.4, 1.2, 5.0):
            with self.subTest(rate):
                outcome = simulate_limits(make_play(6, rate))
                self.assert_kept(outcome)
                self.assertEqual(outcome.served, 1.0)

    def test_ninety_routers_use_the_limits_and_no_more(self):
        for rate in (1.2, 10.0):
            with self.subTest(rate):
                outcome = simulate_limits(make_play(90, rate, seconds=12.0))
                self.assert_kept(outcome)
                self.assertEqual(outcome.served, 1.0)

    def test_hundreds_of_routers_keep_a_limit_of_one_in_ten_seconds(self):
        play = LimitScenario(350, 0.1, 300.0, limited=1 / 9, seconds=8.0)
        outcome = simulate_limits(play)
        self.assertLessEqual(outcome.peak, 1.0, outcome)
        self.assertEqual(outcome.served, 1.0)

    def test_where_all_upstreams_are_limited_they_get_what_they_take(self):
        outcome = simulate_limits(make_play(6, 1.2, limited=1.0))
        self.assert_kept(outcome)

    def test_messages_that_get_lost_break_no_limit(self):
        for seed in range(3):
            with self.subTest(seed):
                play = make_play(23, 1.2, loss=0.2, seed=seed)
                self.assert_kept(simulate_limits(play), used=0.6)

    def test_cut_between_data_centres_breaks_no_limit(self):
        play = make_play(24, 1.2, cut=(6.0, 12.0))
        outcome = simulate_limits(play)
        self.assert_kept(outcome, used=0.6)
        self.assertEqual(outcome.served, 1.0)

    def test_regression_upstream_got_all_back_at_once_after_its_limit(self):
        play = make_play(23, 1.2, upstreams=4, limited=0.25, seconds=24.0)
        play = dataclasses.replace(play, named=(2.0, 10.0))
        arrived = simulate_limits(play).by_second
        usual = play.per_second / play.upstreams
        self.assertLessEqual(arrived[11], 6)
        self.assertLessEqual(arrived[12], 12)
        self.assertGreaterEqual(arrived[22], 0.7 * usual)

    def test_short_limits_are_learnt_and_ended_again_and_again(self):
        play = make_play(12, 0.4, named=(2.0, 5.0), seconds=20.0)
        outcome = simulate_limits(play)
        self.assertLessEqual(outcome.peak, 1.0, outcome)
        self.assertGreater(outcome.by_second[19], 10)
