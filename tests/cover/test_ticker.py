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

"""Periodic tasks share wakeups: their waits end at common multiples."""

import asyncio
import datetime
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.ticker import Ticker

START = datetime.datetime(2026, 12, 3, tzinfo=datetime.timezone.utc)


class RecordingClock(ManualClock):
    """Completes each sleep at once and records its length."""

    def __init__(self, late=0.0):
        super().__init__(START)
        self.sleeps = []
        self.late = late

    async def sleep(self, seconds):
        self.sleeps.append(seconds)
        self.advance(seconds + self.late)


class TestTicker(unittest.TestCase):
    def wait(self, clock, *periods, phase=0.0):
        ticker = Ticker(clock, phase)

        async def run():
            return [await ticker.wait(period) for period in periods]

        return asyncio.run(run())

    @given(st.floats(0, 1e5), st.floats(0, 1), st.sampled_from([0.1, 0.2, 2]))
    def test_wait_ends_at_a_multiple_and_takes_no_longer(
        self, now, phase, period
    ):
        clock = RecordingClock()
        clock.advance(now)
        self.wait(clock, period, phase=phase)
        (slept,) = clock.sleeps
        self.assertGreater(slept, 0.98 * 0.01 * period)
        self.assertLess(slept, 1.02 * period)
        ticks = (clock.monotonic() - phase) / period
        self.assertAlmostEqual(ticks, round(ticks), places=4)

    def test_loops_started_at_different_times_wake_together(self):
        ends = set()
        for started_at in (0.013, 0.05, 0.09):
            clock = RecordingClock()
            clock.advance(started_at)
            self.wait(clock, 0.1)
            ends.add(round(clock.monotonic(), 9))
        self.assertEqual(ends, {0.1})

    def test_late_wait_returns_its_delay_and_skips_missed_ticks(self):
        clock = RecordingClock(late=0.25)
        late = self.wait(clock, 0.1, 0.1)
        self.assertAlmostEqual(late[0], 0.25)
        self.assertAlmostEqual(clock.monotonic(), 0.4 + 0.25)
