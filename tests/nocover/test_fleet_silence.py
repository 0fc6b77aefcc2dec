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

"""Tests of open connections that become unresponsive while new ones work.

The connections are neither closed nor reset, so that only the timeouts of the
router detect the failure.
"""

import asyncio
import unittest

from lifttrestle.internal.upstream.breaker import BreakerState
from tests.nocover.test_fleet_relay import run_routers
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until

PLAIN = ('p1', 'p2')
CALLS = 6


class TestSilence(unittest.IsolatedAsyncioTestCase):
    async def test_silent_connections_to_the_store_are_replaced(self):
        async with run_fleet() as fleet:
            await wait_until(lambda: fleet.store.peers)
            fleet.store.silenced |= fleet.store.peers
            fleet.configure(version=9)
            await wait_until(lambda: fleet.router.catalogue.version == 9)
            await wait_until(fleet.router.is_ready)
            answer = await fleet.call('/safe/a')
        self.assertEqual(answer.status, 200)

    async def test_follower_of_silent_relays_reads_the_store(self):
        async with run_routers() as (store, relays, other):
            for relay in relays:
                relay.relay_server._send_update = lambda follower, watch: None
            await wait_until(lambda: other.relays.reads_store)
            store.put('op', 'config', {**CONFIGURATION, 'version': 9})
            await wait_until(lambda: other.catalogue.version == 9)

    async def test_idempotent_requests_fail_over_from_silent_connections(self):
        async with run_fleet() as fleet:
            for number in range(CALLS):
                await fleet.call('/safe/a', request_id=f'first-{number}')
            for name in PLAIN:
                upstream = fleet.upstreams[name]
                upstream.silenced |= upstream.peers
            # Each upstream has at most one idle connection that is silent.
            # Each of these fails the first attempt of one request; later
            # attempts use new connections.
            statuses = [
                (await fleet.call('/safe/a', request_id=f'r{number}')).status
                for number in range(CALLS)
            ]
        self.assertEqual(statuses[-2:], [200, 200])
        self.assertLessEqual(CALLS - statuses.count(200), 1)

    async def test_regression_second_of_silence_was_taken_for_a_failure(self):
        async with run_fleet() as fleet:
            plain = [fleet.upstreams[name] for name in PLAIN]
            plain[0].work_seconds = 1.3
            answers = await asyncio.gather(
                *(
                    fleet.call('/safe/a', request_id=f'r{number}')
                    for number in range(CALLS)
                )
            )
            runs = sum(len(upstream.runs) for upstream in plain)
            states = {
                upstream.breaker.state for upstream in fleet.router.directory
            }
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(runs, CALLS)
        self.assertEqual(states, {BreakerState.CLOSED})
