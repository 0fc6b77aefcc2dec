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

"""Speed of single engines: decisions, and a simulated load with slow ones."""

import collections
import dataclasses
import functools
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import SpeedEntry
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.policy.engine_speed import find_lowest
from lifttrestle.internal.fleet.policy.engine_speed import find_reference
from lifttrestle.internal.fleet.policy.engine_speed import LowestSample
from lifttrestle.internal.fleet.policy.engine_speed import SpeedEstimate
from lifttrestle.internal.fleet.policy.engine_speed import update_estimate
from lifttrestle.internal.fleet.state.catalogue import EngineConfig
from lifttrestle.internal.fleet.state.catalogue import Service
from tests.support.load_simulation import LoadScenario
from tests.support.load_simulation import LoadSimulation
from tests.support.load_simulation import SimulatedRouter
from tests.support.load_simulation import SpeedKnowledge
from tests.support.load_simulation import START
from tests.support.news_delivery import CATALOGUE
from tests.support.news_delivery import SERVICE

LATE_BOUND = 1.3
# The mix of deployment A on fewer engines, at 1.06 of the prefill capacity
# that remains while 15% of them are 3.5 times slower.
LOAD = LoadScenario(
    seconds=4.0,
    engines=20,
    rate=640.0,
    long_share=0.078,
    long_tokens=17_000,
    short_tokens=383,
    target_seconds=0.863,
    prefill_seconds=17.6e-6,
    slow_share=0.15,
)
# The same for large fleets, whose simulation takes longer.
SHORT = dataclasses.replace(LOAD, seconds=3.0)
# The load of deployment A; its engines turn slow after a second.
USUAL = dataclasses.replace(
    LOAD, seconds=3.0, engines=45, rate=388.0, slow_from=1.0
)


@functools.cache
def simulate(load, seed=1):
    fleet = LoadSimulation(load, seed)
    fleet.run()
    return fleet


def tearDownModule():
    # Full collections of the simulations would stop later tests for seconds.
    simulate.cache_clear()


def count_late(load, speeds, seeds, since):
    """Return the late requests that arrived from ``since`` seconds on."""
    load = dataclasses.replace(load, speeds=speeds)
    fleets = [simulate(load, seed) for seed in seeds]
    return sum(at >= since for fleet in fleets for at in fleet.late_at)


class TestEstimate(unittest.TestCase):
    """Guards against slowdowns that few or misleading answers cause."""

    def update(self, previous, ratio, samples, now=0.0):
        seen = LowestSample(ratio, samples) if samples else None
        return update_estimate(previous, seen, 1.0, now)

    def test_four_samples_show_that_an_engine_is_slow(self):
        three = self.update(SpeedEstimate(), 3.5, 3)
        self.assertEqual((three.slowdown, three.is_slow), (1.0, False))
        four = self.update(SpeedEstimate(), 3.5, 4)
        self.assertEqual((four.slowdown, four.is_slow), (3.5, True))

    def test_excess_halves_each_second_and_one_sample_restores_it(self):
        slow = self.update(SpeedEstimate(), 3.0, 4)
        later = self.update(slow, 0.0, 0, now=2.0)
        self.assertAlmostEqual(later.slowdown, 1.5)
        self.assertEqual(self.update(later, 9.0, 1, now=2.0).slowdown, 3.0)

    def test_one_fast_answer_ends_a_slow_period(self):
        slow = self.update(SpeedEstimate(), 3.0, 4)
        fast = self.update(slow, 1.0, 1, now=0.1)
        self.assertEqual((fast.slowdown, fast.is_slow), (1.0, False))

    def test_only_overdue_answers_count_while_pending(self):
        self.assertIsNone(find_lowest([], [0.1, 1.4]))
        self.assertEqual(find_lowest([2.0], [0.1, 3.0]), LowestSample(2.0, 2))

    def test_faster_one_of_two_engines_is_the_usual_one(self):
        self.assertEqual(find_reference([3.5, 1.0]), 1.0)


