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

"""Tests that routers together enforce limits, in simulated loads."""

import dataclasses
import unittest

from tests.support.limit_simulation import LimitScenario
from tests.support.limit_simulation import simulate_limits

# Requests per second and router, far more than limited upstreams accept.
LOAD = 8.0


def make_scenario(routers, rate, **fields):
    return LimitScenario(routers, rate, LOAD * routers, **fields)


class TestSimulatedLoad(unittest.TestCase):
    def assert_enforced(self, outcome, used=0.8):
        self.assertLessEqual(outcome.peak, 1.0, outcome)
        self.assertGreaterEqual(outcome.used, used, outcome)

    def test_six_routers_use_the_limits_without_exceeding_them(self):
        for rate in (0.4, 1.2, 5.0):
            with self.subTest(rate):
                outcome = simulate_limits(make_scenario(6, rate))
                self.assert_enforced(outcome)
                self.assertEqual(outcome.served, 1.0)

    def test_ninety_routers_use_the_limits_without_exceeding_them(self):
        for rate in (1.2, 10.0):
            with self.subTest(rate):
                outcome = simulate_limits(
                    make_scenario(90, rate, seconds=12.0)
                )
                self.assert_enforced(outcome)
                self.assertEqual(outcome.served, 1.0)

    def test_hundreds_of_routers_keep_a_limit_of_one_in_ten_seconds(self):
        scenario = LimitScenario(350, 0.1, 300.0, limited=1 / 9, seconds=8.0)
        outcome = simulate_limits(scenario)
        self.assertLessEqual(outcome.peak, 1.0, outcome)
        self.assertEqual(outcome.served, 1.0)

    def test_limits_are_used_if_all_upstreams_have_one(self):
        outcome = simulate_limits(make_scenario(6, 1.2, limited=1.0))
        self.assert_enforced(outcome)

    def test_limits_are_enforced_despite_lost_messages(self):
        for seed in range(3):
            with self.subTest(seed):
                scenario = make_scenario(23, 1.2, loss=0.2, seed=seed)
                self.assert_enforced(simulate_limits(scenario), used=0.6)

    def test_limits_are_enforced_during_a_partition(self):
        scenario = make_scenario(24, 1.2, partition=(6.0, 12.0))
        outcome = simulate_limits(scenario)
        self.assert_enforced(outcome, used=0.6)
        self.assertEqual(outcome.served, 1.0)

    def test_regression_ended_limit_released_all_load_at_once(self):
        scenario = make_scenario(
            23, 1.2, upstreams=4, limited=0.25, seconds=24.0
        )
        scenario = dataclasses.replace(scenario, reporting=(2.0, 10.0))
        arrivals = simulate_limits(scenario).by_second
        usual = scenario.per_second / scenario.upstreams
        self.assertLessEqual(arrivals[11], 6)
        self.assertLessEqual(arrivals[12], 12)
        self.assertGreaterEqual(arrivals[22], 0.7 * usual)

    def test_short_limits_are_learnt_and_ended_again_and_again(self):
        scenario = make_scenario(12, 0.4, reporting=(2.0, 5.0), seconds=20.0)
        outcome = simulate_limits(scenario)
        self.assertLessEqual(outcome.peak, 1.0, outcome)
        self.assertGreater(outcome.by_second[19], 10)
