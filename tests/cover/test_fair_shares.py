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

"""Fair shares of engine time: the decisions, and simulated loads."""

import dataclasses
import functools
import math
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.path.upstream_search import _check_queue
from lifttrestle.internal.fleet.policy.fair_shares import compute_level
from lifttrestle.internal.fleet.policy.fair_shares import compute_retry_seconds
from lifttrestle.internal.fleet.policy.fair_shares import find_level
from lifttrestle.internal.fleet.policy.fair_shares import judge_standing
from lifttrestle.internal.fleet.policy.fair_shares import WorkspaceDemand
from lifttrestle.internal.fleet.policy.load_view import WorkspaceStanding
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import decide_shedding
from lifttrestle.internal.fleet.state.catalogue import EngineConfig
from lifttrestle.internal.fleet.state.catalogue import Service
from tests.support.load_simulation import Outcome
from tests.support.share_simulation import HOT
from tests.support.share_simulation import ShareScenario
from tests.support.share_simulation import ShareSimulation
from tests.support.share_simulation import WORKSPACES

OVER = WorkspaceStanding(6.0, 3.0, 2.0)
WITHIN = WorkspaceStanding(1.0, 1.0, 2.0)
OTHERS = [workspace.name for workspace in WORKSPACES if workspace is not HOT]
MIN_SHARE_IN_TIME = 0.95
# Prompts and rate of deployment A, with engines for 1.11 times the usual load.
LOAD = ShareScenario(
    seconds=8.0,
    engines=5,
    rate=388.0,
    long_share=0.078,
    long_tokens=3720,
    short_tokens=383,
    prefill_seconds=18e-6,
    target_seconds=0.863,
)
seconds = st.floats(0.0, 100.0)
demands = st.lists(
    st.builds(
        lambda weight, asked, sent: WorkspaceDemand(
            weight, asked, asked * sent
        ),
        st.floats(0.1, 100.0),
        seconds,
        st.floats(0.0, 1.0),
    ),
    min_size=1,
    max_size=20,
)


class TestShares(unittest.TestCase):
    """Guards against shares that don't add up or are exceeded unnoticed."""

    @settings(max_examples=200)
    @given(demands)
    def test_shares_are_max_min_fair(self, given_demands):
        level = compute_level(given_demands)
        shares = [
            min(demand.wanted_seconds, level * demand.weight)
            for demand in given_demands
        ]
        used = sum(demand.used_seconds for demand in given_demands)
        self.assertTrue(math.isclose(sum(shares), used, abs_tol=1e-6))
        for demand, share in zip(given_demands, shares, strict=True):
            self.assertLessEqual(share, demand.wanted_seconds)

    @settings(max_examples=200)
    @given(demands, seconds)
    def test_workspace_within_its_share_is_never_over(self, others, asked):
        own = WorkspaceDemand(1.0, asked, asked)
        level = compute_level([*others, own])
        standing = judge_standing(own, level, 0.0)
        self.assertTrue(asked > level or not standing.is_over)

    def test_unused_share_goes_to_those_with_demand(self):
        small = WorkspaceDemand(3.0, 1.0, 1.0)
        large = WorkspaceDemand(1.0, 9.0, 5.0)
        self.assertEqual(compute_level([small, large]), 5.0)
        self.assertTrue(judge_standing(large, 5.0, 0.1).is_over)
        self.assertFalse(judge_standing(small, 5.0, 0.1).is_over)

    def test_nobody_is_over_while_all_demand_is_met(self):
        met = [WorkspaceDemand(1.0, 9.0, 9.0), WorkspaceDemand(1.0, 1.0, 1.0)]
        level = find_level(met)
        self.assertFalse(judge_standing(met[0], level, 1.0).is_over)

    def test_only_workspace_is_not_over(self):
        alone = WorkspaceDemand(1.0, 9.0, 3.0)
        level = find_level([alone])
        self.assertFalse(judge_standing(alone, level, 1.0).is_over)

    def test_time_to_come_back_is_that_of_the_average(self):
        self.assertAlmostEqual(
            compute_retry_seconds(OVER), 2.0 * math.log(1.5)
        )
        self.assertEqual(compute_retry_seconds(WITHIN), 0.4)
        far = WorkspaceStanding(9.0, 9.0, 0.0)
        self.assertEqual(compute_retry_seconds(far), 2.0)


