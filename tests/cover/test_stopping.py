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

"""Tests of what a stopping router accepts, and of its deadline."""

import datetime
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.stopping import can_finish_in_time
from lifttrestle.internal.fleet.state.shutdown import Shutdown

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
GRACE = 8.0
RESERVE_SECONDS = 0.2


class TestDecision(unittest.TestCase):
    def test_request_that_may_outlast_the_router_is_not_accepted(self) -> None:
        self.assertTrue(can_finish_in_time(3.0, 3.0))
        self.assertFalse(can_finish_in_time(3.1, 3.0))


class TestDeadline(unittest.IsolatedAsyncioTestCase):
    async def test_all_steps_share_one_deadline(self) -> None:
        clock = ManualClock(START)
        shutdown = Shutdown(clock)
        self.assertEqual(shutdown.get_remaining_seconds(), float('inf'))
        shutdown.begin(GRACE)
        clock.advance(3.0)
        # A second stop signal does not extend the deadline.
        shutdown.begin(GRACE)
        self.assertEqual(shutdown.get_remaining_seconds(), 5.0)
        order = (
            shutdown.get_serving_seconds(),
            shutdown.get_abort_seconds(),
            shutdown.get_abort_seconds() + shutdown.get_flush_seconds(),
            shutdown.get_remaining_seconds(),
        )
        self.assertEqual(list(order), sorted(order))
        # Time for the refusals to reach the callers before their connections
        # are aborted.
        self.assertAlmostEqual(order[1] - order[0], RESERVE_SECONDS)
        clock.advance(GRACE)
        self.assertEqual(shutdown.get_remaining_seconds(), 0.0)
        self.assertEqual(shutdown.get_abort_seconds(), 0.0)


if __name__ == '__main__':
    unittest.main()