class TestEngineSpeeds(unittest.TestCase):
    """Guards against conditions that outlive their samples."""

    def setUp(self):
        self.clock = ManualClock(START)
        engines = ['e0', 'e1', 'e2']
        router = SimulatedRouter(0, engines, self.clock, lambda *sent: None)
        self.speeds = router.speeds
        self.engines = [router.directory.get(name) for name in engines]
        for engine in self.engines:
            for _ in range(4):
                ratio = 4.0 if engine is self.engines[0] else 1.0
                self.speeds.record_answer(engine, 0.1, 0.1 * ratio, 0.0)

    def get_slowdowns(self, now):
        conditions = self.speeds.get_conditions(SERVICE, now)
        return {start: item.slowdown for start, item in conditions.items()}

    def test_own_samples_suffice(self):
        self.assertEqual(self.get_slowdowns(0.1), {'e0': 4.0})
        self.assertEqual(self.speeds.count_slow(0.1), 1)

    def test_wrongly_suspected_engine_is_as_good_as_others_soon(self):
        self.get_slowdowns(0.1)
        self.assertEqual(self.get_slowdowns(5.0), {})

    def test_regression_answers_that_no_longer_count_were_kept(self):
        # Each decision went through up to 512 answers of every engine.
        for number in range(1, 601):
            now = 0.1 * number
            self.speeds.record_answer(self.engines[0], 0.1, 0.1, now)
            self.get_slowdowns(now)
        record = self.speeds._records[self.engines[0].digest]
        self.assertLessEqual(len(record.samples), 21)

    def test_news_of_a_killed_router_is_replaced(self):
        fast = [SpeedEntry(self.engines[0].digest, 100, 4)]
        self.speeds.apply_news(EngineNews(speeds=fast), 0.1)
        self.assertEqual(self.get_slowdowns(0.1), {})
        self.speeds.apply_news(EngineNews(), 0.2)
        self.assertEqual(self.get_slowdowns(0.2), {'e0': 4.0})

    def test_services_without_large_slots_are_left_as_they_are(self):
        small = dataclasses.replace(
            CATALOGUE.services[SERVICE], engine=EngineConfig(64, 9000, ('m',))
        )
        plain = Service('plain', 1)
        services = {SERVICE: small, 'plain': plain}
        catalogue = dataclasses.replace(CATALOGUE, services=services)
        self.speeds._get_catalogue = lambda: catalogue
        self.assertEqual(self.get_slowdowns(0.1), {})
        self.assertFalse(self.speeds.is_enabled('plain'))
        draft = NewsDraft()
        self.speeds.add_news(draft, 0.1)
        self.assertEqual(draft.speeds, [])


class TestLoad(unittest.TestCase):
    """Guards against callers that are late as a few engines are slow."""

    def check_late(self, load, seeds, since=1.0):
        exact, learned = (
            count_late(load, speeds, seeds, since)
            for speeds in (SpeedKnowledge.EXACT, SpeedKnowledge.LEARNED)
        )
        self.assertLessEqual(learned, LATE_BOUND * exact)

    def test_few_more_are_late_than_with_known_speeds(self):
        # The routers start at the same time, and know no speeds at first.
        self.check_late(LOAD, (1, 2))

    def test_few_more_are_late_in_a_large_fleet(self):
        self.check_late(dataclasses.replace(SHORT, routers=76), (1, 2))

    def test_few_more_are_late_in_the_largest_fleet(self):
        self.check_late(dataclasses.replace(SHORT, routers=350), (1,))

    def test_few_more_are_late_without_news(self):
        load = dataclasses.replace(LOAD, routers=1, has_news=False)
        self.check_late(load, (1, 2))

    def test_traffic_leaves_slow_engines_within_a_second(self):
        for routers in (8, 76, 350):
            load = dataclasses.replace(
                USUAL, routers=routers, speeds=SpeedKnowledge.LEARNED
            )
            fleet = simulate(load)
            sent = [name for at, name in fleet.sent if at >= 2.0]
            share = sum(fleet.is_slow(name, 2.0) for name in sent) / len(sent)
            with self.subTest(routers=routers):
                self.assertLess(share, 0.2 * load.slow_share)

    def test_traffic_returns_without_a_herd(self):
        load = dataclasses.replace(
            LOAD,
            seconds=5.0,
            rate=500.0,
            slow_until=2.5,
            speeds=SpeedKnowledge.LEARNED,
        )
        fleet = simulate(load)
        for since in (2.5, 3.0, 3.5, 4.0):
            sent = collections.Counter(
                name for at, name in fleet.sent if since <= at < since + 1
            )
            usual = sent.total() / load.engines
            # Other engines get more than twice their share without the part,
            # too, while they are idle.
            for name in fleet._slow:
                self.assertLess(sent[name], 2 * usual, since)
        returned = sum(sent[name] for name in fleet._slow)
        self.assertGreater(returned, 0.5 * len(fleet._slow) * usual)
