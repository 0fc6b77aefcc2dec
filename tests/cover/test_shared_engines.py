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

"""Tests of the lease of loads at engines that have several models."""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.loads.engine_control import EngineState
from lifttrestle.internal.fleet.loads.weights_loader import WeightsLoader
from tests.cover.test_fleet_weights import LEASE_SECONDS
from tests.cover.test_fleet_weights import START
from tests.support.load_fleet import Engines
from tests.support.load_fleet import Router
from tests.support.memory_rows import MemoryRows
from tests.support.models import run_model

MODELS = {'e1': ('m',), 'e2': ('m', 'n'), 'e3': ('n',)}


class SharedEngines(Engines):
    """Engines with several models.

    :ivar versions: loaded version, by instance and model.
    """

    def __init__(self, time, models=None):
        super().__init__(time)
        self.models = dict(models or MODELS)
        self.versions = {
            (instance, model): 1
            for instance, models in self.models.items()
            for model in models
        }
        self.accepted = dict.fromkeys(self.models, 0)

    def list_models(self):
        """Return the models of each engine, by instance."""
        return self.models

    def read_state(self, instance):
        """Return the state that an engine reports."""
        weights = {
            model: self.versions[instance, model]
            for model in self.models[instance]
        }
        return EngineState(weights, False, self.accepted[instance], 0, 0)

    def load(self, instance, order):
        """Load the weights that an order names."""
        self.versions[instance, order.model] = order.version

    def list_turns(self):
        """Return the pairs of orders of two routers within a lease."""
        latest = {}
        turns = []
        for at, instance, order in self.log:
            before = latest.get(instance)
            if before is not None and before[1].holder != order.holder:
                if at - before[0] < LEASE_SECONDS:
                    turns.append((instance, before, (at, order)))
            latest[instance] = (at, order)
        return turns


