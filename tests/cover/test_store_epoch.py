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

"""Tests of reading the store epoch and of row versions."""

import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state import row_version
from lifttrestle.internal.platform.store_epoch import read_epoch

EPOCH_HEADER = 'store-era'


class TestReadEpoch(unittest.TestCase):
    def test_missing_header_returns_none(self):
        self.assertIsNone(read_epoch((('date', 'today'),)))

    def test_valid_epoch_may_be_repeated(self):
        self.assertEqual(read_epoch(((EPOCH_HEADER, '3'),)), 3)
        self.assertEqual(
            read_epoch(((EPOCH_HEADER, '3'), (EPOCH_HEADER, '3'))), 3
        )

    def test_invalid_values_are_rejected(self):
        for value in ('', '-1', '1.0', 'x', '1, 2', '8192', '9' * 30):
            with self.subTest(value):
                with self.assertRaises(PlatformUnavailable):
                    read_epoch(((EPOCH_HEADER, value),))

    def test_conflicting_values_are_rejected(self):
        with self.assertRaises(PlatformUnavailable):
            read_epoch(((EPOCH_HEADER, '1'), (EPOCH_HEADER, '2')))


class TestRowVersion(unittest.TestCase):
    def test_later_epoch_has_the_higher_version(self):
        last = row_version.build_version(1, row_version.MAX_COMMIT_NUMBER)
        restored = row_version.build_version(2, 1)
        self.assertLess(last, restored)
        self.assertEqual(row_version.get_epoch(restored), 2)
        self.assertEqual(row_version.get_commit_number(restored), 1)
        self.assertEqual(row_version.format_version(restored), '2.1')

    def test_version_in_epoch_zero_is_the_commit_number(self):
        self.assertEqual(row_version.build_version(0, 57), 57)

    def test_highest_version_is_exact_as_a_json_number(self):
        highest = row_version.build_version(
            row_version.MAX_EPOCH, row_version.MAX_COMMIT_NUMBER
        )
        self.assertEqual(int(float(highest)), highest)
