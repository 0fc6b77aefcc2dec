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

"""Tests of the permits that one router grants for an upstream."""

import unittest

from lifttrestle.internal.fleet.policy.limit_permits import PermitBucket
from lifttrestle.internal.fleet.policy.limit_permits import rank_request
from lifttrestle.internal.fleet.policy.permit_allocators import SHARES

WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.01
SOLE_UPSTREAM = rank_request(5, has_others=False, repeated=False)
URGENT = rank_request(0, has_others=False, repeated=False)
FLEXIBLE = rank_request(0, has_others=True, repeated=False)
RETRY = rank_request(0, has_others=False, repeated=True)


def take_permits(bucket, begin, seconds, rank=SOLE_UPSTREAM):
    """Request permits continuously; return the times of those granted."""
    steps = range(int(seconds / STEP_SECONDS))
    times = [begin + step * STEP_SECONDS for step in steps]
    return [at for at in times if not bucket.take(rank, at)]


def count_busiest_window(times):
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in times)
        for first in times
    )


class TestRate(unittest.TestCase):
    def test_busiest_window_is_allowed_and_the_limit_is_used(self):
        for rate in (0.4, 1.2, 10.0, 50.0):
            with self.subTest(rate):
                times = take_permits(PermitBucket(rate, 1.0, 0.0), 0.0, 60.0)
                maximum = 1.5 * rate * WINDOW_SECONDS + 5
                self.assertLessEqual(count_busiest_window(times), maximum)
                self.assertGreaterEqual(len(times), 0.9 * 60.0 * rate - 1)

    def test_all_sides_of_a_partition_together_are_allowed(self):
        for rate in (0.4, 1.2, 10.0, 50.0):
            with self.subTest(rate):
                times = []
                for share in SHARES:
                    bucket = PermitBucket(rate, share, 0.0)
                    # The bucket is full, as nothing was requested before.
                    times += take_permits(bucket, 60.0, 20.0)
                maximum = 1.5 * rate * WINDOW_SECONDS + 5
                self.assertLessEqual(count_busiest_window(times), maximum)

    def test_limit_of_zero_permits_one_request_in_ten_seconds(self):
        times = take_permits(PermitBucket(0.0, 1.0, 0.0), 0.0, 60.0)
        self.assertEqual([round(at) for at in times], [10, 20, 30, 40, 50])

    def test_bucket_is_empty_at_first(self):
        self.assertGreater(
            PermitBucket(1.0, 1.0, 5.0).take(SOLE_UPSTREAM, 5.0), 0.9
        )


class TestOrder(unittest.TestCase):
    def test_requests_without_another_upstream_come_first(self):
        bucket = PermitBucket(1.0, 1.0, 0.0)
        self.assertGreater(bucket.take(SOLE_UPSTREAM, 0.5), 0)
        self.assertGreater(bucket.take(FLEXIBLE, 1.0), 0)
        self.assertEqual(bucket.take(SOLE_UPSTREAM, 1.1), 0)

    def test_reservation_of_a_permit_expires(self):
        bucket = PermitBucket(1.0, 1.0, 0.0)
        self.assertGreater(bucket.take(SOLE_UPSTREAM, 0.5), 0)
        self.assertEqual(bucket.take(FLEXIBLE, 2.6), 0)

    def test_urgent_requests_come_first_and_retries_last(self):
        bucket = PermitBucket(1.0, 1.0, 0.0)
        bucket.take(URGENT, 0.5)
        self.assertGreater(bucket.take(SOLE_UPSTREAM, 1.0), 0)
        self.assertGreater(bucket.take(RETRY, 1.0), 0)
        self.assertEqual(bucket.take(URGENT, 1.0), 0)

    def test_retry_times_of_refused_requests_are_spread(self):
        bucket = PermitBucket(2.0, 1.0, 0.0)
        waits = [bucket.take(FLEXIBLE, 0.0) for _ in range(4)]
        for wait, expected in zip(waits, (0.5, 1.0, 1.5, 2.0), strict=True):
            self.assertAlmostEqual(wait, expected)


class TestRecovery(unittest.TestCase):
    def test_regression_ended_limit_released_all_load_at_once(self):
        bucket = PermitBucket(1.0, 1.0, 0.0)
        take_permits(bucket, 0.0, 10.0)
        bucket.set_rate(None, 10.0)
        times = take_permits(bucket, 10.0, 4.0)
        seconds = [
            sum(at // 1 == second for at in times)
            for second in (10, 11, 12, 13)
        ]
        self.assertLessEqual(seconds[0], 4)
        for before, after in zip(seconds, seconds[1:], strict=False):
            self.assertLessEqual(after, 2.5 * before + 2)
        self.assertFalse(bucket.has_recovered(14.0))
        self.assertTrue(bucket.has_recovered(18.0))

    def test_raised_limit_is_approached_gradually(self):
        bucket = PermitBucket(1.0, 1.0, 0.0)
        take_permits(bucket, 0.0, 10.0)
        bucket.set_rate(50.0, 10.0)
        self.assertLessEqual(len(take_permits(bucket, 10.0, 1.0)), 4)
        take_permits(bucket, 11.0, 6.0)
        self.assertGreaterEqual(len(take_permits(bucket, 17.0, 1.0)), 45)

    def test_lowered_limit_applies_at_once(self):
        bucket = PermitBucket(50.0, 1.0, 0.0)
        take_permits(bucket, 0.0, 10.0)
        bucket.set_rate(1.0, 10.0)
        self.assertLessEqual(len(take_permits(bucket, 10.0, 4.0)), 6)

    def test_recovery_ends_early_without_refusals(self):
        bucket = PermitBucket(5.0, 1.0, 0.0)
        bucket.set_rate(None, 10.0)
        self.assertFalse(bucket.has_recovered(13.9))
        self.assertTrue(bucket.has_recovered(14.0))