class EarlierReleaseLoader(WeightsLoader):
    """Takes the lease of its model only, as the release before."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.lease.list_models = lambda model: (model,)


class SharedMachine(stateful.RuleBasedStateMachine):
    """Routers that hear late and load two models at the same engines."""

    loader_classes = (WeightsLoader,) * 3

    def __init__(self):
        super().__init__()
        self.time = ManualClock(START)
        self.rows = MemoryRows()
        self.engines = SharedEngines(self.time)
        self.routers = [
            Router(name, self.time, self.rows, self.engines, loader_class)
            for name, loader_class in zip('abc', self.loader_classes)
        ]
        self.version = 1

    @stateful.rule(model=st.sampled_from('mn'))
    def name_weights(self, model):
        self.version += 1
        for router in self.routers:
            router.name(self.version, model)

    @stateful.rule(index=st.integers(0, 2))
    def hear(self, index):
        self.routers[index].hear()

    @stateful.rule(index=st.integers(0, 2))
    def hear_and_act(self, index):
        self.routers[index].hear()
        self.routers[index].act()

    @stateful.rule(seconds=st.sampled_from((0.1, 0.7, 1.5, 3.5, 5.0, 9.0)))
    def wait(self, seconds):
        self.time.advance(seconds)

    @stateful.rule(index=st.integers(0, 2))
    def move_model(self, index):
        """Make one router read that an engine has another model too."""
        self.engines.models['e1'] = ('m', 'n')
        self.engines.versions.setdefault(('e1', 'n'), 1)
        self.routers[index].list_engine('e1', ('m', 'n'), version=9)

    @stateful.invariant()
    def holders_do_not_take_turns(self):
        assert not self.engines.list_turns()

    @stateful.invariant()
    def fences_grow(self):
        for instance in self.engines.models:
            fences = [
                order.fence
                for _, ordered, order in self.engines.log
                if ordered == instance
            ]
            assert fences == sorted(fences)


class MixedReleasesMachine(SharedMachine):
    """One of the routers is of the release before."""

    loader_classes = (WeightsLoader, EarlierReleaseLoader, WeightsLoader)


class EarlierReleaseMachine(SharedMachine):
    """Injected fault: all routers are of the release before."""

    loader_classes = (EarlierReleaseLoader,) * 3


class TestLoaders(unittest.TestCase):
    def test_orders_of_two_routers_to_an_engine_are_a_lease_apart(self):
        run_model(SharedMachine, 200, 30)

    def test_orders_of_two_releases_are_a_lease_apart(self):
        run_model(MixedReleasesMachine, 200, 30)

    def test_planted_lease_of_one_model_is_found(self):
        with self.assertRaises(AssertionError):
            run_model(EarlierReleaseMachine, 200, 30)


class TestSteps(unittest.TestCase):
    def setUp(self):
        self.time = ManualClock(START)
        self.rows = MemoryRows()

    def _run(self, engines, actors, steps=40):
        """Let routers load new weights of two models, each in its order."""
        routers = [
            Router(name, self.time, self.rows, engines, WeightsLoader)
            for name in 'ab'
        ]
        for router in routers:
            router.name(2, 'm')
            router.name(2, 'n')
        self.time.advance(60.0)
        for number in range(steps):
            for index in actors:
                routers[index].hear()
                routers[index].act()
            self.time.advance(0.5)
        return routers

    def test_regression_two_holders_ordered_at_one_engine_in_turn(self):
        engines = SharedEngines(self.time)
        first, second = (
            Router(name, self.time, self.rows, engines, WeightsLoader)
            for name in 'ab'
        )
        first.name(2, 'm')
        second.name(2, 'n')
        self.time.advance(60.0)
        for _ in range(40):
            for router in (first, second):
                router.hear()
                router.act()
            self.time.advance(0.25)
        self.assertEqual(engines.list_turns(), [])
        self.assertEqual(set(engines.versions.values()), {2})

    def test_all_models_are_loaded_whichever_router_acts(self):
        for actors in ((0,), (1,), (0, 1), (1, 0)):
            with self.subTest(actors=actors):
                self.setUp()
                engines = SharedEngines(self.time)
                self._run(engines, actors)
                self.assertEqual(set(engines.versions.values()), {2})

    def test_models_on_different_engines_have_different_holders(self):
        engines = SharedEngines(self.time, {'e1': ('m',), 'e2': ('n',)})
        first, second = self._run(engines, ())
        for router, model in ((first, 'm'), (second, 'n')):
            del router.view.target_weights['n' if model == 'm' else 'm']
            router.act()
        self.assertEqual(len(engines.log), 2)

    def test_group_holds_models_that_share_engines_through_others(self):
        engines = SharedEngines(
            self.time,
            {'e1': ('m',), 'e2': ('m', 'n'), 'e3': ('n', 'o'), 'e4': ('p',)},
        )
        (router, _) = self._run(engines, ())
        lease = router.loader.lease
        self.assertEqual(lease.list_models('o'), ('m', 'n', 'o'))
        self.assertEqual(lease.list_models('p'), ('p',))

    def test_engine_that_lacks_most_models_is_loaded_first(self):
        engines = SharedEngines(
            self.time, {'e1': ('m',), 'e2': ('m', 'n'), 'e3': ('m',)}
        )
        first, _ = self._run(engines, ())
        first.act()
        self.assertEqual(engines.log[0][1], 'e2')

    def test_renewed_plan_lists_no_engines_once_its_rollout_is_known(self):
        engines = SharedEngines(self.time)
        first, second = self._run(engines, ())
        while first.loader._needed_since or not engines.log:
            first.act()
            self.time.advance(0.5)
        listed = []
        for version in (3, 4):
            first.name(version, 'm')
            first.act()
            second.hear()
            listed.append(second.plans.get('n').plan.loaded)
            self.time.advance(3.0)
        self.assertEqual([len(starts) for starts in listed], [2, 0])

    def test_one_write_renews_the_leases_of_a_group(self):
        engines = SharedEngines(self.time)
        first, second = self._run(engines, ())
        before = self.rows.version
        first.act()
        second.hear()
        versions = {second.plans.get(model).row_version for model in 'mn'}
        self.assertEqual(len(versions), 1)
        self.assertLessEqual(self.rows.version - before, 2)
        holders = {second.plans.get(model).plan.holder for model in 'mn'}
        self.assertEqual(holders, {'a'})


if __name__ == '__main__':
    unittest.main()
