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

"""Tests of the deadlines of the steps of a planned stop."""

import dataclasses
import unittest

from lifttrestle.internal.router.stop_times import FLUSH_SECONDS
from lifttrestle.internal.router.stop_times import plan_stop
from lifttrestle.internal.router.stop_times import shorten_stop

NOW = 100.0


class TestPlanStop(unittest.TestCase):
    def test_all_steps_end_in_order_within_notice_and_grace(self) -> None:
        for notice in (0.0, 0.2, 5.0):
            for grace in (0.0, 0.4, 4.0, 18.0, 600.0):
                with self.subTest(notice=notice, grace=grace):
                    times = plan_stop(NOW, notice, grace, 2.0)
                    steps = dataclasses.astuple(times)
                    self.assertEqual(list(steps), sorted(steps))
                    self.assertEqual(times.notice_ends_at, NOW + notice)
                    self.assertEqual(times.ends_at, NOW + notice + grace)

    def test_long_grace_reserves_the_full_time_of_the_calls(self) -> None:
        times = plan_stop(NOW, 5.0, 600.0, 2.0)
        self.assertEqual(times.recorded_at, times.ends_at - 4.0)
        self.assertEqual(times.closed_at, times.ends_at - 8.0)
        early = times.closed_at - FLUSH_SECONDS
        self.assertEqual(times.cut_at, early)

    def test_short_grace_reserves_a_fixed_share(self) -> None:
        times = plan_stop(NOW, 0.0, 8.0, 2.0)
        self.assertEqual(times.cut_at, NOW + 6.0)
        self.assertAlmostEqual(times.recorded_at, NOW + 8.0 - 8.0 / 9.0)


class TestShortenStop(unittest.TestCase):
    def test_requests_end_now_and_the_following_steps_are_kept(self) -> None:
        times = plan_stop(NOW, 5.0, 600.0, 2.0)
        shortened = shorten_stop(times, NOW + 1.0)
        self.assertEqual(shortened.notice_ends_at, NOW + 1.0)
        self.assertEqual(shortened.cut_at, NOW + 1.0)
        closed_at = NOW + 1.0 + FLUSH_SECONDS
        self.assertEqual(shortened.closed_at, closed_at)
        self.assertEqual(shortened.ends_at, closed_at + 8.0)

    def test_late_second_signal_delays_no_step(self) -> None:
        times = plan_stop(NOW, 5.0, 20.0, 2.0)
        self.assertEqual(shorten_stop(times, times.ends_at), times)


if __name__ == '__main__':
    unittest.main()
