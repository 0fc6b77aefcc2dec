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
"""Soak: callers of routers that are cut off are served like all others.

Four routers lose their links to all upstreams in random sets, ways and times,
and are stopped and started meanwhile. From three seconds after a cut began,
callers of the routers that it struck must not be served far worse than those
of the others; no request that may not be repeated runs twice; no refusal that
promises that a request did not run is wrong; no stream has a gap.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_cut_soak --seeds 20
"""

import sys
import unittest

from tests.support.cut_soak import CutOutcome
from tests.support.cut_soak import run_seed
from tests.support.router_soak import run_command_line

SEEDS = (1,)


def format_outcome(outcome: CutOutcome) -> str:
    """Return a one-line summary of an outcome."""
    served = ', '.join(
        f'{struck:.2f}/{others:.2f}' for struck, others in outcome.served
    )
    return (
        f'seed {outcome.seed}: {outcome.tries} tries, {outcome.spells} cuts,'
        f' served at struck routers and others {served} {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_callers_are_served_alike_whichever_router_they_meet(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await run_seed(seed)
                self.assertEqual(outcome.faults, [], format_outcome(outcome))
                self.assertTrue(outcome.served)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
