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

"""Tests of the choice of relays that a router follows."""

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
from lifttrestle.internal.fleet.state.relay_follower import POLL_SECONDS
from lifttrestle.internal.fleet.state.relay_follower import RELAY_RANKING_KEY
from lifttrestle.internal.fleet.state.relay_follower import RelayFollower
from lifttrestle.internal.fleet.state.relay_messages import build_wait_notice
from lifttrestle.internal.fleet.state.relay_messages import TableUpdate
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.routing.rendezvous import rank_names
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
# Enough routers for three relays, of which each follower uses two.
NAMES = [f'r{number}' for number in range(40)]
RANKED = rank_names(RELAY_RANKING_KEY, [f'router/{name}' for name in NAMES])
RELAYS = RANKED[:3]
OWN_KEY = RANKED[-1]
INVALID_ADDRESS = 'router.example:7400'


class Network:
    """Simulated network: connections open immediately and carry no data."""

    def __init__(self):
        self.connected = []

    async def open_connection(self, host, port):
        self.connected.append(f'{host}:{port}')
        writer = mock.Mock()
        writer.transport.get_extra_info.return_value = None
        return asyncio.StreamReader(), writer


async def settle():
    for _ in range(6):
        await asyncio.sleep(0)


class TestInvalidAddress(unittest.IsolatedAsyncioTestCase):
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

    def apply_rows(self):
        for key, address in self.addresses.items():
            row = msgspec.json.encode(RouterRow('a', address))
            self.roster.apply_row(VersionedRow(key, row, 1))

    async def follow(self):
        """Run the follower for three times ``AVOID_SECONDS``."""
        running = asyncio.create_task(self.follower.run(Ticker(self.clock)))
        await settle()
        for _ in range(int(3 * AVOID_SECONDS / POLL_SECONDS)):
            self.clock.advance(POLL_SECONDS)
            await settle()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_regression_router_with_an_invalid_address_is_logged(self):
        # The task that connects to the router fails with an error, which must
        # be logged.
        self.addresses[RELAYS[0]] = INVALID_ADDRESS
        with self.assertLogs('lifttrestle') as logs:
            self.apply_rows()
            await self.follow()
        reasons = [
            record.fields['reason']
            for record in logs.records
            if record.fields.get('key') == RELAYS[0]
        ]
        self.assertEqual(len(reasons), 1, logs.output)
        self.assertIn(INVALID_ADDRESS, reasons[0])

    async def test_regression_invalid_address_keeps_other_connections(self):
        # Each retry of the relay with the invalid address must not close the
        # connection to another one.
        self.addresses[RELAYS[0]] = INVALID_ADDRESS
        self.apply_rows()
        await self.follow()
        others = [self.addresses[key] for key in RELAYS[1:]]
        self.assertCountEqual(self.network.connected, others)

    async def test_update_as_of_a_future_time_is_refused(self):
        # A copy that counts as current until a future time would let revoked
        # keys be accepted until then.
        sent_at = [self.clock.monotonic()]
        for seconds in (0.5, float('inf'), float('nan')):
            update = TableUpdate(0, 't', 1, seconds, False, True, [])
            with self.subTest(seconds=seconds):
                with self.assertRaises(InputRefused):
                    self.follower._apply_update(update, sent_at)
        self.follower._apply_update(
            TableUpdate(0, 't', 1, -0.5, False, True, []), sent_at
        )
        self.assertEqual(self.watch.current_as_of, sent_at[0] - 0.5)

    async def test_notice_of_a_waiting_relay_confirms_nothing(self):
        sent_at = [self.clock.monotonic()]
        await self.watch.read_once()
        self.watch.add_observer(self.fail)
        self.clock.advance(0.5)
        self.follower._apply_update(build_wait_notice(0, 't', 1), sent_at)
        self.assertEqual(self.watch.get_age(), 0.5)
