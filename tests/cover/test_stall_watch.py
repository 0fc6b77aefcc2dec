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

"""A process that was not running for a while logs it when it resumes."""

import asyncio
import datetime
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.stall_watch import POLL_SECONDS
from lifttrestle.internal.fleet.stall_watch import STALL_SECONDS
from lifttrestle.internal.fleet.stall_watch import watch_stalls

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)


class TestStallWatch(unittest.TestCase):
    def run_for(self, *pauses):
        async def run():
            clock = ManualClock(START)
            task = asyncio.create_task(watch_stalls(Ticker(clock)))
            for pause in pauses:
                await asyncio.sleep(0)
                clock.advance(pause)
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())

    def test_pause_is_logged_with_its_duration(self):
        with self.assertLogs('lifttrestle.router', 'WARNING') as logs:
            self.run_for(POLL_SECONDS, POLL_SECONDS + 4.0, POLL_SECONDS)
        (record,) = logs.records
        self.assertEqual(record.fields, {'seconds': 4.0})

    def test_late_timer_is_not_logged_as_a_pause(self):
        with self.assertNoLogs('lifttrestle.router', 'WARNING'):
            self.run_for(POLL_SECONDS + 0.9 * STALL_SECONDS, POLL_SECONDS)
