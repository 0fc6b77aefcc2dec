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

from lifttrestle.internal.fleet.policy.rejection_limit import divide_slots
from lifttrestle.internal.fleet.policy.rejection_limit import get_pause_seconds
from lifttrestle.internal.fleet.policy.rejection_limit import is_safe
from lifttrestle.internal.fleet.policy.rejection_limit import SendingShare
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.platform.upstream_rejections import read_rejections
from tests.cover.test_reach import make_upstream
from tests.support.rejection_simulation import find_most_in_a_second
from tests.support.rejection_simulation import RejectionSimulation

COUNTS = strategies.integers(1, 200)


def list_shares(slots, routers):
    """Return the shares of each router."""
    return [
        divide_slots(slots, routers, position) for position in range(routers)
    ]


class TestShares(unittest.TestCase):
    @given(slots=strategies.lists(COUNTS, min_size=1), routers=COUNTS)
    def test_shares_of_all_routers_are_the_slots(self, slots, routers):
        shares = list_shares(slots, routers)
        for index, count in enumerate(slots):
            given_out = sum(share[index].requests for share in shares)
            self.assertEqual(given_out, count)

    @given(slots=strategies.lists(COUNTS, min_size=1), routers=COUNTS)
    def test_every_router_has_as_many_as_the_others(self, slots, routers):
        totals = [
            sum(share.requests for share in shares)
            for shares in list_shares(slots, routers)
        ]
        self.assertLessEqual(max(totals) - min(totals), 1)

    @given(slots=COUNTS, routers=COUNTS)
    def test_turns_differ(self, slots, routers):
        turns = {shares[0].turn for shares in list_shares([slots], routers)}
        self.assertEqual(len(turns), routers)


class TestSending(unittest.TestCase):
    @given(slots=COUNTS, routers=COUNTS)
    def test_routers_that_decide_at_once_do_not_exceed_the_slots(
        self, slots, routers
    ):
        # Each knows what the others had before this step only.
        shares = list_shares([slots], routers)
        own = [0] * routers
        for _ in range(slots):
            total = sum(own)
            own = [
                count + is_safe(count, total - count, slots, share[0])
                for count, share in zip(own, shares, strict=True)
            ]
        self.assertLessEqual(sum(own), slots)

    def test_full_upstream_is_not_safe(self):
        self.assertFalse(is_safe(0, 8, 8, SendingShare(4, 2, 0.0)))
        self.assertTrue(is_safe(0, 7, 8, SendingShare(4, 2, 0.0)))

    def test_free_slots_are_used_by_few_busy_routers(self):
        self.assertTrue(is_safe(2, 0, 8, SendingShare(4, 2, 0.0)))
        self.assertFalse(is_safe(2, 3, 8, SendingShare(4, 2, 0.0)))

    @given(routers=COUNTS, number=strategies.floats(0.5, 100.0))
    def test_rejections_of_all_routers_stay_below_the_number(
        self, routers, number
    ):
        pause = get_pause_seconds(routers, number)
        if pause < 60.0:
            self.assertLessEqual(routers / pause, number)


class TestUpstream(unittest.TestCase):
    def setUp(self):
        self.upstream = make_upstream('a', 'x')
        self.share = SendingShare(4, 2, 0.5)

    def _may_be_full(self, now, assumed=None):
        return self.upstream.may_be_full(self.share, now, assumed)

    def _announce(self, number):
        self.upstream.note_alive(10.0)
        self.upstream.rejections.note_announced(number, 10.0)

    def test_new_upstream_is_treated_as_others_of_its_service(self):
        self.upstream.in_flight = 8
        self.assertFalse(self._may_be_full(10.0))
        self.assertTrue(self._may_be_full(10.0, 5.0))
        self.upstream.note_alive(10.0)
        self.assertFalse(self._may_be_full(10.0, 5.0))

    def test_nothing_is_sent_for_a_while_after_a_rejection(self):
        self._announce(5.0)
        self.upstream.rejections.note_rejected(4, 10.0)
        self.assertTrue(self._may_be_full(11.5))
        self.assertFalse(self._may_be_full(11.7))

    def test_full_upstream_gets_one_request_in_turn(self):
        self._announce(5.0)
        self.upstream.peers_in_flight = 8
        # Four routers in 1.6 s; this one comes third.
        self.assertTrue(self._may_be_full(10.7))
        self.assertFalse(self._may_be_full(10.9))
        self.upstream.note_chosen(self.share, 10.9)
        self.assertTrue(self._may_be_full(12.4))
        self.assertFalse(self._may_be_full(12.6))
        self.upstream.in_flight = 1
        self.assertTrue(self._may_be_full(12.6))

    def test_full_upstream_that_tolerates_no_rejection_gets_none(self):
        self._announce(0.0)
        self.upstream.peers_in_flight = 8
        self.assertTrue(self._may_be_full(100.0))
        self.upstream.peers_in_flight = 7
        self.assertFalse(self._may_be_full(100.0))

    def test_number_counts_from_its_first_announcement(self):
        self._announce(5.0)
        self.upstream.rejections.note_announced(4.0, 11.0)
        self.assertEqual(self.upstream.rejections.announced_at, 10.0)
        self.upstream.rejections.note_announced(None, 12.0)
        self.upstream.rejections.note_announced(4.0, 13.0)
        self.assertEqual(self.upstream.rejections.announced_at, 13.0)


class TestManyRouters(unittest.TestCase):
    def test_regression_many_routers_exceeded_what_it_tolerates(self):
        for routers, slots, number in (
            (4, 8, 5.0),
            (20, 8, 5.0),
            (82, 12, 10.0),
            (82, 24, 5.0),
            (195, 8, 10.0),
            (195, 24, 5.0),
        ):
            for demand in (1.2, 3.0):
                for seed in range(4):
                    with self.subTest(
                        routers=routers, slots=slots, demand=demand, seed=seed
                    ):
                        simulation = RejectionSimulation(
                            seed, routers, slots, number, demand
                        )
                        simulation.run()
                        most = find_most_in_a_second(simulation.rejected_at)
                        self.assertLessEqual(most, number)
                        self.assertGreater(simulation.get_used_share(), 0.2)


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
