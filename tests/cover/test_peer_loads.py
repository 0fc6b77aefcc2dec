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

"""Tests of load reports: sums, expiry, parts and invalid datagrams."""

import asyncio
import datetime
import unittest
from unittest import mock

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.report_pacing import BURST
from lifttrestle.internal.fleet.policy.report_pacing import MAX_REPORT_RATE
from lifttrestle.internal.fleet.policy.report_pacing import ReportPacer
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from lifttrestle.internal.fleet.state.peer_loads import FRESH_REPORTS
from lifttrestle.internal.fleet.state.peer_loads import FRESH_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import MAX_REPORTED_PARTS
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream_entry import build_digest
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
WAIT_SECONDS = 10.0


DIGEST = build_digest('u')


def make_report(vm, number, in_flight, tokens=0):
    return LoadReport(vm, number, [UpstreamLoad(DIGEST, in_flight, tokens)])


class Router:
    def __init__(self, name):
        self.clock = ManualClock(START)
        self.directory = UpstreamDirectory(PlatformFormat(), self.clock)
        value = msgspec.json.encode(make_entry())
        self.directory.apply_row(VersionedRow('u', value, 1))
        self.upstream = self.directory.get('u')
        self.roster = Roster(MemoryRows(), self.clock, name, 'a')
        self.parts = SharedParts()
        self.loads = PeerLoads(
            name, self.directory, self.roster, self.parts, self.clock
        )

    def add_peer(self, name, address):
        row = msgspec.json.encode(RouterRow('a', str(address)))
        self.roster.apply_row(VersionedRow(f'router/{name}', row, 1))

    def get_peer_load(self):
        return self.upstream.peers_in_flight, self.upstream.peers_unread


class TestSums(unittest.TestCase):
    def setUp(self):
        self.router = Router('me')

    def test_reports_of_all_routers_are_summed(self):
        self.router.loads.apply_report(make_report('a', 1, 2, 100))
        self.router.loads.apply_report(make_report('b', 1, 3, 50))
        self.assertEqual(self.router.get_peer_load(), (5, 150))

    def test_incrementally_updated_sums_equal_rebuilt_ones(self):
        for number in range(1, 6):
            for vm in 'abc':
                self.router.loads.apply_report(
                    make_report(vm, number, number, 10)
                )
                self.router.clock.advance(0.04)
        self.assertEqual(self.router.get_peer_load(), (15, 30))
        self.router.loads._ledger.rebuild()
        self.assertEqual(self.router.get_peer_load(), (15, 30))

    def test_load_of_a_replaced_upstream_is_not_negative(self):
        self.router.loads.apply_report(make_report('a', 1, 4))
        self.router.directory.apply_row(VersionedRow('u', None, 2))
        value = msgspec.json.encode(make_entry(address='1.2.3.4:9'))
        self.router.directory.apply_row(VersionedRow('u', value, 3))
        upstream = self.router.directory.get('u')
        self.router.loads.apply_report(make_report('a', 2, 1))
        self.assertGreaterEqual(upstream.peers_in_flight, 0)

    def test_newer_report_is_applied_and_overtaken_one_is_dropped(self):
        for number, in_flight in ((1, 2), (3, 7), (2, 9)):
            self.router.loads.apply_report(make_report('a', number, in_flight))
        self.assertEqual(self.router.get_peer_load()[0], 7)

    def test_load_of_a_silent_router_expires(self):
        self.router.loads.apply_report(make_report('a', 1, 2))
        self.router.clock.advance(FRESH_SECONDS + 0.1)
        self.router.loads.apply_report(make_report('b', 1, 3))
        self.assertEqual(self.router.get_peer_load()[0], 3)

    def test_reports_of_a_restarted_router_are_applied(self):
        self.router.loads.apply_report(make_report('a', 900, 2))
        self.router.clock.advance(FRESH_SECONDS + 0.1)
        self.router.loads.apply_report(make_report('a', 1, 4))
        self.assertEqual(self.router.get_peer_load()[0], 4)

    def test_regression_report_rate_grew_with_the_fleet(self):
        # With a fixed report period, each of 78 routers received 520 reports a
        # second and exceeded its limit of processor time.
        self.router.roster.loaded = True
        for count in (8, 30, 69, 350):
            for number in range(count):
                self.router.add_peer(f'r{number}', '10.0.0.1:7400')
            report_rate = 1 / self.router.loads.get_report_seconds()
            self.assertLessEqual(count * report_rate, MAX_REPORT_RATE + 1e-6)
        self.assertLess(1 / report_rate, FRESH_SECONDS * FRESH_REPORTS)

    def test_report_in_a_large_fleet_expires_after_three_periods(self):
        self.router.roster.loaded = True
        for number in range(2 * MAX_REPORT_RATE):
            self.router.add_peer(f'r{number}', '10.0.0.1:7400')
        self.assertEqual(self.router.loads.get_report_seconds(), 2.0)
        self.router.loads.apply_report(make_report('a', 1, 2))
        self.router.clock.advance(5.9)
        self.router.loads.apply_report(make_report('b', 1, 3))
        self.assertEqual(self.router.get_peer_load()[0], 5)
        self.router.clock.advance(0.2)
        self.router.loads.apply_report(make_report('b', 2, 3))
        self.assertEqual(self.router.get_peer_load()[0], 3)

    def test_undecodable_datagram_is_dropped_and_logged(self):
        self.router.loads.apply_report(make_report('a', 1, 2))
        for data in (b'', b'\xc1', b'not a report', b'\x93\x01\x02\x03'):
            with self.assertLogs('lifttrestle.intake', 'ERROR'):
                self.router.loads.datagram_received(data, ('1.2.3.4', 5))
        self.assertEqual(self.router.get_peer_load()[0], 2)


