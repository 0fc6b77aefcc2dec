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

"""A soak test of the retry budget, with router processes.

Upstreams reject most requests for some seconds. Routers are killed and started
again, or suspended, one or several or all at once. Retries are counted at the
upstreams: no window has more of them than the operators allow to all routers
together.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_retry_soak --seeds 50
"""

import sys
import unittest

from tests.support.retry_soak import RetryOutcome
from tests.support.retry_soak import run_seed
from tests.support.router_soak import run_command_line

SEEDS = (1, 2)


def format_outcome(outcome: RetryOutcome) -> str:
    """Return a one-line summary of an outcome."""
    return (
        f'seed {outcome.seed}: {outcome.sent} requests,'
        f' {outcome.served} served, {outcome.retries} retries, worst window'
        f' {outcome.worst:.2f} of the allowed {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_regression_restarted_routers_exceeded_the_retry_budget(
        self,
    ):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await run_seed(seed)
                self.assertEqual(outcome.faults, [], format_outcome(outcome))
                self.assertGreater(outcome.retries, 0)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
