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

"""Tests that routers together enforce the limits that upstreams report."""

import contextlib
import unittest
from unittest import mock

from lifttrestle.internal.fleet.limits import replicator
from lifttrestle.internal.platform.engine_calls import PlatformEngineControl
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour
from tests.support.limited_fleet import compute_allowance
from tests.support.limited_fleet import count_peak_arrivals
from tests.support.limited_fleet import get_now
from tests.support.limited_fleet import REACTION_SECONDS
from tests.support.limited_fleet import run_limited_fleet

RATES = (1.2, 0.4)
# Routers that can reach each other exchange limits within this time.
CONTACT_SECONDS = 3.0


class TestEnforcement(unittest.IsolatedAsyncioTestCase):
    async def test_regression_limit_was_ignored(self):
        async with run_limited_fleet() as fleet:
            await fleet.load(24, 40.0)
            limits = dict(zip(fleet.list_busiest(), RATES, strict=False))
            for name, rate in limits.items():
                fleet.upstreams[name].limit = str(rate)
            reported_at = get_now()
            answers = await fleet.load(320, 40.0)
        self.assertEqual({answer.status for answer in answers}, {200})
        for name, rate in limits.items():
            times = fleet.upstreams[name].arrived_at
            peak = count_peak_arrivals(times, reported_at + CONTACT_SECONDS)
            self.assertLessEqual(peak, compute_allowance(rate), name)
            late_peak = count_peak_arrivals(
                times, reported_at + REACTION_SECONDS + 0.5
            )
            self.assertLessEqual(late_peak, compute_allowance(rate), name)


