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

"""End-to-end tests of usage caps with a router and its upstreams."""

import dataclasses
import unittest

from tests.support.fleet import CONFIGURATION
from tests.support.fleet import PROMISES as FLEET_PROMISES
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour

ENGINES = ('e1', 'e2')
# A test request has 465 tokens. The usage permitted after a start is a fifth
# of the slack.
PROMISES = dataclasses.replace(FLEET_PROMISES, cap_slack=1_000_000.0)


def cap_workspace(fleet, **fields):
    """Set a cap on the workspace of the callers and wait until it applies."""
    acme, *others = CONFIGURATION['tenants']
    limited = {
        **acme,
        'rate_per_s': 1.0,
        'burst': 1000,
        'unit': 'token_count',
        'plain_tokens': 200,
        **fields,
    }
    fleet.configure(version=4, tenants=[limited, *others])
    return wait_until(lambda: fleet.router.catalogue.version == 4)


def count_runs(fleet):
    return sum(len(upstream.runs) for upstream in fleet.upstreams.values())


class TestOverCap(unittest.IsolatedAsyncioTestCase):
    async def test_regression_cap_of_a_workspace_was_not_read(self):
        async with run_fleet(PROMISES) as fleet:
            await cap_workspace(fleet)
            answers = [
                await fleet.generate('text', request_id=f'r{number}')
                for number in range(5)
            ]
            runs = count_runs(fleet)
        self.assertEqual(
            [answer.status for answer in answers], [200, 200, 429, 429, 429]
        )
        self.assertEqual(runs, 2)
        waits = [
            float(dict(answer.headers)['retry-after'])
            for answer in answers[2:]
        ]
        self.assertTrue(all(wait > 0 for wait in waits), waits)

    async def test_plain_requests_are_charged_the_configured_units(self):
        async with run_fleet(PROMISES) as fleet:
            await cap_workspace(fleet)
            statuses = [
                (await fleet.call('/safe/a', request_id=f'r{number}')).status
                for number in range(7)
            ]
        self.assertEqual(statuses, [200] * 5 + [429] * 2)

    async def test_other_workspaces_are_served(self):
        async with run_fleet(PROMISES) as fleet:
            await cap_workspace(fleet, burst=1)
            await fleet.generate('text')
            refused = await fleet.generate('text', request_id='r2')
            served = await fleet.generate('text', key='k3', request_id='r3')
        self.assertEqual((refused.status, served.status), (429, 200))

    async def test_declined_requests_are_not_charged(self):
        async with run_fleet(PROMISES) as fleet:
            await cap_workspace(fleet)
            for name in ENGINES:
                fleet.upstreams[name].script.extend([Behaviour.DECLINE] * 40)
            refused = await fleet.generate('text', wait_ms=300)
            for name in ENGINES:
                fleet.upstreams[name].script.clear()
            statuses = []
            for number in range(3):
                answer = await fleet.generate('text', request_id=f'r{number}')
                statuses.append(answer.status)
        self.assertNotEqual(refused.status, 200)
        self.assertEqual(statuses, [200, 200, 429])

    async def test_stream_resumed_at_another_engine_is_charged_twice(self):
        async with run_fleet(PROMISES) as fleet:
            await fleet.generate('text', request_id='r0')
            home = next(name for name in ENGINES if fleet.upstreams[name].runs)
            await cap_workspace(fleet)
            fleet.upstreams[home].script.append(Behaviour.CUT_IN_EVENT)
            first = await fleet.generate('text')
            runs = count_runs(fleet)
            second = await fleet.generate('text', request_id='r2')
        self.assertEqual((first.status, runs), (200, 3))
        self.assertEqual(second.status, 429)

    async def test_refused_request_is_counted_in_the_metrics(self):
        async with run_fleet(PROMISES) as fleet:
            await cap_workspace(fleet, burst=1)
            await fleet.generate('text')
            await fleet.generate('text', request_id='r2')
            refused = fleet.router.registry.get_sample_value(
                'lifttrestle_over_cap_total', {'workspace': 'acme'}
            )
        self.assertEqual(refused, 1.0)

    async def test_unusable_cap_keeps_the_configuration(self):
        async with run_fleet(PROMISES) as fleet:
            await cap_workspace(fleet, rate_per_s='lots')
            statuses = [
                (await fleet.generate('text', request_id=f'r{n}')).status
                for n in range(4)
            ]
            faults = fleet.router.registry.get_sample_value(
                'lifttrestle_refused_input_total',
                {'source': 'operator', 'fault': 'field'},
            )
        self.assertEqual((statuses, faults), ([200] * 4, 1.0))


if __name__ == '__main__':
    unittest.main()
