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

"""Tests of the departures that upstreams announce in their answers."""

import datetime
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.weight_loading import list_engines
from lifttrestle.internal.fleet.state.departure_messages import DepartureUpdate
from lifttrestle.internal.fleet.state.departure_news import DepartureNews
from lifttrestle.internal.fleet.state.departures import Departures
from lifttrestle.internal.fleet.state.departures import MAX_DEPARTURES
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.platform.request_dialect import PlatformDialect
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 4, tzinfo=datetime.timezone.utc)
DRAIN_SECONDS = 2.0


class TestDepartures(unittest.TestCase):
    def test_announcement_is_reported_once(self):
        reported = []
        departures = Departures(ManualClock(START))
        departures.on_announced = reported.append
        for now in (1.0, 2.0):
            departures.get('a').note_announced(now)
        self.assertEqual(reported, ['a'])
        self.assertEqual(departures.get('a').since, 1.0)

    def test_what_another_router_told_is_not_reported(self):
        reported = []
        departures = Departures(ManualClock(START))
        departures.on_announced = reported.append
        departures.note_told('a')
        departures.get('a').note_announced(1.0)
        self.assertTrue(departures.get('a').has_begun)
        self.assertEqual(reported, [])

    def test_memory_is_bounded(self):
        departures = Departures(ManualClock(START))
        for number in range(MAX_DEPARTURES + 10):
            departures.note_told(f'u{number}')
        self.assertFalse(departures.get('u0').has_begun)
        self.assertTrue(departures.get('u10').has_begun)


class TestDirectory(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.directory = UpstreamDirectory(PlatformFormat(), self.clock)
        self._put(1)

    def _put(self, version, origin=RowOrigin.WRITTEN, **fields):
        entry = make_entry(service='s', **fields)
        value = msgspec.json.encode(entry)
        row = VersionedRow('a', value, version, origin)
        self.directory.apply_row(row)

    def _announce(self):
        departure = self.directory.get('a').departure
        departure.note_announced(self.clock.monotonic())

    def _list(self):
        return [item.instance for item in self.directory.list_available('s')]

    def test_restored_entry_does_not_make_it_available(self):
        self._announce()
        self._put(2, RowOrigin.RESTORED)
        self.assertEqual(self._list(), [])

    def test_entry_that_returns_does_not_make_it_available(self):
        self._announce()
        self.directory.apply_row(VersionedRow('a', None, 2))
        self.assertIsNone(self.directory.get('a'))
        self._put(3)
        self.assertEqual(self._list(), [])

    def test_later_start_is_available(self):
        self._put(2, born=1)
        self._announce()
        self._put(3, born=2)
        self.assertEqual(self._list(), ['a'])

    def test_streams_continue_there_while_it_drains(self):
        self._announce()
        for seconds, count in ((1.0, 1), (1.5, 0)):
            self.clock.advance(seconds)
            listed = self.directory.list_draining('s', DRAIN_SECONDS)
            self.assertEqual(len(listed), count)

    def test_entry_that_drains_later_gives_no_more_time(self):
        self._announce()
        self.clock.advance(1.5)
        self._put(2, state='draining')
        self.clock.advance(1.0)
        self.assertEqual(self.directory.list_draining('s', DRAIN_SECONDS), [])

    def test_no_weights_are_loaded_there(self):
        self._put(2, models=[{'name': 'm', 'version': 1}])
        self.assertEqual(len(list_engines(self.directory, 'm')), 1)
        self._announce()
        self.assertEqual(list_engines(self.directory, 'm'), [])


class TestHeader(unittest.TestCase):
    def test_header_is_read(self):
        cases = {'1': True, ' 1 ': True, '0': False, '': False, 'yes': False}
        for value, leaving in cases.items():
            with self.subTest(value):
                head = ResponseHead(200, (('server-leaving', value),))
                facts = PlatformDialect().read_answer(head)
                self.assertIs(facts.leaving, leaving)


class TestNews(unittest.TestCase):
    ROUTERS = 350

    def test_departure_takes_few_messages_in_a_large_fleet(self):
        rows = MemoryRows()
        roster = Roster(rows, ManualClock(START), 'r0', 'a')
        roster.loaded = True
        for number in range(self.ROUTERS):
            value = msgspec.json.encode(RouterRow('a', '127.0.0.1:9'))
            key = f'router/r{number}'
            roster.apply_row(VersionedRow(key, value, 1))
        sent = []
        departures = Departures(ManualClock(START))
        news = DepartureNews('r0', departures, roster)
        news.connect(
            lambda kind, handler: None,
            lambda message, key: sent.append(encode_message(message)),
        )
        departures.get('a').note_announced(1.0)
        departures.get('a').note_announced(2.0)
        self.assertEqual(len(sent), self.ROUTERS - 1)
        self.assertLess(max(map(len, sent)), 50)

    def test_told_departure_is_not_told_again(self):
        sent = []
        departures = Departures(ManualClock(START))
        roster = Roster(MemoryRows(), ManualClock(START), 'r0', 'a')
        news = DepartureNews('r0', departures, roster)
        news.connect(
            lambda kind, handler: None,
            lambda message, key: sent.append(message),
        )
        news.handle_update(DepartureUpdate('r1', ['a']))
        departures.get('a').note_announced(1.0)
        self.assertEqual(sent, [])


if __name__ == '__main__':
    unittest.main()
