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

"""Whom a router asks for the shared tables, and what it does without."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import msgspec

from lifttrestle.errors import InputRefused
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.state.relay_follower import AVOID_SECONDS
from lifttrestle.internal.fleet.state.relay_follower import LOOK_SECONDS
from lifttrestle.internal.fleet.state.relay_follower import RANKING
from lifttrestle.internal.fleet.state.relay_follower import RelayFollower
from lifttrestle.internal.fleet.state.relay_messages import TableNews
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.routing.rendezvous import rank_names
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
# Enough for three relays, of which two are asked.
NAMES = [f'r{number}' for number in range(40)]
RANKED = rank_names(RANKING, [f'router/{name}' for name in NAMES])
RELAYS = RANKED[:3]
OWN_KEY = RANKED[-1]
UNREADABLE = 'router.example:7400'


class Network:
    """Stands for the network: connections open at once and stay silent."""

    def __init__(self):
        self.asked = []

    async def open_connection(self, host, port):
        self.asked.append(f'{host}:{port}')
        writer = mock.Mock()
        writer.transport.get_extra_info.return_value = None
        return asyncio.StreamReader(), writer


async def settle():
    for _ in range(6):
        await asyncio.sleep(0)


class TestUnreadableAddress(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.network = Network()
        self.enterContext(
            mock.patch('asyncio.open_connection', self.network.open_connection)
        )
        rows = MemoryRows()
        own_name = OWN_KEY.removeprefix('router/')
        self.roster = Roster(rows, self.clock, own_name, 'a')
        self.roster.loaded = True
        self.watch = TableWatch(
            rows, 't', self.clock, random.Random(1), 1.5, lambda row: None
        )
        self.follower = RelayFollower([self.watch], self.roster, self.clock)
        self.addresses = {
            f'router/{name}': f'10.0.0.{number}:7400'
            for number, name in enumerate(NAMES)
        }

    def take_rows(self):
        for key, address in self.addresses.items():
            row = msgspec.json.encode(RouterRow('a', address))
            self.roster.take(VersionedRow(key, row, 1))

    async def follow(self):
        """Let the follower look for three times the time of avoidance."""
        running = asyncio.create_task(self.follower.run(Ticker(self.clock)))
        await settle()
        for _ in range(int(3 * AVOID_SECONDS / LOOK_SECONDS)):
            self.clock.advance(LOOK_SECONDS)
            await settle()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_regression_router_without_a_readable_address_is_told(self):
        # The task that asked it ended with an error that nobody read.
        self.addresses[RELAYS[0]] = UNREADABLE
        with self.assertLogs('lifttrestle') as logs:
            self.take_rows()
            await self.follow()
        told = [
            record.fields['reason']
            for record in logs.records
            if record.fields.get('key') == RELAYS[0]
        ]
        self.assertEqual(len(told), 1, logs.output)
        self.assertIn(UNREADABLE, told[0])

    async def test_regression_two_others_are_asked_all_the_while(self):
        # Each time its turn came again, another's connection was given up
        # for it.
        self.addresses[RELAYS[0]] = UNREADABLE
        self.take_rows()
        await self.follow()
        others = [self.addresses[key] for key in RELAYS[1:]]
        self.assertCountEqual(self.network.asked, others)

    async def test_proof_of_what_is_not_yet_is_refused(self):
        # A view that is proved until then would let keys that were taken
        # away work on.
        asked_at = [self.clock.monotonic()]
        for seconds in (0.5, float('inf'), float('nan')):
            news = TableNews(0, 't', 1, seconds, False, True, [])
            with self.subTest(seconds=seconds):
                with self.assertRaises(InputRefused):
                    self.follower._take(news, asked_at)
        self.follower._take(
            TableNews(0, 't', 1, -0.5, False, True, []), asked_at
        )
        self.assertEqual(self.watch.proved_at, asked_at[0] - 0.5)
