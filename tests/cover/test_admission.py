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

"""Tests of the admission queue, rates, retry budget and circuit breaker."""

import asyncio
import datetime
import unittest

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.admission.bucket import TokenBucket
from lifttrestle.internal.admission.gate import AdmissionGate
from lifttrestle.internal.admission.queue import AdmissionQueue
from lifttrestle.internal.admission.retries import RetryBudget
from lifttrestle.internal.admission.ticket import Ticket
from lifttrestle.internal.admission.workspaces import WorkspaceLimits
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.upstream.breaker import Breaker
from lifttrestle.internal.upstream.breaker import BreakerState
from lifttrestle.internal.upstream.breaker import FAILURE_THRESHOLD
from lifttrestle.internal.upstream.breaker import FIRST_OPEN_SECONDS
from lifttrestle.internal.upstream.breaker import MAX_OPEN_SECONDS

START = datetime.datetime(2026, 12, 6, tzinfo=datetime.timezone.utc)


class TestQueue(unittest.TestCase):
    def test_urgent_goes_first_and_equals_in_turn(self) -> None:
        queue = AdmissionQueue(1, 10)
        running = Ticket(5, 100)
        self.assertEqual(queue.offer(running, 0).started, (running,))
        low, urgent, second = Ticket(7, 100), Ticket(0, 100), Ticket(0, 100)
        for ticket in (low, urgent, second):
            self.assertEqual(queue.offer(ticket, 0).started, ())
        order = [queue.release(1).started[0] for _ in range(3)]
        self.assertEqual(order, [urgent, second, low])

    def test_full_queue_turns_the_least_urgent_away_at_once(self) -> None:
        queue = AdmissionQueue(1, 1)
        queue.offer(Ticket(5, 100), 0)
        low, urgent = Ticket(7, 100), Ticket(0, 100)
        queue.offer(low, 0)
        self.assertEqual(queue.offer(urgent, 0).refused, (low,))
        lowest = Ticket(9, 100)
        self.assertEqual(queue.offer(lowest, 0).refused, (lowest,))

    def test_expired_never_starts(self) -> None:
        queue = AdmissionQueue(1, 10)
        queue.offer(Ticket(5, 100), 0)
        short, long = Ticket(0, 1), Ticket(5, 100)
        queue.offer(short, 0)
        queue.offer(long, 0)
        result = queue.release(2)
        self.assertEqual((result.started, result.refused), ((long,), (short,)))


class TestGate(unittest.IsolatedAsyncioTestCase):
    async def test_slots_are_never_lost(self) -> None:
        gate = AdmissionGate(2, 50, SystemClock())
        end = asyncio.get_running_loop().time() + 1000
        tasks = [asyncio.create_task(self.use(gate, end)) for _ in range(40)]
        for task in tasks[::3]:
            await asyncio.sleep(0)
            task.cancel()
        # If a slot were lost, the remaining tasks would wait forever.
        async with asyncio.timeout(5):
            await asyncio.gather(*tasks, return_exceptions=True)
            for _ in range(2):
                await gate.enter(5, end)

    async def use(self, gate: AdmissionGate, deadline: float) -> None:
        await gate.enter(5, deadline)
        try:
            await asyncio.sleep(0)
        finally:
            gate.leave()

    async def test_deadline_ends_the_wait(self) -> None:
        gate = AdmissionGate(1, 5, SystemClock())
        now = asyncio.get_running_loop().time()
        await gate.enter(5, now + 100)
        with self.assertRaises(RequestRefused):
            await gate.enter(5, now + 0.02)

    async def test_regression_expired_wait_was_told_that_the_queue_was_full(
        self,
    ) -> None:
        clock = ManualClock(START)
        gate = AdmissionGate(1, 5, clock)
        now = clock.monotonic()
        await gate.enter(5, now + 100)
        waiting = asyncio.create_task(gate.enter(5, now + 50))
        await asyncio.sleep(0)
        clock.advance(60.0)
        gate.leave()
        with self.assertRaisesRegex(RequestRefused, 'until its deadline'):
            await waiting

    async def test_full_queue_is_told(self) -> None:
        clock = ManualClock(START)
        gate = AdmissionGate(1, 0, clock)
        now = clock.monotonic()
        await gate.enter(5, now + 100)
        with self.assertRaisesRegex(RequestRefused, 'queue full'):
            await gate.enter(5, now + 100)


