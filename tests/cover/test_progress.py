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

"""Tests that a request is reported as not run only if it was not run."""

import unittest

from hypothesis import given
from hypothesis import settings
import hypothesis.strategies as st

from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.exchange.progress import TRANSITIONS
from lifttrestle.internal.refusal.execution import Execution


class TestProgress(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=500)
    @given(st.lists(st.sampled_from(RequestEvent), max_size=20))
    def test_not_run_is_said_only_when_true(
        self, events: list[RequestEvent]
    ) -> None:
        progress = RequestProgress()
        # Number of attempts sent to an upstream and not declined.
        uncertain = 0
        for event in events:
            if (progress.state, event) not in TRANSITIONS:
                continue
            progress.apply(event)
            if event is RequestEvent.SEND:
                uncertain += 1
            if event is RequestEvent.DECLINED:
                uncertain -= 1
            reported_not_run = progress.execution is Execution.NOT_RUN
            self.assertFalse(reported_not_run and uncertain, events)


if __name__ == '__main__':
    unittest.main()
