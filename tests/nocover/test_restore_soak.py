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

"""Soak: a store that is restored from older copies, over routers that die.

Four router processes that are killed, started and paused read a store that
comes back as a copy of up to five seconds ago, again and again, while the
operator adds routes and revokes keys and upstreams drain and leave. Judged by
what callers and upstreams saw: a route is not refused two seconds after its
version was acknowledged, and never again by a router that has served it; a
revoked key does not work after five seconds; an upstream that has said that
it leaves, or is gone, gets nothing after two seconds. For the two bounds of
two seconds, disturbances of the store and of the router count three seconds
longer.

More seeds by hand; the exit code is 1 if a rule was broken::

    python -m tests.nocover.test_restore_soak --seeds 20
"""

import sys
import unittest

from tests.support.restore_play import play
from tests.support.restore_play import RestoreOutcome
from tests.support.router_play import play_by_hand

SEEDS = (1, 2)


def tell_figures(outcome: RestoreOutcome) -> str:
    """Return one line on a play."""
    return (
        f'seed {outcome.seed}: {outcome.calls} calls, {outcome.served} served,'
        f' {outcome.refused} refused, {outcome.unanswered} without an answer,'
        f' {outcome.restores} restores, {outcome.changes} changes,'
        f' {outcome.leaves} leaves {outcome.faults or ""}'
    )


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_acknowledged_is_undone_by_restores(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = await play(seed)
                self.assertEqual(outcome.faults, [], tell_figures(outcome))
                self.assertGreater(outcome.restores, 0)
                self.assertGreater(outcome.leaves, 0)
                self.assertGreater(outcome.served, 0)


if __name__ == '__main__':
    sys.exit(play_by_hand(play, tell_figures))
