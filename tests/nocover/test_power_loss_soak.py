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

"""A soak test of deployments whose routers all lose power and return.

The store, replicas, routers and callers are processes; see
``tests.support.power_loss.report`` for the rules.

To run more seeds by hand, and larger deployments; the exit code is 1 if a rule
was broken::

    python -m tests.nocover.test_power_loss_soak --seeds 50 --routers 76
"""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import sys
import unittest

from tests.support.power_loss.layout import choose_network
from tests.support.power_loss.layout import Layout
from tests.support.power_loss.report import Outcome
from tests.support.power_loss.soak import draw_plan
from tests.support.power_loss.soak import Plan
from tests.support.power_loss.soak import PowerLoss
from tests.support.power_loss.soak import run_plan

SMALL = Layout(
    choose_network(),
    routers=9,
    engines=9,
    load=0.08,
    caller_processes=1,
    replica_processes=3,
)
# Longer than a call to the store may usually take, until the end.
SLOW_STORE = Plan((PowerLoss(0.0, 1.5),), 1.2, 60.0)
# It bears 12 calls a second, twice as many as in calm.
BUSY_STORE = Plan((PowerLoss(0.0, 1.5),), 0.0, 60.0, store_busy=0.08)


def format_outcome(outcome: Outcome) -> str:
    """Return the outcome as text."""
    lines = [
        *outcome.faults,
        f'served {outcome.before} before, {outcome.after} after; half and all'
        f' routers were ready after {outcome.ready_seconds} s',
        *outcome.windows,
    ]
    return '\n  '.join(lines)


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_service_returns_although_the_store_is_slow(self):
        outcome = await run_plan(SMALL, SLOW_STORE)
        self.assertEqual(outcome.faults, [], format_outcome(outcome))
        self.assertGreater(outcome.before, 0.9)

    async def test_regression_reads_that_were_sent_again_overloaded_the_store(
        self,
    ):
        outcome = await run_plan(SMALL, BUSY_STORE)
        self.assertEqual(outcome.faults, [], format_outcome(outcome))
        self.assertGreater(outcome.after, 0.9, format_outcome(outcome))

    async def test_service_returns_after_losses_in_series(self):
        outcome = await run_plan(SMALL, draw_plan(random.Random('plan 1')))
        self.assertEqual(outcome.faults, [], format_outcome(outcome))
        self.assertGreater(outcome.before, 0.9)


def main() -> int:
    """Run the seeds that the command line selects; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--routers', type=int, default=SMALL.routers)
    parser.add_argument('--load', type=float, default=SMALL.load)
    parser.add_argument('--cores', type=int, default=0)
    parser.add_argument('--first-core', type=int, default=0)
    parser.add_argument('--folder', type=pathlib.Path)
    parser.add_argument('--calm', action='store_true', help='one loss only')
    parser.add_argument('--delay', type=float, help='of the store')
    options = parser.parse_args()
    layout = dataclasses.replace(
        SMALL,
        routers=options.routers,
        load=options.load,
        cores=options.cores,
        first_core=options.first_core,
    )
    if options.routers > SMALL.routers:
        layout = dataclasses.replace(
            layout, engines=45, caller_processes=4, replica_processes=16
        )
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        plan = draw_plan(random.Random(f'plan {seed}'))
        if options.calm:
            plan = Plan((PowerLoss(0.0, 1.5),), options.delay or 0.0, 60.0)
        folder = options.folder and options.folder / str(seed)
        seeded = dataclasses.replace(layout, seed=seed)
        outcome = asyncio.run(run_plan(seeded, plan, folder))
        broken += bool(outcome.faults)
        print(f'seed {seed} {plan}\n  {format_outcome(outcome)}', flush=True)
    print(f'{broken} of {options.seeds} seeds broke a rule')
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(main())
