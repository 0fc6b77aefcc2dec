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

import asyncio
import datetime
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.lateness_watch import LatenessWatch
from lifttrestle.internal.fleet.lateness_watch import LOG_SECONDS
from lifttrestle.internal.fleet.lateness_watch import POLL_SECONDS
from lifttrestle.internal.fleet.readiness_watch import watch_readiness

START = datetime.datetime(2026, 12, 5, tzinfo=datetime.timezone.utc)


class TestLatenessWatch(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.watch = LatenessWatch(self.clock)

    def note_all(self, late, seconds):
        elapsed = 0.0
        while elapsed < seconds:
            elapsed += POLL_SECONDS + late
            self.clock.advance(POLL_SECONDS + late)
            self.watch.note(late)

    def test_mean_follows_the_delay_of_timers(self):
        self.note_all(0.4, 3.0)
        self.assertAlmostEqual(self.watch.mean, 0.4, delta=0.01)
        self.note_all(0.0, 3.0)
        self.assertLess(self.watch.mean, 0.01)

    def test_late_timers_are_logged_once_an_interval(self):
        with self.assertLogs('lifttrestle.router', 'INFO') as logs:
            self.note_all(0.2, 3 * LOG_SECONDS)
        self.assertLessEqual(len(logs.records), 4)

    def test_punctual_timers_are_not_logged(self):
        with self.assertNoLogs('lifttrestle.router', 'INFO'):
            self.note_all(0.01, 3 * LOG_SECONDS)


class Readiness:
    """Reports the obstacles that a test sets."""

    def __init__(self):
        self.obstacles = ['no configuration']

    def list_obstacles(self):
        return self.obstacles


class TestReadinessWatch(unittest.TestCase):
    def test_each_change_is_logged_with_its_obstacles(self):
        async def run():
            clock = ManualClock(START)
            readiness = Readiness()
            task = asyncio.create_task(
                watch_readiness(Ticker(clock), readiness)
            )
            for obstacles in ([], [], ['old configuration']):
                await asyncio.sleep(0)
                readiness.obstacles = obstacles
                clock.advance(POLL_SECONDS)
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        with self.assertLogs('lifttrestle.router', 'INFO') as logs:
            asyncio.run(run())
        logged = [
            (item.getMessage(), item.fields['obstacles'])
            for item in logs.records
        ]
        self.assertEqual(
            logged,
            [
                ('router.not_ready', ['no configuration']),
                ('router.ready', []),
                ('router.not_ready', ['old configuration']),
            ],
        )
