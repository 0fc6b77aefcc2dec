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
"""Tests of the requests to upstreams that tolerate few rejections."""

import unittest

from hypothesis import given
from hypothesis import strategies

from lifttrestle.internal.fleet.policy.rejection_limit import get_pause_seconds
from lifttrestle.internal.fleet.policy.rejection_limit import may_send
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.platform.upstream_rejections import read_rejections
from tests.cover.test_reach import make_upstream

COUNTS = strategies.integers(1, 200)


class TestSending(unittest.TestCase):
    @given(slots=COUNTS, routers=COUNTS)
    def test_routers_that_decide_at_once_do_not_exceed_the_slots(
        self, slots, routers
    ):
        # Each knows what the others had before this step only.
        own = [0] * routers
        for _ in range(slots):
            total = sum(own)
            own = [
                count + may_send(count, total - count, slots, routers, 5.0)
                for count in own
            ]
        self.assertLessEqual(sum(own), max(slots, routers))

    def test_full_upstream_gets_one_request_of_a_router_at_most(self):
        self.assertTrue(may_send(0, 8, 8, 4, 5.0))
        self.assertFalse(may_send(1, 7, 8, 4, 5.0))

    def test_full_upstream_that_tolerates_no_rejection_gets_none(self):
        self.assertFalse(may_send(0, 8, 8, 4, 0.0))
        self.assertTrue(may_send(0, 7, 8, 4, 0.0))

    def test_free_slots_are_used_by_few_busy_routers(self):
        self.assertTrue(may_send(2, 0, 8, 4, 5.0))

    @given(routers=COUNTS, number=strategies.floats(0.5, 100.0))
    def test_rejections_of_all_routers_stay_below_the_number(
        self, routers, number
    ):
        pause = get_pause_seconds(routers, number)
        if pause < 30.0:
            self.assertLessEqual(routers / pause, number)


class TestUpstream(unittest.TestCase):
    def test_new_upstream_is_treated_as_others_of_its_service(self):
        upstream = make_upstream('a', 'x')
        upstream.in_flight = 8
        self.assertFalse(upstream.may_be_full(4, 10.0, None))
        self.assertTrue(upstream.may_be_full(4, 10.0, 5.0))
        upstream.note_alive(10.0)
        self.assertFalse(upstream.may_be_full(4, 10.0, 5.0))

    def test_nothing_is_sent_for_a_while_after_a_rejection(self):
        upstream = make_upstream('a', 'x')
        upstream.note_alive(10.0)
        upstream.max_rejections = 5.0
        upstream.note_rejected(4, 10.0)
        self.assertTrue(upstream.may_be_full(4, 11.0))
        self.assertFalse(upstream.may_be_full(4, 11.3))


class TestHeader(unittest.TestCase):
    def test_only_a_decimal_number_counts(self):
        for text, expected in (
            ('12', 12.0),
            ('0', 0.0),
            ('2.5', 2.5),
            ('', None),
            ('-1', None),
            ('many', None),
            ('1e999', None),
            ('9' * 41, None),
        ):
            with self.subTest(text=text):
                head = ResponseHead(200, (('server-brittle', text),))
                self.assertEqual(read_rejections(head), expected)
        self.assertIsNone(read_rejections(ResponseHead(200, ())))
