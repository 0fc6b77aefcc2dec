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

"""Soak of planned stops: router processes that stop within a grace period.

Routers are stopped one by one or concurrently, paused, sent SIGHUP, killed
and started again at the same address, with a store that is slow or does not
answer writes, while callers send plain requests and streams over keep-alive
and new connections. ``soak_rules`` checks what callers and upstreams observed:

a. a request accepted after the signal completes or is refused as not run;
b. a request refused as not run ran nowhere, and a request that may run only
   once never runs twice;
c. streams are complete, in order and without duplicates, and a cut stream is
   never taken for a complete one;
d. a router that was not paused exits within its grace period, with 0 if it
   neither cut nor gave up a request, else with 1;
e. a request accepted before the signal is given up only at the end of the
   grace period.

The seed determines the scenario, but not the timing of the machine. To run
more seeds, from ``--first`` on and up to ``--at-once`` concurrently; the exit
code is 1 if a rule was broken::

    python -m tests.nocover.test_fleet_stop_soak --seeds 50

``--regressions`` runs the cases that broke a rule before.
"""

import argparse
import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import sys
import unittest

from tests.support.soak_records import AttemptResult
from tests.support.stop_soak import Case
from tests.support.stop_soak import Outcome
from tests.support.stop_soak import run_case

CASES = (Case(1), Case(2), Case(3))
ESTIMATED = {'grace': 3.0, 'limit': 2.5, 'calm': 3.0, 'late': True}
REGRESSIONS = (
    # Requests were accepted after the signal because of an estimate from the
    # duration of the latest requests of the route, and cut; 101 also failed as
    # 110 did. In 103 a SIGHUP during the exit of the interpreter terminated
    # the process.
    Case(101, **ESTIMATED),
    Case(103, **ESTIMATED),
    Case(109, **ESTIMATED),
    Case(111, **ESTIMATED),
    Case(115, **ESTIMATED),
    # A keep-alive connection was closed in the notice period, after an answer
    # that had begun before the signal and so did not announce the close.
    Case(110, **ESTIMATED),
)
SHOWN_FAULTS = 10
SHOWN_LINES = 40


def format_faults(outcome: Outcome) -> str:
    """Return the case, its broken rules and the events before them."""
    lines = [f'{outcome.case}', *outcome.faults[:SHOWN_FAULTS]]
    lines.append(f'{len(outcome.faults)} in all; actions of the soak:')
    lines.extend(outcome.record.events)
    for name, log in outcome.logs.items():
        if any(f' {name} ' in fault for fault in outcome.faults):
            events = [line for line in log if '"router.' in line]
            lines += [f'log of {name}:', *events[-SHOWN_LINES:]]
    return '\n'.join(lines)


def format_outcome(outcome: Outcome) -> str:
    """Return a one-line summary of an outcome."""
    record = outcome.record
    kinds = collections.Counter(
        str(item.status)
        if item.result is AttemptResult.COMPLETE
        else item.result.value
        for item in record.attempts
    )
    served = count_served_late(outcome)
    not_paused = [start for start in record.starts if not start.paused]
    times = [
        start.exited - start.signalled
        for start in not_paused
        if start.exited and start.signalled
    ]
    return (
        f'seed {outcome.case.seed}: {len(outcome.faults)} broken rules, stops'
        f' {len(record.starts)}, not paused {len(times)}, the slowest of these'
        f' {max(times, default=0.0):.3f} s, served but sent after the'
        f' signal {served}, {dict(sorted(kinds.items()))}'
    )


def count_served_late(outcome: Outcome) -> int:
    """Return the number of served requests sent after the stop signal."""
    return sum(
        item.served and item.began > item.router_start.announced
        for item in outcome.record.attempts
        if item.router_start.announced
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_planned_stops_keep_the_rules(self) -> None:
        await self.expect_no_faults(CASES)

    async def test_regression_cases_that_broke_a_rule_once(self) -> None:
        for first in range(0, len(REGRESSIONS), len(CASES)):
            await self.expect_no_faults(
                REGRESSIONS[first : first + len(CASES)]
            )

    async def expect_no_faults(self, cases: Sequence[Case]) -> None:
        """Run some cases concurrently."""
        outcomes = await asyncio.gather(*(run_case(case) for case in cases))
        for outcome in outcomes:
            with self.subTest(case=outcome.case):
                if outcome.faults:
                    self.fail(format_faults(outcome))
                self.assertGreater(count_served_late(outcome), 0)


async def run_cases(cases: Sequence[Case], at_once: int) -> int:
    """Run cases, print each outcome; return how many broke a rule."""
    semaphore = asyncio.Semaphore(at_once)

    async def run_one(case: Case) -> bool:
        async with semaphore:
            outcome = await run_case(case)
        print(format_outcome(outcome), flush=True)
        if outcome.faults:
            print(format_faults(outcome), flush=True)
        return bool(outcome.faults)

    broken = await asyncio.gather(*(run_one(case) for case in cases))
    print(f'{sum(broken)} of {len(cases)} seeds broke a rule')
    return sum(broken)


def main() -> int:
    """Run the cases that the command line selects."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--at-once', type=int, default=3)
    parser.add_argument('--regressions', action='store_true')
    parser.add_argument('--grace', type=float, default=2.0)
    parser.add_argument('--limit', type=float, default=8.0)
    parser.add_argument('--calm', type=float, default=0.2)
    parser.add_argument('--late', action='store_true')
    parser.add_argument('--slack', type=float, default=1.5)
    options = parser.parse_args()
    cases: Sequence[Case] = REGRESSIONS
    if not options.regressions:
        seeds = range(options.first, options.first + options.seeds)
        fields = dataclasses.fields(Case)[1:]
        rest = [getattr(options, field.name) for field in fields]
        cases = [Case(seed, *rest) for seed in seeds]
    return int(asyncio.run(run_cases(cases, options.at_once)) > 0)


if __name__ == '__main__':
    sys.exit(main())
