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

"""Tests of reading an upstream's rate limit from the headers of an answer."""

import unittest

from lifttrestle.internal.platform.upstream_limit import read_limit

VALID = {
    '1.2': 1.2,
    '0': 0.0,
    '0.01': 0.01,
    '7': 7.0,
    '3.': 3.0,
    '1e-05': 1e-05,
    '1E+3': 1000.0,
}
INVALID = (
    '',
    ' ',
    '-1',
    '+1',
    'nan',
    'inf',
    '1e999',
    '9' * 400,
    '1.2, 1.2',
    '1,2',
    'none',
    '0x10',
    '1_000',
    '\u0661',
    '1.2 per second',
)


def make_headers(*values):
    headers = tuple(('server-limit', value) for value in values)
    return (('request-id', 'r1'), *headers)


class TestLimitHeader(unittest.TestCase):
    def test_missing_header_means_no_limit(self):
        limit = read_limit(make_headers())
        self.assertIsNone(limit.rate)
        self.assertIsNone(limit.fault)

    def test_decimal_numbers_are_rates(self):
        for text, rate in VALID.items():
            with self.subTest(text):
                limit = read_limit(make_headers(text))
                self.assertEqual(limit.rate, rate)
                self.assertIsNone(limit.fault)

    def test_invalid_values_are_reported_with_a_remedy(self):
        for text in INVALID:
            with self.subTest(text[:20]):
                limit = read_limit(make_headers(text))
                self.assertIsNone(limit.rate)
                self.assertIn(text[:20], str(limit.fault))
                self.assertIn('send one decimal number', str(limit.fault))
                self.assertLess(len(str(limit.fault)), 250)

    def test_repeated_value_is_one_limit(self):
        self.assertEqual(read_limit(make_headers('2', '2')).rate, 2.0)

    def test_conflicting_values_are_invalid(self):
        limit = read_limit(make_headers('2', '3'))
        self.assertIsNone(limit.rate)
        self.assertIn('2, 3', str(limit.fault))
