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

"""Tests of the reasons and refusals of requests that were cut."""

import asyncio
import unittest

from lifttrestle.errors import CallerGone
from lifttrestle.errors import CutByStop
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.refusal.body import build_refusal
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.router.cut import build_cut_refusal
from lifttrestle.internal.router.cut import CutCause
from lifttrestle.internal.router.cut import describe_outcome
from lifttrestle.internal.router.cut import find_cut_cause
from lifttrestle.internal.router.planned_stop import PlannedStop


class TestCut(unittest.TestCase):
    def test_each_cause_has_its_own_outcome(self) -> None:
        gone = CallerGone('the caller stopped reading')
        cancelled = asyncio.CancelledError()
        for error, stopping, expected in (
            (gone, False, CutCause.CALLER_GONE),
            (gone, True, CutCause.CALLER_GONE),
            (cancelled, True, CutCause.STOP),
            (cancelled, False, CutCause.CANCELLED),
        ):
            with self.subTest(error=error, stopping=stopping):
                cause = find_cut_cause(error, stopping)
                self.assertIs(cause, expected)
                outcome = describe_outcome(error, stopping)
                self.assertEqual(outcome, expected.value)

    def test_failures_and_faults_are_logged_as_they_are(self) -> None:
        lost = UpstreamLost('it broke off')
        self.assertEqual(describe_outcome(lost, True), 'it broke off')
        fault = describe_outcome(KeyError('x'), True)
        self.assertEqual(fault, "fault: KeyError('x')")


class TestCutRefusal(unittest.TestCase):
    def test_only_requests_that_did_not_run_may_be_sent_again(self) -> None:
        for ran in Execution:
            refused = build_cut_refusal(ran)
            answer = build_refusal(refused, 'id')
            headers = dict(answer.headers)
            not_run = ran is Execution.NOT_RUN
            with self.subTest(ran=ran):
                self.assertEqual(answer.status, 503 if not_run else 504)
                self.assertIs(refused.ran, ran)
                self.assertEqual('retry-after' in headers, not_run)

    def test_detached_request_is_never_reported_as_not_run(self) -> None:
        progress = RequestProgress()
        progress.apply(RequestEvent.ADMIT)
        self.assertIs(progress.execution, Execution.NOT_RUN)
        progress.detached = True
        self.assertIs(progress.execution, Execution.UNKNOWN)


class TestPlannedStop(unittest.IsolatedAsyncioTestCase):
    async def wait_forever(self, stop: PlannedStop) -> None:
        async with stop.enforce_deadline():
            await asyncio.Event().wait()

    async def test_current_and_later_requests_are_ended(self) -> None:
        stop = PlannedStop()
        running = asyncio.create_task(self.wait_forever(stop))
        await asyncio.sleep(0)
        stop.end_requests_in(600.0)
        await asyncio.sleep(0)
        self.assertFalse(running.done())
        stop.end_requests_in(0.0)
        with self.assertRaises(CutByStop):
            await running
        with self.assertRaises(CutByStop):
            await self.wait_forever(stop)
        self.assertEqual(stop.cut_requests, 2)

    async def test_other_exceptions_are_passed_on(self) -> None:
        stop = PlannedStop()
        with self.assertRaises(TimeoutError):
            async with stop.enforce_deadline():
                raise TimeoutError
        running = asyncio.create_task(self.wait_forever(stop))
        await asyncio.sleep(0)
        running.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await running
        self.assertEqual(stop.cut_requests, 0)


if __name__ == '__main__':
    unittest.main()
