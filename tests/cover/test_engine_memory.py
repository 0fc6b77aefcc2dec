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

"""Which engines have memory for a request, and what routers know of it."""

import random
import unittest

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import HeldEntry
from lifttrestle.internal.fleet.news.source import MAX_NEWS_SECONDS
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.memory_fit import build_need
from lifttrestle.internal.fleet.policy.memory_fit import decide_fit
from lifttrestle.internal.fleet.policy.memory_fit import HeldMemory
from lifttrestle.internal.fleet.policy.memory_fit import MemoryNeed
from lifttrestle.internal.fleet.state.engine_memory import AnswerLengths
from lifttrestle.internal.fleet.state.engine_memory import EngineMemory
from tests.support.directories import DirectoryCase
from tests.support.memory_simulation import MemoryScenario
from tests.support.memory_simulation import MemorySimulation

MEMORY_TOKENS = 100_000
USABLE_TOKENS = 95_000
# Targets of docs/design/load-decisions.md.
MAX_LACKING = 0.005
MIN_USE = 0.95
SEED = 1


def decide(need, *held, others=0):
    """Return the indices of the engines in which a request fits."""
    decision = decide_fit(
        need, list(held), MEMORY_TOKENS, others, random.Random(1)
    )
    return decision.fitting


class TestFit(unittest.TestCase):
    """Guards against prompts for which an engine has no memory."""

    def test_shared_parts_are_counted_once(self):
        need = MemoryNeed(10_000, {7: 30_000})
        held = HeldMemory(50_000, {7: 30_000})
        other = HeldMemory(50_000, {8: 30_000})
        self.assertEqual(decide(need, held, other), (0,))

    def test_reserve_of_running_streams_is_kept_free(self):
        held = HeldMemory(USABLE_TOKENS - 1000, {})
        self.assertEqual(decide(MemoryNeed(1000, {}), held), (0,))
        self.assertEqual(decide(MemoryNeed(1001, {}), held), ())

    def test_request_larger_than_an_engine_goes_to_the_emptiest(self):
        need = MemoryNeed(USABLE_TOKENS + 1, {})
        full, emptier = HeldMemory(50_000, {}), HeldMemory(20_000, {})
        self.assertEqual(decide(need, full, emptier), (1,))

    def test_last_memory_is_left_to_one_of_several_routers(self):
        held = HeldMemory(90_000, {})
        need = MemoryNeed(4000, {})
        source = random.Random(1)
        taken = sum(
            decide_fit(need, [held], MEMORY_TOKENS, 4000, source).fitting
            == (0,)
            for _ in range(1000)
        )
        self.assertTrue(0 < taken < 100, taken)

    def test_need_includes_the_answer(self):
        parts = (PromptPart('a', 400), PromptPart('b', 60))
        need = build_need(Generation('m', 460, 50, parts), 20, (9,))
        self.assertEqual(need, MemoryNeed(80, {9: 400}))


class TestAnswerLengths(unittest.TestCase):
    """Guards against reserving the most that requests allow forever."""

    def test_most_is_assumed_until_answers_are_known(self):
        self.assertEqual(AnswerLengths().expect(500), 500)

    def test_tokens_per_event_follow_from_the_longest_answers(self):
        lengths = AnswerLengths()
        for events in (100, 40, 40, 40, 40, 40, 40, 40, 40, 40, 40):
            lengths.note(events, 400)
        self.assertEqual(lengths.expect(400), 160)
        self.assertEqual(lengths.expect(90), 90)


class TestEngineMemory(DirectoryCase):
    """Guards against memory that is counted twice, forever or not at all."""

    def setUp(self):
        super().setUp()
        self.put('e1')
        self.upstream = self.directory.get('e1')
        self.memory = EngineMemory(random.Random(1))
        self.need = MemoryNeed(1000, {7: 3000})

    def get_tokens(self, now=0.0):
        """Return what is held at the engine."""
        return self.memory.get_held(self.upstream, now).all_tokens

    def test_ended_requests_hold_nothing(self):
        for attempt in (1, 2):
            self.memory.note_sent(attempt, self.upstream, self.need, 0.0)
        self.assertEqual(self.get_tokens(), 5000)
        draft = NewsDraft()
        self.memory.add_news(draft, 0.0)
        digest = self.upstream.digest
        self.assertEqual(draft.held, [HeldEntry(digest, 2000, [(7, 3000)])])
        for attempt in (1, 2, 2):
            self.memory.note_ended(attempt)
        self.assertEqual(self.get_tokens(), 0)

    def test_news_of_others_is_added_until_it_expires(self):
        self.memory.note_sent(1, self.upstream, self.need, 0.0)
        entry = HeldEntry(self.upstream.digest, 500, [(7, 3000), (8, 200)])
        self.memory.apply_news(EngineNews([entry]), 0.0)
        self.assertEqual(self.get_tokens(), 4700)
        self.assertEqual(self.get_tokens(MAX_NEWS_SECONDS + 0.1), 4000)

    def test_unread_prompts_count_before_their_news(self):
        self.upstream.peers_unread = 9000
        self.assertEqual(self.get_tokens(), 9000)

    def test_without_news_others_hold_requests_of_the_mean_size(self):
        self.memory.note_sent(1, self.upstream, self.need, 0.0)
        self.upstream.peers_in_flight = 3
        self.assertEqual(self.get_tokens(), 4000 + 3 * 4000)

    def test_restarted_engine_is_empty(self):
        self.memory.note_sent(1, self.upstream, self.need, 0.0)
        self.directory.note_start(self.upstream, 2000, {})
        self.upstream = self.directory.get('e1')
        self.assertEqual(self.get_tokens(), 0)


class TestLoad(unittest.TestCase):
    """A burst on 45 engines of 146,048 tokens."""

    def simulate(self, **fields):
        """Return the simulation of a load after its end."""
        simulation = MemorySimulation(MemoryScenario(**fields), SEED)
        simulation.run()
        return simulation

    def check(self, *, is_needed=False, **fields):
        """Check the targets against the same load without the part.

        :param is_needed: the load misses the target without the part.
        """
        without = self.simulate(counts_memory=False, **fields)
        counted = self.simulate(**fields)
        if is_needed:
            self.assertGreater(without.lacking, MAX_LACKING * without.arrivals)
        self.assertLess(counted.lacking, MAX_LACKING * counted.arrivals)
        self.assertGreater(counted.served, MIN_USE * without.served)

    def test_burst_at_8_routers(self):
        self.check(is_needed=True, routers=8)

    def test_burst_at_76_routers(self):
        self.check(is_needed=True, routers=76, news_delay=0.25)

    def test_burst_at_350_routers(self):
        self.check(is_needed=True, routers=350, news_delay=0.58)

    def test_requests_of_a_killed_router_are_forgotten(self):
        self.check(killed_at=1.5)

    def test_partition_leaves_routers_without_news(self):
        self.check(news_delay=None)

    def test_late_news(self):
        self.check(news_delay=1.0)

    def test_all_routers_start_at_once(self):
        self.check(burst=(0.0, 1.0))

    def test_engine_starts_again(self):
        self.check(restarted_at=1.5)
