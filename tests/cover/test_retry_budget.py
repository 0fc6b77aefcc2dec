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
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.policy.router_share import ShareHistory
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics
from tests.support.directories import START

SERVICE = 'writer'
SHARES = [RouterShare(4, 3)]
WINDOW_SECONDS = 10.0


class TestBudgetUse(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.budget = SharedRetryBudget(Promises(retry_slack=40.0), self.clock)
        self.clock.advance(60.0)

    def note_requests(self, count):
        for _ in range(count):
            self.budget.note_request()

    def test_use_tells_spent_earned_and_slack(self):
        self.note_requests(20)
        self.clock.advance(1.1 * WINDOW_SECONDS)
        self.note_requests(20)
        self.assertTrue(self.budget.take(SHARES))
        use = self.budget.get_use(SHARES)
        self.assertEqual(
            (use.spent, use.earned, use.slack, use.routers),
            (1, 4.0, 10.0, 4),
        )

    def test_what_left_the_window_is_not_told(self):
        self.note_requests(1)
        self.budget.take(SHARES)
        self.clock.advance(1.1 * WINDOW_SECONDS)
        use = self.budget.get_use(SHARES)
        self.assertEqual((use.spent, use.earned), (0, 0.0))

    def test_metrics_follow_the_budget(self):
        metrics = FleetMetrics()
        metrics.add_retry_budget(SERVICE, lambda: self.budget.get_use(SHARES))
        self.budget.take(SHARES)
        text = metrics.render().decode()
        for line in (
            'lifttrestle_retry_budget_spent{service="writer"} 1.0',
            'lifttrestle_retry_budget_earned{service="writer"} 0.0',
            'lifttrestle_retry_budget_slack{service="writer"} 10.0',
        ):
            self.assertIn(line, text)


class TestUnknownPast(unittest.TestCase):
    """What a router may spend that doesn't know what was spent before."""

    def make_budget(self, slack=60.0):
        self.clock = ManualClock(START)
        return SharedRetryBudget(
            Promises(retry_slack=slack), self.clock, SERVICE, 0.0
        )

    def spend(self, budget, shares):
        """Return how many retries it grants at once."""
        count = 0
        while budget.take(shares):
            count += 1
        return count

    def test_slack_of_a_start_comes_in_over_a_window(self):
        budget = self.make_budget()
        self.assertEqual(self.spend(budget, SHARES), 0)
        self.clock.advance(WINDOW_SECONDS / 2)
        self.assertEqual(budget.get_use(SHARES).slack, 7.5)
        self.assertLessEqual(self.spend(budget, SHARES), 4)
        self.clock.advance(WINDOW_SECONDS / 2)
        self.assertEqual(budget.get_use(SHARES).slack, 15.0)

    def test_requests_of_a_start_earn_retries_at_once(self):
        budget = self.make_budget(slack=0.0)
        for _ in range(100):
            budget.note_request()
        self.assertGreaterEqual(self.spend(budget, SHARES), 8)

    def test_nothing_is_taken_from_a_slack_that_is_not_known(self):
        budget = self.make_budget()
        self.clock.advance(2 * WINDOW_SECONDS)
        self.assertEqual(self.spend(budget, []), 0)

    def test_highest_number_of_routers_in_the_window_counts(self):
        budget = self.make_budget()
        self.clock.advance(2 * WINDOW_SECONDS)
        shares = [RouterShare(12, 3), RouterShare(6, 3)]
        self.assertEqual(budget.get_use(shares).slack, 5.0)

    def test_lower_slack_counts_what_was_spent_before(self):
        budget = self.make_budget()
        self.clock.advance(2 * WINDOW_SECONDS)
        before = self.spend(budget, SHARES)
        budget.promises = Promises(retry_slack=4.0 * before)
        self.clock.advance(WINDOW_SECONDS / 2)
        self.assertEqual(self.spend(budget, SHARES), 0)

    def test_requests_that_come_from_other_routers_earn_little_at_first(self):
        budget = self.make_budget(slack=0.0)
        for _ in range(2):
            self.clock.advance(1.1 * WINDOW_SECONDS)
            for _ in range(10):
                budget.note_request()
        for _ in range(90):
            budget.note_request()
        self.assertEqual(budget.get_use(SHARES).earned, 3.0)


class TestShareHistory(unittest.TestCase):
    def test_no_share_is_listed_before_the_first(self):
        self.assertEqual(ShareHistory().list_since(0.0), [])

    def test_shares_are_listed_until_a_later_one_is_older(self):
        history = ShareHistory()
        history.note(RouterShare(8, 1), 0.0)
        history.note(RouterShare(8, 1), 4.0)
        history.note(RouterShare(6, 1), 9.0)
        both = [RouterShare(8, 1), RouterShare(6, 1)]
        self.assertEqual(history.list_since(8.0), both)
        self.assertEqual(history.list_since(9.0), both[1:])
        self.assertEqual(history.list_since(99.0), both[1:])
