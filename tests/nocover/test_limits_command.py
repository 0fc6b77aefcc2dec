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

"""Tests of the command that lists the limits reported by upstreams."""

import asyncio
import contextlib
import datetime
import io
import threading
import unittest

from lifttrestle.internal.cli.main import main
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.limits.limit_state import LimitState
from lifttrestle.internal.fleet.path.handlers import MetricsHandler
from lifttrestle.internal.fleet.policy.known_limit import LimitObservation
from lifttrestle.internal.fleet.policy.limit_permits import PermitBucket
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class TestLimits(unittest.TestCase):
    def setUp(self):
        clock = ManualClock(START)
        clock.advance(20.0)
        granting = LimitState('p1@17', 1, 'a')
        granting.known_limit.update(LimitObservation(1.2, 10.0, 17.5))
        granting.bucket = PermitBucket(1.2, 1.0, 0.0)
        granting.bucket.take(0, 5.0)
        other = LimitState('p2@17', 2, 'b')
        other.known_limit.update(LimitObservation(0.4, 10.0, 19.0))
        ended = LimitState('p3@17', 3, 'b', recovering=True)
        ended.known_limit.ended_at = 18.0
        self.limits = [ended, other, granting]
        handler = MetricsHandler(FleetMetrics(), self.limits, clock)
        self.loop = asyncio.new_event_loop()
        self.server = HttpServer(handler.handle, HttpLimits())
        self.address = self.loop.run_until_complete(
            self.server.start(Address('127.0.0.1', 0))
        )
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        self.addCleanup(self.loop.close)
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        self.addCleanup(self.stop_server)

    def stop_server(self):
        stopped = asyncio.run_coroutine_threadsafe(
            self.server.stop(0), self.loop
        )
        stopped.result()

    def run_command(self, *arguments):
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = main(['limits', *arguments])
        return code, out.getvalue()

    def test_lists_limits_in_force_with_their_ages(self):
        code, text = self.run_command(str(self.address))
        self.assertEqual(code, 0)
        rows = [line.split() for line in text.splitlines()[1:]]
        self.assertEqual(
            [row[:6] for row in rows],
            [
                ['p1@17', 'a', '1.2', rows[0][3], '1', '2.5'],
                ['p2@17', 'b', '0.4', '-', '-', '1.0'],
                ['p3@17', 'b', 'ended', '-', '-', '2.0'],
            ],
        )

    def test_unreachable_router_does_not_hide_the_others(self):
        code, text = self.run_command('127.0.0.1:1', str(self.address))
        self.assertEqual(code, 2)
        self.assertIn('see whether a router serves metrics', text)
        self.assertIn('p1@17', text)

    def test_invalid_address_is_reported(self):
        code, text = self.run_command('somewhere')
        self.assertEqual(code, 2)
        self.assertIn('write HOST:PORT', text)
