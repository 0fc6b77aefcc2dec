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

"""Soak: limits that upstreams name, over routers that die and are paused.

Five upstreams name limits from none to ten a second, change them and take
them back, and end and start again, before four router processes that are
killed, started and paused, and a store that does not answer writes at times.
Judged by what callers and upstreams saw: from three seconds after an upstream
began to name limits, and half a second after it named another, no four
seconds hold more than one and a half times the limit, and five, from routers
that were not paused lately, whether they had passed such an answer on or not.

More seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_limit_soak --seeds 20
"""

import sys
import unittest

from tests.support.limit_soak import LimitOutcome
from tests.support.limit_soak import play
from tests.support.router_play import play_by_hand

SEEDS = (1, 2)


def tell_figures(outcome: LimitOutcome) -> str:
    """Return one line on a play."""
    return (
        f'seed {outcome.seed}: {outcome.calls} calls, {outcome.served} served,'
        f' {outcome.refused} refused, {outcome.unanswered} without an answer,'
        f' {outcome.windows} windows, the fullest {outcome.fullest:.2f} of'
        f' what is allowed {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_no_window_holds_more_than_limits_allow(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await play(seed)
                self.assertEqual(outcome.faults, [], tell_figures(outcome))
                self.assertGreater(outcome.windows, 0)
                self.assertGreater(outcome.served, 0)


if __name__ == '__main__':
    sys.exit(play_by_hand(play, tell_figures))