class TestAllUpstreamsLimited(unittest.IsolatedAsyncioTestCase):
    async def test_request_beyond_the_limits_is_refused_as_not_run(self):
        async with run_limited_fleet(routers=2, upstreams=2) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.limit = '0.4'
            await fleet.load(8, 40.0)
            before = sum(len(u.runs) for u in fleet.upstreams.values())
            answers = await fleet.load(40, 40.0)
            after = sum(len(u.runs) for u in fleet.upstreams.values())
        served = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status == 503]
        self.assertEqual(len(served) + len(refused), 40)
        self.assertEqual(after - before, len(served))
        self.assertGreaterEqual(len(refused), 35)
        for answer in refused:
            self.assertIn(b'"ran":"not run"', answer.body)
        waits = {dict(answer.headers)['retry-after'] for answer in refused}
        self.assertGreater(len(waits), len(refused) // 2)
        self.assertGreater(min(map(float, waits)), 0.01)

    async def test_upstream_with_a_limit_of_zero_is_avoided(self):
        async with run_limited_fleet(routers=2, upstreams=2) as fleet:
            await fleet.load(8, 40.0)
            busiest = fleet.upstreams[fleet.list_busiest()[0]]
            busiest.limit = '0'
            await fleet.load(8, 40.0)
            before = len(busiest.arrivals)
            answers = await fleet.load(80, 40.0)
            after = len(busiest.arrivals)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertLessEqual(after - before, 1)


class TestRetries(unittest.IsolatedAsyncioTestCase):
    async def test_retries_go_to_upstreams_without_a_limit(self):
        async with run_limited_fleet(routers=1, upstreams=3) as fleet:
            await fleet.load(6, 40.0)
            limited, full, healthy = fleet.list_busiest()
            fleet.upstreams[limited].limit = '20'
            await fleet.load(6, 40.0)
            script = fleet.upstreams[full].script
            script.extend([Behaviour.DECLINE] * 100)
            # The healthy upstream seems slow, so it is never the first choice.
            router = fleet.routers[0]
            router.directory.get(healthy).first_byte_seconds = 5.0
            router.directory.get(limited).first_byte_seconds = 1.0
            before = {
                name: len(upstream.arrivals)
                for name, upstream in fleet.upstreams.items()
            }
            answers = await fleet.load(8, 5.0)
            arrived = {
                name: len(upstream.arrivals) - before[name]
                for name, upstream in fleet.upstreams.items()
            }
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(
            arrived, {limited: 0, full: 8, healthy: 8}, 'second sends'
        )


class TestReportedLimit(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def run_with(self, name, limit='1.5'):
        async with run_fleet() as fleet:
            fleet.upstreams[name].limit = limit
            yield fleet

    def list_limited(self, fleet):
        return {
            limit.start.partition('@')[0]: limit.known_limit.rate
            for limit in fleet.router.limits
        }

    async def test_limit_is_read_from_every_answer(self):
        for behaviour in (
            Behaviour.GOOD,
            Behaviour.DECLINE,
            Behaviour.FAIL,
            Behaviour.REJECT,
        ):
            with self.subTest(behaviour.name):
                async with self.run_with('p1') as fleet:
                    fleet.upstreams['p1'].script.extend([behaviour] * 8)
                    for number in range(12):
                        await fleet.call('/once/a', request_id=f'r{number}')
                        if fleet.upstreams['p1'].arrivals:
                            break
                    self.assertEqual(self.list_limited(fleet), {'p1': 1.5})

    async def test_limit_is_read_from_the_head_of_a_stream(self):
        async with run_fleet() as fleet:
            for name in ('e1', 'e2'):
                fleet.upstreams[name].limit = '2'
            await fleet.generate('text')
            self.assertEqual(set(self.list_limited(fleet).values()), {2.0})

    async def test_limit_is_read_from_reports_and_order_answers(self):
        async with self.run_with('e1') as fleet:
            control = PlatformEngineControl(fleet.clock, 0.5)
            control.note_limit = fleet.router.limits.note_answer
            await control.read_state(fleet.router.directory.get('e1'))
            self.assertEqual(self.list_limited(fleet), {'e1': 1.5})

    async def test_limit_of_an_unstamped_answer_is_ignored(self):
        async with self.run_with('p1') as fleet:
            for name in ('p1', 'p2'):
                fleet.upstreams[name].limit = '1.5'
                fleet.upstreams[name].script.append(Behaviour.UNSTAMPED)
            await fleet.call('/once/a')
            self.assertEqual(self.list_limited(fleet), {})

    async def test_invalid_limit_does_not_affect_the_request(self):
        async with run_fleet() as fleet:
            for name in ('p1', 'p2'):
                fleet.upstreams[name].limit = '-1'
            answers = [
                await fleet.call('/safe/a', request_id=f'r{number}')
                for number in range(6)
            ]
            refused = fleet.router.registry.get_sample_value(
                'lifttrestle_refused_input_total',
                {'source': 'limits', 'fault': 'field'},
            )
            limited = self.list_limited(fleet)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(limited, {})
        self.assertIn(refused, (1.0, 2.0))

    async def test_limit_of_a_removed_start_is_dropped(self):
        async with self.run_with('p1') as fleet:
            while not self.list_limited(fleet):
                await fleet.call('/safe/a')
                fleet.upstreams['p2'].script.append(Behaviour.DECLINE)
            fleet.store.remove('servers', 'p1')
            await wait_until(lambda: not self.list_limited(fleet))

    async def test_limit_is_shown_in_the_metrics(self):
        async with run_fleet() as fleet:
            for name in ('p1', 'p2'):
                fleet.upstreams[name].limit = '0.5'
            for number in range(8):
                await fleet.call('/safe/a', request_id=f'r{number}')
            read = fleet.router.registry.get_sample_value
            self.assertEqual(read('lifttrestle_limited_upstreams'), 2.0)
            self.assertEqual(read('lifttrestle_limit_rate_lowest'), 0.5)
            refused = read('lifttrestle_permits_total', {'result': 'refused'})
            self.assertGreaterEqual(refused, 1.0)


class TestStartingRouter(unittest.IsolatedAsyncioTestCase):
    async def test_limits_are_known_once_it_is_ready(self):
        async with run_limited_fleet(routers=3, upstreams=2) as fleet:
            await fleet.load(9, 40.0)
            name = fleet.list_busiest()[0]
            fleet.upstreams[name].limit = '0.7'
            await fleet.load(9, 40.0)
            router = fleet.make_router('front-new')
            # The timeout itself is tested with a manual clock elsewhere.
            with mock.patch.object(replicator, 'SYNC_TIMEOUT_SECONDS', 60.0):
                await router.start()
                try:
                    await wait_until(router.is_ready)
                    known = {limit.known_limit.rate for limit in router.limits}
                finally:
                    await router.stop()
        self.assertEqual(known, {0.7})
