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

"""Upstreams that decline a request and ask for nothing for some time."""

import time
import unittest
from unittest import mock

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.platform.engine_calls import PlatformEngineControl
from tests.support.fleet import run_fleet
from tests.support.fleet_upstream import Behaviour

CALLS = 12
QUIET_SECONDS = 3.0
# The users' bound on the requests that reach it meanwhile.
MAX_SENT = 2


class TestQuiet(unittest.IsolatedAsyncioTestCase):
    async def _decline(self, fleet, name, retry_after):
        """Let an upstream decline the next request that reaches it."""
        upstream = fleet.upstreams[name]
        upstream.retry_after = retry_after
        upstream.script.append(Behaviour.DECLINE)
        arrivals = len(upstream.arrivals)
        while len(upstream.arrivals) == arrivals:
            await fleet.call('/safe/x')
        return upstream

    async def _call(self, fleet):
        return [await fleet.call('/safe/x') for _ in range(CALLS)]

    async def test_regression_upstream_that_asked_for_quiet_gets_requests(
        self,
    ):
        async with run_fleet() as fleet:
            fleet.upstreams['p2'].work_seconds = 0.03
            quiet = await self._decline(fleet, 'p1', f'{QUIET_SECONDS:g}')
            fleet.clock.skip(QUIET_SECONDS / 2)
            arrivals = len(quiet.arrivals)
            answers = await self._call(fleet)
            self.assertEqual({item.status for item in answers}, {200})
            sent = len(quiet.arrivals) - arrivals
            self.assertLessEqual(sent, MAX_SENT)

    async def test_upstream_gets_requests_again_afterwards(self):
        async with run_fleet() as fleet:
            fleet.upstreams['p2'].work_seconds = 0.03
            quiet = await self._decline(fleet, 'p1', f'{QUIET_SECONDS:g}')
            arrivals = len(quiet.arrivals)
            fleet.clock.skip(QUIET_SECONDS)
            await self._call(fleet)
            self.assertGreater(len(quiet.arrivals), arrivals)

    async def test_callers_are_told_at_once_when_the_first_takes_requests(
        self,
    ):
        async with run_fleet() as fleet:
            for name in ('p1', 'p2'):
                await self._decline(fleet, name, f'{QUIET_SECONDS:g}')
            began = time.monotonic()
            answer = await fleet.call('/safe/x')
            self.assertLess(time.monotonic() - began, 0.5)
            self.assertEqual(answer.status, 503)
            headers = dict(answer.headers)
            self.assertIn('ran', answer.body.decode())
            self.assertGreater(float(headers['retry-after']), 1.0)
            self.assertLess(
                float(headers['retry-after']), 2 * QUIET_SECONDS + 1
            )

    async def test_invalid_times_are_ignored(self):
        times = ('', '-1', 'soon', 'Fri, 04 Dec 2026 11:00:00 GMT', 'inf')
        async with run_fleet() as fleet:
            fleet.upstreams['p2'].work_seconds = 0.03
            for text in times:
                with self.subTest(text):
                    quiet = await self._decline(fleet, 'p1', text)
                    arrivals = len(quiet.arrivals)
                    await self._call(fleet)
                    self.assertGreater(len(quiet.arrivals), arrivals)

    async def test_regression_pause_in_an_answer_to_a_report_call_was_ignored(
        self,
    ):
        declined = Answer(503, (('retry-after', f'{QUIET_SECONDS:g}'),))
        async with run_fleet() as fleet:
            engine = fleet.router.directory.get('e1')
            control = PlatformEngineControl(fleet.clock, 0.5)
            with mock.patch.object(
                JsonClient, 'call', autospec=True, return_value=declined
            ):
                with self.assertRaises(PlatformUnavailable):
                    await control.read_state(engine)
            now = fleet.clock.monotonic()
            self.assertGreater(engine.rejections.get_requested_seconds(now), 2)

    async def test_regression_request_was_sent_after_a_pause_had_begun(self):
        async with run_fleet() as fleet:
            upstream = fleet.router.directory.get('p1')
            take = upstream.pool.take

            async def take_late(**options):
                now = fleet.clock.monotonic()
                upstream.rejections.note_requested(QUIET_SECONDS, now)
                return await take(**options)

            upstream.pool.take = take_late
            answers = await self._call(fleet)
            self.assertEqual({item.status for item in answers}, {200})
            now = fleet.clock.monotonic()
            self.assertTrue(upstream.rejections.get_requested_seconds(now))
            self.assertEqual(fleet.upstreams['p1'].arrivals, [])


if __name__ == '__main__':
    unittest.main()