class TestDecision(unittest.TestCase):
    """Guards against refusals by share where no engine time is short."""

    def test_limit_applies_to_workspaces_over_their_share(self):
        self.assertIsNone(decide_shedding(0.2, 0.15, 0.6, OVER))
        self.assertTrue(decide_shedding(0.2, 0.16, 0.6, OVER).is_over_share)
        self.assertIsNone(decide_shedding(0.47, 0.4, 0.6, WITHIN))
        self.assertFalse(decide_shedding(0.5, 0.4, 0.6, WITHIN).is_over_share)

    def check_queue(self, token_bytes, cap):
        """Let a request of a workspace over its share wait for 0.4 s."""
        engine = EngineConfig(12, 146_048, ('m',), token_bytes)
        request = mock.MagicMock(
            sends=0, service='s', cost_seconds=None, is_restricted=False
        )
        request.facts.generation.output_tokens = 10
        request.admitted.route.target_seconds = 1.0
        request.admitted.workspace_name = HOT.name
        request.admitted.workspace = dataclasses.replace(HOT, cap=cap)
        request.admitted.catalogue.services = {'s': Service('s', 1, engine)}
        request.parts.get_pace.return_value.prefill_seconds = 1e-5
        request.parts.workspace_use.get_standing.return_value = OVER
        try:
            _check_queue(request, Placement(mock.Mock(), '', 0.5, 0.4, 500))
        except RequestRefused as refused:
            return request, refused
        return request, None

    def test_refusal_is_logged_and_counted(self):
        request, refused = self.check_queue(327_680.0, HOT.cap)
        self.assertAlmostEqual(refused.retry_after, 2.0 * math.log(1.5))
        request.event_buffer.add.assert_called_once_with(
            'fair_share',
            asked_ms_per_s=6000,
            used_ms_per_s=3000,
            share_ms_per_s=2000,
            queue_ms=400,
            limit_ms=250,
        )
        request.parts.metrics.count_over_share.assert_called_once_with('w0')
        use = request.parts.workspace_use
        use.note_asked.assert_called_once()
        self.assertAlmostEqual(use.note_asked.call_args.args[1], 0.0175)

    def test_other_services_and_workspaces_without_cap_are_unaffected(self):
        for token_bytes, cap in ((32_768.0, HOT.cap), (327_680.0, None)):
            request, refused = self.check_queue(token_bytes, cap)
            self.assertIsNone(refused)
            self.assertEqual(request.parts.workspace_use.mock_calls, [])


@functools.cache
def simulate(**fields):
    """Return a simulation that has run."""
    simulation = ShareSimulation(dataclasses.replace(LOAD, **fields), 1)
    simulation.run()
    return simulation


def tearDownModule():
    # Full collections of the simulations would stop later tests for seconds.
    simulate.cache_clear()


class PlayedCase(unittest.TestCase):
    """Checks the outcome for the workspaces at their usual load."""

    def check_others(self, routers, **fields):
        """Check the requests in time and the utilization of the engines."""
        fleet = simulate(routers=routers, **fields)
        for name in OTHERS:
            # Without the hot one, at most all requests are in time.
            outcomes = fleet.by_workspace[name]
            share = outcomes[Outcome.IN_TIME] / outcomes.total()
            self.assertGreaterEqual(share, MIN_SHARE_IN_TIME, name)
        # The engines have work all the time without shares.
        self.assertLess(fleet.idle_seconds, 0.05 * fleet.engine_seconds)
        return fleet

    def check_better(self, fleet, **fields):
        """Check that the others are served better than without shares."""
        without = simulate(shares=False, **fields)
        self.assertGreater(count_in_time(fleet), count_in_time(without))


def count_in_time(fleet):
    """Return the requests in time of the workspaces at their usual load."""
    return sum(fleet.by_workspace[name][Outcome.IN_TIME] for name in OTHERS)


class TestPlayedLoad(PlayedCase):
    """Guards the others against a workspace at 6 times its usual load."""

    def test_others_are_served_at_8_routers(self):
        self.check_others(8)

    def test_others_are_served_at_76_routers(self):
        self.check_others(76, seconds=7.0)

    def test_others_are_served_at_350_routers(self):
        self.check_others(350, seconds=7.0)

    def test_hot_one_at_one_of_8_routers(self):
        self.check_others(8, one_router=True)

    def test_hot_one_at_one_of_76_routers(self):
        self.check_others(76, one_router=True, seconds=7.0)

    def test_hot_one_at_one_of_350_routers(self):
        self.check_others(350, one_router=True, seconds=7.0)

    def test_hot_one_alone_is_served_as_before(self):
        for factor in (6.0, 20.0):
            fields = {'hot_factor': factor, 'others': False, 'seconds': 7.0}
            before = simulate(shares=False, **fields)
            alone = simulate(**fields)
            self.assertEqual(alone.by_workspace, before.by_workspace)


class TestFailures(PlayedCase):
    """Guards the others while news is missing, late or incomplete."""

    def test_killed_router(self):
        self.check_others(8, killed_at=5.5)

    def test_news_that_is_two_seconds_late(self):
        # The averages of the others exist two seconds later.
        self.check_others(
            8, news_age_seconds=2.0, seconds=10.0, counted_from=7.0
        )

    def test_partition_leaves_decisions_by_own_observations(self):
        fleet = simulate(routers=8, news=False)
        self.check_better(fleet, routers=8)

    def test_no_shares_until_averages_exist_after_a_start_of_all(self):
        fleet = simulate(routers=8, restarted_at=4.0, seconds=9.0)
        early = [at for at in fleet.over_share if 4.0 <= at < 6.0]
        self.assertEqual(early, [])
        self.assertTrue([at for at in fleet.over_share if at >= 6.0])
        self.check_better(fleet, routers=8, seconds=9.0)


if __name__ == '__main__':
    unittest.main()
