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

"""Soak: a store restored from older copies while routers are killed.

Four router processes are killed, started and paused. Their store is
repeatedly restored from a copy that is up to five seconds old, while the
operator adds routes and revokes keys and upstreams drain and leave. The rules
apply to what callers and upstreams observe:

- a route is not refused from two seconds after its version was acknowledged,
  and never again by a router that has served it;
- a revoked key is not served after five seconds;
- no request is refused with 503 from one second after a disturbance;
- an upstream receives no request from two seconds after it began to drain or
  was removed.

After a disturbance of the store or the router, the time limits of one
and two seconds start again three seconds later.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_restore_soak --seeds 20
"""

import sys
import unittest

from tests.support.restore_soak import RestoreOutcome
from tests.support.restore_soak import run_seed
from tests.support.router_soak import run_command_line

SEEDS = (1, 2)


def format_outcome(outcome: RestoreOutcome) -> str:
    """Return a one-line summary of an outcome."""
    return (
        f'seed {outcome.seed}: {outcome.calls} calls, {outcome.served} served,'
        f' {outcome.refused} refused, {outcome.unanswered} without an answer,'
        f' {outcome.restores} restores, {outcome.changes} changes,'
        f' {outcome.departures} departures {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_acknowledged_is_undone_by_restores(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await run_seed(seed)
                self.assertEqual(outcome.faults, [], format_outcome(outcome))
                self.assertGreater(outcome.restores, 0)
                self.assertGreater(outcome.departures, 0)
                self.assertGreater(outcome.served, 0)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
