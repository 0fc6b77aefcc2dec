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

"""Tests of the names of ends without a whole answer."""

import asyncio
import unittest

from lifttrestle.errors import CallerGone
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.router.cut import CutCause
from lifttrestle.internal.router.cut import find_cut_cause
from lifttrestle.internal.router.cut import name_attempt_end


class TestCut(unittest.TestCase):
    def test_each_cause_has_its_own_name(self) -> None:
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
                name = name_attempt_end(error, stopping)
                self.assertEqual(name, expected.value)

    def test_failure_and_fault_stay_what_they_are(self) -> None:
        lost = UpstreamLost('it broke off')
        self.assertEqual(name_attempt_end(lost, True), 'it broke off')
        fault = name_attempt_end(KeyError('x'), True)
        self.assertEqual(fault, "fault: KeyError('x')")


if __name__ == '__main__':
    unittest.main()