class TestRates(unittest.TestCase):
    def test_bucket_keeps_its_rate(self) -> None:
        bucket = TokenBucket(10.0, 5.0, 0.0)
        passed = sum(bucket.take(step * 0.01) == 0 for step in range(1000))
        self.assertAlmostEqual(passed, 105, delta=1)
        self.assertLessEqual(bucket.take(10.0), 0.1)

    def test_limits_are_shared_by_live_routers(self) -> None:
        limits = WorkspaceLimits(ManualClock(START))
        workspace = Workspace(
            'daily', (), (), requests_per_second=1e6, concurrent_requests=8
        )
        for _ in range(2):
            limits.enter(workspace, 4)
        with self.assertRaises(RequestRefused) as caught:
            limits.enter(workspace, 4)
        self.assertGreater(caught.exception.retry_after, 0)
        limits.leave(workspace)
        limits.enter(workspace, 4)

    def test_rate_is_shared_by_live_routers(self) -> None:
        clock = ManualClock(START)
        limits = WorkspaceLimits(clock)
        workspace = Workspace('daily', (), (), requests_per_second=40.0)
        passed = 0
        for _ in range(1000):
            clock.advance(0.01)
            try:
                limits.enter(workspace, 4)
            except RequestRefused as refused:
                self.assertGreater(refused.retry_after, 0)
                continue
            limits.leave(workspace)
            passed += 1
        # A quarter of the two-second burst and of the rate over ten seconds.
        self.assertAlmostEqual(passed, 120, delta=3)

    def test_retries_stay_a_share_of_the_traffic(self) -> None:
        budget = RetryBudget(0.1)
        retries = 0
        for _ in range(1000):
            budget.note_request()
            retries += budget.take()
        self.assertLessEqual(retries, 110)


class TestBreaker(unittest.TestCase):
    def fail_until_open(self, breaker: Breaker, now: float) -> None:
        for _ in range(FAILURE_THRESHOLD):
            breaker.note_failure(now)
        self.assertIs(breaker.state, BreakerState.OPEN)

    def test_opens_tries_once_and_closes(self) -> None:
        breaker = Breaker()
        self.fail_until_open(breaker, 0.0)
        self.assertFalse(breaker.allows(0.1))
        self.assertTrue(breaker.allows(FIRST_OPEN_SECONDS))
        breaker.note_sent(FIRST_OPEN_SECONDS)
        self.assertFalse(breaker.allows(FIRST_OPEN_SECONDS))
        breaker.note_success()
        self.assertTrue(breaker.allows(FIRST_OPEN_SECONDS))

    def test_failed_trials_wait_longer_up_to_a_bound(self) -> None:
        breaker = Breaker()
        now = 0.0
        self.fail_until_open(breaker, now)
        delays = []
        for _ in range(10):
            started = now
            while not breaker.allows(now):
                now += 0.25
            delays.append(now - started)
            breaker.note_sent(now)
            breaker.note_failure(now)
        self.assertEqual(delays, sorted(delays))
        self.assertEqual(delays[-1], MAX_OPEN_SECONDS)

    def test_trial_whose_outcome_is_lost_is_made_again(self) -> None:
        breaker = Breaker()
        self.fail_until_open(breaker, 0.0)
        self.assertTrue(breaker.allows(1.0))
        breaker.note_sent(1.0)
        self.assertTrue(breaker.allows(1.0 + FIRST_OPEN_SECONDS))


if __name__ == '__main__':
    unittest.main()
