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

"""Soak: reported limits are enforced while routers crash and are paused.

Five upstreams report limits from zero to ten per second, change and withdraw
them, and restart, behind four router processes that are killed, started and
paused, and a store that at times does not answer writes. The check uses what
callers and upstreams observed: from three seconds after an upstream began to
report limits, and half a second after it reported another one, no window of
four seconds may have more than one and a half times the limit plus five
requests from routers that were not paused recently, whether or not they had
received an answer with the limit.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_limit_soak --seeds 20
"""

import sys
import unittest

from tests.support.limit_soak import LimitOutcome
from tests.support.limit_soak import run_seed
from tests.support.router_soak import run_command_line

SEEDS = (1, 2)


def format_outcome(outcome: LimitOutcome) -> str:
    """Return a one-line summary of an outcome."""
    return (
        f'seed {outcome.seed}: {outcome.calls} calls, {outcome.served} served,'
        f' {outcome.refused} refused, {outcome.unanswered} without an answer,'
        f' {outcome.windows} windows, the fullest {outcome.peak:.2f} of'
        f' the allowed requests {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_window_has_more_requests_than_allowed(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await run_seed(seed)
                self.assertEqual(outcome.faults, [], format_outcome(outcome))
                self.assertGreater(outcome.windows, 0)
                self.assertGreater(outcome.served, 0)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
