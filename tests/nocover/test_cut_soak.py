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
promises that a request did not run is wrong; no stream has a gap; no router
that runs refuses a connection or closes it with the request unread.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_cut_soak --seeds 20
"""

import dataclasses
import sys
import unittest

from lifttrestle.internal.http.answer import Answer
from tests.support.cut_fleet import KINDS
from tests.support.cut_soak import CutOutcome
from tests.support.cut_soak import find_faults
from tests.support.cut_soak import run_seed
from tests.support.cut_soak import Try
from tests.support.router_soak import run_command_line

SEEDS = (1,)
ONCE = KINDS[1]


def format_outcome(outcome: CutOutcome) -> str:
    """Return a one-line summary of an outcome."""
    served = ', '.join(
        f'{struck:.2f}/{others:.2f}' for struck, others in outcome.served
    )
    return (
        f'seed {outcome.seed}: {outcome.tries} tries, {outcome.spells} cuts,'
        f' served at struck routers and others {served} {outcome.faults or ""}'
    )


class TestChecks(unittest.TestCase):
    def test_request_that_was_closed_unread_is_a_fault(self):
        item = Try('r', 'r-1', ONCE, 0.0, None)
        self.assertEqual(find_faults(item, 0), ['r-1 was closed unread'])
        self.assertEqual(find_faults(item, 1), [])
        stopped = dataclasses.replace(item, is_router_up=False)
        self.assertEqual(find_faults(stopped, 0), [])

    def test_request_that_ran_twice_is_a_fault(self):
        item = Try('r', 'r-1', ONCE, 0.0, None)
        self.assertEqual(find_faults(item, 2), ['r-1 ran 2 times'])

    def test_refusal_that_is_wrong_is_a_fault(self):
        item = Try('r', 'r-1', ONCE, 0.0, Answer(503, (), b''))
        self.assertEqual(find_faults(item, 0), [])
        self.assertEqual(find_faults(item, 1), ['r-1 ran, answered 503'])


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_callers_are_served_alike_whichever_router_they_meet(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await run_seed(seed)
                self.assertEqual(outcome.faults, [], format_outcome(outcome))
                self.assertTrue(outcome.served)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
