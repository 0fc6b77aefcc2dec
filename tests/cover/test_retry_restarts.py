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

"""Retries of many routers that are killed, stopped, replaced and cut off."""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from lifttrestle.internal.fleet.settings import Promises
from tests.support.models import run_model
from tests.support.retry_simulation import RetrySimulation

PROMISES = Promises(retry_slack=56.0)
# Routers, and requests a second of all of them.
SIZES = ((6, 108), (6, 20), (60, 200), (60, 30), (195, 550), (350, 20))
MOST = 0.9
CALM_SECONDS = 30.0
WINDOW_SECONDS = PROMISES.retry_window_seconds


def list_simulations(rejecting_seconds=0.0):
    """Yield a day for each size, after a calm time and some rejections."""
    for count, rate in SIZES:
        simulation = RetrySimulation(count, rate, PROMISES)
        simulation.run(CALM_SECONDS)
        simulation.rejecting = True
        simulation.run(rejecting_seconds)
        yield f'{count} routers, {rate} requests a second', simulation


class TestRestarts(unittest.TestCase):
    def check(self, disturb, rejecting_seconds=5.0):
        """Check that a disturbance breaks the budget at no size."""
        for name, simulation in list_simulations(rejecting_seconds):
            with self.subTest(name):
                disturb(simulation)
                simulation.run(1.5 * WINDOW_SECONDS)
                self.assertLessEqual(simulation.worst, 1.0)

    def test_regression_routers_killed_in_series_forgot_their_retries(self):
        def kill_in_series(simulation):
            for _ in range(4):
                simulation.kill(simulation.choose(MOST))
                simulation.run(1.0)
                simulation.start_stopped()
                simulation.run(1.5)

        self.check(kill_in_series)

    def test_regression_routers_killed_after_a_burst_forgot_it(self):
        def kill_and_start(simulation):
            simulation.kill(simulation.choose(MOST))
            simulation.run(1.0)
            simulation.start_stopped()

        self.check(kill_and_start, rejecting_seconds=0.25)

    def test_regression_all_killed_at_once_forgot_their_retries(self):
        def kill_all_twice(simulation):
            for _ in range(2):
                simulation.kill(simulation.running)
                simulation.start_stopped()
                simulation.run(2.0)

        self.check(kill_all_twice)

    def test_regression_replacements_under_other_names_spent_again(self):
        def replace_all(simulation):
            for _ in range(3):
                replaced = simulation.running
                simulation.stop(replaced)
                simulation.add(len(replaced))
                simulation.run(2.0)

        self.check(replace_all)

    def test_regression_rest_spent_the_shares_of_routers_that_left(self):
        def stop_half(simulation):
            simulation.stop(simulation.choose(0.5))

        self.check(stop_half, rejecting_seconds=0.25)

    def test_half_cut_off_and_counted_out(self):
        def count_out_half(simulation):
            simulation.count_out(simulation.choose(0.5))

        self.check(count_out_half)


SHARE = st.sampled_from((0.2, 0.5, 0.9, 1.0))
SECONDS = st.sampled_from((0.25, 0.5, 1.0, 2.5, 6.0))


class RestartMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        count=st.sampled_from((6, 8, 17, 60, 195, 350)),
        rate=st.sampled_from((0.1, 1.0, 5.0, 20.0)),
        seed=st.integers(0, 99),
    )
    def begin(self, count, rate, seed):
        self.day = RetrySimulation(count, rate * count, PROMISES, seed)
        self.day.run(CALM_SECONDS)

    @stateful.rule(rejecting=st.booleans(), seconds=SECONDS)
    def reject(self, rejecting, seconds):
        self.day.rejecting = rejecting
        self.day.run(seconds)

    @stateful.rule(share=SHARE, seconds=SECONDS)
    def kill(self, share, seconds):
        self.day.kill(self.day.choose(share))
        self.day.run(seconds)

    @stateful.rule(share=SHARE, seconds=SECONDS)
    def stop(self, share, seconds):
        self.day.stop(self.day.choose(share))
        self.day.run(seconds)

    @stateful.rule(seconds=SECONDS)
    def start(self, seconds):
        self.day.start_stopped()
        self.day.run(seconds)

    @stateful.rule(share=SHARE)
    def cut(self, share):
        for router in self.day.choose(share):
            router.cut = True

    @stateful.rule(seconds=SECONDS)
    def heal(self, seconds):
        for router in self.day.routers:
            router.cut = False
        self.day.run(seconds)

    @stateful.invariant()
    def budget_is_kept(self):
        if hasattr(self, 'day'):
            assert self.day.worst <= 1.0, self.day.worst


class TestRandomDays(unittest.TestCase):
    def test_budget_is_kept_whatever_ends_the_routers(self):
        run_model(RestartMachine, examples=60, steps=40)


class TestUse(unittest.TestCase):
    """How much of the allowance callers can use."""

    def test_most_of_it_is_used_while_all_is_rejected(self):
        for name, simulation in list_simulations(WINDOW_SECONDS):
            with self.subTest(name):
                simulation.run(3 * WINDOW_SECONDS)
                self.assertGreaterEqual(simulation.used, 0.8)