class TestParts(unittest.TestCase):
    def test_parts_computed_for_one_router_are_known_to_the_others(self):
        sender, receiver = Router('a'), Router('b')
        parts = (PromptPart('aa', 400),)
        sender.parts.note_computed('salt', parts, 0.0)
        updates = sender.parts.pop_unreported()
        receiver.loads.apply_report(LoadReport('a', 1, [], updates))
        self.assertEqual(receiver.parts.count_unknown_tokens('salt', parts), 0)
        self.assertEqual(
            receiver.parts.count_unknown_tokens('other', parts), 400
        )
        # Received parts are not forwarded, and own ones are sent once.
        self.assertEqual(receiver.parts.pop_unreported(), [])
        self.assertEqual(sender.parts.pop_unreported(), [])

    def test_number_of_parts_in_a_report_is_limited(self):
        parts = SharedParts()
        many = tuple(PromptPart(f'{number}', 1) for number in range(450))
        parts.note_computed('salt', many, 0.0)
        sizes = [len(parts.pop_unreported()) for _ in range(4)]
        self.assertEqual(
            sizes, [MAX_REPORTED_PARTS, MAX_REPORTED_PARTS, 50, 0]
        )


class TestDatagrams(unittest.IsolatedAsyncioTestCase):
    async def test_routers_receive_loads_and_their_end(self):
        routers = [Router('a'), Router('b')]
        addresses = [
            await router.loads.start(Address('127.0.0.1', 0))
            for router in routers
        ]
        for router in routers:
            for name, address in zip('ab', addresses):
                router.add_peer(name, address)
        sender, receiver = routers
        for in_flight in (4, 0):
            sender.upstream.in_flight = in_flight
            sender.loads._send_report()
            async with asyncio.timeout(WAIT_SECONDS):
                while receiver.get_peer_load()[0] != in_flight:
                    await asyncio.sleep(0.005)
        self.assertEqual(sender.get_peer_load(), (0, 0))
        for router in routers:
            router.loads.close()

    async def test_regression_invalid_address_stopped_the_reports(self):
        # An invalid address in one roster row raised an exception in the task
        # that sends reports. A router stops when that task fails, so all
        # routers stopped.
        router = Router('me')
        transport = mock.Mock()
        router.loads._transport = transport
        router.add_peer('a', 'router.example:7400')
        router.add_peer('b', '1.2.3.4:7400')
        router.upstream.in_flight = 1
        reporting = asyncio.create_task(router.loads.run())
        await asyncio.sleep(0)
        router.loads.note_change()
        for _ in range(6):
            await asyncio.sleep(0)
        self.assertFalse(reporting.done())
        addresses = [call.args[1] for call in transport.sendto.call_args_list]
        self.assertEqual(addresses, [('1.2.3.4', 7400)])
        reporting.cancel()


class TestReportPacer(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.pacer = ReportPacer(self.clock)

    def _send(self, routers, seconds, every):
        """Return the number of reports sent.

        :param every: seconds between two changes.
        """
        end = self.clock.monotonic() + seconds
        sent = 0
        while self.clock.monotonic() < end:
            self.clock.advance(self.pacer.take(routers))
            sent += 1
            self.clock.advance(every)
        return sent

    def test_changes_within_the_rate_are_reported_at_once(self):
        self.assertEqual([self.pacer.take(8) for _ in range(3)], [0, 0, 0])
        self.assertGreater(self.pacer.take(8), 0)

    def test_report_rate_is_limited_for_frequent_changes(self):
        for routers in (8, 82, 350):
            with self.subTest(routers=routers):
                sent = self._send(routers, 60.0, 0.001)
                allowed = 60.0 * MAX_REPORT_RATE / routers + BURST + 1
                self.assertLessEqual(sent, allowed)

    def test_regular_reports_use_less_than_half_of_the_rate(self):
        regular = self.pacer.get_regular_seconds(82)
        self.assertLess(82 / regular, 0.5 * MAX_REPORT_RATE)
