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

"""Tests that no path opens before its release, even if the clock jumps."""

import datetime
import unittest

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.guarded import GuardedClock
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.configuration.model import Embargo
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.router.embargo import check_embargo
from lifttrestle.internal.router.embargo import normalise_path

UTC = datetime.timezone.utc
START = datetime.datetime(2026, 12, 6, 5, 0, tzinfo=UTC)
RELEASE = datetime.datetime(2026, 12, 6, 6, 0, tzinfo=UTC)
HOUR = 3600.0
ERROR_SECONDS = 1.0


class TestEmbargo(unittest.TestCase):
    def setUp(self) -> None:
        self.system_clock = ManualClock(START)
        self.clock = GuardedClock(self.system_clock, ERROR_SECONDS)
        embargo = Embargo('grid-app', '/answers', RELEASE)
        self.workspace = Workspace('daily', (), (), embargoes=(embargo,))

    def is_open(self, path: str = '/answers/7') -> bool:
        try:
            check_embargo(
                self.workspace,
                'grid-app',
                path,
                self.clock.now(),
                ERROR_SECONDS,
            )
        except RequestRefused:
            return False
        return True

    def test_path_opens_at_its_release_and_not_before(self) -> None:
        self.system_clock.advance(HOUR - 1)
        self.assertFalse(self.is_open())
        # The clock may be ahead by the error, so the path stays closed.
        self.system_clock.advance(1)
        self.assertFalse(self.is_open())
        self.system_clock.advance(1)
        self.assertTrue(self.is_open())

    def test_forward_step_opens_no_path_early(self) -> None:
        self.system_clock.step(2 * HOUR)
        self.assertFalse(self.is_open())
        self.system_clock.advance(HOUR - 5)
        self.assertFalse(self.is_open())
        self.system_clock.advance(10)
        self.assertTrue(self.is_open())

    def test_backward_step_delays_the_release(self) -> None:
        self.system_clock.step(-HOUR)
        self.system_clock.advance(HOUR + 10)
        self.assertFalse(self.is_open())
        self.system_clock.advance(HOUR)
        self.assertTrue(self.is_open())

    def test_repeated_forward_steps_open_no_path_early(self) -> None:
        for _ in range(100):
            self.system_clock.step(60)
            self.system_clock.advance(1)
            self.assertFalse(self.is_open())

    def test_other_paths_are_open(self) -> None:
        self.assertTrue(self.is_open('/grids/7'))

    def test_refusal_says_when_to_retry(self) -> None:
        with self.assertRaises(RequestRefused) as caught:
            check_embargo(
                self.workspace, 'grid-app', '/answers/7', START, ERROR_SECONDS
            )
        self.assertEqual(caught.exception.retry_after, HOUR + ERROR_SECONDS)

    def test_spellings_of_a_path_are_normalised(self) -> None:
        for path in ('/a/../answers/7', '/%61nswers/7', '//answers;x/7'):
            self.assertEqual(normalise_path(path), '/answers/7')


if __name__ == '__main__':
    unittest.main()
