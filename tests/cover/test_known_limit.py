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

"""Tests of the limit that a router derives from answers of an upstream."""

import unittest

from lifttrestle.internal.fleet.policy.known_limit import KnownLimit
from lifttrestle.internal.fleet.policy.known_limit import LimitChange
from lifttrestle.internal.fleet.policy.known_limit import LimitObservation


def observe(known_limit, rate, begin, end):
    return known_limit.update(LimitObservation(rate, begin, end))


class TestKnownLimit(unittest.TestCase):
    def test_limit_applies_from_the_first_answer_that_reports_it(self):
        known_limit = KnownLimit()
        self.assertIs(
            observe(known_limit, None, 0.0, 1.0), LimitChange.NOTHING
        )
        self.assertIs(observe(known_limit, 1.2, 0.5, 0.9), LimitChange.LEARNT)
        self.assertEqual(known_limit.rate, 1.2)

    def test_request_sent_before_the_report_does_not_end_it(self):
        known_limit = KnownLimit()
        observe(known_limit, 1.2, 1.0, 2.0)
        self.assertIs(
            observe(known_limit, None, 1.9, 5.0), LimitChange.NOTHING
        )
        self.assertEqual(known_limit.rate, 1.2)

    def test_request_sent_after_the_report_ends_it(self):
        known_limit = KnownLimit()
        observe(known_limit, 1.2, 1.0, 2.0)
        self.assertIs(observe(known_limit, None, 2.0, 3.0), LimitChange.ENDED)
        self.assertIsNone(known_limit.rate)

    def test_answer_in_flight_does_not_restore_an_ended_limit(self):
        known_limit = KnownLimit()
        observe(known_limit, 1.2, 1.0, 2.0)
        observe(known_limit, None, 2.5, 3.0)
        self.assertIs(observe(known_limit, 1.2, 2.9, 6.0), LimitChange.NOTHING)
        self.assertIsNone(known_limit.rate)
        self.assertIs(observe(known_limit, 0.4, 3.0, 3.5), LimitChange.LEARNT)

    def test_lower_limit_applies_if_it_may_be_newer(self):
        known_limit = KnownLimit()
        observe(known_limit, 5.0, 1.0, 3.0)
        self.assertIs(observe(known_limit, 1.0, 2.0, 2.5), LimitChange.CHANGED)
        self.assertEqual(known_limit.rate, 1.0)

    def test_higher_limit_applies_if_it_is_certainly_newer(self):
        known_limit = KnownLimit()
        observe(known_limit, 1.0, 1.0, 3.0)
        self.assertIs(observe(known_limit, 5.0, 2.0, 4.0), LimitChange.NOTHING)
        self.assertIs(observe(known_limit, 5.0, 3.0, 4.0), LimitChange.CHANGED)

    def test_older_report_of_a_lower_limit_is_ignored(self):
        known_limit = KnownLimit()
        observe(known_limit, 5.0, 2.0, 3.0)
        self.assertIs(observe(known_limit, 1.0, 0.5, 1.9), LimitChange.NOTHING)

    def test_repeated_reports_in_any_order_change_nothing(self):
        known_limit = KnownLimit()
        observe(known_limit, 1.0, 1.0, 3.0)
        for begin in (0.0, 1.0, 2.5, 4.0):
            change = observe(known_limit, 1.0, begin, begin + 1.0)
            self.assertIs(change, LimitChange.NOTHING)
        self.assertIs(
            observe(known_limit, None, 4.9, 6.0), LimitChange.NOTHING
        )
