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

"""A soak test of streams before engines of several software versions.

Callers begin streams at any of several router processes and resume those that
break off at another one. Routers are killed, stopped and frozen, engines crash
in mid-stream and are replaced by others of a new version, and the store at
times does not answer writes. The rules are checked by what callers received:

a. at most two streams hold events of several versions;
b. no stream has a gap or an event twice;
c. of 12 or more streams resumed at undisturbed routers while two engines of
   their version run, at least half the share of new streams continue.

To run more seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_version_soak --seeds 50
"""

from collections.abc import Awaitable
from collections.abc import Callable
import sys
import unittest

from tests.support.router_soak import run_command_line
from tests.support.version_soak import run_seed
from tests.support.version_soak import VersionOutcome

SEEDS = (1, 2)


def format_outcome(outcome: VersionOutcome) -> str:
    """Return a one-line summary of an outcome."""
    return (
        f'seed {outcome.seed}: {outcome.streams} streams,'
        f' {outcome.complete} complete, {outcome.mixed} mixed,'
        f' {outcome.crashes} crashes, {outcome.begun.served} of'
        f' {outcome.begun.tries} begun, {outcome.resumed.served} of'
        f' {outcome.resumed.tries} resumed {outcome.faults or ""}'
    )


async def check_seeds(
    case: unittest.TestCase, run: Callable[[int], Awaitable[VersionOutcome]]
) -> None:
    """Check that a soak breaks no rule, and that it has complete streams."""
    for seed in SEEDS:
        with case.subTest(seed=seed):
            outcome = await run(seed)
            case.assertEqual(outcome.faults, [], format_outcome(outcome))
            case.assertGreater(outcome.complete, 0)


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_streams_keep_their_software_version(self):
        await check_seeds(self, run_seed)


if __name__ == '__main__':
    sys.exit(run_command_line(run_seed, format_outcome))
