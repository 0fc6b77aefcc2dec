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

"""Tests of what an answer's head says of its upstream's limit."""

import unittest

from lifttrestle.internal.platform.upstream_limit import read_limit

NAMED = {
    '1.2': 1.2,
    '0': 0.0,
    '0.01': 0.01,
    '7': 7.0,
    '3.': 3.0,
    '1e-05': 1e-05,
    '1E+3': 1000.0,
}
FAULTY = (
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
    def test_answer_without_one_names_no_limit(self):
        named = read_limit(make_headers())
        self.assertIsNone(named.rate)
        self.assertIsNone(named.fault)

    def test_decimal_numbers_are_rates(self):
        for text, rate in NAMED.items():
            with self.subTest(text):
                named = read_limit(make_headers(text))
                self.assertEqual(named.rate, rate)
                self.assertIsNone(named.fault)

    def test_anything_else_is_told_with_its_remedy(self):
        for text in FAULTY:
            with self.subTest(text[:20]):
                named = read_limit(make_headers(text))
                self.assertIsNone(named.rate)
                self.assertIn(text[:20], str(named.fault))
                self.assertIn('send one decimal number', str(named.fault))
                self.assertLess(len(str(named.fault)), 250)

    def test_two_that_agree_are_one(self):
        self.assertEqual(read_limit(make_headers('2', '2')).rate, 2.0)

    def test_two_that_differ_are_a_fault(self):
        named = read_limit(make_headers('2', '3'))
        self.assertIsNone(named.rate)
        self.assertIn('2, 3', str(named.fault))
