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

"""Tests of the pauses that upstreams ask for."""

import datetime
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy import requested_pause
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.rejection_pacing import RejectionPacing
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.platform.stored_format import PlatformFormat
from lifttrestle.internal.platform.upstream_pause import read_pause
from tests.support.entries import make_entry

START = datetime.datetime(2026, 12, 4, tzinfo=datetime.timezone.utc)


class TestHeader(unittest.TestCase):
    def test_number_of_seconds_is_read(self):
        cases = {
            '0': 0.0,
            '0.25': 0.25,
            '3': 3.0,
            '1e300': 1e300,
            '9' * 40: float('9' * 40),
            '1e999': None,
            '-1': None,
            'nan': None,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                head = ResponseHead(503, (('retry-after', text),))
                seconds, invalid = read_pause(head)
                self.assertEqual(seconds, expected)
                self.assertEqual(bool(invalid), expected is None)

    def test_other_answers_ask_for_none(self):
        for status in (200, 429, 421, 500):
            head = ResponseHead(status, (('retry-after', '3'),))
            self.assertEqual(read_pause(head), (None, ''))


class TestPacing(unittest.TestCase):
    def test_shorter_pause_does_not_end_a_longer_one(self):
        pacing = RejectionPacing()
        pacing.note_requested(5.0, 10.0)
        for seconds in (1.0, 0.0):
            pacing.note_requested(seconds, 11.0)
        self.assertEqual(pacing.get_requested_seconds(12.0), 3.0)

    def test_huge_pause_is_limited(self):
        pacing = RejectionPacing()
        pacing.note_requested(1e300, 10.0)
        seconds = pacing.get_requested_seconds(10.0)
        self.assertEqual(seconds, requested_pause.MAX_REQUESTED_SECONDS)


class TestDirectory(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.directory = UpstreamDirectory(PlatformFormat(), self.clock)
        self._put(1, born=1)
        now = self.clock.monotonic()
        self.directory.get('a').rejections.note_requested(5.0, now)

    def _put(self, version, **fields):
        value = msgspec.json.encode(make_entry(**fields))
        self.directory.apply_row(VersionedRow('a', value, version))

    def _get_seconds(self):
        now = self.clock.monotonic()
        return self.directory.get('a').rejections.get_requested_seconds(now)

    def test_later_start_asked_for_no_pause(self):
        self._put(2, born=2)
        self.assertEqual(self._get_seconds(), 0.0)

    def test_regression_entry_that_returned_ended_a_pause(self):
        self.directory.apply_row(VersionedRow('a', None, 2))
        self._put(3, born=1)
        self.assertEqual(self._get_seconds(), 5.0)


if __name__ == '__main__':
    unittest.main()
