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

"""Tests of the recent durations of requests."""

import datetime
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.router.recent_durations import RecentDurations
from lifttrestle.internal.router.recent_durations import WINDOW_SECONDS

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class TestRecentDurations(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(START)
        self.durations = RecentDurations(self.clock)

    def test_longest_of_each_target(self) -> None:
        self.assertEqual(self.durations.get_longest('model'), 0.0)
        for seconds in (2.0, 9.0, 3.0):
            self.durations.record('model', seconds)
        self.durations.record('service', 0.1)
        self.assertEqual(self.durations.get_longest('model'), 9.0)
        self.assertEqual(self.durations.get_longest('service'), 0.1)

    def test_is_kept_for_one_window_and_dropped_after_two(self) -> None:
        self.durations.record('model', 9.0)
        self.clock.advance(WINDOW_SECONDS)
        self.assertEqual(self.durations.get_longest('model'), 9.0)
        self.durations.record('model', 2.0)
        self.clock.advance(WINDOW_SECONDS)
        self.assertEqual(self.durations.get_longest('model'), 2.0)
        self.clock.advance(2 * WINDOW_SECONDS)
        self.assertEqual(self.durations.get_longest('model'), 0.0)


if __name__ == '__main__':
    unittest.main()
