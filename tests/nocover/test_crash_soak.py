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

"""A soak of requests that crash upstreams, with real router processes.

Two such requests come again and again, at any of three routers, which are
killed and started again, one, two or all at once, before a store that does not
answer writes at times, while upstreams also die by themselves in herds, under
popular and single requests that are sound. Judged by what callers and
upstreams saw:

a. after three upstreams have crashed under a request, and three seconds more,
   it reaches three others at the most;
b. no sound request is held, but for one that many ask for, whose first three
   upstreams crashed before it ended well anywhere: that one, for 4 s.

More seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_crash_soak --seeds 20
"""

import sys
import unittest

from tests.support.crash_play import CrashOutcome
from tests.support.crash_play import play
from tests.support.router_play import play_by_hand

# In 10 what many ask for was held for good: every upstream crashed under other
# requests in the first 0.6 s, three of them under it, too.
SEEDS = (1, 10)


def tell_figures(outcome: CrashOutcome) -> str:
    """Return one line on a play."""
    sent = sum(outcome.sent.values())
    return (
        f'seed {outcome.seed}: {outcome.crashes} upstreams crashed, {sent}'
        f' fatal sends, late {sorted(outcome.late.values())},'
        f' {outcome.served} of {outcome.sound} sound requests served,'
        f' {sum(map(len, outcome.wronged.values()))} held'
        f' {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_dangerous_requests_are_held_and_no_others(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await play(seed)
                self.assertEqual(outcome.faults, [], tell_figures(outcome))
                self.assertGreater(outcome.served, 0)


if __name__ == '__main__':
    sys.exit(play_by_hand(play, tell_figures))
