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

"""Compares the retries that a router counts with those that arrive."""

import asyncio
import collections
import contextlib
import random
import unittest

from lifttrestle.errors import UpstreamLost
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin

REQUESTS = 40
FAULTS = (
    Behaviour.DECLINE,
    Behaviour.LOSE,
    Behaviour.CUT_IN_EVENT,
    Behaviour.GOOD,
)


def count_repeats(upstreams):
    """Return the arrivals beyond the first of each request."""
    arrivals = collections.Counter(
        head.get_header('request-id')
        for upstream in upstreams
        for head in upstream.arrivals
    )
    return sum(count - 1 for count in arrivals.values())


def count_granted(fleet, service):
    """Return the retries that the router has counted."""
    labels = {'service': service, 'result': 'granted'}
    value = fleet.router.registry.get_sample_value(
        'lifttrestle_retries_total', labels
    )
    return value or 0


class TestCounts(unittest.IsolatedAsyncioTestCase):
    async def test_every_arrival_beyond_the_first_is_counted(self):
        source = random.Random(5)
        async with run_fleet() as fleet:
            for upstream in fleet.upstreams.values():
                upstream.script.extend(source.choices(FAULTS, k=REQUESTS))
            # Connections are kept from one request to the next.
            for number in range(REQUESTS):
                with contextlib.suppress(UpstreamLost):
                    await fleet.call('/safe/a', request_id=f'safe-{number}')
                with contextlib.suppress(UpstreamLost):
                    await fleet.generate('text', request_id=f'text-{number}')
            for service, names in (
                ('plain', ('p1', 'p2')),
                ('engines', ('e1', 'e2')),
            ):
                arrived = count_repeats(fleet.upstreams[n] for n in names)
                self.assertGreater(arrived, 0)
                self.assertEqual(count_granted(fleet, service), arrived)

    async def test_retry_counts_at_the_service_that_it_is_sent_to(self):
        spare = FleetUpstreamStandin('s1')
        await spare.start()
        async with run_fleet() as fleet:
            fleet.put_upstream('spare', spare)
            for name in ('p1', 'p2'):
                fleet.upstreams[name].work_seconds = 0.5
                fleet.upstreams[name].script.append(Behaviour.LOSE)
            call = asyncio.create_task(fleet.call('/safe/a'))
            await wait_until(lambda: count_runs(fleet))
            routes = [
                {**route, 'service': 'spare'}
                if route['name'] == 'safe'
                else route
                for route in CONFIGURATION['routes']
            ]
            services = [
                *CONFIGURATION['services'],
                {'name': 'spare', 'max_conns': 100},
            ]
            version = CONFIGURATION['version'] + 1
            fleet.configure(routes=routes, services=services, version=version)
            await wait_until(lambda: fleet.router.catalogue.version == version)
            answer = await call
            self.assertEqual(answer.body, b'ran at s1')
            self.assertEqual(count_granted(fleet, 'spare'), 1)
            self.assertEqual(count_granted(fleet, 'plain'), 0)
        await spare.stop()


def count_runs(fleet):
    """Return how many requests the plain upstreams have begun to run."""
    return sum(len(fleet.upstreams[name].runs) for name in ('p1', 'p2'))
