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


"""Tests of the retry budget of one router."""

import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics
from tests.support.directories import START

SERVICE = 'writer'


class TestBudgetUse(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.budget = SharedRetryBudget(Promises(retry_slack=40.0), self.clock)
        self.clock.advance(60.0)

    def test_use_tells_spent_earned_and_slack(self):
        for _ in range(20):
            self.budget.note_request()
        self.assertTrue(self.budget.take(4))
        use = self.budget.get_use(4)
        self.assertEqual(
            (use.spent, use.earned, use.slack, use.routers),
            (1, 4.0, 10.0, 4),
        )

    def test_what_left_the_window_is_not_told(self):
        self.budget.note_request()
        self.budget.take(4)
        self.clock.advance(10.1)
        use = self.budget.get_use(4)
        self.assertEqual((use.spent, use.earned), (0, 0.0))

    def test_metrics_follow_the_budget(self):
        metrics = FleetMetrics()
        metrics.add_retry_budget(SERVICE, lambda: self.budget.get_use(4))
        self.budget.take(4)
        text = metrics.render().decode()
        for line in (
            'lifttrestle_retry_budget_spent{service="writer"} 1.0',
            'lifttrestle_retry_budget_earned{service="writer"} 0.0',
            'lifttrestle_retry_budget_slack{service="writer"} 10.0',
        ):
            self.assertIn(line, text)
